//! All decisions of one process as one aggregate, to be kept behind one lock.
//!
//! Every call is short. Requests that waited and may go are told by [`Router::tick`] and by
//! [`Router::finished`]; the entry calls `tick` every [`TICK`] and after [`Router::failed`],
//! [`Router::report`] and [`Router::set_upstreams`], which may have made room.

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

/// How often the entry calls [`Router::tick`] at least.
pub const TICK: Duration = Duration::from_millis(20);

/// Time between two sweeps over the queue for requests whose deadline cannot be met any more.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Outputs of one call; mostly none or one.
pub type Outputs = SmallVec<[Output; 2]>;

/// Settings of a router that are not a pool's.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Retries.
    pub retry: retry::Config,
    /// Sharing of owners' limits.
    pub limit: limit::Config,
}

/// An attempt in hand.
#[derive(Clone, Debug)]
struct Running {
    waiting: Pending,
    reservation: Reservation,
    sent: Moment,
    /// Seconds in which the first token was expected.
    expected_first_token: f64,
    /// When the answer began, if it comes as a stream.
    first_token: Option<Moment>,
    /// Answer tokens so far.
    generated: u64,
}

/// A retry that waits for its backoff.
#[derive(Clone, Debug)]
struct Backoff {
    ticket: Ticket,
    waiting: Pending,
}

/// The decisions of one process.
#[derive(Clone, Debug)]
pub struct Router {
    rng: SmallRng,
    pools: BTreeMap<pool::Id, Scheduler>,
    running: HashMap<Attempt, Running>,
    backoffs: BTreeMap<(Moment, Ticket), Backoff>,
    /// When the prefill of attempts that give no sign of it is taken to be done.
    presumed_prefills: BTreeSet<(Moment, Attempt)>,
    /// Pool of each waiting request.
    tickets: HashMap<Ticket, pool::Id>,
    peers: Peers,
    budget: Budget,
    limits: Limits,
    /// Requests that waited for a pool that is gone.
    orphans: Vec<(Ticket, Pending)>,
    last_number: u64,
    last_sweep: Moment,
}

impl Router {
    /// A router without pools. `own` is the instance id of this entry. The seed makes its random
    /// choices; give each process another.
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

    /// Replaces the pools. What waits for a pool that is gone is refused by the next tick.
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

