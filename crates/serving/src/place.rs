//! Where a call goes. The load that this answers: prompts of which three quarters are shared, so
//! that an engine that has read the shared part before does a fourth of the work, under mixes that
//! swing within seconds. See `docs/design/placement.md` for the ways weighed.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, LATE_RANK, Rank, Stage, Ticket};
use crate::parts::Part;
use crate::route::Model;
use crate::throttle::Permit;
use crate::{EngineId, Fleet, ServiceName, Zone, cost, fetch};

/// A call that needs a place.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// Set for calls to model engines.
    pub generation: Option<Generation<'a>>,
    /// Connections that one engine of the service takes, of all instances together.
    pub connections: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: Rank,
    /// Time within which its first answer is on time.
    pub latency_target: Duration,
    /// This instance's data centre.
    pub zone: &'a Zone,
    /// Whether its prompt may be read at one engine for another one. A call whose prompt was read and
    /// then found no engine is not read once more: each further read counts as a repeat.
    pub may_split: bool,
    /// Time that sending the prompt to one engine takes this instance's link.
    pub send_time: Duration,
    /// Engines that it must not go to again.
    pub excluded: &'a [EngineId],
    /// Engines to which its sender has a connection that is idle.
    pub connected: &'a [EngineId],
    /// Time that its caller still waits.
    pub time_left: Duration,
    /// Whether it goes where the fewest calls run, since it may end its engine.
    pub isolated: bool,
    /// Engine with a rate limit at which a request has been counted for it.
    pub reserved: Option<&'a EngineId>,
}

/// The size of a generation.
#[derive(Clone, Copy, Debug)]
pub struct Generation<'a> {
    /// The service's engines.
    pub model: &'a Model,
    /// Parts of the prompt.
    pub prompt: &'a [Part],
    /// Tokens of the prompt.
    pub tokens: u32,
}

/// What is done with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// It goes to one engine.
    Direct(Target),
    /// One engine reads its prompt, another one generates.
    ///
    /// The engine that generates is chosen by [`decode`] once the prompt is read: one that is
    /// chosen before may have said meanwhile that it leaves.
    Split {
        /// Reads the prompt.
        prefill: Target,
        /// Engine with a rate limit that is to generate. A request there has been counted already, since what its limit
        /// allows may be used up once the prompt is read.
        reserved: Option<EngineId>,
        /// Time to the first answer, with the second engine's part.
        expected_latency: Duration,
    },
    /// No engine can serve it in time.
    Refuse {
        /// Time after which there may be room.
        retry_after: Duration,
        /// Why.
        reason: Refusal,
        /// The place that it would have had, for the log.
        best_target: Option<Box<Target>>,
    },
}

/// Why a call finds no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No engine of the service takes calls.
    NoEngine,
    /// The work before it takes longer than its caller waits.
    TooMuchWork,
    /// It ended the engines that ran it.
    Held,
    /// The engines take no more requests by the rate limits that they announce.
    RateLimited,
}

impl Choice {
    /// The engine that the call goes to next.
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
    /// What a caller is told.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoEngine => "No engine takes the call.",
            Self::TooMuchWork => "There is too much work before this call.",
            Self::Held => "Engines that ran this call ended.",
            Self::RateLimited => "The engines' rate limits are used up.",
        }
    }
}

/// A place for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens that it must read.
    pub prefill_tokens: u32,
    /// Work that the prompt is there, in tokens of [`speed::work`].
    pub work: u32,
    /// Its urgency there.
    pub rank: Rank,
    /// Time after which it may be sent there, by the engine's rate limit.
    pub limit_wait: Duration,
    /// Time to its first answer, with that wait.
    pub expected_latency: Duration,
    /// Engine from which it fetches parts of the prompt.
    pub fetch_from: Option<EngineId>,
    /// The instance that placed it, which has it in its books by this number.
    pub placed_by: Option<(SocketAddr, Ticket)>,
}

/// Share of a caller's time within which the first answer must be expected.
const MAX_WAIT_SHARE: f64 = 0.9;
/// Time told to a caller when no engine is known at all.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Share of the time in which a call is on time that it may wait for an engine's rate limit.
const LIMIT_WAIT_SHARE: f64 = 0.5;
/// Shortest `Retry-After` of a rejection by rate limits.
const MIN_RATE_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Finds the place for a call.
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

/// Charges a placement to the rate limits of its engines. A rejection by rate limits gets its `Retry-After` from the rejections
/// before it.
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

/// Counts a call against the limit of its engine, unless that was done when the engine was reserved for it.
pub fn charge(fleet: &mut Fleet, demand: &Demand, target: &Target, now: Moment) {
    if demand.reserved != Some(&target.engine) {
        fleet.throttles.charge(&target.engine, now);
    }
}

