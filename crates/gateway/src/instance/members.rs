//! Instances that have gone for good: which of them this instance removes, and what it hears of them.

use std::net::SocketAddr;

use serving::eviction::Own;
use serving::hash;
use wire::gateway::Frame;

use super::Instance;
use crate::frame::{pack_address, unpack_address};

impl Instance {
    /// Instances that this one has to remove from the list of instances.
    pub(crate) fn gone_members(&self) -> Vec<SocketAddr> {
        if !self.is_placing() {
            return Vec::new();
        }
        let now = self.now();
        let own = Own {
            zone: hash::hash32(&self.zone),
            order: self.order(),
        };
        let members = self.peers.borrow().members(now);
        self.eviction.borrow_mut().due(own, &members, now)
    }

    /// Records that instances were removed. Returns what to send to all others.
    pub(crate) fn on_members_removed(&self, gone: &[SocketAddr]) -> Frame {
        let now = self.now();
        for address in gone {
            self.eviction.borrow_mut().on_removed(*address, now);
            self.peers.borrow_mut().remove(*address, now);
        }
        let evicted = gone.iter().filter_map(|address| pack_address(*address));
        Frame {
            evicted: evicted.collect(),
            ..self.frame()
        }
    }

    /// Handles the removal of an instance by another one.
    pub(crate) fn on_evicted(&self, packed: u64) {
        let address = unpack_address(packed);
        if address == self.address {
            // It registers again once it has read that.
            self.instances_confirmation.request();
        } else {
            self.peers.borrow_mut().remove(address, self.now());
        }
    }
}
