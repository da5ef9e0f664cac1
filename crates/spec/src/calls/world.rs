//! The state of the model of calls that may not be repeated.

use super::{Config, Mutant};
use crate::log::{Log, Parcel};
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
/// Ticks after which a call is not worth running any more.
const DEADLINE: u32 = 2;

/// An entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Process {
    pub(super) author: Author,
    pub(super) batcher: Batcher,
    pub(super) folded: usize,
    /// Calls that were told to run and of which no byte has left.
    pub(super) ready: SmallVec<[Ready; 1]>,
    pub(super) out: bool,
}

/// A call that was told to run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Ready {
    pub(super) ticket: u64,
    deadline: u32,
}

/// The caller. It makes one attempt after the other and counts them truly.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Caller {
    /// Calls that it sent.
    pub(super) sent: u64,
    /// Attempts that may have run.
    pub(super) counted: u32,
    /// The call that it waits for, and at which entry.
    pub(super) waiting: Option<(u64, usize)>,
    /// It has its answer.
    pub(super) answered: bool,
    /// Calls of which it knows that they did not run.
    not_run: BTreeSet<u64>,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) now: u32,
    pub(super) log: Log,
    pub(super) processes: Vec<Rc<Process>>,
    /// Sorted.
    pub(super) appends: Vec<(usize, Parcel)>,
    pub(super) caller: Caller,
    pub(super) executed: BTreeSet<u64>,
    pub(super) faults: u32,
    pub(super) broken: Option<&'static str>,
    pub(super) twice: bool,
    /// A mutant: calls run when their claim lands and not when it is read back.
    pub(super) run_on_append: bool,
}

fn pace() -> Limits {
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
    let mut batcher = Batcher::new(holder, seed, pace());
    batcher.step(Moment::ZERO, Input::Log(LogStatus::Up));
    Process {
        author,
        batcher,
        folded: 0,
        ready: SmallVec::new(),
        out: false,
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
        self.carry_out(which, outputs);
    }

    /// Folds one record.
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
        self.carry_out(which, outputs);
    }

    fn carry_out(&mut self, which: usize, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Append { nonce, body } => {
                    let author = &self.processes[which].author;
                    self.appends.push((which, Parcel::new(author, nonce, body)));
                }
                Output::Decide(ticket, decision) => self.decide(which, ticket, &decision),
                // A warning to operators, which may be a false alarm; what ran is counted itself.
                Output::Contested { .. } => (),
            }
        }
        self.appends.sort();
    }

    fn decide(&mut self, which: usize, ticket: u64, decision: &Decision) {
        match decision {
            Decision::Run { .. } if self.run_on_append => (),
            Decision::Run { .. } | Decision::RunUnclaimed => self.make_ready(which, ticket),
            Decision::Refused {
                executed: Executed::No,
            } => self.tell_not_run(ticket),
            Decision::Answered { .. } => self.tell(ticket, true),
            Decision::InProgress { .. }
            | Decision::Conflict
            | Decision::Refused {
                executed: Executed::Unknown,
            }
            | Decision::AttemptRequired => self.tell(ticket, false),
        }
    }

    fn make_ready(&mut self, which: usize, ticket: u64) {
        let deadline = self.now + DEADLINE;
        let ready = Ready { ticket, deadline };
        Rc::make_mut(&mut self.processes[which]).ready.push(ready);
    }

    /// The caller hears of a call, if it still waits for it.
    fn tell(&mut self, ticket: u64, answered: bool) {
        if self.caller.waiting.is_some_and(|(of, _)| of == ticket) {
            self.caller.waiting = None;
            self.caller.answered |= answered;
        }
    }

    /// "Not run" is said of this call and all before it.
    fn tell_not_run(&mut self, ticket: u64) {
        if self.caller.waiting.is_none_or(|(of, _)| of != ticket) {
            return;
        }
        self.caller.waiting = None;
        self.caller.counted = self.caller.counted.saturating_sub(1);
        self.caller.not_run = (1..=ticket).collect();
        if !self.executed.is_disjoint(&self.caller.not_run) {
            self.broken = Some("a call ran that was said not to have run");
        }
    }

    pub(super) fn send(&mut self, config: &Config, which: usize) {
        self.caller.sent += 1;
        self.caller.counted += 1;
        let ticket = self.caller.sent;
        self.caller.waiting = Some((ticket, which));
        let attempt = match config.mutant {
            Some(Mutant::AlwaysFirst) => 1,
            _ => self.caller.counted,
        };
        let call = Call {
            id: ticket,
            key: KEY,
            fingerprint: FINGERPRINT,
            request: ticket.to_string(),
            attempt: Some(attempt),
            policy: config.policy,
            deadline: self.time() + TICK * DEADLINE,
        };
        self.step(which, Input::Call(call));
    }

    /// The first byte of a call leaves, and it is executed.
    pub(super) fn execute(&mut self, which: usize, answered: bool) {
        let ready = Rc::make_mut(&mut self.processes[which]).ready.remove(0);
        if !self.executed.is_empty() {
            self.broken = Some("a key is executed twice");
            self.twice = true;
        }
        if self.caller.not_run.contains(&ready.ticket) {
            self.broken = Some("a call runs that was said not to have run");
        }
        self.executed.insert(ready.ticket);
        if answered {
            self.tell(ready.ticket, true);
        }
        let end = if answered {
            CallEnd::Answered
        } else {
            CallEnd::Unknown
        };
        self.step(which, Input::Ended(ready.ticket, end));
    }

    /// No byte of a call leaves, and none will.
    pub(super) fn drop_ready(&mut self, which: usize) {
        let ready = Rc::make_mut(&mut self.processes[which]).ready.remove(0);
        self.step(which, Input::Ended(ready.ticket, CallEnd::NotRun));
        self.tell_not_run(ready.ticket);
    }

    pub(super) fn crash(&mut self, config: &Config, which: usize) {
        let incarnation = self.processes[which].author.incarnation;
        let again = match config.mutant {
            Some(Mutant::SameIncarnation) => incarnation,
            _ => incarnation + 1,
        };
        self.processes[which] = Rc::new(process(which, again));
    }

    pub(super) fn land(&mut self, which: usize, parcel: Parcel) {
        let claimed = match &parcel.record().body {
            Some(Body::KeyClaims(batch)) => batch.claims.first(),
            _ => None,
        };
        let ticket = claimed.and_then(|claim| claim.request.parse().ok());
        self.log.land(parcel);
        if let Some(ticket) = ticket.filter(|_| self.run_on_append) {
            self.make_ready(which, ticket);
        }
    }
}

impl Ready {
    /// The entry looks at the deadline once more before the first byte.
    pub(super) fn is_due(&self, now: u32) -> bool {
        now < self.deadline
    }
}
