//! Claims the keys of this process's calls in batches and decides each call.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Moment;
use wire::record::record::Body;
use wire::record::{KeyEnd, Record};

use crate::call_table::{CallTable, Phase};
use crate::outcomes::Outcomes;
use crate::{
    Call, CallEnd, CallId, ClaimTable, Decision, Digest, Effect, Executed, Holder, Input, Limits,
    LogStatus, Nonce, Offset, OutagePolicy, Output, Outputs,
};
use append::InFlightAppend;

mod append;
mod read_back;

/// The claims of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Batcher {
    limits: Limits,
    holder: Arc<Holder>,
    seed: u64,
    nonces_used: u64,
    claims: ClaimTable,
    calls: CallTable,
    outcomes: Outcomes,
    in_flight: BTreeMap<Nonce, InFlightAppend>,
    /// Earliest time of the next append of claims.
    next_claims: Moment,
    /// Keys of calls that ran here although another call holds the claim.
    contested: BTreeSet<Digest>,
    log: LogStatus,
}

impl Batcher {
    /// Creates a batcher for this run of this instance. Its nonces start with `seed`, which must be
    /// drawn at random. The log counts as down until [`Input::Log`] reports it up.
    pub fn new(holder: Holder, seed: u64, limits: Limits) -> Self {
        Self {
            limits,
            holder: Arc::new(holder),
            seed,
            nonces_used: 0,
            claims: ClaimTable::new(),
            calls: CallTable::default(),
            outcomes: Outcomes::default(),
            in_flight: BTreeMap::new(),
            next_claims: Moment::ZERO,
            contested: BTreeSet::new(),
            log: LogStatus::Down,
        }
    }

    /// The claims in force.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Drops claims before `first`, the first offset that the log retains.
    pub fn forget_before(&mut self, first: Offset) {
        self.claims.forget_before(first);
    }

    /// When [`Input::Tick`] is needed next.
    pub fn next_wake(&self) -> Option<Moment> {
        let timer = self.calls.next_timer();
        let outcomes = self.outcomes.expires_at(self.limits.read_back_timeout);
        let expiries = self
            .in_flight
            .values()
            .filter(|append| append.offset.is_none())
            .map(|append| append.sent_at + self.limits.read_back_timeout);
        let mut appends: Option<Moment> = None;
        if self.log == LogStatus::Up {
            let claims =
                self.calls.has_queued() && self.in_flight.len() < self.limits.max_in_flight;
            let due = self.outcomes.due_at(self.limits.outcome_interval);
            appends = claims
                .then_some(self.next_claims)
                .into_iter()
                .chain(due)
                .min();
        }
        expiries.chain(timer).chain(outcomes).chain(appends).min()
    }

    /// Applies an input.
    pub fn step(&mut self, now: Moment, input: Input) -> Outputs {
        let mut outputs = Outputs::new();
        match input {
            Input::Call(call) => self.handle_call(now, call, &mut outputs),
            Input::CallerGone(id) => self.handle_caller_gone(id),
            Input::Ended(id, end) => self.handle_ended(id, end),
            Input::Appended(nonce, offset) => {
                if let Some(append) = self.in_flight.get_mut(&nonce) {
                    append.offset = Some(offset);
                }
            }
            Input::Rejected(nonce) => {
                self.next_claims = self.next_claims.max(now + self.limits.retry_delay);
                self.requeue(&nonce);
            }
            // The record may be in the log or still be logged, so the append stays in flight.
            Input::AnswerLost(_) | Input::Tick => {}
            Input::Log(status) => self.handle_log_status(status, &mut outputs),
        }
        self.run_timers(now, &mut outputs);
        self.append_due(now, &mut outputs);
        outputs
    }

    /// Folds one record of the log.
    pub fn fold(&mut self, now: Moment, offset: Offset, record: &Record) -> Outputs {
        let mut outputs = Outputs::new();
        let effect = self.claims.apply(offset, record);
        let own = effect != Effect::Repeated && self.is_own(record);
        if own && let Ok(nonce) = Nonce::try_from(record.nonce.as_slice()) {
            self.in_flight.remove(&nonce);
            self.outcomes.read_back(&nonce);
        }
        if let (Effect::Claims(won), Some(Body::KeyClaims(batch))) = (&effect, &record.body) {
            for (claim, won) in batch.claims.iter().zip(won) {
                if own {
                    self.handle_own_claim(now, offset, claim, *won, &mut outputs);
                } else if *won {
                    self.handle_claim_of_another(claim, &mut outputs);
                }
            }
        }
        self.run_timers(now, &mut outputs);
        self.append_due(now, &mut outputs);
        outputs
    }

