//! Appends to the log and what becomes of them.

use authority::effect::Effect;
use authority::lease;
use claims::Input;
use wire::record::Record;

use super::World;
use crate::Offset;
use crate::command::{Command, Fault};
use crate::log::Fate;
use crate::process::{Append, Source};

impl World {
    /// Hands what a process wants appended to the log.
    pub(super) fn deliver(&mut self, name: &str) {
        loop {
            let reaches = self.reaches_log(name);
            let Some(process) = self.processes.get_mut(name) else {
                return;
            };
            let Some(append) = process.outbox.pop_front() else {
                return;
            };
            if !reaches {
                self.rejected(name, &append);
                continue;
            }
            let fate = match append.source {
                Source::Claims | Source::Planner => process.fates.pop_front(),
                Source::Lease => process.lease_fates.pop_front(),
            };
            let fate = fate.unwrap_or(Fate::Answered);
            self.take_append(name, append, fate);
        }
    }

    fn take_append(&mut self, name: &str, append: Append, fate: Fate) {
        let (source, nonce) = (append.source, append.nonce);
        match fate {
            Fate::Answered => {
                let offset = self.stand(&append.record);
                if source == Source::Claims {
                    self.tell_claims(name, Input::Appended(nonce, offset));
                }
                if source == Source::Lease {
                    self.tell_lease(name, &lease::Input::AppendAcknowledged(nonce));
                }
                return;
            }
            Fate::LostBefore => {}
            Fate::LostAfter => {
                self.stand(&append.record);
            }
            Fate::Twice => {
                self.stand(&append.record);
                self.stand(&append.record);
            }
            Fate::Held => self.log.hold(append.record),
        }
        if source == Source::Claims {
            self.tell_claims(name, Input::AnswerLost(nonce));
        }
        if source == Source::Lease {
            self.tell_lease(name, &lease::Input::AppendUnknown(nonce));
        }
    }

    fn rejected(&mut self, name: &str, append: &Append) {
        match append.source {
            Source::Claims => self.tell_claims(name, Input::Rejected(append.nonce)),
            Source::Lease => self.tell_lease(name, &lease::Input::AppendFailed(append.nonce)),
            Source::Planner => {}
        }
    }

    fn tell_claims(&mut self, name: &str, input: Input) {
        self.drive(name, |process, now| {
            let outputs = process.batcher.step(now, input);
            process.take_claims(outputs)
        });
    }

    fn tell_lease(&mut self, name: &str, input: &lease::Input<'_>) {
        self.drive(name, |process, now| {
            let outputs = process.lease.step(now, input);
            process.take_lease(outputs)
        });
    }

    /// A record stands in the log from here on.
    pub(super) fn stand(&mut self, record: &Record) -> Offset {
        let offset = self.log.append(record.clone());
        self.judge_record(offset, record);
        offset
    }

    fn judge_record(&mut self, offset: Offset, record: &Record) {
        let author = record.author.as_ref().map(|author| author.instance.clone());
        let author = author.unwrap_or_default();
        match self.truth.apply(offset, record) {
            Effect::Intended {
                upstream,
                action: what,
                ..
            } => {
                self.say(format!(
                    "log {offset}: {author} intends {what:?} for {upstream}"
                ));
            }
            Effect::Refused(refusal) => {
                self.say(format!(
                    "log {offset}: without effect, from {author}: {refusal:?}"
                ));
            }
            _ => {}
        }
    }

    /// Sets the fate of the next append of a process; with `of=lease` of its lease.
    pub(super) fn next_fate(&mut self, command: &Command) -> Result<(), Fault> {
        let word = command.need("fate")?;
        let fate = Fate::from_word(word).ok_or_else(|| format!("`{word}` is no fate"))?;
        let of_lease = command.arg("of") == Some("lease");
        let process = self.process(command.name()?)?;
        if of_lease {
            process.lease_fates.push_back(fate);
        } else {
            process.fates.push_back(fate);
        }
        Ok(())
    }

    /// Appends that were on their way now stand.
    pub(super) fn let_go(&mut self) -> Result<(), Fault> {
        for (offset, record) in self.log.let_go() {
            self.judge_record(offset, &record);
        }
        Ok(())
    }

    pub(super) fn forget(&mut self, command: &Command) -> Result<(), Fault> {
        let before = match command.need("before")? {
            // As the retention does where snapshots are written in time.
            "snapshot" => self.newest_snapshot() + 1,
            _ => command.number("before")?,
        };
        self.log.forget_before(before);
        let first = self.log.first();
        for process in self.processes.values_mut() {
            process
                .batcher
                .forget_before(first.min(process.read_upto + 1));
        }
        Ok(())
    }

    pub(super) fn switch_log(&mut self, command: &Command) -> Result<(), Fault> {
        self.log.up = match command.name()? {
            "up" => true,
            "out" => false,
            other => return Err(format!("a log is up or out, not {other}")),
        };
        Ok(())
    }
}
