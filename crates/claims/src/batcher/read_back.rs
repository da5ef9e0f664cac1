//! Handles claims read back from the log and decides the calls that wait for them.

use std::sync::Arc;

use clock::Moment;
use wire::record::{KeyClaim, KeyEnd};

use super::Batcher;
use crate::call_table::Phase;
use crate::{CallEnd, CallId, Decision, Digest, Executed, Offset, Output, Outputs};

impl Batcher {
    /// Handles a claim of another process that is now in force. An open call here with the same key
    /// has lost, even if its own claim is not read back yet. If it kept waiting, it could run without
    /// a claim, or be refused as not run, while the other call runs.
    pub(super) fn handle_claim_of_another(&mut self, claim: &KeyClaim, outputs: &mut Outputs) {
        let key = Digest::try_from(claim.key.as_slice());
        let open = key.ok().and_then(|key| self.calls.by_key(&key));
        if let Some(open) = open.filter(|open| open.unclaimed) {
            let id = open.call.id;
            self.handle_lost(id, outputs);
        }
    }

    /// Handles a claim of this process.
    pub(super) fn handle_own_claim(
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
        let open = self.calls.by_key(&key);
        let Some(open) = open.filter(|open| open.call.request == claim.request) else {
            // The call was refused, or concluded as not run and this is a second copy of its claim.
            // It will never run. Without this outcome, the key would stay blocked.
            if won && !self.contested.contains(&key) {
                self.outcomes.add(&key, offset, KeyEnd::NotRun);
            }
            return;
        };
        let id = open.call.id;
        if won {
            self.handle_won(now, offset, id, outputs);
        } else if open.unclaimed {
            self.handle_lost(id, outputs);
        }
    }

    fn handle_won(&mut self, now: Moment, offset: Offset, id: CallId, outputs: &mut Outputs) {
        let gap = self.claims.has_gap();
        let Some(open) = self.calls.get_mut(id) else {
            return;
        };
        open.claim = Some(offset);
        open.unclaimed = false;
        let (key, phase, deadline) = (open.call.key, open.phase, open.call.deadline);
        match phase {
            Phase::Running => {}
            Phase::Ended(end) => {
                self.calls.remove(id);
                if end == CallEnd::Answered {
                    self.outcomes.add(&key, offset, KeyEnd::Answered);
                }
            }
            // A process resuming from a pause may read its claim long after the caller has gone, or
            // was told that the call did not run.
            Phase::Waiting if gap || deadline <= now => {
                let executed = if gap { Executed::Unknown } else { Executed::No };
                self.calls.remove(id);
                self.outcomes.add(&key, offset, KeyEnd::NotRun);
                outputs.push(Output::Decide(id, Decision::Refused { executed }));
            }
            Phase::Waiting => {
                self.calls.mark_running(id);
                let decision = Decision::Run { claim: offset };
                outputs.push(Output::Decide(id, decision));
            }
        }
    }

    fn handle_lost(&mut self, id: CallId, outputs: &mut Outputs) {
        let Some(open) = self.calls.get_mut(id) else {
            return;
        };
        open.unclaimed = false;
        let (key, phase) = (open.call.key, open.phase);
        if phase == Phase::Waiting {
            let decision = Decision::for_lost_claim(&self.claims, &key, &open.call.fingerprint);
            self.calls.remove(id);
            outputs.push(Output::Decide(id, decision));
            return;
        }
        if let Some(claim) = self.claims.claim(&key) {
            let holder = Arc::clone(&claim.holder);
            // If the other call is concluded as not run, a second copy of this call's claim may win.
            // It must not be concluded as not run, because this call ran.
            self.contested.insert(key);
            outputs.push(Output::Contested { call: id, holder });
        }
        if phase != Phase::Running {
            self.calls.remove(id);
        }
    }
}
