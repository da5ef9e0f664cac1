//! Comparison of idle engines with what the concluded orders settled.

use super::{Output, Outputs, Planner, Reason};
use crate::engine::Reading;
use crate::state::State;
use crate::{OrderId, UpstreamId};
use clock::Moment;

impl Planner {
    /// Asks for a reading of each idle engine now and then.
    pub(super) fn check(&mut self, now: Moment, state: &State, outputs: &mut Outputs) {
        for (upstream, known) in state.all_settled() {
            let busy =
                state.pending_order(upstream).is_some() || self.wishes.contains_key(upstream);
            if busy || known.scope != self.scope || !self.serving.contains(upstream) {
                continue;
            }
            let due = self.checks.entry(upstream.clone()).or_insert(now);
            if now >= *due {
                *due = now + self.bounds.reconcile_interval;
                outputs.push(Output::Check {
                    upstream: upstream.clone(),
                    settled: known.order,
                });
            }
        }
        self.checks
            .retain(|upstream, _| state.settled(upstream).is_some());
    }

    /// A difference shows a restart of the engine, or an order that acted after its outcome was
    /// logged. The reading is dropped if an order was intended or concluded since the question.
    pub(super) fn compare(
        &mut self,
        now: Moment,
        state: &State,
        upstream: UpstreamId,
        asked: OrderId,
        reading: &Reading,
        outputs: &mut Outputs,
    ) {
        let known = state.settled(&upstream);
        let Some(known) = known.filter(|known| known.order == asked) else {
            return;
        };
        if state.pending_order(&upstream).is_some() || reading.is_running() {
            return;
        }
        let repairs = reading.repairs(known);
        let Some(first) = repairs.first() else {
            return;
        };
        self.mismatches += 1;
        self.want(now, upstream.clone(), first.clone(), Reason::Repair);
        outputs.push(Output::Mismatch { upstream, repairs });
    }
}
