//! State of the model of calls that must not run twice.

use super::{Config, Mutant};
use crate::log::{EncodedRecord, Log};
use authority::author::Author;
use claims::{
    Batcher, Call, CallEnd, Decision, Executed, Holder, Input, Limits, LogStatus, Output, Outputs,
};
use clock::Moment;
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::record::record::Body;

pub(super) const TICK: Duration = Duration::from_secs(1);
const KEY: claims::Digest = [1; 16];
const FINGERPRINT: claims::Digest = [2; 16];
/// Ticks to the deadline of a call, counted from its arrival and again from its clearance to run.
const DEADLINE: u32 = 2;

/// An entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Process {
    pub(super) author: Author,
    pub(super) batcher: Batcher,
    pub(super) folded: usize,
    /// Calls that are cleared to run and of which no byte has been sent.
    pub(super) ready: SmallVec<[Ready; 1]>,
    pub(super) log_down: bool,
}

/// A call that is cleared to run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Ready {
    pub(super) call: u64,
    deadline: u32,
}

/// The caller. It makes one attempt at a time and counts them correctly.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Caller {
    /// Number of calls sent.
    pub(super) sent: u64,
    /// Number of attempts that may have run.
    pub(super) attempts: u32,
    /// The call that it waits for, and the entry of that call.
    pub(super) waiting: Option<(u64, usize)>,
    /// Whether it has an answer.
    pub(super) answered: bool,
    /// Calls that were reported to it as not run.
    not_run: BTreeSet<u64>,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) now: u32,
    pub(super) log: Log,
    pub(super) processes: Vec<Rc<Process>>,
    /// Sorted.
    pub(super) appends: Vec<(usize, EncodedRecord)>,
    pub(super) caller: Caller,
    pub(super) executed: BTreeSet<u64>,
    pub(super) remaining_faults: u32,
    pub(super) violation: Option<&'static str>,
    pub(super) executed_twice: bool,
    /// For a mutant: calls run when their claim is committed, not when it is read back.
    pub(super) run_on_append: bool,
}

fn limits() -> Limits {
    Limits {
        max_batch: 1,
        max_in_flight: 1,
        claim_interval: Duration::ZERO,
        outcome_interval: Duration::ZERO,
        retry_delay: Duration::ZERO,
        read_back_timeout: TICK,
        first_attempt_wait: TICK,
        max_calls: 4,
    }
}

pub(super) fn process(which: usize, incarnation: u64) -> Process {
    let author = Author {
        instance: ["a", "b"][which].to_owned(),
        incarnation,
    };
    let holder = Holder {
        instance: author.instance.clone(),
        incarnation,
    };
    let seed = which as u64 * 16 + incarnation;
    let mut batcher = Batcher::new(holder, seed, limits());
    batcher.step(Moment::ZERO, Input::Log(LogStatus::Up));
    Process {
        author,
        batcher,
        folded: 0,
        ready: SmallVec::new(),
        log_down: false,
    }
}

impl World {
    pub(super) fn time(&self) -> Moment {
        TICK * self.now
    }

    pub(super) fn step(&mut self, which: usize, input: Input) {
        let now = self.time();
        let outputs = Rc::make_mut(&mut self.processes[which])
            .batcher
            .step(now, input);
        self.handle_outputs(which, outputs);
    }

    /// An entry reads and folds one record.
    pub(super) fn read(&mut self, config: &Config, which: usize) {
        let now = self.time();
        let process = Rc::make_mut(&mut self.processes[which]);
        let offset = process.folded + 1;
        let Some(record) = self.log.record(offset) else {
            return;
        };
        process.folded = offset;
        let mut record = record.clone();
        let own = record.author == Some((&process.author).into());
        if config.mutant == Some(Mutant::OwnClaimsOnly) && !own {
            record.body = None;
        }
        let outputs = process.batcher.fold(now, offset as u64, &record);
        self.handle_outputs(which, outputs);
    }

