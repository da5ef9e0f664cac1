//! Where a call goes. The load that this answers: prompts of which three quarters are shared, so
//! that an engine that has read the shared part before does a fourth of the work, under mixes that
//! swing within seconds. See `docs/design/placement.md` for the ways weighed.

use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, Stage, level};
use crate::parts::{Chain, Part};
use crate::route::Model;
use crate::{EngineId, Fleet, ServiceName, Zone};

/// A call that needs a place.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// Set for calls to model engines.
    pub generation: Option<Generation<'a>>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// This instance's data centre.
    pub zone: &'a Zone,
    /// Engines that it must not go to again.
    pub avoid: &'a [EngineId],
    /// Time that its caller still waits.
    pub left: Duration,
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
        /// Time to the first answer, with the second engine's part.
        expected: Duration,
    },
    /// No engine can serve it in time.
    Refuse {
        /// Time after which there may be room.
        after: Duration,
        /// Why.
        why: Refusal,
    },
}

/// Why a call finds no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No engine of the service takes calls.
    NoEngine,
    /// The work before it takes longer than its caller waits.
    TooMuchWork,
}

/// A place for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens that it must read.
    pub unread: u32,
    /// Time to its first answer.
    pub expected: Duration,
}

/// Prompt tokens that an engine of stage prefill reads in a millisecond, until its pace is known.
/// Origin: between the two speeds that deployments have named, 61 and 93.
const PREFILL_RATE: f64 = 60.0;
/// An engine of stage decode reads at half the speed, between the tokens of other calls.
const DECODE_RATE: f64 = 25.0;
/// Time before any prompt is read, of which a call's way to the engine is most.
const SETUP: Duration = Duration::from_millis(8);
/// Fixed time that handing a prompt's memory over takes, besides the bytes.
const HANDOVER: Duration = Duration::from_millis(15);
/// How much a token that must be read counts beyond the time that this call waits for it: reading
/// takes engine time from later calls. 1 means as much again.
const READ_WEIGHT: f64 = 1.5;
/// Disadvantage of an engine in another data centre: the way there and back, and bytes between
/// data centres that are paid for.
const FAR: Duration = Duration::from_millis(6);
/// Share of a caller's time within which the first answer must be expected.
const IN_TIME: f64 = 0.9;
/// Time told to a caller when no engine is known at all.
const NO_ENGINE_AFTER: Duration = Duration::from_millis(500);
/// Spread of equal places: engines that cost nearly the same are ordered by the prompt, so that
/// instances that know nothing of each other's calls choose alike.
const SPREAD: Duration = Duration::from_millis(10);

/// Finds the place for a call.
pub fn choose(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    match &demand.generation {
        Some(generation) => generate(fleet, demand, generation, now),
        None => plain(fleet, demand, now),
    }
}

fn open<'a>(fleet: &'a Fleet, demand: &'a Demand, now: Moment) -> impl Iterator<Item = &'a Engine> {
    fleet.ready(demand.service).filter(move |engine| {
        engine.health.is_open(now) && !demand.avoid.contains(&engine.record.id)
    })
}

/// If every engine rests, the one that rests soonest over is better than none.
fn any<'a>(fleet: &'a Fleet, demand: &'a Demand) -> impl Iterator<Item = &'a Engine> {
    fleet
        .ready(demand.service)
        .filter(|engine| !demand.avoid.contains(&engine.record.id))
}

fn plain(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let cost = |engine: &&Engine| plain_cost(engine, demand);
    let best = open(fleet, demand, now)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .or_else(|| any(fleet, demand).min_by(|a, b| cost(a).total_cmp(&cost(b))));
    match best {
        Some(engine) => Choice::Direct(Target {
            engine: engine.record.id.clone(),
            unread: 0,
            expected: Duration::ZERO,
        }),
        None => Choice::Refuse {
            after: NO_ENGINE_AFTER,
            why: Refusal::NoEngine,
        },
    }
}

/// Calls before this one, in units of the engine's slots, and what speaks against the engine.
fn plain_cost(engine: &Engine, demand: &Demand) -> f64 {
    let load = f64::from(engine.running() + 1) / f64::from(engine.record.slots.max(1));
    let far = if engine.record.zone == *demand.zone {
        0.0
    } else {
        0.1
    };
    load + far + 4.0 * engine.health.failures()
}

struct Cost {
    total: f64,
    target: Target,
}

