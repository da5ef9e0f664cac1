//! What time alone moves.

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
use crate::keeper::Window;
use crate::mesh::most_advanced;
use crate::message::{Message, send};
use crate::roles;
use crate::view;

/// Least time between two questions for a peer's state.
const STATE_PERIOD: Duration = Duration::from_secs(1);

/// Most engines of a fleet in which each entry reads the reports of all.
const REPORTS_EVERYWHERE: usize = 64;

/// Time between two steps of the planners of roles.
const PLAN_PERIOD: Duration = Duration::from_secs(1);

impl Core {
    pub(super) fn tick(&mut self, now: Moment) {
        for (upstream, observation) in self.shared.take_observations() {
            self.census.observe(now, &upstream, observation);
        }
        let (members, upstreams) = self.census.tick(now, self.progress());
        self.member_outputs(now, members);
        self.probe(&upstreams);
        self.edits.tick(now);
        self.calls.tick(now, &self.appends);
        self.reach(now);
        self.ask_reports(now);
        self.send_work(now);
        self.ask_state(now);
        self.clear_pause();
        self.keep_snapshots(now);
        if self.flags.caught_up {
            let (scopes, around) = self.split(now);
            scopes.tick(&around);
        }
        self.look_again(now);
        self.plan_roles(now);
        self.hand_over(now);
        self.publish(now);
    }

    fn progress(&self) -> Progress {
        let catalogue = self.ledger.catalogue();
        Progress {
            folded: self.ledger.folded(),
            revision: catalogue.revision(),
            leaving: self.flags.leaving_since.is_some(),
            rules: catalogue.rules().newest(),
        }
    }

    pub(super) fn probe(&self, outputs: &upstream::Outputs) {
        for output in outputs {
            if let upstream::Output::Probe { id, address } = output
                && let Some(known) = self.census.upstreams.get(id)
            {
                self.engines.probe(id.clone(), known.kind, address.clone());
            }
        }
    }

    /// Reads the engines' reports: of all engines in a small fleet, else of those in the own data
    /// centre, as hundreds of entries that each ask more than a thousand engines would be load of
    /// their own.
    fn ask_reports(&mut self, now: Moment) {
        let upstreams = self.census.upstreams.iter();
        let listed = upstreams.filter(|one| one.kind == Kind::Engine && one.listed.is_some());
        let engines: Vec<&upstream::Upstream> = listed.collect();
        let everywhere = engines.len() <= REPORTS_EVERYWHERE;
        let own = &self.options.local.data_centre;
        let near = engines
            .into_iter()
            .filter(|one| everywhere || one.data_centre == *own);
        let due = self.reports.due(now, near.map(|one| one.id.as_str()));
        for id in due {
            if let Some(known) = self.census.upstreams.get(&id) {
                self.engines.report(id, known.address.clone());
            }
        }
    }

    /// Tells the peers the own outstanding work and the demand by owner. What has not changed is
    /// told about once a second only: an idle entry would fill the bytes that control may cost.
    fn send_work(&mut self, now: Moment) {
        let census = &self.census;
        self.frames.retain(|id| census.members.get(id).is_some());
        let hooks = self.shared.hooks();
        let outstanding = (hooks.outstanding)();
        let demand = (hooks.demand)();
        let pools = self.shared.pool_demand(now);
        let spacing = self.options.load_period;
        let load = Load { outstanding };
        let shares = Shares { demand, pools };
        if self.told.load.is_due(now, spacing, &load) {
            self.mesh.broadcast(Body::Load(load));
        }
        if self.told.shares.is_due(now, spacing, &shares) {
            self.mesh.broadcast(Body::Shares(shares));
        }
    }

