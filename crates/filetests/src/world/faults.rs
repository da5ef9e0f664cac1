//! Faults between processes, platform and engines.

use super::World;
use crate::Name;
use crate::command::{Command, Fault};

impl World {
    /// Cuts two names off from each other, or one direction with `from=` and `to=`.
    pub(super) fn cut(&mut self, command: &Command, cut: bool) -> Result<(), Fault> {
        let pairs: Vec<(Name, Name)> = match (command.arg("from"), command.arg("to")) {
            (Some(from), Some(to)) => vec![(from.to_owned(), to.to_owned())],
            _ => {
                let names: Vec<&Name> = command.names.iter().collect();
                let [one, other] = names[..] else {
                    return Err("it takes two names".to_owned());
                };
                vec![(one.clone(), other.clone()), (other.clone(), one.clone())]
            }
        };
        for pair in pairs {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
        Ok(())
    }

    /// Orders between two names stay on their way until they are let arrive, or for the
    /// longest delay that the protocol reckons with, but with `beyond=1`; `off=1` ends it.
    pub(super) fn slow(&mut self, command: &Command) -> Result<(), Fault> {
        let pair = pair(command)?;
        if command.arg("off").is_some() {
            self.slow.remove(&pair);
        } else {
            if command.arg("beyond").is_some() {
                self.beyond.insert(pair.1.clone());
            }
            self.slow.insert(pair);
        }
        Ok(())
    }

    /// Answers of an engine to an entry get lost; `off=1` ends it.
    pub(super) fn deaf(&mut self, command: &Command) -> Result<(), Fault> {
        let pair = pair(command)?;
        if command.arg("off").is_some() {
            self.deaf.remove(&pair);
        } else {
            self.deaf.insert(pair);
        }
        Ok(())
    }
}

fn pair(command: &Command) -> Result<(Name, Name), Fault> {
    Ok((
        command.need("from")?.to_owned(),
        command.need("to")?.to_owned(),
    ))
}
