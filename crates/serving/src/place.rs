//! Placement of calls on engines. Three quarters of a typical prompt are shared, so an engine that
//! caches the shared part does a fourth of the work; the mix of prompts changes within seconds. See
//! `docs/design/placement.md` for the alternatives.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, LATE_RANK, Rank, Ticket};
use crate::parts::Part;
use crate::route::Model;
use crate::throttle::Permit;
use crate::{EngineId, Fleet, ServiceName, Zone, cost, fetch};

/// A call to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that is called.
    pub service: &'a ServiceName,
    /// Set for calls to model engines.
    pub generation: Option<Generation<'a>>,
    /// Connections that one engine of the service accepts from all instances together.
    pub connections: u32,
    /// Its scheduling rank; 0 is the most urgent.
    pub priority: Rank,
    /// Remaining time within which its first answer is on time.
    pub latency_target: Duration,
    /// Data centre of this instance.
    pub zone: &'a Zone,
    /// Whether the prompt may be read at one engine for another. Not allowed for a call whose
    /// prompt was read and which then found no engine, because each further read counts as a
    /// repeat.
    pub may_split: bool,
    /// Time to send the prompt to one engine over this instance's link.
    pub send_time: Duration,
    /// Engines that must not be chosen.
    pub excluded: &'a [EngineId],
    /// Engines to which the sender has an idle connection.
    pub connected: &'a [EngineId],
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Whether to place it where the fewest calls run, because it may crash its engine.
    pub isolated: bool,
    /// Engine with a rate limit at which a request has already been charged for it.
    pub reserved: Option<&'a EngineId>,
    /// Software version of the engines that may generate, if the call goes on with a stream: what two
    /// versions write does not fit together.
    pub software: Option<&'a str>,
}

/// Prompt of a generation.
#[derive(Clone, Copy, Debug)]
pub struct Generation<'a> {
    /// The model of the service.
    pub model: &'a Model,
    /// The prompt's parts.
    pub prompt: &'a [Part],
    /// Length of the prompt in tokens.
    pub tokens: u32,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// One engine reads the prompt and generates.
    Direct(Target),
    /// One engine reads the prompt, another one generates.
    ///
    /// The generating engine is chosen by [`choose_decode`] once the prompt has been read; one
    /// chosen earlier may be leaving by then.
    Split {
        /// The engine that reads the prompt.
        prefill: Target,
        /// Engine with a rate limit that is to generate. A request is charged to it in advance,
        /// because its limit may be used up once the prompt has been read.
        reserved: Option<EngineId>,
        /// Time to the first answer, including the second engine's part.
        expected_latency: Duration,
    },
    /// No engine can serve the call in time.
    Refuse {
        /// Time after which there may be capacity.
        retry_after: Duration,
        /// Why it is refused.
        reason: Refusal,
        /// The target that it would have had, for the log.
        best_target: Option<Box<Target>>,
    },
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No engine of the service takes calls.
    NoEngine,
    /// The work queued before it takes longer than its caller waits.
    TooMuchWork,
    /// It crashed the engines that ran it, and is held.
    Held,
    /// A part of its prompt is held, since it crashed the engines that ran calls with it.
    PartHeld,
    /// The rate limits that the engines announce are used up.
    RateLimited,
    /// The engines that are left want no requests from this instance for a time.
    Paused,
    /// Neither this instance nor another one that it asked reaches an engine.
    Unreachable,
}

impl Choice {
    /// The engine that the call is sent to next.
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Direct(target)
            | Self::Split {
                prefill: target, ..
            } => Some(target),
            Self::Refuse { .. } => None,
        }
    }
}

impl Refusal {
    /// The message for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoEngine => "No engine takes the call.",
            Self::TooMuchWork => "There is too much work before this call.",
            Self::Held => "Engines that ran this call ended.",
            Self::PartHeld => "Engines that ran calls with a part of this prompt ended.",
            Self::RateLimited => "The engines' rate limits are used up.",
            Self::Paused => "The engines accept no calls for a while.",
            Self::Unreachable => "No engine can be reached.",
        }
    }
}

/// The engine chosen for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its id.
    pub engine: EngineId,
    /// Prompt tokens that it has to read.
    pub prefill_tokens: u32,
    /// Work that the prompt is there, in tokens of [`crate::speed::work`].
    pub work: u32,
    /// Scheduling rank there.
    pub rank: Rank,
    /// Time to wait before sending, because of the engine's rate limit.
    pub limit_wait: Duration,
    /// Time to the first answer, including that wait.
    pub expected_latency: Duration,
    /// Engine to fetch parts of the prompt's KV cache from.
    pub fetch_from: Option<EngineId>,
    /// The instance that placed the call and the call's ticket there.
    pub placed_by: Option<(SocketAddr, Ticket)>,
}

