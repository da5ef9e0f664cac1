//! The router: all routing decisions of one process, kept behind one lock.
//!
//! Every call is short. Queued requests that can be sent are returned by [`Router::tick`] and
//! [`Router::finished`]; the entry calls `tick` every [`TICK`] and after [`Router::failed`],
//! [`Router::report`] and [`Router::set_upstreams`], which may have freed capacity.

mod attempts;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use clock::Moment;
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    decision::{Attempt, Decision, Output, Reason, Refusal, Ticket},
    limit::{self, Demand, Limits, Quota, Usage},
    load::Load,
    peers::{self, Outstanding, Peers},
    pool::{self, Config},
    queue::{Pending, expected_wait},
    request::Request,
    reservation::Reservation,
    retry::{self, Budget},
    scheduler::{Blocked, Scheduler},
    upstream::{Report, View},
};

/// Longest interval between calls of [`Router::tick`].
pub const TICK: Duration = Duration::from_millis(20);

/// Interval between sweeps for queued requests that can no longer meet their deadline.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Outputs of one call, rarely more than one.
pub type Outputs = SmallVec<[Output; 2]>;

/// Settings of a router that are not specific to a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Retries.
    pub retry: retry::Config,
    /// Division of rate limits.
    pub limit: limit::Config,
}

/// A running attempt.
#[derive(Clone, Debug)]
struct Running {
    pending: Pending,
    reservation: Reservation,
    sent: Moment,
    /// Expected seconds to the first token.
    expected_first_token: f64,
    /// Time of the first token, for streamed answers.
    first_token: Option<Moment>,
    /// Answer tokens received so far.
    generated: u64,
}

/// A request waiting out its retry backoff.
#[derive(Clone, Debug)]
struct Backoff {
    ticket: Ticket,
    pending: Pending,
}

/// Routing decisions of one process.
#[derive(Clone, Debug)]
pub struct Router {
    rng: SmallRng,
    pools: BTreeMap<pool::Id, Scheduler>,
    running: HashMap<Attempt, Running>,
    backoffs: BTreeMap<(Moment, Ticket), Backoff>,
    /// Times at which attempts that do not report their prefill are presumed to have finished it.
    presumed_prefills: BTreeSet<(Moment, Attempt)>,
    /// Pool of each queued request.
    tickets: HashMap<Ticket, pool::Id>,
    peers: Peers,
    budget: Budget,
    limits: Limits,
    /// Requests queued for pools that were removed.
    orphans: Vec<(Ticket, Pending)>,
    last_number: u64,
    last_sweep: Moment,
}

