//! Claims the keys of this process's calls in groups and decides for each call.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Moment;
use wire::record::record::Body;
use wire::record::{KeyEnd, Record};

use crate::ledger::{Ledger, Phase};
use crate::outcomes::Outcomes;
use crate::{
    Call, CallEnd, CallId, ClaimTable, Decision, Digest, Effect, Executed, Holder, Input, Limits,
    LogStatus, Nonce, Offset, OutagePolicy, Output, Outputs,
};
use append::Flight;

mod append;
mod read_back;

/// The claims of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Batcher {
    pace: Limits,
    holder: Arc<Holder>,
    seed: u64,
    drawn: u64,
    book: ClaimTable,
    ledger: Ledger,
    outcomes: Outcomes,
    flights: BTreeMap<Nonce, Flight>,
    /// When claims may be appended next.
    next: Moment,
    /// Keys that ran here although another call holds their claim.
    contested: BTreeSet<Digest>,
    reach: LogStatus,
}

impl Batcher {
    /// A batcher for this run of this instance. `seed` begins its nonces and must be drawn at
    /// random. The log counts as out until it is said to be up.
    pub fn new(holder: Holder, seed: u64, pace: Limits) -> Self {
        Self {
            pace,
            holder: Arc::new(holder),
            seed,
            drawn: 0,
            book: ClaimTable::new(),
            ledger: Ledger::default(),
            outcomes: Outcomes::default(),
            flights: BTreeMap::new(),
            next: Moment::ZERO,
            contested: BTreeSet::new(),
            reach: LogStatus::Down,
        }
    }

    /// The claims in force.
    pub fn claims(&self) -> &ClaimTable {
        &self.book
    }

    /// Calls that are held.
    pub fn open_calls(&self) -> usize {
        self.ledger.len()
    }