/// Share of the caller's remaining time within which the first answer must be expected.
const MAX_WAIT_SHARE: f64 = 0.9;
/// `Retry-After` if no engine is known.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Share of the latency target that a call may wait for an engine's rate limit.
const LIMIT_WAIT_SHARE: f64 = 0.5;
/// Longest `Retry-After` while engines want no requests from this instance: others may send to them.
const MAX_PAUSE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Shortest `Retry-After` of a rejection by rate limits.
const MIN_RATE_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Chooses the placement of a call.
pub fn choose(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let demand = below_late_rank(demand);
    if demand.isolated {
        return choose_isolated(fleet, &demand, now);
    }
    match &demand.generation {
        Some(generation) => choose_generation(fleet, &demand, generation, now),
        None => choose_plain(fleet, &demand, now),
    }
}

/// The time until an engine that can answer calls takes some again, if all such engines of a service
/// want none from this instance now.
pub fn pause_left(fleet: &Fleet, service: &ServiceName, now: Moment) -> Option<Duration> {
    let answering = fleet
        .ready(service)
        .filter(|engine| !cost::is_prefill(engine));
    let left = answering.map(|engine| fleet.pause_left(&engine.record.id, now));
    let left = left.min()?.min(MAX_PAUSE_RETRY_AFTER);
    (!left.is_zero()).then_some(left)
}

/// Gives a refusal for lack of engines its reason and time if engines want no requests from this
/// instance. Placers do not know of that.
pub fn explain_refusal(fleet: &Fleet, service: &ServiceName, choice: &mut Choice, now: Moment) {
    if let Choice::Refuse {
        reason,
        retry_after,
        ..
    } = choice
        && *reason == Refusal::NoEngine
        && let Some(left) = pause_left(fleet, service, now)
    {
        *reason = Refusal::Paused;
        *retry_after = left;
    }
}

/// Charges a placement to the rate limits of its engines. The `Retry-After` of a refusal by rate
/// limits grows with the refusals before it.
pub fn commit(fleet: &mut Fleet, demand: &Demand, choice: &mut Choice, now: Moment) {
    match choice {
        Choice::Direct(target) => charge(fleet, demand, target, now),
        Choice::Split {
            prefill, reserved, ..
        } => {
            fleet.throttles.charge(&prefill.engine, now);
            if let Some(reserved) = reserved {
                fleet.throttles.charge(reserved, now);
            }
        }
        Choice::Refuse {
            retry_after,
            reason: Refusal::RateLimited,
            ..
        } => *retry_after = fleet.defer(demand.service, now).max(*retry_after),
        Choice::Refuse { .. } => {}
    }
}

/// Charges a call to the rate limit of its engine, unless that was done when the engine was
/// reserved.
pub fn charge(fleet: &mut Fleet, demand: &Demand, target: &Target, now: Moment) {
    if demand.reserved != Some(&target.engine) {
        fleet.throttles.charge(&target.engine, now);
    }
}

/// Places a call that may crash its engine where the fewest calls run; the same engine reads its
/// prompt.
fn choose_isolated(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let least_busy = {
        let engines =
            available(fleet, demand, now).filter(|engine| cost::may_generate(engine, demand));
        engines.min_by_key(|engine| engine.running_calls())
    };
    let others = fleet.ready(demand.service).map(|engine| &engine.record.id);
    let others = others.filter(|id| least_busy.is_some_and(|quietest| quietest.record.id != **id));
    let excluded: Vec<EngineId> = demand.excluded.iter().chain(others).cloned().collect();
    let demand = Demand {
        excluded: &excluded,
        may_split: false,
        isolated: false,
        ..*demand
    };
    choose(fleet, &demand, now)
}

/// The demand with its rank capped below [`LATE_RANK`]. Higher ranks are for calls that cannot be
/// on time; a route that an operator gave such a priority would be treated as late on an idle fleet
/// and refused in the next peak.
fn below_late_rank<'a>(demand: &Demand<'a>) -> Demand<'a> {
    Demand {
        priority: demand.priority.min(LATE_RANK - 1),
        ..*demand
    }
}

fn available<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    now: Moment,
) -> impl Iterator<Item = &'a Engine> {
    fleet
        .ready(demand.service)
        .filter(move |engine| engine.is_available(now) && admits(fleet, engine, demand, now))
}

