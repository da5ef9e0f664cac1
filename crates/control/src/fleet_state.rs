//! State of the fleet: the instance list, the other entries, the upstreams and their reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalogue::Kind as EntityKind;
use clock::Moment;
use fleet::list::{self, Instance, Kind, Listing, Mark, ReadOutcome};
use fleet::member::{self, Progress, Sender};
use fleet::upstream::{self, Observation};
use fleet::{Drain, Members, Upstreams};
use platform::EngineReport;
use smallvec::SmallVec;
use wire::peer::{Confirm, Frame};

use crate::Offset;
use crate::options::Options;
use crate::view::Report;

/// The view by which the data plane learns of a closing. This process may confirm the closing only
/// after the data plane applies that view.
#[derive(Clone, Copy, Debug)]
struct ClosingView {
    /// The first view in which the upstream is closed.
    sequence: Option<u64>,
}

/// State of the fleet.
pub(crate) struct FleetState {
    pub(crate) list: list::View,
    pub(crate) members: Members,
    pub(crate) upstreams: Upstreams,
    pub(crate) drain: Drain,
    reports: BTreeMap<String, Report>,
    up_since: BTreeMap<String, Moment>,
    closings: BTreeMap<Offset, String>,
    closing_views: BTreeMap<Offset, ClosingView>,
    rejected_listings: u64,
    /// Incremented when the state of an upstream changes.
    state_changes: u64,
}

impl FleetState {
    pub(crate) fn new(now: Moment, options: &Options) -> Self {
        Self {
            list: list::View::new(options.list),
            members: Members::new(options.local.clone(), options.members, now),
            upstreams: Upstreams::new(options.health),
            drain: Drain::new(options.drain),
            reports: BTreeMap::new(),
            up_since: BTreeMap::new(),
            closings: BTreeMap::new(),
            closing_views: BTreeMap::new(),
            rejected_listings: 0,
            state_changes: 0,
        }
    }

    pub(crate) fn report(&self, upstream: &str) -> Option<&Report> {
        self.reports.get(upstream)
    }

    pub(crate) fn up_since(&self, upstream: &str) -> Moment {
        self.up_since.get(upstream).copied().unwrap_or_default()
    }

    /// Number of state changes of upstreams.
    pub(crate) fn state_changes(&self) -> u64 {
        self.state_changes
    }

    /// Number of readings of the list that were rejected.
    pub(crate) fn rejected_listings(&self) -> u64 {
        self.rejected_listings
    }

    /// Applies a reading of the list.
    pub(crate) fn read_list(
        &mut self,
        now: Moment,
        listing: &platform::Listing,
    ) -> (member::Outputs, upstream::Outputs) {
        let reading = self.list.read(now, to_listing(listing));
        if matches!(reading, ReadOutcome::Doubted | ReadOutcome::Outdated) {
            self.rejected_listings += 1;
            log::warn!(reading:?, version = listing.version; "reading of the instance list rejected");
        }
        let members = self.members.step(now, member::Input::List(&self.list));
        let upstreams = self.upstreams.step(now, upstream::Input::List(&self.list));
        self.apply_outputs(now, &upstreams);
        (members, upstreams)
    }

    /// Closes the upstreams with unresolved orders or drains of operators, and opens the others.
    pub(crate) fn apply_closings(
        &mut self,
        now: Moment,
        authority: &authority::state::State,
        catalogue: &catalogue::View,
    ) {
        let orders = authority.pending_orders();
        let mut closings: BTreeMap<Offset, String> = orders
            .map(|(upstream, pending)| (pending.order, upstream.clone()))
            .collect();
        for (order, upstream) in &closings {
            if !self.closings.contains_key(order) {
                let input = upstream::Input::Close {
                    order: *order,
                    upstream,
                };
                let outputs = self.upstreams.step(now, input);
                self.apply_outputs(now, &outputs);
            }
        }
        let drains: Vec<String> = catalogue
            .names(EntityKind::Drain)
            .map(str::to_owned)
            .collect();
        let outputs = self.upstreams.step(now, upstream::Input::Drains(&drains));
        self.apply_outputs(now, &outputs);
        for upstream in drains {
            if let Some(slot) = catalogue.slot(EntityKind::Drain, &upstream) {
                closings.insert(slot.revision, upstream);
            }
        }
        for (order, upstream) in &closings {
            self.drain.begin(now, *order, upstream);
            self.closing_views
                .entry(*order)
                .or_insert(ClosingView { sequence: None });
        }
        let ended: Vec<Offset> = self.closings.keys().copied().collect();
        for order in ended.iter().filter(|order| !closings.contains_key(order)) {
            self.drain.end(*order);
            self.closing_views.remove(order);
            let input = upstream::Input::Open { order: *order };
            let outputs = self.upstreams.step(now, input);
            self.apply_outputs(now, &outputs);
        }
        self.closings = closings;
    }

    /// Records that the view with this sequence contains all closings in force.
    pub(crate) fn record_published(&mut self, sequence: u64) {
        for shown in self.closing_views.values_mut() {
            shown.sequence.get_or_insert(sequence);
        }
    }

