//! Compares idle engines with their settled state.

use super::{Output, Outputs, Planner, Reason};
use crate::engine::Reading;
use crate::state::State;
use crate::{OrderId, UpstreamId};
use clock::Moment;

impl Planner {
    /// Requests a reading of each idle engine whose reconcile interval has passed.
    pub(super) fn send_checks(&mut self, now: Moment, state: &State, outputs: &mut Outputs) {
        for (upstream, settled) in state.all_settled() {
            let busy =
                state.pending_order(upstream).is_some() || self.requested.contains_key(upstream);
            if busy || settled.scope != self.scope || !self.serving.contains(upstream) {
                continue;
            }
            let due = self.next_checks.entry(upstream.clone()).or_insert(now);
            if now >= *due {
                *due = now + self.bounds.reconcile_interval;
                outputs.push(Output::Check {
                    upstream: upstream.clone(),
                    settled: settled.order,
                });
            }
        }
        self.next_checks
            .retain(|upstream, _| state.settled(upstream).is_some());
    }

    /// A difference means that the engine has restarted, or that an order took effect after its
    /// outcome was logged. The reading is ignored if an order became pending or was concluded since
    /// the request.
    pub(super) fn compare_reading(
        &mut self,
        now: Moment,
        state: &State,
        upstream: UpstreamId,
        checked: OrderId,
        reading: &Reading,
        outputs: &mut Outputs,
    ) {
        let settled = state.settled(&upstream);
        let Some(settled) = settled.filter(|settled| settled.order == checked) else {
            return;
        };
        if state.pending_order(&upstream).is_some() || reading.is_running() {
            return;
        }
        let repairs = reading.repairs(settled);
        let Some(first) = repairs.first() else {
            return;
        };
        self.mismatches += 1;
        self.request(now, upstream.clone(), first.clone(), Reason::Repair);
        outputs.push(Output::Mismatch { upstream, repairs });
    }
}