impl Router {
    /// A router without pools. `own` is the instance id of this entry. `seed` determines its
    /// random choices; each process needs a different one.
    pub fn new(settings: Settings, own: &str, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            pools: BTreeMap::new(),
            running: HashMap::new(),
            backoffs: BTreeMap::new(),
            presumed_prefills: BTreeSet::new(),
            tickets: HashMap::new(),
            peers: Peers::default(),
            budget: Budget::new(settings.retry),
            limits: Limits::new(settings.limit, own),
            orphans: Vec::new(),
            last_number: 0,
            last_sweep: Moment::ZERO,
        }
    }

    /// Replaces the pools. Requests queued for a removed pool are refused by the next tick.
    pub fn set_pools(&mut self, now: Moment, configs: Vec<Config>) {
        let mut old = std::mem::take(&mut self.pools);
        for config in configs {
            let id = config.id.clone();
            let pool = match old.remove(&id) {
                None => Scheduler::new(now, config, &mut self.rng),
                Some(mut pool) => {
                    pool.configure(config);
                    pool
                }
            };
            self.pools.insert(id, pool);
        }
        for pool in old.into_values() {
            self.orphans.extend(pool.queue.into_pending());
        }
    }

    /// Replaces the upstreams of a pool. An upstream that is left out gets no new work; attempts
    /// there continue until the entry ends them.
    pub fn set_upstreams(&mut self, now: Moment, pool: &str, views: Vec<View>) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.set_upstreams(views);
        self.peers.update_members(now, &mut pool.members);
    }

    /// Decides about a new request.
    pub fn admit(&mut self, now: Moment, request: Request) -> Decision {
        self.budget.deposit();
        match self.pools.get_mut(&request.pool) {
            None => return self.refuse(Reason::NoPool, Duration::ZERO),
            Some(pool) => pool.record_arrival(&request),
        }
        let checked = self
            .limits
            .try_acquire(now, &request.subjects, request.tokens());
        if let Err(refused) = checked {
            return self.refuse(refused.kind.into(), refused.wait);
        }
        self.schedule(now, Pending::new(request))
    }

    /// Cancels a queued request because its caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(pending) = self.withdraw(ticket) {
            self.release_unused(&pending);
        }
    }

    /// Applies a load report of an engine.
    pub fn report(&mut self, pool: &str, upstream: &str, report: Report) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.members.apply_report(upstream, report);
        }
    }

    /// Records that an engine evicted a prefix.
    pub fn evicted(&mut self, pool: &str, upstream: &str, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.evict(upstream, prefix);
        }
    }

    /// Sets a peer's outstanding work as of `at`, on this entry's clock.
    pub fn update_peer(&mut self, now: Moment, peer: &str, at: Moment, work: Vec<Outstanding>) {
        self.peers.update(peer, at, work);
        for pool in self.pools.values_mut() {
            self.peers.update_members(now, &mut pool.members);
        }
    }

    /// Removes a peer that is known to be gone.
    pub fn peer_gone(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.limits.remove_peer(peer);
    }

    /// Replaces the limits of owners and catalogue entries.
    pub fn set_quotas(&mut self, now: Moment, terms: Vec<Quota>) {
        self.limits.set_quotas(now, terms);
    }

    /// Sets the live peers, without this entry; see [`Limits::set_peers`].
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = peers::Id>) {
        self.limits.set_peers(peers);
    }

    /// Applies a peer's advertised demand.
    pub fn update_peer_demand(&mut self, now: Moment, peer: &peers::Id, demand: &[Demand]) {
        self.limits.update_peer(now, peer, demand);
    }

    /// Demand to advertise to the peers.
    pub fn demand(&mut self, now: Moment) -> Vec<Demand> {
        self.limits.advertise(now)
    }

    /// This entry's outstanding work, to be sent to the peers.
    pub fn outstanding(&self) -> Vec<Outstanding> {
        let members = self.pools.values().flat_map(|pool| pool.members.list());
        members
            .filter(|member| member.ledger.own() != Load::default())
            .map(|member| Outstanding {
                upstream: member.view.id.clone(),
                load: member.ledger.own(),
            })
            .collect()
    }

    /// Requests in flight at an upstream, which the entry confirms before a planned change.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        let runs = |running: &&Running| running.reservation.uses(upstream);
        let count = self.running.values().filter(runs).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Observed answer tokens per second of one request in a pool; the configured default until
    /// answers have been observed.
    pub fn answer_rate(&self, pool: &str) -> Option<f64> {
        let pool = self.pools.get(pool)?;
        pool.members
            .list()
            .first()
            .map(|member| member.speed.decode_rate)
    }

    /// Number of requests queued for a pool.
    pub fn queued(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.queue.len())
    }

    /// Advances the time: resumes retries whose backoff is over, sends queued requests where
    /// capacity is free, and refuses those that can no longer meet their deadline.
    pub fn tick(&mut self, now: Moment) -> Outputs {
        let mut outputs = Outputs::new();
        self.resume(now, &mut outputs);
        self.presume_prefilled(now);
        let sweep = now.saturating_sub(self.last_sweep) >= SWEEP_INTERVAL;
        let pools: SmallVec<[pool::Id; 4]> = self.pools.keys().cloned().collect();
        for pool in &pools {
            if sweep {
                self.sweep(now, pool, &mut outputs);
            }
            self.serve(now, pool, &mut outputs);
        }
        if sweep {
            self.last_sweep = now;
            self.limits.refresh_shares(now);
        }
        self.refuse_orphans(&mut outputs);
        outputs
    }

    /// Sends, queues or refuses a request. A refusal returns the charge to the limits.
    fn schedule(&mut self, now: Moment, pending: Pending) -> Decision {
        let subjects = pending.request.subjects.clone();
        let tokens = pending.request.tokens();
        let decision = self.decide(now, pending);
        if matches!(decision, Decision::Refuse(_)) {
            self.limits.release(&subjects, Usage::none(tokens));
        }
        decision
    }

    fn decide(&mut self, now: Moment, pending: Pending) -> Decision {
        let pool_id = pending.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return self.refuse(Reason::NoPool, Duration::ZERO);
        };
        let request = &pending.request;
        if now + pool.min_first_token_time(request) > request.deadline {
            return self.refuse(Reason::Deadline, Duration::ZERO);
        }
        let blocked = !request.class.is_urgent()
            && pool.queue.has_ahead(request.class, request.model.as_ref());
        let placed = match blocked {
            true => Err(Blocked::NoRoom),
            false => pool.place(now, &pending),
        };
        match placed {
            Ok(placement) => match self.send(now, pending, &placement) {
                Some(assignment) => Decision::Send(assignment),
                None => self.refuse(Reason::NoPool, Duration::ZERO),
            },
            Err(Blocked::NoUpstream) => self.refuse(Reason::NoUpstream, Duration::ZERO),
            Err(Blocked::TooLate) => self.refuse(Reason::Deadline, Duration::ZERO),
            Err(Blocked::NoRoom) => self.queue_or_refuse(now, pending),
        }
    }

    fn queue_or_refuse(&mut self, now: Moment, pending: Pending) -> Decision {
        let pool_id = pending.request.pool.clone();
        let class = pending.request.class;
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return self.refuse(Reason::NoPool, Duration::ZERO);
        };
        let ahead = pool.queue.ahead(class) as f64;
        let wait = expected_wait(ahead, pool.drain_rate(now));
        if now + wait + pool.typical_first_token_time(now, &pending.request)
            > pending.request.deadline
        {
            return self.refuse(Reason::Deadline, wait);
        }
        let owner = pending.request.owner();
        if pool.queue.is_full() && !pool.queue.can_displace(class, owner) {
            return self.refuse(Reason::Overload(class), wait);
        }
        let ticket = self.next_number();
        self.enqueue(now, pool_id, ticket, pending);
        Decision::Wait(ticket)
    }

    /// Queues a request. If the queue then exceeds its capacity, the next tick sheds a request.
    fn enqueue(&mut self, now: Moment, pool_id: pool::Id, ticket: Ticket, pending: Pending) {
        if let Some(pool) = self.pools.get_mut(&pool_id) {
            pool.push(now, ticket, pending);
            self.tickets.insert(ticket, pool_id);
        }
    }

    fn refuse(&mut self, reason: Reason, wait: Duration) -> Decision {
        Decision::Refuse(self.refusal(reason, wait))
    }

    fn refusal(&mut self, reason: Reason, wait: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: self.budget.retry_after(&mut self.rng, wait),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