    /// The confirmations that this process may give: only for closings that the whole data plane
    /// has applied. Before that a worker could still choose the upstream by an old view, and the
    /// order would cut its request.
    pub(crate) fn due_confirmations(
        &self,
        applied: u64,
        open: impl FnMut(&str) -> u32,
    ) -> Vec<Confirm> {
        let seen = |order: Offset| {
            let shown = self
                .closing_views
                .get(&order)
                .and_then(|shown| shown.sequence);
            shown.is_some_and(|sequence| applied >= sequence)
        };
        let mut due = self.drain.due_confirmations(open);
        due.retain(|confirm| seen(confirm.order));
        due
    }

    pub(crate) fn confirm_local(&mut self, confirms: &[Confirm]) {
        let local = self.members.local().clone();
        for confirm in confirms {
            self.drain.confirm_local(&local, confirm);
        }
    }

    pub(crate) fn receive_frame(&mut self, now: Moment, frame: &Frame) -> member::Outputs {
        self.members.step(now, member::Input::Frame(frame))
    }

    pub(crate) fn tick(
        &mut self,
        now: Moment,
        progress: Progress,
    ) -> (member::Outputs, upstream::Outputs) {
        let members = self.members.step(now, member::Input::Tick(progress));
        let upstreams = self.upstreams.step(now, upstream::Input::Tick);
        self.apply_outputs(now, &upstreams);
        (members, upstreams)
    }

    pub(crate) fn record_attempt(&mut self, now: Moment, id: &str, observation: Observation) {
        let input = upstream::Input::Attempt {
            upstream: id,
            observation,
        };
        let outputs = self.upstreams.step(now, input);
        self.apply_outputs(now, &outputs);
    }

    pub(crate) fn record_probe(&mut self, now: Moment, id: &str, observation: Observation) {
        let input = upstream::Input::Probe {
            upstream: id,
            observation,
        };
        let outputs = self.upstreams.step(now, input);
        self.apply_outputs(now, &outputs);
    }

    pub(crate) fn record_report(&mut self, now: Moment, id: &str, content: EngineReport) {
        if self.upstreams.get(id).is_none() {
            return;
        }
        let at = now.saturating_sub(content.age());
        // A delayed report must not replace a newer one.
        if self
            .reports
            .get(id)
            .is_none_or(|known| known.measured_at <= at)
        {
            let content = Arc::new(content);
            self.reports.insert(
                id.to_owned(),
                Report {
                    measured_at: at,
                    content,
                },
            );
        }
    }

    /// The entries that may still send to an upstream, including this one.
    pub(crate) fn senders(&self) -> Vec<Sender> {
        self.members.senders()
    }

    /// The ids of the entries that are alive, including this one, sorted.
    pub(crate) fn alive(&self) -> Vec<String> {
        let alive = self.members.iter();
        let alive = alive.filter(|member| member.state == member::State::Alive);
        let mut ids: Vec<String> = alive.map(|member| member.id.clone()).collect();
        ids.push(self.members.local().id.clone());
        ids.sort();
        ids
    }

    /// Whether the list has been read and does not contain the upstream.
    pub(crate) fn is_absent(&self, upstream: &str) -> bool {
        self.list.read_at().is_some() && self.list.get(upstream).is_none()
    }

    /// Upstreams of a pool that take new work or would if no order closed them.
    pub(crate) fn serving(&self, pool: &str) -> std::collections::BTreeSet<String> {
        let can_serve = |upstream: &&upstream::Upstream| {
            upstream.pool == pool
                && matches!(
                    upstream.state,
                    upstream::State::Live | upstream::State::Closed
                )
        };
        let serving = self.upstreams.iter().filter(can_serve);
        serving.map(|upstream| upstream.id.clone()).collect()
    }

    fn apply_outputs(&mut self, now: Moment, outputs: &SmallVec<[upstream::Output; 4]>) {
        for output in outputs {
            match output {
                upstream::Output::Changed { id, was, state } => {
                    self.state_changes += 1;
                    log::info!(upstream = id.as_str(), was:?, state:?; "upstream changed");
                    if *state == upstream::State::Live {
                        // Upstreams of the first listing are not new, so they skip the slow start.
                        let since = if was.is_some() { now } else { Moment::ZERO };
                        self.up_since.insert(id.clone(), since);
                    }
                }
                upstream::Output::Forgotten { id } => {
                    self.reports.remove(id);
                    self.up_since.remove(id);
                }
                upstream::Output::EjectionWithheld { id } => {
                    log::warn!(upstream = id.as_str(); "not ejected: too many of its pool are");
                }
                upstream::Output::Probe { .. } => (),
            }
        }
    }
}

fn to_listing(listing: &platform::Listing) -> Listing {
    let instances = listing.instances.iter().map(|instance| Instance {
        id: instance.id.clone(),
        kind: match instance.kind {
            platform::Kind::Entry => Kind::Entry,
            platform::Kind::Engine => Kind::Engine,
            platform::Kind::Service => Kind::Service,
        },
        pool: instance.pool.clone(),
        data_centre: instance.data_centre.clone(),
        address: instance.address.to_string(),
        mark: match instance.state {
            platform::State::Live => Mark::Live,
            platform::State::Leaving => Mark::Leaving,
        },
    });
    Listing {
        version: listing.version,
        instances: instances.collect(),
    }
}
