//! Scheduler of one pool at this entry: its upstreams, its queue, and the placement of requests.

use std::time::Duration;

use clock::Moment;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    affinity::History,
    choice::{Chooser, Pick, Work},
    class::Class,
    class_mix::ClassMix,
    decision::Ticket,
    disaggregation::{self, Placement},
    lateness::Lateness,
    load::Load,
    members::Members,
    pool::Config,
    queue::{Pending, Queue},
    rate::Rate,
    request::Request,
    reservation::Reservation,
    upstream::{Id, Role, View},
};

/// Prefixes remembered per pool and generation.
const HISTORY_CAPACITY: usize = 32_768;

/// Smoothing window of the rate at which requests are sent.
const SENT_RATE_WINDOW: Duration = Duration::from_secs(5);

/// Duration of a backlog after which the rate of requests sent reflects the capacity of the pool.
const BACKLOG_SETTLING_TIME: Duration = Duration::from_secs(2);

/// Weight of the newest request in the mean request.
const MEAN_REQUEST_WEIGHT: f64 = 0.02;

/// Weight of the newest request in the mean wait at upstreams.
const UPSTREAM_WAIT_WEIGHT: f64 = 0.05;

/// Factor on the lateness when checking whether a request can meet its deadline.
const LATENESS_MARGIN: f64 = 1.5;

/// Roles that run prefill and decode of a request. Decode engines prefill in small chunks.
const COLOCATED_ROLES: [Role; 2] = [Role::Mixed, Role::Decode];

/// Reason why a request cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// No upstream accepts such work.
    NoUpstream,
    /// None of the upstreams that do has room.
    NoRoom,
    /// Even the earliest answer would miss the deadline.
    TooLate,
}

/// Scheduler of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Settings.
    pub config: Config,
    /// Upstreams.
    pub members: Members,
    /// Queued requests.
    pub queue: Queue,
    sent_rate: Rate,
    /// Time since which the queue has not been empty.
    backlog_since: Option<Moment>,
    /// Smoothed mean of the recent requests.
    mean_request: Load,
    chooser: Chooser,
    history: History,
    /// Smoothed wait at upstreams before the prefill, in seconds.
    upstream_wait: f64,
    /// Mean prefill rate of one upstream, in prompt tokens per second.
    prefill_rate: f64,
    class_mix: ClassMix,
    /// Lateness of first tokens, by class.
    lateness: [Lateness; Class::COUNT],
}

impl Scheduler {
    /// Creates a scheduler without upstreams.
    pub fn new(now: Moment, config: Config, rng: &mut SmallRng) -> Self {
        Self {
            members: Members::new(),
            queue: Queue::new(config.queue_capacity),
            sent_rate: Rate::new(now, SENT_RATE_WINDOW),
            backlog_since: None,
            mean_request: Load::default(),
            chooser: Chooser::new(SmallRng::seed_from_u64(rng.random())),
            history: History::new(HISTORY_CAPACITY),
            upstream_wait: 0.0,
            prefill_rate: config.speed.prefill_rate,
            class_mix: ClassMix::new(now),
            lateness: [Lateness::default(); Class::COUNT],
            config,
        }
    }

    /// Replaces the settings.
    pub fn configure(&mut self, config: Config) {
        self.queue.set_capacity(config.queue_capacity);
        self.config = config;
    }

    /// Replaces the upstreams.
    pub fn set_upstreams(&mut self, views: Vec<View>) {
        for view in &views {
            let known = self.members.position(&view.id);
            let known = known.map(|position| &self.members.at(position).view);
            // An engine drops its cache when its role changes.
            if known.is_some_and(|known| known.role != view.role) {
                self.history.forget_upstream(&view.id);
            }
        }
        if self.members.set(&self.config, views) {
            self.chooser.reset();
        }
    }

    /// Records that an upstream evicted a prefix.
    pub fn evict(&mut self, upstream: &str, prefix: u64) {
        self.history.evict(prefix, upstream);
    }

    /// Chooses a placement for a request. Urgent requests are placed even if late: the estimate
    /// leaves out that engines serve them first, so the attempt is worthwhile.
    pub fn place(&mut self, now: Moment, pending: &Pending) -> Result<Placement, Blocked> {
        match self.place_excluding_tried(now, pending) {
            // Retrying a failed upstream is better than not retrying at all.
            Err(Blocked::NoUpstream) if !pending.tried.is_empty() => {
                let untried = Pending {
                    tried: SmallVec::new(),
                    ..pending.clone()
                };
                self.place_excluding_tried(now, &untried)
            }
            placed => placed,
        }
    }

