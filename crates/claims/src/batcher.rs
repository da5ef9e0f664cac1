//! Claims the keys of this process's calls in groups and decides for each call.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Moment;
use smallvec::SmallVec;
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyClaims, KeyEnd, KeyOutcomes, Record};

use crate::ledger::{Ledger, Phase};
use crate::outcomes::Outcomes;
use crate::{
    Book, Call, Decision, Digest, End, Folded, Holder, Input, Nonce, Offset, Output, Outputs, Pace,
    Policy, Ran, Reach, Ticket,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flight {
    tickets: SmallVec<[Ticket; 8]>,
    sent: Moment,
    landed: Option<Offset>,
}

/// The claims of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Batcher {
    pace: Pace,
    holder: Arc<Holder>,
    seed: u64,
    drawn: u64,
    book: Book,
    ledger: Ledger,
    outcomes: Outcomes,
    flights: BTreeMap<Nonce, Flight>,
    /// When claims may be appended next.
    next: Moment,
    /// Keys that ran here although another call holds their claim.
    contested: BTreeSet<Digest>,
    reach: Reach,
}

impl Batcher {
    /// A batcher for this run of this instance. `seed` begins its nonces and must be drawn at
    /// random. The log counts as out until it is said to be up.
    pub fn new(holder: Holder, seed: u64, pace: Pace) -> Self {
        Self {
            pace,
            holder: Arc::new(holder),
            seed,
            drawn: 0,
            book: Book::new(),
            ledger: Ledger::default(),
            outcomes: Outcomes::default(),
            flights: BTreeMap::new(),
            next: Moment::ZERO,
            contested: BTreeSet::new(),
            reach: Reach::Out,
        }
    }

    /// The claims in force.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Calls that are held.
    pub fn held(&self) -> usize {
        self.ledger.len()
    }

