//! Makes the view that the data plane sees.

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
use crate::census::Census;
use crate::ledger::Ledger;
use crate::order::to_role;
use crate::view::{Log, Peer, Reason, Upstream, View};

/// Newest frames of the peers, with their moments of arrival.
#[derive(Debug, Default)]
pub(crate) struct Frames {
    pub(crate) loads: BTreeMap<String, (Moment, Arc<[Outstanding]>)>,
    pub(crate) demands: BTreeMap<String, (Moment, Arc<[Demand]>)>,
    pub(crate) pools: BTreeMap<String, (Moment, Vec<PoolDemand>)>,
}

impl Frames {
    /// Forgets peers that are gone.
    pub(crate) fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.loads.retain(|id, _| known(id));
        self.demands.retain(|id, _| known(id));
        self.pools.retain(|id, _| known(id));
    }
}

/// What the view is made of.
pub(crate) struct Parts<'a> {
    pub(crate) now: Moment,
    pub(crate) ledger: &'a Ledger,
    pub(crate) census: &'a Census,
    pub(crate) frames: &'a Frames,
    pub(crate) health: &'a fleet::health::Settings,
    pub(crate) log: Log,
    pub(crate) reasons: SmallVec<[Reason; 2]>,
}

/// Publishes views. The catalogue is copied once a revision.
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

    /// Publishes a view if it differs from the current one; gives the sequence of the view that
    /// shows these parts.
    pub(crate) fn publish(&mut self, parts: &Parts<'_>) -> u64 {
        let current = self.current();
        let mut view = self.view(parts);
        view.sequence = current.sequence;
        if view != *current {
            view.sequence += 1;
            let sequence = view.sequence;
            self.sender.send_replace(Arc::new(view));
            return sequence;
        }
        current.sequence
    }

    fn view(&mut self, parts: &Parts<'_>) -> View {
        let catalogue = self.catalogue(parts.ledger);
        let upstreams = parts.census.upstreams.iter();
        let current = self.current();
        let upstreams = upstreams.map(|one| upstream(parts, one, current.upstream(&one.id)));
        let peers = parts.census.members.iter().map(|one| peer(parts, one));
        View {
            sequence: 0,
            ready: !parts.reasons.iter().any(|reason| reason.blocks_new_work()),
            reasons: parts.reasons.clone(),
            revision: parts.ledger.catalogue().revision(),
            folded: parts.ledger.folded(),
            catalogue,
            upstreams: upstreams.collect(),
            log: parts.log,
            peers: peers.collect(),
        }
    }

    fn catalogue(&mut self, ledger: &Ledger) -> Option<Arc<catalogue::View>> {
        let revision = ledger.catalogue().revision();
        // An empty catalogue is none: nothing may be refused because of it as if it were accepted.
        if revision == 0 {
            return None;
        }
        if let Some((known, view)) = &self.catalogue
            && *known == revision
        {
            return Some(Arc::clone(view));
        }
        let view = Arc::new(ledger.catalogue().view().clone());
        self.catalogue = Some((revision, Arc::clone(&view)));
        Some(view)
    }
}

/// The same text as in the view before where it did not change, so that a view of a thousand
/// upstreams costs few allocations.
fn text(known: Option<&Arc<str>>, text: &str) -> Arc<str> {
    match known {
        Some(known) if **known == *text => Arc::clone(known),
        _ => Arc::from(text),
    }
}

fn upstream(parts: &Parts<'_>, one: &upstream::Upstream, known: Option<&Upstream>) -> Upstream {
    let report = parts.census.report(&one.id);
    let settled = parts.ledger.authority().settled(&one.id);
    let settled_role = settled.and_then(|known| known.role).map(to_role);
    Upstream {
        id: text(known.map(|known| &known.id), &one.id),
        pool: text(known.map(|known| &known.pool), &one.pool),
        kind: one.kind,
        data_centre: text(known.map(|known| &known.data_centre), &one.data_centre),
        address: text(known.map(|known| &known.address), &one.address),
        state: one.state,
        role: match one.kind {
            Kind::Engine => report.map(|report| report.content.role).or(settled_role),
            Kind::Entry | Kind::Service => None,
        },
        models: report
            .map(|report| report.content.models.iter().cloned().collect())
            .unwrap_or_default(),
        takes_work: one.takes_work(),
        weight: one.health.share(parts.now, parts.health),
        up_since: parts.census.up_since(&one.id),
        report: report.cloned(),
    }
}

fn peer(parts: &Parts<'_>, one: &member::Member) -> Peer {
    Peer {
        id: one.id.clone(),
        alive: one.state == member::State::Alive,
        data_centre: one.data_centre.clone(),
        load: parts.frames.loads.get(&one.id).cloned(),
        demand: parts.frames.demands.get(&one.id).cloned(),
    }
}
