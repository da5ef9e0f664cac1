//! Outstanding work of the other entries.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use clock::Moment;

use crate::{load::Load, members::Members, upstream};

/// Instance id of a peer.
pub type Id = Arc<str>;

/// Work of one entry at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Outstanding {
    /// Upstream.
    pub upstream: upstream::Id,
    /// Outstanding work there.
    pub load: Load,
}

/// The newest frame of a peer.
#[derive(Clone, Debug)]
struct Frame {
    at: Moment,
    work: Vec<Outstanding>,
}

/// The newest frame of each peer.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    frames: BTreeMap<Id, Frame>,
}

impl Peers {
    /// Stores a frame, unless a newer one has arrived already.
    pub fn update(&mut self, peer: &str, at: Moment, work: Vec<Outstanding>) {
        if self.frames.get(peer).is_some_and(|last| last.at > at) {
            return;
        }
        self.frames.insert(peer.into(), Frame { at, work });
    }

    /// Removes a peer that is gone, with its work.
    pub fn remove(&mut self, peer: &str) {
        self.frames.remove(peer);
    }

    /// Writes the sums into the ledgers, dated by the oldest frame: a sum that includes a silent
    /// peer is as stale as that peer, so that load reports take precedence.
    pub fn update_members(&self, now: Moment, members: &mut Members) {
        let Some(oldest) = self.frames.values().map(|frame| frame.at).min() else {
            return;
        };
        let mut sums: HashMap<&str, Load> = HashMap::new();
        for work in self.frames.values().flat_map(|frame| &frame.work) {
            *sums.entry(&work.upstream).or_default() += work.load;
        }
        members.set_peer_load(now.min(oldest), |id| {
            sums.get(id).copied().unwrap_or_default()
        });
    }
}