    fn place_excluding_tried(
        &mut self,
        now: Moment,
        pending: &Pending,
    ) -> Result<Placement, Blocked> {
        let request = &pending.request;
        let colocated = self.choose(now, &Work::whole(request, &COLOCATED_ROLES, &pending.tried));
        let disaggregated = self.choose_disaggregated(now, pending);
        let preferred = disaggregation::choose_placement(
            &self.config,
            request.prompt_tokens,
            colocated,
            disaggregated,
        )
        .ok_or(Blocked::NoUpstream)?;
        let placement = match self.has_room(request, &preferred) {
            true => preferred,
            false => self.place_with_room(now, pending).ok_or(Blocked::NoRoom)?,
        };
        if request.class.is_urgent() || self.meets_deadline(now, request, &placement) {
            return Ok(placement);
        }
        let work = Work::whole(request, &COLOCATED_ROLES, &pending.tried);
        let earliest =
            self.chooser
                .earliest_with_room(now, &self.config, &self.members, request.class, &work);
        match earliest.map(Placement::Colocated) {
            Some(placement) if self.meets_deadline(now, request, &placement) => Ok(placement),
            _ => Err(Blocked::TooLate),
        }
    }

    /// Whether the first token is expected before the deadline. Only earlier work of the same or
    /// higher classes counts.
    fn meets_deadline(&self, now: Moment, request: &Request, placement: &Placement) -> bool {
        let lateness = self.lateness[request.class.rank()].seconds(now);
        let expected =
            self.expected_first_token(now, request, placement) + LATENESS_MARGIN * lateness;
        expected <= request.deadline.saturating_sub(now).as_secs_f64()
    }

    /// Expected seconds to the first token with a placement.
    pub fn expected_first_token(
        &self,
        now: Moment,
        request: &Request,
        placement: &Placement,
    ) -> f64 {
        let total = placement.first_token(&self.config, request.prompt_tokens);
        total - placement.wait() * (1.0 - self.class_mix.share_ahead(now, request.class))
    }

    /// Records the time that a first token took.
    pub fn record_first_token(&mut self, now: Moment, class: Class, expected: f64, took: f64) {
        self.lateness[class.rank()].record(now, expected, took);
    }

    /// Reserves the load of a placement.
    pub fn commit(&mut self, now: Moment, request: &Request, placement: &Placement) -> Reservation {
        self.record_sent(now, request, placement);
        let whole = Load::of(request.prompt_tokens, request.output_tokens);
        match placement {
            Placement::Colocated(pick) => {
                let load = Load {
                    prefill: whole.prefill - f64::from(pick.cached),
                    ..whole
                };
                let upstream = self.charge_pick(now, pick, load);
                self.history.record(&request.prefixes, &upstream);
                Reservation {
                    upstream,
                    load,
                    prefill: None,
                }
            }
            Placement::Disaggregated { prefill, decode } => {
                let prefill_load = Load {
                    prefill: whole.prefill - f64::from(prefill.cached),
                    decode: 0.0,
                    ..whole
                };
                let decode_load = Load {
                    prefill: 0.0,
                    ..whole
                };
                let id = self.charge_pick(now, prefill, prefill_load);
                // An imported cache serves its own request only; the prefill engine keeps the
                // prefix.
                self.history.record(&request.prefixes, &id);
                Reservation {
                    upstream: self.charge_pick(now, decode, decode_load),
                    load: decode_load,
                    prefill: Some((id, prefill_load)),
                }
            }
        }
    }

