//! Commands for faults between processes, platform and engines.

use super::World;
use crate::Name;
use crate::command::{Command, CommandError};

impl World {
    /// Adds or removes a partition between two names, or in one direction with `from=` and `to=`.
    pub(super) fn cut(&mut self, command: &Command, cut: bool) -> Result<(), CommandError> {
        let pairs: Vec<(Name, Name)> = match (command.arg("from"), command.arg("to")) {
            (Some(from), Some(to)) => vec![(from.to_owned(), to.to_owned())],
            _ => {
                let names: Vec<&Name> = command.names.iter().collect();
                let [one, other] = names[..] else {
                    return Err("the command needs two names".to_owned());
                };
                vec![(one.clone(), other.clone()), (other.clone(), one.clone())]
            }
        };
        for pair in pairs {
            if cut {
                self.partitions.insert(pair);
            } else {
                self.partitions.remove(&pair);
            }
        }
        Ok(())
    }

    /// Delays orders from an entry to an engine until they are delivered by `arrive` or after just
    /// less than the longest delay that the protocol assumes; `beyond=1` lifts that limit for all
    /// orders to the engine, and `off=1` ends the delay.
    pub(super) fn slow(&mut self, command: &Command) -> Result<(), CommandError> {
        let pair = pair(command)?;
        if command.arg("off").is_some() {
            self.delayed_orders.remove(&pair);
        } else {
            if command.arg("beyond").is_some() {
                self.unbounded_delays.insert(pair.1.clone());
            }
            self.delayed_orders.insert(pair);
        }
        Ok(())
    }

    /// Loses the answers of an engine to an entry; `off=1` ends the fault.
    pub(super) fn deaf(&mut self, command: &Command) -> Result<(), CommandError> {
        let pair = pair(command)?;
        if command.arg("off").is_some() {
            self.lost_answers.remove(&pair);
        } else {
            self.lost_answers.insert(pair);
        }
        Ok(())
    }
}

fn pair(command: &Command) -> Result<(Name, Name), CommandError> {
    Ok((
        command.required("from")?.to_owned(),
        command.required("to")?.to_owned(),
    ))
}
