//! Periodic work.

use std::time::Duration;

use authority::planner::Reason;
use clock::Moment;
use fleet::list::Kind;
use fleet::member::Progress;
use fleet::upstream;
use wire::peer::frame::Body;
use wire::peer::{Empty, Load, Query, Shares, query, reply};
use wire::record::record::Body as RecordBody;

use crate::Offset;
use crate::appends::Source;
use crate::core::Core;
use crate::mesh::most_advanced_peer;
use crate::message::{Message, send};
use crate::roles;
use crate::snapshot_schedule::Window;
use crate::view;

/// Minimum time between two queries for the state of a peer.
const STATE_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of engines at which each entry reads the reports of all of them.
const MAX_ENGINES_READ_BY_ALL: usize = 64;

/// Interval between two steps of the role planners.
const ROLE_PLANNING_INTERVAL: Duration = Duration::from_secs(1);

impl Core {
    pub(super) fn tick(&mut self, now: Moment) {
        for (upstream, observation) in self.shared.take_observations() {
            self.fleet.record_attempt(now, &upstream, observation);
        }
        let (members, upstreams) = self.fleet.tick(now, self.progress());
        self.member_outputs(now, members);
        self.probe(&upstreams);
        self.edits.tick(now);
        self.calls.tick(now, &self.appends);
        self.update_claims_status(now);
        self.read_reports(now);
        self.broadcast_work(now);
        self.query_state(now);
        self.end_pause_if_alone();
        self.write_due_snapshot(now);
        if self.flags.caught_up {
            let (scopes, context) = self.scopes_and_context(now);
            scopes.tick(&context);
        }
        self.probe_log(now);
        self.plan_roles(now);
        self.hand_over(now);
        self.publish(now);
    }

    fn progress(&self) -> Progress {
        let catalogue = self.replica.catalogue();
        Progress {
            folded: self.replica.folded(),
            revision: catalogue.revision(),
            leaving: self.flags.leaving_since.is_some(),
            rules: catalogue.rules().newest(),
        }
    }

    pub(super) fn probe(&self, outputs: &upstream::Outputs) {
        for output in outputs {
            if let upstream::Output::Probe { id, address } = output
                && let Some(known) = self.fleet.upstreams.get(id)
            {
                self.engines.probe(id.clone(), known.kind, address.clone());
            }
        }
    }

    /// Reads the due load reports: of all engines in a small fleet, otherwise of those in the own
    /// data centre, because hundreds of entries that each poll more than a thousand engines would
    /// cause considerable load.
    fn read_reports(&mut self, now: Moment) {
        let upstreams = self.fleet.upstreams.iter();
        let listed = upstreams.filter(|one| one.kind == Kind::Engine && one.listed.is_some());
        let engines: Vec<&upstream::Upstream> = listed.collect();
        let read_by_all = engines.len() <= MAX_ENGINES_READ_BY_ALL;
        let own = &self.options.local.data_centre;
        let to_read = engines
            .into_iter()
            .filter(|one| read_by_all || one.data_centre == *own);
        let due = self
            .report_schedule
            .take_due(now, to_read.map(|one| one.id.as_str()));
        for id in due {
            if let Some(known) = self.fleet.upstreams.get(&id) {
                self.engines.report(id, known.address.clone());
            }
        }
    }

    /// Broadcasts outstanding work and demand of this entry. Unchanged frames are repeated less
    /// often, since an idle entry would otherwise use up the traffic budget of control.
    fn broadcast_work(&mut self, now: Moment) {
        let fleet = &self.fleet;
        self.peer_frames
            .retain(|id| fleet.members.get(id).is_some());
        let hooks = self.shared.hooks();
        let outstanding = (hooks.outstanding)();
        let demand = (hooks.demand)();
        let pools = self.shared.pool_demand(now);
        let spacing = self.options.load_period;
        let load = Load { outstanding };
        let shares = Shares { demand, pools };
        if self.broadcasts.load.is_due(now, spacing, &load) {
            self.mesh.broadcast(Body::Load(load));
        }
        if self.broadcasts.shares.is_due(now, spacing, &shares) {
            self.mesh.broadcast(Body::Shares(shares));
        }
    }