    /// Forgets claims before the first offset that the log retains.
    pub fn forget_before(&mut self, first: Offset) {
        self.book.forget_before(first);
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_wake(&self) -> Option<Moment> {
        let timer = self.ledger.next_timer();
        let outcomes = self.outcomes.expires(self.pace.read_back_timeout);
        let flights = self
            .flights
            .values()
            .filter(|flight| flight.landed.is_none())
            .map(|flight| flight.sent + self.pace.read_back_timeout);
        let mut appends: Option<Moment> = None;
        if self.reach == LogStatus::Up {
            let claims = self.ledger.has_queued() && self.flights.len() < self.pace.max_in_flight;
            let due = self.outcomes.due(self.pace.outcome_interval);
            appends = claims.then_some(self.next).into_iter().chain(due).min();
        }
        flights.chain(timer).chain(outcomes).chain(appends).min()
    }

    /// Takes one input.
    pub fn step(&mut self, now: Moment, input: Input) -> Outputs {
        let mut outputs = Outputs::new();
        match input {
            Input::Call(call) => self.call(now, call, &mut outputs),
            Input::CallerGone(ticket) => self.gone(ticket),
            Input::Ended(ticket, end) => self.ended(ticket, end),
            Input::Appended(nonce, offset) => {
                if let Some(flight) = self.flights.get_mut(&nonce) {
                    flight.landed = Some(offset);
                }
            }
            Input::Rejected(nonce) => {
                self.next = self.next.max(now + self.pace.retry_delay);
                self.requeue(&nonce);
            }
            // It may stand in the log or come yet, and is waited for as if nothing had happened.
            Input::AnswerLost(_) | Input::Tick => {}
            Input::Log(reach) => self.log(reach, &mut outputs),
        }
        self.timers(now, &mut outputs);
        self.appends(now, &mut outputs);
        outputs
    }

    /// Folds one record of the log.
    pub fn fold(&mut self, now: Moment, offset: Offset, record: &Record) -> Outputs {
        let mut outputs = Outputs::new();
        let folded = self.book.apply(offset, record);
        let own = folded != Effect::Repeated && self.wrote(record);
        if own && let Ok(nonce) = Nonce::try_from(record.nonce.as_slice()) {
            self.flights.remove(&nonce);
            self.outcomes.read_back(&nonce);
        }
        if let (Effect::Claims(won), Some(Body::KeyClaims(batch))) = (&folded, &record.body) {
            for (claim, won) in batch.claims.iter().zip(won) {
                if own {
                    self.read_back(now, offset, claim, *won, &mut outputs);
                } else if *won {
                    self.forestalled(claim, &mut outputs);
                }
            }
        }
        self.timers(now, &mut outputs);
        self.appends(now, &mut outputs);
        outputs
    }

    fn call(&mut self, now: Moment, call: Call, outputs: &mut Outputs) {
        let ticket = call.id;
        let decision = if let Some(decision) = self.known(&call) {
            decision
        } else if self.ledger.len() >= self.pace.max_calls || call.deadline <= now {
            Decision::Refused {
                executed: call.executed(),
            }
        } else if self.reach == LogStatus::Up {
            let timer = self.timer(now, &call);
            self.ledger.insert(call, Phase::Waiting, timer);
            return;
        } else if call.runs_unclaimed() {
            self.ledger.insert(call, Phase::Running, now);
            Decision::RunUnclaimed
        } else {
            Decision::Refused {
                executed: call.executed(),
            }
        };
        outputs.push(Output::Decide(ticket, decision));
    }

    /// What is decided without a new claim.
    fn known(&self, call: &Call) -> Option<Decision> {
        if call.policy == OutagePolicy::FirstAttempt && call.attempt.is_none() {
            return Some(Decision::AttemptRequired);
        }
        if let Some(claim) = self.book.claim(&call.key) {
            return Some(Decision::repeat(claim, &call.fingerprint));
        }
        // The claim of a call here is perhaps not in the log yet, or cannot be.
        if let Some(held) = self.ledger.by_key(&call.key) {
            let (holder, request) = (Arc::clone(&self.holder), held.call.request.as_str().into());
            return Some(if held.call.fingerprint != call.fingerprint {
                Decision::Conflict
            } else if held.phase == Phase::Ended(CallEnd::Answered) {
                Decision::Answered { holder, request }
            } else {
                Decision::InProgress { holder, request }
            });
        }
        // The first attempt may be running without a claim at an instance that cannot be asked. If a
        // later one ran because its claim wins, the call would have run twice.
        if call.policy == OutagePolicy::FirstAttempt && !call.runs_unclaimed() {
            return Some(Decision::Refused {
                executed: Executed::Unknown,
            });
        }
        None
    }

    fn timer(&self, now: Moment, call: &Call) -> Moment {
        if call.runs_unclaimed() {
            call.deadline.min(now + self.pace.first_attempt_wait)
        } else {
            call.deadline
        }
    }

    fn gone(&mut self, ticket: CallId) {
        let waiting = |phase| phase == Phase::Waiting;
        if self
            .ledger
            .get(ticket)
            .is_some_and(|held| waiting(held.phase))
        {
            self.ledger.remove(ticket);
        }
    }

    fn ended(&mut self, ticket: CallId, end: CallEnd) {
        let Some(held) = self.ledger.get_mut(ticket) else {
            return;
        };
        if held.phase != Phase::Running {
            return;
        }
        let (key, claim) = (held.call.key, held.claim);
        // A call that ran before its claim was in the log is kept until the claim is read back, so
        // that a repeat here finds it and the claim is not taken for one of a call that never ran.
        if held.unclaimed && end != CallEnd::NotRun {
            held.phase = Phase::Ended(end);
            return;
        }
        self.ledger.remove(ticket);
        match (claim, end) {
            (Some(claim), CallEnd::Answered) => self.outcomes.add(&key, claim, KeyEnd::Answered),
            (Some(claim), CallEnd::NotRun) => self.outcomes.add(&key, claim, KeyEnd::NotRun),
            (_, CallEnd::Unknown) | (None, _) => {}
        }
    }

    fn log(&mut self, reach: LogStatus, outputs: &mut Outputs) {
        self.reach = reach;
        if reach == LogStatus::Up {
            return;
        }
        for ticket in self.ledger.waiting() {
            self.decide_unclaimed(ticket, outputs);
        }
    }

    /// Decides a call whose claim is not read back and can no longer be waited for.
    fn decide_unclaimed(&mut self, ticket: CallId, outputs: &mut Outputs) {
        let Some(held) = self.ledger.get(ticket) else {
            return;
        };
        let decision = if held.call.runs_unclaimed() {
            self.ledger.run(ticket);
            Decision::RunUnclaimed
        } else {
            let executed = held.call.executed();
            // It is forgotten, so that nothing can make it run any more. If its claim still lands
            // and wins, it is concluded as not run.
            self.ledger.remove(ticket);
            Decision::Refused { executed }
        };
        outputs.push(Output::Decide(ticket, decision));
    }

    fn timers(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(ticket) = self.ledger.due(now) {
            let Some(held) = self.ledger.get(ticket) else {
                continue;
            };
            let (deadline, executed) = (held.call.deadline, held.call.executed());
            if deadline <= now {
                self.ledger.remove(ticket);
                outputs.push(Output::Decide(ticket, Decision::Refused { executed }));
            } else if held.call.runs_unclaimed() {
                self.decide_unclaimed(ticket, outputs);
            } else {
                self.ledger.postpone(ticket, deadline);
            }
        }
        self.outcomes.expire(now, self.pace.read_back_timeout);
        self.expire_flights(now);
    }

    /// True if this run of this instance wrote the record.
    fn wrote(&self, record: &Record) -> bool {
        let author = record.author.as_ref().map(Holder::from);
        author.as_ref() == Some(&*self.holder)
    }
}
