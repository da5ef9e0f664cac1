//! Instances that come and go.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clock::Moment;
use serving::eviction::{GONE_AFTER, Member};

use super::Peers;

impl Peers {
    /// The other instances, as far as they are heard.
    pub(crate) fn members(&self, now: Moment) -> Vec<Member> {
        let members = self.by_address.iter().map(|(address, registered)| {
            let peer = registered.peer.as_ref();
            let is_heard = registered.is_heard(now);
            Member {
                address: *address,
                zone: registered.place,
                order: registered.order,
                heard_at: peer.map_or(registered.added, |peer| peer.last_heard),
                is_placer: is_heard && peer.is_some_and(|peer| peer.placing && !peer.leaving),
                is_heard,
            }
        });
        members.collect()
    }

    /// Removes an instance that has left the list, unless it has been heard since. What waited while this instance
    /// was stopped may be from before. Returns whether it was known.
    pub(crate) fn remove(&mut self, address: SocketAddr, now: Moment) -> bool {
        let known = self.by_address.get(&address);
        let last_state = known
            .and_then(|known| known.peer.as_ref())
            .map(|peer| peer.arrived);
        if last_state.is_some_and(|arrived| now.saturating_sub(arrived) < GONE_AFTER) {
            return false;
        }
        self.by_address.remove(&address).is_some()
    }

    /// Removes the instances that are not in the list, as it was read at once.
    pub(crate) fn retain_listed(&mut self, listed: &BTreeSet<SocketAddr>, now: Moment) {
        let known = self.by_address.keys();
        let unlisted = known.filter(|address| !listed.contains(address));
        for address in unlisted.copied().collect::<Vec<_>>() {
            self.remove(address, now);
        }
    }
}
