//! Edits, rules and snapshots.

use std::sync::Arc;

use ::catalogue::{Entity, Findings, Raw, Rules, Set};
use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise};

use super::World;
use crate::Offset;
use crate::command::{Command, Fault};

impl World {
    /// An operator's edit, written to the log through some entry.
    pub(super) fn edit(&mut self, command: &Command) -> Result<(), Fault> {
        let edit = Edit {
            base_revision: self.base(command)?,
            operator: command.need("by")?.to_owned(),
            note: String::new(),
            changes: command
                .input
                .lines()
                .map(change)
                .collect::<Result<_, _>>()?,
        };
        self.operate(Body::Edit(edit))
    }

    /// The base of an edit: `base=3`, or `back=2` for one so far before the newest revision.
    fn base(&self, command: &Command) -> Result<Offset, Fault> {
        if command.arg("back").is_none() {
            return command.number("base");
        }
        let revisions = self.processes.values().map(|one| one.catalogue.revision());
        let newest = revisions.max().unwrap_or(0);
        Ok(newest.saturating_sub(command.number("back")?))
    }

    /// Offset up to which the newest snapshot in the log goes; 0 if there is none.
    pub(super) fn newest_snapshot(&self) -> Offset {
        let snapshots = self
            .log
            .read(1)
            .filter_map(|(_, record)| match &record.body {
                Some(Body::Snapshot(snapshot)) => Some(snapshot.upto),
                _ => None,
            });
        snapshots.max().unwrap_or(0)
    }

    /// All processes that folded up to the same offset must have the same catalogue, whatever they
    /// started from and whatever their software knows.
    pub(super) fn judge_catalogue(&mut self, name: &str) {
        let snapshot = self
            .processes
            .get(name)
            .and_then(|one| one.catalogue.snapshot());
        let Some(mut snapshot) = snapshot else {
            return;
        };
        ::catalogue::seal(&mut snapshot);
        let first = self.catalogues.entry(snapshot.upto);
        if *first.or_insert(snapshot.digest.clone()) != snapshot.digest {
            let upto = snapshot.upto;
            self.say(format!(
                "VIOLATION {name} has another catalogue as of {upto}"
            ));
        }
    }

    pub(super) fn raise(&mut self, command: &Command) -> Result<(), Fault> {
        let rules = command
            .number("to")?
            .try_into()
            .map_err(|_| "too great a version".to_owned())?;
        self.operate(Body::RulesRaise(RulesRaise { rules }))
    }

    /// A process writes a snapshot of what it folded.
    pub(super) fn snapshot(&mut self, command: &Command) -> Result<(), Fault> {
        let name = command.name()?.to_owned();
        let snapshot = self.process(&name)?.snapshot();
        let Some(mut snapshot) = snapshot else {
            self.say(format!("{name}: has no snapshot to give"));
            return Ok(());
        };
        if command.arg("without").is_some() {
            snapshot.entities.pop();
            ::catalogue::seal(&mut snapshot);
        }
        self.operate(Body::Snapshot(snapshot))
    }

    /// A process takes what a peer has folded.
    pub(super) fn adopt(&mut self, command: &Command) -> Result<(), Fault> {
        let (to, from) = (command.name()?.to_owned(), command.need("from")?.to_owned());
        let Some(snapshot) = self.process(&from)?.snapshot() else {
            self.say(format!("{from}: has no snapshot to give"));
            return Ok(());
        };
        let upto = snapshot.upto;
        let taken = self.process(&to)?.catalogue.adopt(&snapshot);
        let text = match taken {
            Ok(true) => format!("{to}: takes the catalogue as of {upto} from {from}"),
            Ok(false) => format!("{to}: knows better than {from}"),
            Err(unfit) => format!("{to}: {unfit}"),
        };
        self.say(text);
        Ok(())
    }

    fn operate(&mut self, body: Body) -> Result<(), Fault> {
        if !self.log.up {
            self.say("the log is out");
            return Ok(());
        }
        let record = Record {
            body: Some(body),
            ..Record::default()
        };
        let offset = self.stand(&record);
        self.say(format!("log {offset}: appended"));
        Ok(())
    }
}

/// A line such as `pool kiosk-api {"kind": "service"}` or `remove pool kiosk-api`.
fn change(line: &str) -> Result<Change, Fault> {
    let words: Vec<&str> = line.splitn(3, ' ').collect();
    let (kind, name, json) = match words[..] {
        ["remove", kind, name] => (kind, name, ""),
        [kind, name, json] => (kind, name, json),
        _ => return Err(format!("`{line}` is no change")),
    };
    Ok(Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        json: json.to_owned(),
    })
}

/// Software that knows a second version of the rules, which allows no `_` in names.
pub(super) fn newer_rules() -> Arc<Rules> {
    fn first() -> Set {
        *Rules::default().get(1).expect("version 1 is built in")
    }
    fn read(raw: &Raw<'_>) -> Result<Entity, Findings> {
        if raw.name.contains('_') {
            let mut findings = Findings::new();
            findings.add(raw.kind, raw.name, "", "must have no `_` in its name");
            return Err(findings);
        }
        (first().read)(raw)
    }
    let second = Set {
        version: 2,
        read,
        relate: first().relate,
    };
    Arc::new(Rules::new(vec![first(), second]))
}