/// Finds the place of a call that may end its engine: where the fewest calls run, which also reads its prompt.
fn choose_isolated(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let least_busy = {
        let engines = available(fleet, demand, now).filter(|engine| !cost::is_prefill(engine));
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

/// The demand at a rank of calls that can be on time. Ranks from [`LATE`] on are for those that cannot: a route whose
/// calls an operator has put there would be taken for late on an idle fleet, and refused in the next peak.
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

/// If every engine rests, the one that rests soonest over is better than none.
fn admitting<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    now: Moment,
) -> impl Iterator<Item = &'a Engine> {
    fleet
        .ready(demand.service)
        .filter(move |engine| admits(fleet, engine, demand, now))
}

/// Whether an engine may get a call, however it is.
///
/// An engine resets connections beyond those it takes from all instances, and a call that had been sent on
/// one may have run. One notices it by resets of calls at the fullest engines of a burst.
fn admits(fleet: &Fleet, engine: &Engine, demand: &Demand, now: Moment) -> bool {
    engine.running_calls() < demand.connections
        && !demand.excluded.contains(&engine.record.id)
        && limit_wait(fleet, engine, demand, now).is_some()
}

/// Time until an engine's rate limit lets a call go there, if that is soon enough for its caller.
pub(crate) fn limit_wait(
    fleet: &Fleet,
    engine: &Engine,
    demand: &Demand,
    now: Moment,
) -> Option<Duration> {
    match fleet.throttles.permit(&engine.record.id, now) {
        Permit::After(wait) => (wait <= max_limit_wait(demand)).then_some(wait),
        Permit::Elsewhere(_) => None,
    }
}

/// A queue longer than this would make every call late in it, and serve no more of them. One that is late anyway takes what no
/// other waits for.
fn max_limit_wait(demand: &Demand) -> Duration {
    if demand.priority >= LATE_RANK {
        return Duration::ZERO;
    }
    let by_target = demand.latency_target.mul_f64(LIMIT_WAIT_SHARE);
    by_target.min(demand.time_left.mul_f64(MAX_WAIT_SHARE))
}

/// The refusal of a call that no engine takes.
fn refuse(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let engines = fleet
        .ready(demand.service)
        .filter(|engine| !demand.excluded.contains(&engine.record.id));
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

/// Against which a wait is weighed for a call that is late already.
const MIN_LATENCY_TARGET: Duration = Duration::from_millis(10);

/// Calls before this one, in units of the engine's slots, and what speaks against the engine.
fn plain_cost(fleet: &Fleet, engine: &Engine, demand: &Demand, now: Moment) -> f64 {
    let load = f64::from(engine.running_calls() + 1) / f64::from(engine.record.slots.max(1));
    let distance = if engine.record.zone == *demand.zone {
        0.0
    } else {
        0.1
    };
    let wait = limit_wait(fleet, engine, demand, now).unwrap_or_default();
    let lateness = wait.as_secs_f64() / demand.latency_target.max(MIN_LATENCY_TARGET).as_secs_f64();
    load + distance + lateness + 4.0 * engine.failures(now)
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
    if engines
        .iter()
        .all(|e| e.record.stage == Some(Stage::Prefill))
    {
        engines = admitting(fleet, demand, now).collect();
    }
    let sources = fetch::sources(fleet, demand, generation, now);
    let direct = cost::cheapest(
        engines
            .iter()
            .filter(|e| !cost::is_prefill(e))
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

/// Finds the engine that takes over the memory of a prompt that was read in a data centre: the one that was reserved, else the best
/// one now.
pub fn choose_decode(fleet: &Fleet, demand: &Demand, source: &Zone, now: Moment) -> Option<Target> {
    let demand = below_late_rank(demand);
    let generation = demand.generation.as_ref()?;
    if let Some(target) = reserved(fleet, &demand) {
        return Some(target);
    }
    let mut engines: Vec<&Engine> = available(fleet, &demand, now).collect();
    if engines.iter().all(|engine| cost::is_prefill(engine)) {
        engines = admitting(fleet, &demand, now).collect();
    }
    cost::decode_cost(fleet, &engines, &demand, generation, source, now).map(|cost| cost.target)
}

/// The engine that was reserved for a call, if it still takes calls.
fn reserved(fleet: &Fleet, demand: &Demand) -> Option<Target> {
    let reserved = demand.reserved.filter(|id| !demand.excluded.contains(id))?;
    let engine = fleet.get(reserved).filter(|engine| engine.takes_calls())?;
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