    /// Forgets claims before the first offset that the log retains.
    pub fn forget(&mut self, first: Offset) {
        self.book.forget(first);
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_wake(&self) -> Option<Moment> {
        let timer = self.ledger.next_timer();
        let outcomes = self.outcomes.expires(self.pace.patience);
        let flights = self
            .flights
            .values()
            .filter(|flight| flight.landed.is_none())
            .map(|flight| flight.sent + self.pace.patience);
        let mut appends: Option<Moment> = None;
        if self.reach == Reach::Up {
            let claims = self.ledger.has_queued() && self.flights.len() < self.pace.in_flight;
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
            Input::Gone(ticket) => self.gone(ticket),
            Input::Ended(ticket, end) => self.ended(ticket, end),
            Input::Appended(nonce, offset) => {
                if let Some(flight) = self.flights.get_mut(&nonce) {
                    flight.landed = Some(offset);
                }
            }
            Input::Rejected(nonce) => {
                self.next = self.next.max(now + self.pace.retry);
                self.requeue(&nonce);
            }
            // It may stand in the log or come yet, and is waited for as if nothing had happened.
            Input::Lost(_) | Input::Tick => {}
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
        let own = folded != Folded::Old && self.wrote(record);
        if own && let Ok(nonce) = Nonce::try_from(record.nonce.as_slice()) {
            self.flights.remove(&nonce);
            self.outcomes.read_back(&nonce);
        }
        if let (Folded::Claims(won), Some(Body::KeyClaims(batch))) = (&folded, &record.body) {
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
        let ticket = call.ticket;
        let decision = if let Some(decision) = self.known(&call) {
            decision
        } else if self.ledger.len() >= self.pace.max_held || call.give_up <= now {
            Decision::Refused { ran: call.ran() }
        } else if self.reach == Reach::Up {
            let timer = self.timer(now, &call);
            self.ledger.insert(call, Phase::Waiting, timer);
            return;
        } else if call.runs_unclaimed() {
            self.ledger.insert(call, Phase::Running, now);
            Decision::RunUnclaimed
        } else {
            Decision::Refused { ran: call.ran() }
        };
        outputs.push(Output::Decide(ticket, decision));
    }

    /// What is decided without a new claim.
    fn known(&self, call: &Call) -> Option<Decision> {
        if call.policy == Policy::FirstAttempt && call.attempt.is_none() {
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
            } else if held.phase == Phase::Ended(End::Answered) {
                Decision::Answered { holder, request }
            } else {
                Decision::InProgress { holder, request }
            });
        }
        // The first attempt may be running without a claim at an instance that cannot be asked. If a
        // later one ran because its claim wins, the call would have run twice.
        if call.policy == Policy::FirstAttempt && !call.runs_unclaimed() {
            return Some(Decision::Refused { ran: Ran::Unknown });
        }
        None
    }

    fn timer(&self, now: Moment, call: &Call) -> Moment {
        if call.runs_unclaimed() {
            call.give_up.min(now + self.pace.first_attempt_wait)
        } else {
            call.give_up
        }
    }

    fn gone(&mut self, ticket: Ticket) {
        let waiting = |phase| phase == Phase::Waiting;
        if self
            .ledger
            .get(ticket)
            .is_some_and(|held| waiting(held.phase))
        {
            self.ledger.remove(ticket);
        }
    }

    fn ended(&mut self, ticket: Ticket, end: End) {
        let Some(held) = self.ledger.get_mut(ticket) else {
            return;
        };
        if held.phase != Phase::Running {
            return;
        }
        let (key, claim) = (held.call.key, held.claim);
        // A call that ran before its claim was in the log is kept until the claim is read back, so
        // that a repeat here finds it and the claim is not taken for one of a call that never ran.
        if held.unclaimed && end != End::NotRun {
            held.phase = Phase::Ended(end);
            return;
        }
        self.ledger.remove(ticket);
        match (claim, end) {
            (Some(claim), End::Answered) => self.outcomes.add(&key, claim, KeyEnd::Answered),
            (Some(claim), End::NotRun) => self.outcomes.add(&key, claim, KeyEnd::NotRun),
            (_, End::Unknown) | (None, _) => {}
        }
    }

    fn requeue(&mut self, nonce: &Nonce) {
        self.outcomes.failed(nonce);
        if let Some(flight) = self.flights.remove(nonce) {
            for ticket in flight.tickets {
                self.ledger.queue(ticket);
            }
        }
    }

    fn log(&mut self, reach: Reach, outputs: &mut Outputs) {
        self.reach = reach;
        if reach == Reach::Up {
            return;
        }
        for ticket in self.ledger.waiting() {
            self.decide_unclaimed(ticket, outputs);
        }
    }

    /// Decides a call whose claim is not read back and can no longer be waited for.
    fn decide_unclaimed(&mut self, ticket: Ticket, outputs: &mut Outputs) {
        let Some(held) = self.ledger.get(ticket) else {
            return;
        };
        let decision = if held.call.runs_unclaimed() {
            self.ledger.run(ticket);
            Decision::RunUnclaimed
        } else {
            let ran = held.call.ran();
            // It is forgotten, so that nothing can make it run any more. If its claim still lands
            // and wins, it is concluded as not run.
            self.ledger.remove(ticket);
            Decision::Refused { ran }
        };
        outputs.push(Output::Decide(ticket, decision));
    }

    fn timers(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(ticket) = self.ledger.due(now) {
            let Some(held) = self.ledger.get(ticket) else {
                continue;
            };
            let (give_up, ran) = (held.call.give_up, held.call.ran());
            if give_up <= now {
                self.ledger.remove(ticket);
                outputs.push(Output::Decide(ticket, Decision::Refused { ran }));
            } else if held.call.runs_unclaimed() {
                self.decide_unclaimed(ticket, outputs);
            } else {
                self.ledger.postpone(ticket, give_up);
            }
        }
        self.outcomes.expire(now, self.pace.patience);
        self.expire_flights(now);
    }

    /// Claims calls again whose append was not read back in time. Both claims may come to stand:
    /// the first of them decides the call, and the second is that of a call which is decided.
    fn expire_flights(&mut self, now: Moment) {
        let (patience, folded) = (self.pace.patience, self.book.folded());
        let overdue = |flight: &Flight| match flight.landed {
            Some(offset) => offset <= folded,
            None => flight.sent + patience <= now,
        };
        let expired: SmallVec<[Nonce; 2]> = self
            .flights
            .iter()
            .filter(|(_, flight)| overdue(flight))
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in expired {
            self.requeue(&nonce);
        }
    }

    fn appends(&mut self, now: Moment, outputs: &mut Outputs) {
        if self.reach == Reach::Out {
            return;
        }
        if self.flights.len() < self.pace.in_flight && self.next <= now && self.ledger.has_queued()
        {
            self.append_claims(now, outputs);
        }
        let due = self.outcomes.due(self.pace.outcome_interval);
        if due.is_some_and(|due| due <= now) {
            let nonce = self.draw();
            let outcomes = self.outcomes.take(now, nonce, self.pace.max_batch);
            let body = Body::KeyOutcomes(KeyOutcomes { outcomes });
            outputs.push(Output::Append { nonce, body });
        }
    }

    fn append_claims(&mut self, now: Moment, outputs: &mut Outputs) {
        let tickets = self.ledger.take_queued(self.pace.max_batch);
        if tickets.is_empty() {
            return;
        }
        let claim = |ticket: &Ticket| {
            let call = &self.ledger.get(*ticket)?.call;
            Some(KeyClaim {
                key: call.key.to_vec(),
                request: call.request.clone(),
                fingerprint: call.fingerprint.to_vec(),
            })
        };
        let claims = tickets.iter().filter_map(claim).collect();
        let nonce = self.draw();
        let flight = Flight {
            tickets,
            sent: now,
            landed: None,
        };
        self.flights.insert(nonce, flight);
        self.next = now + self.pace.interval;
        let body = Body::KeyClaims(KeyClaims { claims });
        outputs.push(Output::Append { nonce, body });
    }

    /// Takes up a claim of another process that is now in force. A call here with its key has lost,
    /// though its own claim is not read back yet: if it waited for that it could meanwhile run
    /// unclaimed, or be refused as not run, beside the other.
    fn forestalled(&mut self, claim: &KeyClaim, outputs: &mut Outputs) {
        let key = Digest::try_from(claim.key.as_slice());
        let held = key.ok().and_then(|key| self.ledger.by_key(&key));
        if let Some(held) = held.filter(|held| held.unclaimed) {
            let ticket = held.call.ticket;
            self.lost(ticket, outputs);
        }
    }

    /// Takes up a claim of this process that the log shows.
    fn read_back(
        &mut self,
        now: Moment,
        offset: Offset,
        claim: &KeyClaim,
        won: bool,
        outputs: &mut Outputs,
    ) {
        let Ok(key) = Digest::try_from(claim.key.as_slice()) else {
            return;
        };
        let held = self.ledger.by_key(&key);
        let Some(held) = held.filter(|held| held.call.request == claim.request) else {
            // The call was given up, or it was concluded as not run and this is a second copy of
            // its claim. It will never run, and unless this is said the key stays blocked.
            if won && !self.contested.contains(&key) {
                self.outcomes.add(&key, offset, KeyEnd::NotRun);
            }
            return;
        };
        let ticket = held.call.ticket;
        if won {
            self.won(now, offset, ticket, outputs);
        } else if held.unclaimed {
            self.lost(ticket, outputs);
        }
    }

    fn won(&mut self, now: Moment, offset: Offset, ticket: Ticket, outputs: &mut Outputs) {
        let gap = self.book.has_gap();
        let Some(held) = self.ledger.get_mut(ticket) else {
            return;
        };
        held.claim = Some(offset);
        held.unclaimed = false;
        let (key, phase, give_up) = (held.call.key, held.phase, held.call.give_up);
        match phase {
            Phase::Running => {}
            Phase::Ended(end) => {
                self.ledger.remove(ticket);
                if end == End::Answered {
                    self.outcomes.add(&key, offset, KeyEnd::Answered);
                }
            }
            // A process that was paused wakes up long after its caller has gone, and perhaps after
            // an answer that it did not run.
            Phase::Waiting if gap || give_up <= now => {
                let ran = if gap { Ran::Unknown } else { Ran::No };
                self.ledger.remove(ticket);
                self.outcomes.add(&key, offset, KeyEnd::NotRun);
                outputs.push(Output::Decide(ticket, Decision::Refused { ran }));
            }
            Phase::Waiting => {
                self.ledger.run(ticket);
                let decision = Decision::Run { claim: offset };
                outputs.push(Output::Decide(ticket, decision));
            }
        }
    }

    fn lost(&mut self, ticket: Ticket, outputs: &mut Outputs) {
        let Some(held) = self.ledger.get_mut(ticket) else {
            return;
        };
        held.unclaimed = false;
        let (key, phase) = (held.call.key, held.phase);
        if phase == Phase::Waiting {
            let decision = Decision::lost(&self.book, &key, &held.call.fingerprint);
            self.ledger.remove(ticket);
            outputs.push(Output::Decide(ticket, decision));
            return;
        }
        if let Some(claim) = self.book.claim(&key) {
            let holder = Arc::clone(&claim.holder);
            // If the other call is concluded as not run, a second copy of this call's claim could
            // win, and would be concluded as not run as well, although it ran.
            self.contested.insert(key);
            outputs.push(Output::Contested { ticket, holder });
        }
        if phase != Phase::Running {
            self.ledger.remove(ticket);
        }
    }

    /// True if this run of this instance wrote the record.
    fn wrote(&self, record: &Record) -> bool {
        let author = record.author.as_ref().map(Holder::from);
        author.as_ref() == Some(&*self.holder)
    }

    /// A nonce that this process has not used.
    fn draw(&mut self) -> Nonce {
        self.drawn += 1;
        let mut nonce = Nonce::default();
        let (seed, drawn) = nonce.split_at_mut(8);
        seed.copy_from_slice(&self.seed.to_be_bytes());
        drawn.copy_from_slice(&self.drawn.to_be_bytes());
        nonce
    }
}