    fn handle_call(&mut self, now: Moment, call: Call, outputs: &mut Outputs) {
        let id = call.id;
        let decision = if let Some(decision) = self.decide_known(&call) {
            decision
        } else if self.calls.len() >= self.limits.max_calls || call.deadline <= now {
            Decision::Refused {
                executed: call.executed(),
            }
        } else if self.log == LogStatus::Up {
            let timer = self.first_timer(now, &call);
            self.calls.insert(call, Phase::Waiting, timer);
            return;
        } else if call.runs_unclaimed() {
            self.calls.insert(call, Phase::Running, now);
            Decision::RunUnclaimed
        } else {
            Decision::Refused {
                executed: call.executed(),
            }
        };
        outputs.push(Output::Decide(id, decision));
    }

    /// Decides a call that needs no new claim.
    fn decide_known(&self, call: &Call) -> Option<Decision> {
        if call.policy == OutagePolicy::FirstAttempt && call.attempt.is_none() {
            return Some(Decision::AttemptRequired);
        }
        if let Some(claim) = self.claims.claim(&call.key) {
            return Some(Decision::for_claimed_key(claim, &call.fingerprint));
        }
        // An open call here may have a claim that is not in the log yet, or cannot be appended.
        if let Some(open) = self.calls.by_key(&call.key) {
            let (holder, request) = (Arc::clone(&self.holder), open.call.request.as_str().into());
            return Some(if open.call.fingerprint != call.fingerprint {
                Decision::Conflict
            } else if open.phase == Phase::Ended(CallEnd::Answered) {
                Decision::Answered { holder, request }
            } else {
                Decision::InProgress { holder, request }
            });
        }
        // The first attempt may be running without a claim at an instance that cannot be reached. If
        // a later attempt could win the claim and run, the call would run twice.
        if call.policy == OutagePolicy::FirstAttempt && !call.runs_unclaimed() {
            return Some(Decision::Refused {
                executed: Executed::Unknown,
            });
        }
        None
    }

    fn first_timer(&self, now: Moment, call: &Call) -> Moment {
        if call.runs_unclaimed() {
            call.deadline.min(now + self.limits.first_attempt_wait)
        } else {
            call.deadline
        }
    }

    fn handle_caller_gone(&mut self, id: CallId) {
        let waiting = |phase| phase == Phase::Waiting;
        if self.calls.get(id).is_some_and(|open| waiting(open.phase)) {
            self.calls.remove(id);
        }
    }

    fn handle_ended(&mut self, id: CallId, end: CallEnd) {
        let Some(open) = self.calls.get_mut(id) else {
            return;
        };
        if open.phase != Phase::Running {
            return;
        }
        let (key, claim) = (open.call.key, open.claim);
        // Keep a call that ran without a claim until its claim is read back. Repeats here then find
        // it, and the claim is not mistaken for that of a call that never ran.
        if open.unclaimed && end != CallEnd::NotRun {
            open.phase = Phase::Ended(end);
            return;
        }
        self.calls.remove(id);
        match (claim, end) {
            (Some(claim), CallEnd::Answered) => self.outcomes.add(&key, claim, KeyEnd::Answered),
            (Some(claim), CallEnd::NotRun) => self.outcomes.add(&key, claim, KeyEnd::NotRun),
            (_, CallEnd::Unknown) | (None, _) => {}
        }
    }

    fn handle_log_status(&mut self, status: LogStatus, outputs: &mut Outputs) {
        self.log = status;
        if status == LogStatus::Up {
            return;
        }
        for id in self.calls.waiting() {
            self.decide_unclaimed(id, outputs);
        }
    }

    /// Decides a call that can no longer wait for its claim.
    fn decide_unclaimed(&mut self, id: CallId, outputs: &mut Outputs) {
        let Some(open) = self.calls.get(id) else {
            return;
        };
        let decision = if open.call.runs_unclaimed() {
            self.calls.mark_running(id);
            Decision::RunUnclaimed
        } else {
            let executed = open.call.executed();
            // Remove the call so that it can no longer run. If its claim is logged later and wins,
            // it is concluded as not run.
            self.calls.remove(id);
            Decision::Refused { executed }
        };
        outputs.push(Output::Decide(id, decision));
    }

    fn run_timers(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(id) = self.calls.pop_due(now) {
            let Some(open) = self.calls.get(id) else {
                continue;
            };
            let (deadline, executed) = (open.call.deadline, open.call.executed());
            if deadline <= now {
                self.calls.remove(id);
                outputs.push(Output::Decide(id, Decision::Refused { executed }));
            } else if open.call.runs_unclaimed() {
                self.decide_unclaimed(id, outputs);
            } else {
                self.calls.set_timer(id, deadline);
            }
        }
        self.outcomes.expire(now, self.limits.read_back_timeout);
        self.expire_appends(now);
    }

    /// Whether this run of this instance wrote the record.
    fn is_own(&self, record: &Record) -> bool {
        let author = record.author.as_ref().map(Holder::from);
        author.as_ref() == Some(&*self.holder)
    }
}
