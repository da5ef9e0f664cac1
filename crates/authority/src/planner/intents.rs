//! Selects the requested changes to start and sends their intents.

use super::{Output, Outputs, Planner, Reason};
use crate::UpstreamId;
use crate::lease::Grant;
use crate::state::State;
use clock::Moment;
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::record::{self, record::Body};

impl Planner {
    /// Sends the intents for which there is room, ordered by reason and then by name, so that
    /// processes with the same requests and the same log make the same choice.
    pub(super) fn send_intents(
        &mut self,
        now: Moment,
        state: &State,
        grant: &Grant,
        outputs: &mut Outputs,
    ) {
        if !grant.may_act(now, Duration::ZERO) {
            return;
        }
        let mut due: SmallVec<[(Reason, UpstreamId); 4]> = self
            .requested
            .iter()
            .filter(|(upstream, request)| {
                now >= request.next_intent && state.pending_order(upstream).is_none()
            })
            .map(|(upstream, request)| (request.reason, upstream.clone()))
            .collect();
        due.sort();
        for (_, upstream) in due {
            if !self.may_close(state, &upstream) {
                continue;
            }
            let body = self.intent_body(now, state, grant, &upstream);
            let nonce = self.nonces.next_nonce();
            outputs.extend(body.map(|body| Output::Append { nonce, body }));
        }
    }

    /// Whether the bounds allow closing the upstream. A sent intent counts while the claim is in
    /// force, because it may be logged at any time. If intents counted only once read back, several
    /// could be logged together and close too many upstreams.
    fn may_close(&self, state: &State, upstream: &UpstreamId) -> bool {
        let pending = state.pending_orders();
        let pending = pending.filter(|(_, pending)| pending.scope == self.scope);
        let sent = self
            .requested
            .iter()
            .filter(|(_, request)| request.intent_sent);
        let sent = sent.map(|(upstream, _)| upstream);
        let mut closed: BTreeSet<_> = pending.map(|(upstream, _)| upstream).chain(sent).collect();
        closed.remove(upstream);
        self.bounds.has_room(upstream, &closed, &self.serving)
    }

    fn intent_body(
        &mut self,
        now: Moment,
        state: &State,
        grant: &Grant,
        upstream: &UpstreamId,
    ) -> Option<Body> {
        let request = self.requested.get_mut(upstream)?;
        request.intent_sent = true;
        request.next_intent = now + self.timing.request_timeout;
        Some(Body::Intent(record::Intent {
            scope: self.scope.clone(),
            fence: grant.fence,
            upstream: upstream.clone(),
            order: Some((&request.action).into()),
            previous: state.settled(upstream).map_or(0, |settled| settled.order),
        }))
    }
}
