//! Takes up claims that the log shows and decides the calls that wait for them.

use std::sync::Arc;

use clock::Moment;
use wire::record::{KeyClaim, KeyEnd};

use super::Batcher;
use crate::ledger::Phase;
use crate::{CallEnd, CallId, Decision, Digest, Executed, Offset, Output, Outputs};

impl Batcher {
    /// Takes up a claim of another process that is now in force. A call here with its key has lost,
    /// though its own claim is not read back yet: if it waited for that it could meanwhile run
    /// unclaimed, or be refused as not run, beside the other.
    pub(super) fn forestalled(&mut self, claim: &KeyClaim, outputs: &mut Outputs) {
        let key = Digest::try_from(claim.key.as_slice());
        let held = key.ok().and_then(|key| self.ledger.by_key(&key));
        if let Some(held) = held.filter(|held| held.unclaimed) {
            let ticket = held.call.id;
            self.lost(ticket, outputs);
        }
    }

    /// Takes up a claim of this process that the log shows.
    pub(super) fn read_back(
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
        let ticket = held.call.id;
        if won {
            self.won(now, offset, ticket, outputs);
        } else if held.unclaimed {
            self.lost(ticket, outputs);
        }
    }

    fn won(&mut self, now: Moment, offset: Offset, ticket: CallId, outputs: &mut Outputs) {
        let gap = self.book.has_gap();
        let Some(held) = self.ledger.get_mut(ticket) else {
            return;
        };
        held.claim = Some(offset);
        held.unclaimed = false;
        let (key, phase, give_up) = (held.call.key, held.phase, held.call.deadline);
        match phase {
            Phase::Running => {}
            Phase::Ended(end) => {
                self.ledger.remove(ticket);
                if end == CallEnd::Answered {
                    self.outcomes.add(&key, offset, KeyEnd::Answered);
                }
            }
            // A process that was paused wakes up long after its caller has gone, and perhaps after
            // an answer that it did not run.
            Phase::Waiting if gap || give_up <= now => {
                let executed = if gap { Executed::Unknown } else { Executed::No };
                self.ledger.remove(ticket);
                self.outcomes.add(&key, offset, KeyEnd::NotRun);
                outputs.push(Output::Decide(ticket, Decision::Refused { executed }));
            }
            Phase::Waiting => {
                self.ledger.run(ticket);
                let decision = Decision::Run { claim: offset };
                outputs.push(Output::Decide(ticket, decision));
            }
        }
    }

    fn lost(&mut self, ticket: CallId, outputs: &mut Outputs) {
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
            outputs.push(Output::Contested {
                call: ticket,
                holder,
            });
        }
        if phase != Phase::Running {
            self.ledger.remove(ticket);
        }
    }
}
