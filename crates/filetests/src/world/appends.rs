//! Appends to the log and their outcomes.

use authority::effect::Effect;
use authority::lease;
use claims::Input;
use wire::record::Record;

use super::World;
use crate::Offset;
use crate::command::{Command, CommandError};
use crate::log::AppendOutcome;
use crate::process::{Append, Source};

impl World {
    /// Sends the queued appends of a process to the log.
    pub(super) fn submit_appends(&mut self, name: &str) {
        loop {
            let reaches = self.reaches_log(name);
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            let Some(append) = process.outbox.pop_front() else {
                return;
            };
            if !reaches {
                self.reject_append(name, &append);
                continue;
            }
            let outcome = match append.source {
                Source::Claims | Source::Planner => process.append_outcomes.pop_front(),
                Source::Lease => process.lease_append_outcomes.pop_front(),
            };
            let outcome = outcome.unwrap_or(AppendOutcome::Answered);
            self.submit(name, append, outcome);
        }
    }

    fn submit(&mut self, name: &str, append: Append, outcome: AppendOutcome) {
        let (source, nonce) = (append.source, append.nonce);
        match outcome {
            AppendOutcome::Answered => {
                let offset = self.commit(&append.record);
                if source == Source::Claims {
                    self.notify_claims(name, Input::Appended(nonce, offset));
                }
                if source == Source::Lease {
                    self.notify_lease(name, &lease::Input::AppendAcknowledged(nonce));
                }
                return;
            }
            AppendOutcome::AppendLost => {}
            AppendOutcome::AnswerLost => {
                self.commit(&append.record);
            }
            AppendOutcome::Twice => {
                self.commit(&append.record);
                self.commit(&append.record);
            }
            AppendOutcome::Held => self.log.hold(append.record),
        }
        if source == Source::Claims {
            self.notify_claims(name, Input::AnswerLost(nonce));
        }
        if source == Source::Lease {
            self.notify_lease(name, &lease::Input::AppendUnknown(nonce));
        }
    }

    fn reject_append(&mut self, name: &str, append: &Append) {
        match append.source {
            Source::Claims => self.notify_claims(name, Input::Rejected(append.nonce)),
            Source::Lease => self.notify_lease(name, &lease::Input::AppendFailed(append.nonce)),
            Source::Planner => {}
        }
    }

    fn notify_claims(&mut self, name: &str, input: Input) {
        self.drive(name, |process, now| {
            let outputs = process.batcher.step(now, input);
            process.handle_claims(outputs)
        });
    }

    fn notify_lease(&mut self, name: &str, input: &lease::Input<'_>) {
        self.drive(name, |process, now| {
            let outputs = process.lease.step(now, input);
            process.handle_lease(outputs)
        });
    }

    /// Adds a record to the log and checks its effect.
    pub(super) fn commit(&mut self, record: &Record) -> Offset {
        let offset = self.log.append(record.clone());
        self.check_record(offset, record);
        offset
    }

    fn check_record(&mut self, offset: Offset, record: &Record) {
        let author = record.author.as_ref().map(|author| author.instance.clone());
        let author = author.unwrap_or_default();
        match self.reference.apply(offset, record) {
            Effect::Intended {
                upstream, action, ..
            } => {
                self.report(format!(
                    "log {offset}: {author} intends {action:?} for {upstream}"
                ));
            }
            Effect::Refused(refusal) => {
                self.report(format!(
                    "log {offset}: without effect, from {author}: {refusal:?}"
                ));
            }
            _ => {}
        }
    }

    /// Sets the outcome of the next append of a process; with `of=lease`, of its lease.
    pub(super) fn set_append_outcome(&mut self, command: &Command) -> Result<(), CommandError> {
        let word = command.required("fate")?;
        let outcome = AppendOutcome::parse(word).ok_or_else(|| format!("unknown fate `{word}`"))?;
        let of_lease = command.arg("of") == Some("lease");
        let process = self.process(command.name()?)?;
        if of_lease {
            process.lease_append_outcomes.push_back(outcome);
        } else {
            process.append_outcomes.push_back(outcome);
        }
        Ok(())
    }

    /// Commits the appends that were held in transit.
    pub(super) fn release_held(&mut self) -> Result<(), CommandError> {
        for (offset, record) in self.log.release_held() {
            self.check_record(offset, &record);
        }
        Ok(())
    }

    pub(super) fn truncate(&mut self, command: &Command) -> Result<(), CommandError> {
        let before = match command.required("before")? {
            // As with retention in a deployment that writes snapshots in time.
            "snapshot" => self.newest_snapshot() + 1,
            _ => command.number("before")?,
        };
        self.log.truncate_before(before);
        let first = self.log.first();
        for process in self.processes.values_mut() {
            process
                .batcher
                .forget_before(first.min(process.read_upto + 1));
        }
        Ok(())
    }

    pub(super) fn switch_log(&mut self, command: &Command) -> Result<(), CommandError> {
        self.log.up = match command.name()? {
            "up" => true,
            "out" => false,
            other => return Err(format!("the log can be up or out, not {other}")),
        };
        Ok(())
    }
}
