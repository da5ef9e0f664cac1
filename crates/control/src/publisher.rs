//! Builds and publishes the views for the data plane.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Moment;
use fleet::list::Kind;
use fleet::member;
use fleet::upstream;
use smallvec::SmallVec;
use tokio::sync::watch;
use wire::peer::{Demand, Outstanding, PoolDemand};

use crate::Offset;
use crate::fleet_state::FleetState;
use crate::order::to_role;
use crate::replica::Replica;
use crate::view::{Log, Peer, Reason, Upstream, View};

/// Newest frames of the peers, with their times of arrival.
#[derive(Debug, Default)]
pub(crate) struct PeerFrames {
    pub(crate) loads: BTreeMap<String, (Moment, Arc<[Outstanding]>)>,
    pub(crate) demands: BTreeMap<String, (Moment, Arc<[Demand]>)>,
    pub(crate) pools: BTreeMap<String, (Moment, Vec<PoolDemand>)>,
}

impl PeerFrames {
    /// Removes the frames of peers that are no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.loads.retain(|id, _| known(id));
        self.demands.retain(|id, _| known(id));
        self.pools.retain(|id, _| known(id));
    }
}

/// The state from which a view is built.
pub(crate) struct ViewInputs<'a> {
    pub(crate) now: Moment,
    pub(crate) replica: &'a Replica,
    pub(crate) fleet: &'a FleetState,
    pub(crate) frames: &'a PeerFrames,
    pub(crate) health: &'a fleet::health::Settings,
    pub(crate) log: Log,
    pub(crate) reasons: SmallVec<[Reason; 2]>,
}

/// Publishes views. The catalogue is copied once for each revision.
pub(crate) struct Publisher {
    sender: watch::Sender<Arc<View>>,
    catalogue: Option<(Offset, Arc<catalogue::View>)>,
}

impl Publisher {
    pub(crate) fn new(sender: watch::Sender<Arc<View>>) -> Self {
        Self {
            sender,
            catalogue: None,
        }
    }

    pub(crate) fn current(&self) -> Arc<View> {
        Arc::clone(&self.sender.borrow())
    }

    /// Publishes a view if it differs from the current one. Returns the sequence of the view that
    /// contains this state.
    pub(crate) fn publish(&mut self, inputs: &ViewInputs<'_>) -> u64 {
        let current = self.current();
        let mut view = self.view(inputs);
        view.sequence = current.sequence;
        if view != *current {
            view.sequence += 1;
            let sequence = view.sequence;
            self.sender.send_replace(Arc::new(view));
            return sequence;
        }
        current.sequence
    }

    fn view(&mut self, inputs: &ViewInputs<'_>) -> View {
        let catalogue = self.catalogue(inputs.replica);
        let upstreams = inputs.fleet.upstreams.iter();
        let current = self.current();
        let upstreams = upstreams.map(|one| upstream(inputs, one, current.upstream(&one.id)));
        let peers = inputs.fleet.members.iter().map(|one| peer(inputs, one));
        View {
            sequence: 0,
            ready: !inputs.reasons.iter().any(|reason| reason.blocks_new_work()),
            reasons: inputs.reasons.clone(),
            revision: inputs.replica.catalogue().revision(),
            folded: inputs.replica.folded(),
            catalogue,
            upstreams: upstreams.collect(),
            log: inputs.log,
            peers: peers.collect(),
        }
    }

    fn catalogue(&mut self, replica: &Replica) -> Option<Arc<catalogue::View>> {
        let revision = replica.catalogue().revision();
        // An empty catalogue was never accepted, so requests must not be refused because of it.
        if revision == 0 {
            return None;
        }
        if let Some((known, view)) = &self.catalogue
            && *known == revision
        {
            return Some(Arc::clone(view));
        }
        let view = Arc::new(replica.catalogue().view().clone());
        self.catalogue = Some((revision, Arc::clone(&view)));
        Some(view)
    }
}

/// Reuses the text of the previous view if it has not changed, so that a view of a thousand
/// upstreams needs few allocations.
fn reuse_text(known: Option<&Arc<str>>, text: &str) -> Arc<str> {
    match known {
        Some(known) if **known == *text => Arc::clone(known),
        _ => Arc::from(text),
    }
}

fn upstream(
    inputs: &ViewInputs<'_>,
    one: &upstream::Upstream,
    known: Option<&Upstream>,
) -> Upstream {
    let report = inputs.fleet.report(&one.id);
    let settled = inputs.replica.authority().settled(&one.id);
    let settled_role = settled.and_then(|known| known.role).map(to_role);
    Upstream {
        id: reuse_text(known.map(|known| &known.id), &one.id),
        pool: reuse_text(known.map(|known| &known.pool), &one.pool),
        kind: one.kind,
        data_centre: reuse_text(known.map(|known| &known.data_centre), &one.data_centre),
        address: reuse_text(known.map(|known| &known.address), &one.address),
        state: one.state,
        role: match one.kind {
            Kind::Engine => report.map(|report| report.content.role).or(settled_role),
            Kind::Entry | Kind::Service => None,
        },
        models: report
            .map(|report| report.content.models.iter().cloned().collect())
            .unwrap_or_default(),
        takes_work: one.takes_work(),
        weight: one.health.share(inputs.now, inputs.health),
        up_since: inputs.fleet.up_since(&one.id),
        report: report.cloned(),
    }
}

fn peer(inputs: &ViewInputs<'_>, one: &member::Member) -> Peer {
    Peer {
        id: one.id.clone(),
        alive: one.state == member::State::Alive,
        data_centre: one.data_centre.clone(),
        load: inputs.frames.loads.get(&one.id).cloned(),
        demand: inputs.frames.demands.get(&one.id).cloned(),
    }
}
