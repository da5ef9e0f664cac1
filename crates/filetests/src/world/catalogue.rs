//! Edits, rules and snapshots.

use std::sync::Arc;

use ::catalogue::{Entity, Findings, RawEntity, RuleSet, Rules};
use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise};

use super::World;
use crate::Offset;
use crate::command::{Command, CommandError};

impl World {
    /// Appends an operator's edit to the log.
    pub(super) fn edit(&mut self, command: &Command) -> Result<(), CommandError> {
        let edit = Edit {
            base_revision: self.base_revision(command)?,
            operator: command.required("by")?.to_owned(),
            note: String::new(),
            changes: command
                .input
                .lines()
                .map(change)
                .collect::<Result<_, _>>()?,
        };
        self.append_as_operator(Body::Edit(edit))
    }

    /// The base of an edit: `base=3`, or `back=2` for the newest revision minus 2.
    fn base_revision(&self, command: &Command) -> Result<Offset, CommandError> {
        if command.arg("back").is_none() {
            return command.number("base");
        }
        let revisions = self
            .processes
            .values()
            .map(|process| process.catalogue.revision());
        let newest = revisions.max().unwrap_or(0);
        Ok(newest.saturating_sub(command.number("back")?))
    }

    /// Offset that the newest snapshot in the log covers; 0 if there is none.
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

    /// Checks that all processes at the same offset have the same catalogue, whatever snapshot they
    /// started from and whichever rules their software knows.
    pub(super) fn check_catalogue(&mut self, name: &str) {
        let snapshot = self
            .processes
            .get(name)
            .and_then(|process| process.catalogue.snapshot());
        let Some(mut snapshot) = snapshot else {
            return;
        };
        ::catalogue::seal(&mut snapshot);
        let first = self.catalogues.entry(snapshot.upto);
        if *first.or_insert(snapshot.digest.clone()) != snapshot.digest {
            let upto = snapshot.upto;
            self.report(format!(
                "VIOLATION {name} has another catalogue as of {upto}"
            ));
        }
    }

    pub(super) fn raise(&mut self, command: &Command) -> Result<(), CommandError> {
        let rules = command
            .number("to")?
            .try_into()
            .map_err(|_| "the rules version is out of range".to_owned())?;
        self.append_as_operator(Body::RulesRaise(RulesRaise { rules }))
    }

    /// Appends a snapshot of a process; with `without=` one that lacks an entity.
    pub(super) fn snapshot(&mut self, command: &Command) -> Result<(), CommandError> {
        let name = command.name()?.to_owned();
        let snapshot = self.process(&name)?.snapshot();
        let Some(mut snapshot) = snapshot else {
            self.report(format!("{name}: has no snapshot to give"));
            return Ok(());
        };
        if command.arg("without").is_some() {
            snapshot.entities.pop();
            ::catalogue::seal(&mut snapshot);
        }
        self.append_as_operator(Body::Snapshot(snapshot))
    }

    /// A process adopts a snapshot of a peer.
    pub(super) fn adopt(&mut self, command: &Command) -> Result<(), CommandError> {
        let (to, from) = (
            command.name()?.to_owned(),
            command.required("from")?.to_owned(),
        );
        let Some(snapshot) = self.process(&from)?.snapshot() else {
            self.report(format!("{from}: has no snapshot to give"));
            return Ok(());
        };
        let upto = snapshot.upto;
        let adopted = self.process(&to)?.catalogue.adopt(&snapshot);
        let text = match adopted {
            Ok(true) => format!("{to}: takes the catalogue as of {upto} from {from}"),
            Ok(false) => format!("{to}: knows better than {from}"),
            Err(error) => format!("{to}: {error}"),
        };
        self.report(text);
        Ok(())
    }

    fn append_as_operator(&mut self, body: Body) -> Result<(), CommandError> {
        if !self.log.up {
            self.report("the log is out");
            return Ok(());
        }
        let record = Record {
            body: Some(body),
            ..Record::default()
        };
        let offset = self.commit(&record);
        self.report(format!("log {offset}: appended"));
        Ok(())
    }
}

/// Parses a line such as `pool kiosk-api {"kind": "service"}` or `remove pool kiosk-api`.
fn change(line: &str) -> Result<Change, CommandError> {
    let words: Vec<&str> = line.splitn(3, ' ').collect();
    let (kind, name, json) = match words[..] {
        ["remove", kind, name] => (kind, name, ""),
        [kind, name, json] => (kind, name, json),
        _ => return Err(format!("`{line}` is not a change")),
    };
    Ok(Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        json: json.to_owned(),
    })
}

/// The rules of newer software, with a version 2 that does not allow `_` in names.
pub(super) fn newer_rules() -> Arc<Rules> {
    fn first() -> RuleSet {
        *Rules::default().get(1).expect("version 1 is built in")
    }
    fn read(raw: &RawEntity<'_>) -> Result<Entity, Findings> {
        if raw.name.contains('_') {
            let mut findings = Findings::new();
            findings.add(raw.kind, raw.name, "", "must have no `_` in its name");
            return Err(findings);
        }
        (first().parse)(raw)
    }
    let second = RuleSet {
        version: 2,
        parse: read,
        validate: first().validate,
    };
    Arc::new(Rules::new(vec![first(), second]))
}