    /// Replaces the upstreams of a pool. An upstream that is missing gets no new work; attempts
    /// there go on until the entry says otherwise.
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
        let checked = self.limits.check(now, &request.subjects, request.tokens());
        if let Err(refused) = checked {
            return self.refuse(refused.kind.into(), refused.wait);
        }
        self.schedule(now, Pending::new(request))
    }

    /// Takes back a waiting request because its caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.withdraw(ticket) {
            self.release_unused(&waiting);
        }
    }

    /// Takes in a load report of an engine.
    pub fn report(&mut self, pool: &str, upstream: &str, report: Report) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.members.apply_report(upstream, report);
        }
    }

    /// Takes in that an engine evicted a prefix.
    pub fn evicted(&mut self, pool: &str, upstream: &str, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.evict(upstream, prefix);
        }
    }

    /// Takes in a peer's outstanding work, true at `at` on this entry's clock.
    pub fn update_peer(&mut self, now: Moment, peer: &str, at: Moment, work: Vec<Outstanding>) {
        self.peers.update(peer, at, work);
        for pool in self.pools.values_mut() {
            self.peers.update_members(now, &mut pool.members);
        }
    }

    /// Forgets a peer that is known to be gone.
    pub fn peer_gone(&mut self, peer: &str) {
        self.peers.remove(peer);
        self.limits.remove_peer(peer);
    }

    /// Replaces the limits of owners and entries.
    pub fn set_quotas(&mut self, now: Moment, terms: Vec<Quota>) {
        self.limits.set_quotas(now, terms);
    }

    /// Says which peers live, this entry left out; see [`Limits::set_peers`].
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = peers::Id>) {
        self.limits.set_peers(peers);
    }

    /// Takes in the demand that a peer tells.
    pub fn update_peer_demand(&mut self, now: Moment, peer: &peers::Id, demand: &[Demand]) {
        self.limits.update_peer(now, peer, demand);
    }

    /// Demand to tell the peers now.
    pub fn demand(&mut self, now: Moment) -> Vec<Demand> {
        self.limits.demand(now)
    }

    /// Own outstanding work, for the peers.
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

    /// Requests in hand at an upstream, to be confirmed before a planned change.
    pub fn in_flight(&self, upstream: &str) -> u32 {
        let runs = |running: &&Running| running.reservation.uses(upstream);
        let count = self.running.values().filter(runs).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Answer tokens a second and request, as observed lately over a pool's upstreams; the default of
    /// the pool's settings until answers came.
    pub fn answer_rate(&self, pool: &str) -> Option<f64> {
        let pool = self.pools.get(pool)?;
        pool.members
            .list()
            .first()
            .map(|member| member.speed.decode_rate)
    }

    /// Requests that wait for a pool.
    pub fn waiting(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.queue.len())
    }

    /// Lets time pass: backoffs that are over, room that came free, deadlines that cannot be met.
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
            self.limits.refresh(now);
        }
        self.refuse_orphans(&mut outputs);
        outputs
    }

    /// Sends, queues or refuses. What is refused gives back what it took from the limits.
    fn schedule(&mut self, now: Moment, waiting: Pending) -> Decision {
        let subjects = waiting.request.subjects.clone();
        let tokens = waiting.request.tokens();
        let decision = self.decide(now, waiting);
        if matches!(decision, Decision::Refuse(_)) {
            self.limits.release(&subjects, Usage::none(tokens));
        }
        decision
    }

    fn decide(&mut self, now: Moment, waiting: Pending) -> Decision {
        let pool_id = waiting.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return self.refuse(Reason::NoPool, Duration::ZERO);
        };
        let request = &waiting.request;
        if now + pool.min_first_token_time(request) > request.deadline {
            return self.refuse(Reason::Deadline, Duration::ZERO);
        }
        let blocked = !request.class.is_urgent()
            && pool.queue.has_ahead(request.class, request.model.as_ref());
        let placed = match blocked {
            true => Err(Blocked::NoRoom),
            false => pool.place(now, &waiting),
        };
        match placed {
            Ok(placement) => match self.send(now, waiting, &placement) {
                Some(assignment) => Decision::Send(assignment),
                None => self.refuse(Reason::NoPool, Duration::ZERO),
            },
            Err(Blocked::NoUpstream) => self.refuse(Reason::NoUpstream, Duration::ZERO),
            Err(Blocked::TooLate) => self.refuse(Reason::Deadline, Duration::ZERO),
            Err(Blocked::NoRoom) => self.queue_or_refuse(now, waiting),
        }
    }

    fn queue_or_refuse(&mut self, now: Moment, waiting: Pending) -> Decision {
        let pool_id = waiting.request.pool.clone();
        let class = waiting.request.class;
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return self.refuse(Reason::NoPool, Duration::ZERO);
        };
        let ahead = pool.queue.ahead(class) as f64;
        let wait = expected_wait(ahead, pool.drain_rate(now));
        if now + wait + pool.typical_first_token_time(now, &waiting.request)
            > waiting.request.deadline
        {
            return self.refuse(Reason::Deadline, wait);
        }
        let owner = waiting.request.owner();
        if pool.queue.is_full() && !pool.queue.can_displace(class, owner) {
            return self.refuse(Reason::Overload(class), wait);
        }
        let ticket = self.next_number();
        self.enqueue(now, pool_id, ticket, waiting);
        Decision::Wait(ticket)
    }

    /// Puts a request into its queue. One of a lower class that no longer fits is refused by the
    /// next tick.
    fn enqueue(&mut self, now: Moment, pool_id: pool::Id, ticket: Ticket, waiting: Pending) {
        if let Some(pool) = self.pools.get_mut(&pool_id) {
            pool.push(now, ticket, waiting);
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