    /// Queries the most advanced peer for its state while the log is down or has a gap. By this an
    /// entry that starts during an outage gets a catalogue, and one that alone has lost the log
    /// learns of closings.
    fn query_state(&mut self, now: Moment) {
        let up = self.log_state(now) == view::Log::Up;
        let recently = self
            .state_queried_at
            .is_some_and(|at| now < at + STATE_QUERY_INTERVAL);
        if (up && !self.replica.has_gap()) || recently {
            return;
        }
        let Some(peer) = most_advanced_peer(&self.fleet.members, self.replica.folded()) else {
            return;
        };
        self.state_queried_at = Some(now);
        let kind = Some(query::Kind::State(Empty {}));
        let reply = self.mesh.query(&peer, Query { kind });
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            if let Some(reply::Kind::State(snapshot)) = reply.await.and_then(|reply| reply.kind) {
                send(&sender, Message::PeerState(Box::new(snapshot)));
            }
        });
    }

    /// Ends a pause if there are no other entries that could confirm the view.
    fn end_pause_if_alone(&mut self) {
        let others = self.fleet.members.iter();
        let mut others = others.filter(|one| one.state != fleet::member::State::Gone);
        if self.flags.paused_at.is_some() && others.next().is_none() {
            self.flags.paused_at = None;
        }
    }

    /// Reads the log without a long poll when a holder is overdue. A challenge needs a read that
    /// was sent after the challenge wait; the long poll in flight was sent before it, and waiting
    /// for it would prolong the time without a holder.
    fn probe_log(&mut self, now: Moment) {
        let up_to_date = self.flags.caught_up && self.replica.is_up_to_date();
        let overdue = self.scopes.is_overdue(now, self.replica.authority());
        if !overdue || !up_to_date || std::mem::replace(&mut self.flags.probing_log, true) {
            return;
        }
        let (log, sender) = (self.appends.log().clone(), self.sender.clone());
        let from = self.replica.folded() + 1;
        actix_rt::spawn(async move {
            let read = log.read(from, 1, Duration::ZERO).await;
            let next = read.ok().map(|chunk| chunk.next);
            send(&sender, Message::LogProbed { sent_at: now, next });
        });
    }

    /// Handles the end of a read without a long poll. If there is no record beyond the folded ones,
    /// it counts as a read to the end of the log.
    pub(super) fn log_probed(&mut self, now: Moment, sent_at: Moment, next: Option<Offset>) {
        self.flags.probing_log = false;
        if next.is_some_and(|next| next <= self.replica.folded() + 1) {
            let (scopes, context) = self.scopes_and_context(now);
            scopes.log_read(&context, sent_at);
        }
    }

    /// Steps the role planner of each pool with the demand of all entries. Every process plans, so
    /// that a successor has the history; only the holder turns proposals into changes.
    fn plan_roles(&mut self, now: Moment) {
        if !self.flags.caught_up || now < self.roles_planned_at + ROLE_PLANNING_INTERVAL {
            return;
        }
        self.roles_planned_at = now;
        let hooks = self.shared.hooks();
        let inputs = roles::RoleInputs {
            now,
            catalogue: self.replica.catalogue().view(),
            authority: self.replica.authority(),
            fleet: &self.fleet,
            frames: &self.peer_frames,
            local_demand: &self.shared.pool_demand(now),
            open_requests: &|id| (hooks.open_requests)(id),
        };
        for (pool, change) in self.role_planners.step(&inputs) {
            let upstream = change.0.clone();
            let (scopes, context) = self.scopes_and_context(now);
            if scopes.request_change(&context, &pool, change, Reason::Plan) {
                log::info!(pool, upstream; "role change requested by the planner");
            }
        }
    }

    fn write_due_snapshot(&mut self, now: Moment) {
        if !self.replica.is_up_to_date() || self.log_state(now) != view::Log::Up {
            return;
        }
        let (first, next) = self.replica.retained();
        let window = Window {
            first,
            next,
            snapshot_upto: self.replica.snapshot_upto(),
        };
        if !self.snapshots.is_due(now, window) {
            return;
        }
        if let Some(snapshot) = self.replica.snapshot() {
            log::info!(upto = snapshot.upto; "writing a snapshot");
            let nonce = self.nonces.next_nonce();
            let body = RecordBody::Snapshot(snapshot);
            self.appends.send(Source::Snapshot, nonce, body);
        }
    }
}