/// Engines to fall back to if all are backed off; the best of them is better than none.
fn admitting<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    now: Moment,
) -> impl Iterator<Item = &'a Engine> {
    fleet
        .ready(demand.service)
        .filter(move |engine| admits(fleet, engine, demand, now))
}

/// Whether an engine may get a call, regardless of its health.
///
/// An engine resets connections beyond those it accepts, and a call already sent on one may have
/// run. The sign is resets at the fullest engines of a burst.
fn admits(fleet: &Fleet, engine: &Engine, demand: &Demand, now: Moment) -> bool {
    engine.running_calls() < demand.connections
        && !demand.excluded.contains(&engine.record.id)
        && limit_wait(fleet, engine, demand, now).is_some()
}

/// Time until an engine's rate limit admits the call, or `None` if that is too late for it.
pub(crate) fn limit_wait(
    fleet: &Fleet,
    engine: &Engine,
    demand: &Demand,
    now: Moment,
) -> Option<Duration> {
    match fleet.throttles.permit(&engine.record.id, now) {
        Permit::After(wait) if wait.is_zero() => Some(wait),
        Permit::After(wait) => (wait <= max_limit_wait(demand)).then_some(wait),
        Permit::Elsewhere(_) => None,
    }
}

/// Longest wait for a rate limit. A longer queue would make every call in it late and serve no more
/// of them. A call that is late anyway takes only requests that no other call waits for.
fn max_limit_wait(demand: &Demand) -> Duration {
    if demand.priority >= LATE_RANK {
        return Duration::ZERO;
    }
    let by_target = demand.latency_target.mul_f64(LIMIT_WAIT_SHARE);
    by_target.min(demand.time_left.mul_f64(MAX_WAIT_SHARE))
}

/// The refusal of a call that no engine admits.
fn refuse(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let engines = fleet
        .ready(demand.service)
        .filter(|engine| !demand.excluded.contains(&engine.record.id))
        .filter(|engine| engine.record.continues(demand.software));
    let waits = engines.filter_map(
        |engine| match fleet.throttles.permit(&engine.record.id, now) {
            Permit::After(wait) if wait.is_zero() => None,
            Permit::After(wait) => Some(wait.saturating_sub(max_limit_wait(demand))),
            Permit::Elsewhere(interval) => Some(interval),
        },
    );
    let (retry_after, reason) = match waits.min() {
        Some(wait) => (wait.max(MIN_RATE_LIMIT_RETRY_AFTER), Refusal::RateLimited),
        None => (NO_ENGINE_RETRY_AFTER, Refusal::NoEngine),
    };
    Choice::Refuse {
        retry_after,
        reason,
        best_target: None,
    }
}

fn choose_plain(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let cost = |engine: &&Engine| plain_cost(fleet, engine, demand, now);
    let best = available(fleet, demand, now)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .or_else(|| admitting(fleet, demand, now).min_by(|a, b| cost(a).total_cmp(&cost(b))));
    match best {
        Some(engine) => Choice::Direct(Target {
            engine: engine.record.id.clone(),
            prefill_tokens: 0,
            work: 0,
            rank: demand.priority,
            limit_wait: limit_wait(fleet, engine, demand, now).unwrap_or_default(),
            expected_latency: Duration::ZERO,
            fetch_from: None,
            placed_by: None,
        }),
        None => refuse(fleet, demand, now),
    }
}

/// Lower bound of the latency target that a wait is compared with, for calls that are already late.
const MIN_LATENCY_TARGET: Duration = Duration::from_millis(10);

/// The expected response time of an engine as a multiple of its service's mean, plus penalties for
/// load, distance, rate-limit wait and failures.
///
/// A call beyond the slots waits for a slot at the engine's own pace. Below the slots, load is what
/// the engine may be found to have more of: other instances place calls that are not known yet.
fn plain_cost(fleet: &Fleet, engine: &Engine, demand: &Demand, now: Moment) -> f64 {
    let load = f64::from(engine.running_calls() + 1) / f64::from(engine.record.slots.max(1));
    let response = fleet.slowdown(engine, now) * load.max(1.0);
    let load = load * fleet.slowdown(engine, now);
    let distance = if engine.record.zone == *demand.zone {
        0.0
    } else {
        0.1
    };
    let wait = limit_wait(fleet, engine, demand, now).unwrap_or_default();
    let lateness = wait.as_secs_f64() / demand.latency_target.max(MIN_LATENCY_TARGET).as_secs_f64();
    response + load + distance + lateness + 4.0 * engine.failures(now)
}