fn generate(fleet: &Fleet, demand: &Demand, size: &Generation, now: Moment) -> Choice {
    let mut engines: Vec<&Engine> = open(fleet, demand, now).collect();
    if engines
        .iter()
        .all(|e| e.record.stage == Some(Stage::Prefill))
    {
        engines = any(fleet, demand).collect();
    }
    let direct = best(
        engines
            .iter()
            .filter(|e| !is_prefill(e))
            .map(|e| read_cost(fleet, e, demand, size)),
    );
    let Some(direct) = direct else {
        return Choice::Refuse {
            after: NO_ENGINE_AFTER,
            why: Refusal::NoEngine,
        };
    };
    let prefill = best(
        engines
            .iter()
            .filter(|e| is_prefill(e))
            .map(|e| read_cost(fleet, e, demand, size)),
    );
    let split = prefill.and_then(|prefill| {
        let source = fleet.get(&prefill.target.engine)?;
        let decode = taker(&engines, size, &source.record.zone)?;
        Some((prefill, decode))
    });
    let choice = match split {
        Some((prefill, decode)) if prefill.total + decode.total < direct.total => Choice::Split {
            expected: prefill.target.expected + decode.target.expected,
            prefill: prefill.target,
        },
        _ => Choice::Direct(direct.target),
    };
    refuse_if_late(choice, demand)
}

/// Finds the engine that takes over the memory of a prompt that was read in a data centre.
pub fn decode(fleet: &Fleet, demand: &Demand, source: &Zone, now: Moment) -> Option<Target> {
    let size = demand.generation.as_ref()?;
    let mut engines: Vec<&Engine> = open(fleet, demand, now).collect();
    if engines.iter().all(|engine| is_prefill(engine)) {
        engines = any(fleet, demand).collect();
    }
    taker(&engines, size, source).map(|cost| cost.target)
}

fn is_prefill(engine: &Engine) -> bool {
    engine.record.stage == Some(Stage::Prefill)
}

fn best(costs: impl Iterator<Item = Cost>) -> Option<Cost> {
    costs.min_by(|a, b| a.total.total_cmp(&b.total))
}

/// What it costs to have the prompt read at an engine, in milliseconds.
fn read_cost(fleet: &Fleet, engine: &Engine, demand: &Demand, size: &Generation) -> Cost {
    let kept = fleet
        .parts
        .kept(&engine.record.id, size.prompt)
        .min(size.tokens);
    let unread = size.tokens - kept;
    let rate = rate(engine);
    let reading = f64::from(unread) / rate;
    let ahead = engine.ahead(level(demand.priority));
    #[allow(clippy::cast_precision_loss)]
    let waiting = ahead as f64 / rate + slot_wait(engine);
    let far = if engine.record.zone == *demand.zone {
        0.0
    } else {
        millis(FAR)
    };
    let expected = millis(SETUP) + waiting + reading;
    let total = expected + READ_WEIGHT * reading + far + spread(engine, size.prompt);
    Cost {
        total,
        target: Target {
            engine: engine.record.id.clone(),
            unread,
            expected: from_millis(expected),
        },
    }
}

fn rate(engine: &Engine) -> f64 {
    let rate = if is_prefill(engine) {
        PREFILL_RATE
    } else {
        DECODE_RATE
    };
    rate / engine.pace
}

/// Calls beyond the slots wait for one to end; each is taken to need a tenth of a second.
fn slot_wait(engine: &Engine) -> f64 {
    let over = (engine.running() + 1).saturating_sub(engine.record.slots);
    100.0 * f64::from(over)
}

fn spread(engine: &Engine, prompt: &[Part]) -> f64 {
    let chain = prompt.first().map_or(0, |part| part.chain);
    millis(SPREAD) * share(chain, &engine.record.id)
}

/// A number from 0 to 1 that every instance computes alike for a chain and an engine.
fn share(chain: Chain, engine: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&chain.to_le_bytes());
    hasher.update(engine.as_bytes());
    let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
    f64::from(u32::from_le_bytes([a, b, c, d])) / f64::from(u32::MAX)
}

/// The engine to which a prompt's memory is handed at least cost.
fn taker(engines: &[&Engine], size: &Generation, source: &Zone) -> Option<Cost> {
    let moved = transfer(size);
    let takers = engines.iter().filter(|engine| !is_prefill(engine));
    best(takers.map(|engine| {
        let far = engine.record.zone != *source;
        let way = if far { 2.0 * moved } else { moved };
        let batch = f64::from(engine.running()) + slot_wait(engine);
        let total = way + batch * engine.pace + millis(HANDOVER);
        Cost {
            total,
            target: Target {
                engine: engine.record.id.clone(),
                unread: 0,
                expected: from_millis(total),
            },
        }
    }))
}

/// Time that a prompt's memory takes over the link, in milliseconds.
fn transfer(size: &Generation) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bits = f64::from(size.tokens) * size.model.token_bytes as f64 * 8.0;
    bits / (size.model.link_mbps.max(1.0) * 1_000.0)
}

fn refuse_if_late(choice: Choice, demand: &Demand) -> Choice {
    let expected = match &choice {
        Choice::Direct(target) => target.expected,
        Choice::Split { expected, .. } => *expected,
        Choice::Refuse { .. } => return choice,
    };
    let bound = demand.left.mul_f64(IN_TIME);
    if expected <= bound {
        return choice;
    }
    Choice::Refuse {
        after: expected - bound,
        why: Refusal::TooMuchWork,
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn from_millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1_000.0)
}