    /// Releases load from an upstream's ledger.
    pub fn release(&mut self, now: Moment, upstream: &str, load: Load) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.ledger.remove(now, load);
        }
    }

    /// Adds load to an upstream's ledger.
    pub fn charge(&mut self, now: Moment, upstream: &str, load: Load) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.ledger.add(now, load);
        }
    }

    /// Least time to the first token, without any earlier work.
    pub fn min_first_token_time(&self, request: &Request) -> Duration {
        // Part of the prompt may be cached, so only half of its prefill is certain.
        to_duration(self.prefill_time(request) / 2.0)
    }

    /// Typical time to the first token at present, without the wait in this entry's queue.
    pub fn typical_first_token_time(&self, now: Moment, request: &Request) -> Duration {
        let wait = self.upstream_wait * self.class_mix.share_ahead(now, request.class);
        to_duration(
            self.prefill_time(request) + wait + self.lateness[request.class.rank()].seconds(now),
        )
    }

    fn prefill_time(&self, request: &Request) -> f64 {
        f64::from(request.prompt_tokens) / self.prefill_rate.max(f64::MIN_POSITIVE)
    }

    /// Recomputes the pool's statistics; called several times per second.
    pub fn refresh_statistics(&mut self, now: Moment) {
        self.members.refresh_statistics(now);
        if let Some(rate) = self.members.prefill_rate() {
            self.prefill_rate = rate;
        }
    }

    /// Requests per second that leave the queue. While a backlog is young, the recent rate
    /// reflects arrivals rather than the capacity of the pool; the larger of both is used, so that
    /// a burst after a quiet period is not refused.
    pub fn drain_rate(&self, now: Moment) -> f64 {
        let served = self.sent_rate.per_second(now);
        let settled = self
            .backlog_since
            .is_some_and(|since| now.saturating_sub(since) >= BACKLOG_SETTLING_TIME);
        if settled {
            return served;
        }
        served.max(self.members.capacity(self.mean_request))
    }

    /// Queues a request.
    pub fn push(&mut self, now: Moment, ticket: Ticket, pending: Pending) {
        self.backlog_since.get_or_insert(now);
        self.queue.push(ticket, pending);
    }

    /// Removes a queued request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        let pending = self.queue.remove(ticket);
        if self.queue.is_empty() {
            self.backlog_since = None;
        }
        pending
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, request: &Request) {
        let load = Load::of(request.prompt_tokens, request.output_tokens);
        let weight = if self.mean_request.requests > 0.0 {
            MEAN_REQUEST_WEIGHT
        } else {
            1.0
        };
        self.mean_request = self.mean_request.lerp(load, weight);
    }

    fn record_sent(&mut self, now: Moment, request: &Request, placement: &Placement) {
        self.sent_rate.record(now, 1.0);
        self.class_mix
            .record(now, request.class, f64::from(request.prompt_tokens));
        self.upstream_wait += UPSTREAM_WAIT_WEIGHT * (placement.wait() - self.upstream_wait);
    }

    fn choose(&mut self, now: Moment, work: &Work<'_>) -> Option<Pick> {
        self.chooser
            .choose(now, &self.config, &self.members, &self.history, work)
    }

    fn choose_disaggregated(&mut self, now: Moment, pending: &Pending) -> Option<(Pick, Pick)> {
        let request = &pending.request;
        if !disaggregation::is_eligible(&self.config, request.prompt_tokens)
            || self.members.ready(Role::Prefill).is_empty()
        {
            return None;
        }
        let whole = Work::whole(request, &[Role::Prefill], &pending.tried);
        let prefill = self.choose(now, &Work { output: 0, ..whole })?;
        let decode = self.choose(now, &decode_work(request, &pending.tried))?;
        Some((prefill, decode))
    }

    fn has_room(&self, request: &Request, placement: &Placement) -> bool {
        let fits = |pick: &Pick| {
            self.members
                .has_room(pick.position, request.class, pick.load)
        };
        match placement {
            Placement::Colocated(pick) => fits(pick),
            Placement::Disaggregated { prefill, decode } => fits(prefill) && fits(decode),
        }
    }

    /// Chooses any placement with room when the preferred one has none.
    fn place_with_room(&mut self, now: Moment, pending: &Pending) -> Option<Placement> {
        let request = &pending.request;
        let work = Work::whole(request, &COLOCATED_ROLES, &pending.tried);
        if let Some(pick) = self.pick_with_room(now, request, &work) {
            return Some(Placement::Colocated(pick));
        }
        if !disaggregation::is_eligible(&self.config, request.prompt_tokens) {
            return None;
        }
        let whole = Work::whole(request, &[Role::Prefill], &pending.tried);
        let prefill = self.pick_with_room(now, request, &Work { output: 0, ..whole })?;
        let decode = self.pick_with_room(now, request, &decode_work(request, &pending.tried))?;
        Some(Placement::Disaggregated { prefill, decode })
    }

    fn pick_with_room(&mut self, now: Moment, request: &Request, work: &Work<'_>) -> Option<Pick> {
        self.chooser
            .any_with_room(now, &self.config, &self.members, request.class, work)
    }

    fn charge_pick(&mut self, now: Moment, pick: &Pick, load: Load) -> Id {
        let id = self.members.at(pick.position).view.id.clone();
        if let Some(member) = self.members.get_mut(&id) {
            let decode_seconds = load.decode / member.speed.decode_rate.max(f64::MIN_POSITIVE);
            let first_token = to_duration(pick.cost.first_token);
            member.passive_health.record_sent(
                now,
                first_token,
                first_token + to_duration(decode_seconds),
            );
            member.ledger.add(now, load);
        }
        id
    }
}

/// Upper bound of estimated times.
const MAX_SECONDS: f64 = 3_600.0;

fn to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

fn decode_work<'a>(request: &'a Request, tried: &'a [Id]) -> Work<'a> {
    Work {
        prompt: 0,
        prefixes: &[],
        ..Work::whole(request, &COLOCATED_ROLES, tried)
    }
}