fn choose_generation(
    fleet: &Fleet,
    demand: &Demand,
    generation: &Generation,
    now: Moment,
) -> Choice {
    let choice = choose_at_rank(fleet, demand, generation, now);
    let choice = match expected_latency(&choice) {
        Some(expected) if expected > demand.latency_target => {
            let late = Demand {
                priority: demand.priority.saturating_add(LATE_RANK),
                ..*demand
            };
            choose_at_rank(fleet, &late, generation, now)
        }
        _ => choice,
    };
    refuse_if_late(choice, demand)
}

fn expected_latency(choice: &Choice) -> Option<Duration> {
    match choice {
        Choice::Direct(target) => Some(target.expected_latency),
        Choice::Split {
            expected_latency, ..
        } => Some(*expected_latency),
        Choice::Refuse { .. } => None,
    }
}

fn choose_at_rank(fleet: &Fleet, demand: &Demand, generation: &Generation, now: Moment) -> Choice {
    let mut engines: Vec<&Engine> = available(fleet, demand, now).collect();
    if !engines.iter().any(|e| cost::may_generate(e, demand)) {
        engines = admitting(fleet, demand, now).collect();
    }
    let sources = fetch::sources(fleet, demand, generation, now);
    let direct = cost::cheapest(
        engines
            .iter()
            .filter(|e| cost::may_generate(e, demand))
            .map(|e| cost::prefill_cost(fleet, e, demand, generation, &sources, now)),
    );
    let Some(direct) = direct else {
        return refuse(fleet, demand, now);
    };
    let prefill = cost::cheapest(
        engines
            .iter()
            .filter(|e| demand.may_split && cost::is_prefill(e))
            .map(|e| cost::prefill_cost(fleet, e, demand, generation, &sources, now)),
    );
    let split = prefill.and_then(|prefill| {
        let source = fleet.get(&prefill.target.engine)?;
        let decode = cost::decode_cost(
            fleet,
            &engines,
            demand,
            generation,
            &source.record.zone,
            now,
        )?;
        Some((prefill, decode))
    });
    match split {
        Some((prefill, decode))
            if prefill.total + decode.total + cost::millis(demand.send_time) < direct.total =>
        {
            let engine = decode.target.engine;
            Choice::Split {
                expected_latency: prefill.target.expected_latency + decode.target.expected_latency,
                prefill: prefill.target,
                reserved: fleet.throttles.limit(&engine).map(|_| engine),
            }
        }
        _ => Choice::Direct(direct.target),
    }
}

/// Chooses the engine that takes over a prompt's KV cache from data centre `source`: the reserved
/// engine, or else the cheapest.
pub fn choose_decode(fleet: &Fleet, demand: &Demand, source: &Zone, now: Moment) -> Option<Target> {
    let demand = below_late_rank(demand);
    let generation = demand.generation.as_ref()?;
    if let Some(target) = reserved(fleet, &demand) {
        return Some(target);
    }
    let mut engines: Vec<&Engine> = available(fleet, &demand, now).collect();
    if !engines
        .iter()
        .any(|engine| cost::may_generate(engine, &demand))
    {
        engines = admitting(fleet, &demand, now).collect();
    }
    cost::decode_cost(fleet, &engines, &demand, generation, source, now).map(|cost| cost.target)
}

/// The engine reserved for a call, if it still takes calls.
fn reserved(fleet: &Fleet, demand: &Demand) -> Option<Target> {
    let reserved = demand.reserved.filter(|id| !demand.excluded.contains(id))?;
    let engine = fleet.get(reserved).filter(|engine| engine.takes_calls())?;
    if !engine.record.continues(demand.software) {
        return None;
    }
    Some(Target {
        engine: engine.record.id.clone(),
        prefill_tokens: 0,
        work: 0,
        rank: demand.priority,
        limit_wait: Duration::ZERO,
        expected_latency: Duration::ZERO,
        fetch_from: None,
        placed_by: None,
    })
}

fn refuse_if_late(choice: Choice, demand: &Demand) -> Choice {
    let Some(expected) = expected_latency(&choice) else {
        return choice;
    };
    let bound = demand.time_left.mul_f64(MAX_WAIT_SHARE);
    if expected <= bound {
        return choice;
    }
    Choice::Refuse {
        retry_after: expected - bound,
        reason: Refusal::TooMuchWork,
        best_target: match choice {
            Choice::Direct(target)
            | Choice::Split {
                prefill: target, ..
            } => Some(Box::new(Target {
                expected_latency: expected,
                ..target
            })),
            Choice::Refuse {
                best_target: best, ..
            } => best,
        },
    }
}
