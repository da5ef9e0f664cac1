//! Calls that wait for the claims of their idempotency keys.

use std::collections::BTreeMap;

use claims::{
    Batcher, Call, CallEnd, CallId, Decision, Holder, Input, Limits, LogStatus, Output, Outputs,
};
use clock::Moment;
use tokio::sync::oneshot;
use wire::record::Record;

use crate::Offset;
use crate::appends::{Appends, CompletedAppend, Source};

/// Runs the batcher and carries out its outputs.
pub(crate) struct Calls {
    batcher: Batcher,
    waiting: BTreeMap<CallId, oneshot::Sender<Decision>>,
    contested: u64,
}

impl Calls {
    pub(crate) fn new(holder: Holder, seed: u64, limits: Limits) -> Self {
        Self {
            batcher: Batcher::new(holder, seed, limits),
            waiting: BTreeMap::new(),
            contested: 0,
        }
    }

    pub(crate) fn claims_in_force(&self) -> usize {
        self.batcher.claims().len()
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.batcher.open_calls()
    }

    pub(crate) fn contested(&self) -> u64 {
        self.contested
    }

    pub(crate) fn next_wake(&self) -> Option<Moment> {
        self.batcher.next_wake()
    }

    /// Claims the key of a call and sends the decision to `reply`.
    pub(crate) fn claim(
        &mut self,
        now: Moment,
        call: Call,
        reply: oneshot::Sender<Decision>,
        appends: &Appends,
    ) {
        self.waiting.insert(call.id, reply);
        self.step(now, Input::Call(call), appends);
    }

    pub(crate) fn caller_gone(&mut self, now: Moment, call_id: CallId, appends: &Appends) {
        self.waiting.remove(&call_id);
        self.step(now, Input::CallerGone(call_id), appends);
    }

    pub(crate) fn call_ended(
        &mut self,
        now: Moment,
        call_id: CallId,
        end: CallEnd,
        appends: &Appends,
    ) {
        self.step(now, Input::Ended(call_id, end), appends);
    }

    pub(crate) fn set_log_status(&mut self, now: Moment, status: LogStatus, appends: &Appends) {
        self.step(now, Input::Log(status), appends);
    }

    pub(crate) fn tick(&mut self, now: Moment, appends: &Appends) {
        self.step(now, Input::Tick, appends);
    }

    pub(crate) fn appended(&mut self, now: Moment, append: &CompletedAppend, appends: &Appends) {
        let nonce = append.nonce;
        let input = match append.result {
            Ok(offset) => Input::Appended(nonce, offset),
            Err(platform::AppendError::Refused { .. }) => Input::Rejected(nonce),
            Err(platform::AppendError::Unknown) => Input::AnswerLost(nonce),
        };
        self.step(now, input, appends);
    }

    pub(crate) fn forget_before(&mut self, first: Offset) {
        self.batcher.forget_before(first);
    }

    pub(crate) fn fold(&mut self, now: Moment, offset: Offset, record: &Record, appends: &Appends) {
        let outputs = self.batcher.fold(now, offset, record);
        self.carry_out(outputs, appends);
    }

    fn step(&mut self, now: Moment, input: Input, appends: &Appends) {
        let outputs = self.batcher.step(now, input);
        self.carry_out(outputs, appends);
    }

    fn carry_out(&mut self, outputs: Outputs, appends: &Appends) {
        for output in outputs {
            match output {
                Output::Append { nonce, body } => appends.send(Source::Calls, nonce, body),
                Output::Decide(call_id, decision) => {
                    if let Some(reply) = self.waiting.remove(&call_id) {
                        // If the caller has gone, its `CallerGuard` tells the batcher.
                        let _gone = reply.send(decision);
                    }
                }
                Output::Contested {
                    call: ticket,
                    holder,
                } => {
                    self.contested += 1;
                    log::error!(ticket, holder:? = holder; "call may have run twice: two first attempts with one key");
                }
            }
        }
    }
}
