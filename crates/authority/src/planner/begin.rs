//! Which wanted changes are begun.

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
    /// Sends the intents for which there is room, by reason and then by name, so that processes
    /// with the same wishes and the same log choose alike.
    pub(super) fn begin(
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
            .wishes
            .iter()
            .filter(|(upstream, wish)| now >= wish.next && state.pending_order(upstream).is_none())
            .map(|(upstream, wish)| (wish.reason, upstream.clone()))
            .collect();
        due.sort();
        for (_, upstream) in due {
            if !self.may_close(state, &upstream) {
                continue;
            }
            let body = self.intent(now, state, grant, &upstream);
            let nonce = self.nonces.next_nonce();
            outputs.extend(body.map(|body| Output::Append { nonce, body }));
        }
    }

    /// An intent whose append is not answered may land at any later time, so it counts as long as
    /// the claim is in force; counted only when read back, several could land at once and close
    /// more upstreams than may be.
    fn may_close(&self, state: &State, upstream: &UpstreamId) -> bool {
        let pending = state.pending_orders();
        let pending = pending.filter(|(_, pending)| pending.scope == self.scope);
        let sent = self.wishes.iter().filter(|(_, wish)| wish.sent);
        let sent = sent.map(|(upstream, _)| upstream);
        let mut closed: BTreeSet<_> = pending.map(|(upstream, _)| upstream).chain(sent).collect();
        closed.remove(upstream);
        self.bounds.has_room(upstream, &closed, &self.serving)
    }

    fn intent(
        &mut self,
        now: Moment,
        state: &State,
        grant: &Grant,
        upstream: &UpstreamId,
    ) -> Option<Body> {
        let wish = self.wishes.get_mut(upstream)?;
        wish.sent = true;
        wish.next = now + self.pace.request_timeout;
        Some(Body::Intent(record::Intent {
            scope: self.scope.clone(),
            fence: grant.fence,
            upstream: upstream.clone(),
            order: Some((&wish.what).into()),
            previous: state.settled(upstream).map_or(0, |known| known.order),
        }))
    }
}