    /// While the log is out the state comes from the peer that has folded most. This is how an
    /// entry that starts in an outage gets a catalogue, and how one that alone has lost the log
    /// learns of closings.
    fn ask_state(&mut self, now: Moment) {
        let up = self.log_state(now) == view::Log::Up;
        let recently = self.state_asked.is_some_and(|at| now < at + STATE_PERIOD);
        if (up && !self.ledger.has_gap()) || recently {
            return;
        }
        let Some(peer) = most_advanced(&self.census.members, self.ledger.folded()) else {
            return;
        };
        self.state_asked = Some(now);
        let kind = Some(query::Kind::State(Empty {}));
        let reply = self.mesh.query(&peer, Query { kind });
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            if let Some(reply::Kind::State(snapshot)) = reply.await.and_then(|reply| reply.kind) {
                send(&sender, Message::State(Box::new(snapshot)));
            }
        });
    }

    /// An entry that has nobody to hear from takes its own view for good after a pause.
    fn clear_pause(&mut self) {
        let others = self.census.members.iter();
        let mut others = others.filter(|one| one.state != fleet::member::State::Gone);
        if self.flags.paused_at.is_some() && others.next().is_none() {
            self.flags.paused_at = None;
        }
    }

    /// Reads the log without waiting for records when a holder is overdue. A challenge needs a read
    /// that was sent after the wait; the long poll that stands at that moment was sent before it,
    /// and would add its length to the time without a holder.
    fn look_again(&mut self, now: Moment) {
        let whole = self.flags.caught_up && self.ledger.is_whole();
        let overdue = self.scopes.is_overdue(now, self.ledger.authority());
        if !overdue || !whole || std::mem::replace(&mut self.flags.looking, true) {
            return;
        }
        let (log, sender) = (self.appends.log().clone(), self.sender.clone());
        let from = self.ledger.folded() + 1;
        actix_rt::spawn(async move {
            let read = log.read(from, 1, Duration::ZERO).await;
            let next = read.ok().map(|chunk| chunk.next);
            send(&sender, Message::Looked { asked: now, next });
        });
    }

    /// A read without a wait ended. If it found no record beyond what is folded, it was as good as
    /// one that brought all of them.
    pub(super) fn looked(&mut self, now: Moment, asked: Moment, next: Option<Offset>) {
        self.flags.looking = false;
        if next.is_some_and(|next| next <= self.ledger.folded() + 1) {
            let (scopes, around) = self.split(now);
            scopes.read(&around, asked);
        }
    }

    /// Lets each pool's planner of roles see the demand of all entries. Every process plans, so that
    /// a successor knows the past; only the holder's proposals become changes.
    fn plan_roles(&mut self, now: Moment) {
        if !self.flags.caught_up || now < self.planned + PLAN_PERIOD {
            return;
        }
        self.planned = now;
        let hooks = self.shared.hooks();
        let outside = roles::Outside {
            now,
            catalogue: self.ledger.catalogue().view(),
            authority: self.ledger.authority(),
            census: &self.census,
            frames: &self.frames,
            own: &self.shared.pool_demand(now),
            open: &|id| (hooks.open_requests)(id),
        };
        for (pool, wanted) in self.roles.step(&outside) {
            let upstream = wanted.0.clone();
            let (scopes, around) = self.split(now);
            if scopes.want(&around, &pool, wanted, Reason::Plan) {
                log::info!(pool, upstream; "a change of role is planned");
            }
        }
    }

    fn keep_snapshots(&mut self, now: Moment) {
        if !self.ledger.is_whole() || self.log_state(now) != view::Log::Up {
            return;
        }
        let (first, next) = self.ledger.bounds();
        let window = Window {
            first,
            next,
            covered: self.ledger.covered(),
        };
        if !self.keeper.is_due(now, window) {
            return;
        }
        if let Some(snapshot) = self.ledger.snapshot() {
            log::info!(upto = snapshot.upto; "writing a snapshot");
            let nonce = self.nonces.next_nonce();
            let body = RecordBody::Snapshot(snapshot);
            self.appends.send(Source::Snapshot, nonce, body);
        }
    }
}