    fn handle_outputs(&mut self, which: usize, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Append { nonce, body } => {
                    let author = &self.processes[which].author;
                    self.appends
                        .push((which, EncodedRecord::new(author, nonce, body)));
                }
                Output::Decide(call, decision) => self.handle_decision(which, call, &decision),
                // A warning to operators, which may be false; the model counts executions itself.
                Output::Contested { .. } => (),
            }
        }
        self.appends.sort();
    }

    fn handle_decision(&mut self, which: usize, call: u64, decision: &Decision) {
        match decision {
            Decision::Run { .. } if self.run_on_append => (),
            Decision::Run { .. } | Decision::RunUnclaimed => self.make_ready(which, call),
            Decision::Refused {
                executed: Executed::No,
            } => self.notify_not_run(call),
            Decision::Answered { .. } => self.notify_caller(call, true),
            Decision::InProgress { .. }
            | Decision::Conflict
            | Decision::Refused {
                executed: Executed::Unknown,
            }
            | Decision::AttemptRequired => self.notify_caller(call, false),
        }
    }

    fn make_ready(&mut self, which: usize, call: u64) {
        let deadline = self.now + DEADLINE;
        let ready = Ready { call, deadline };
        Rc::make_mut(&mut self.processes[which]).ready.push(ready);
    }

    /// Ends the caller's wait for a call, if it still waits for it.
    fn notify_caller(&mut self, call: u64, answered: bool) {
        if self.caller.waiting.is_some_and(|(of, _)| of == call) {
            self.caller.waiting = None;
            self.caller.answered |= answered;
        }
    }

    /// Reports "not run" to the caller, which applies to this call and all before it.
    fn notify_not_run(&mut self, call: u64) {
        if self.caller.waiting.is_none_or(|(of, _)| of != call) {
            return;
        }
        self.caller.waiting = None;
        self.caller.attempts = self.caller.attempts.saturating_sub(1);
        self.caller.not_run = (1..=call).collect();
        if !self.executed.is_disjoint(&self.caller.not_run) {
            self.violation = Some("a call ran that was said not to have run");
        }
    }

    pub(super) fn send(&mut self, config: &Config, which: usize) {
        self.caller.sent += 1;
        self.caller.attempts += 1;
        let id = self.caller.sent;
        self.caller.waiting = Some((id, which));
        let attempt = match config.mutant {
            Some(Mutant::AlwaysFirst) => 1,
            _ => self.caller.attempts,
        };
        let call = Call {
            id,
            key: KEY,
            fingerprint: FINGERPRINT,
            request: id.to_string(),
            attempt: Some(attempt),
            policy: config.policy,
            deadline: self.time() + TICK * DEADLINE,
        };
        self.step(which, Input::Call(call));
    }

    /// Sends the first byte of a call, so that it is executed.
    pub(super) fn execute(&mut self, which: usize, answered: bool) {
        let ready = Rc::make_mut(&mut self.processes[which]).ready.remove(0);
        if !self.executed.is_empty() {
            self.violation = Some("a key is executed twice");
            self.executed_twice = true;
        }
        if self.caller.not_run.contains(&ready.call) {
            self.violation = Some("a call runs that was said not to have run");
        }
        self.executed.insert(ready.call);
        if answered {
            self.notify_caller(ready.call, true);
        }
        let end = if answered {
            CallEnd::Answered
        } else {
            CallEnd::Unknown
        };
        self.step(which, Input::Ended(ready.call, end));
    }

    /// Drops a call of which no byte was sent.
    pub(super) fn drop_ready(&mut self, which: usize) {
        let ready = Rc::make_mut(&mut self.processes[which]).ready.remove(0);
        self.step(which, Input::Ended(ready.call, CallEnd::NotRun));
        self.notify_not_run(ready.call);
    }

    pub(super) fn crash(&mut self, config: &Config, which: usize) {
        let incarnation = self.processes[which].author.incarnation;
        let next_incarnation = match config.mutant {
            Some(Mutant::SameIncarnation) => incarnation,
            _ => incarnation + 1,
        };
        self.processes[which] = Rc::new(process(which, next_incarnation));
    }

    pub(super) fn commit(&mut self, which: usize, encoded: EncodedRecord) {
        let claimed = match &encoded.record().body {
            Some(Body::KeyClaims(batch)) => batch.claims.first(),
            _ => None,
        };
        let call = claimed.and_then(|claim| claim.request.parse().ok());
        self.log.commit(encoded);
        if let Some(call) = call.filter(|_| self.run_on_append) {
            self.make_ready(which, call);
        }
    }
}

impl Ready {
    /// Whether the deadline has not passed; the entry checks it again before the first byte.
    pub(super) fn is_due(&self, now: u32) -> bool {
        now < self.deadline
    }
}
