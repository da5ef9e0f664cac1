//! The cost of placing a call at an engine, in milliseconds: its own waiting time, and the delay
//! that it causes to the calls and streams there. See `docs/design/placement.md` for the
//! alternatives.

use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, Job, LATE_RANK, Stage};
use crate::fetch::{self, Sources};
use crate::parts::Part;
use crate::place::{self, Demand, Generation, Target};
use crate::speed::Speed;
use crate::{Fleet, Zone, hash, speed};

/// Fixed overhead of handing a KV cache over to another engine.
const KV_HANDOVER: Duration = Duration::from_millis(15);
/// Weight of the time that reading the fetched tokens would take: their copy evicts other parts,
/// which are then fetched or read again.
const COPY_WEIGHT: f64 = 1.5;
/// Weight of reading time on top of this call's own wait: reading takes engine time from later
/// calls. At 1 it counts as much again.
const READ_WEIGHT: f64 = 1.5;
/// Weight of the squared reading time, per millisecond: a prompt that is being read delays all
/// calls that arrive meanwhile, a few per second at each engine.
const BLOCKING_WEIGHT: f64 = 0.001;
/// Cost of an engine in another data centre: the round trip, and bytes between data centres that
/// are paid for.
const OTHER_ZONE_COST: Duration = Duration::from_millis(6);
/// Cost of opening a connection: a round trip, the engine's accept, and one of the connections that
/// it takes. Without it an instance with one or two calls per second would open a connection for
/// nearly every call, because many engines cost the same.
const CONNECT_COST: Duration = Duration::from_millis(4);
/// Weight of a millisecond of waiting for a call that cannot be on time. Not zero, since its caller
/// leaves eventually.
const LATE_WAIT_WEIGHT: f64 = 0.2;
/// Range of the tie break: engines of nearly equal cost are ordered by a hash of the prompt, so
/// that instances that do not know each other's calls choose alike.
const TIE_BREAK_COST: Duration = Duration::from_millis(10);

/// A target and its cost.
pub(crate) struct Cost {
    pub total: f64,
    pub target: Target,
}

/// Whether the engine may generate the answer, as far as its stage and software tell.
pub(crate) fn may_generate(engine: &Engine, demand: &Demand) -> bool {
    !is_prefill(engine) && engine.record.continues(demand.software)
}

pub(crate) fn is_prefill(engine: &Engine) -> bool {
    engine.record.stage == Some(Stage::Prefill)
}

/// The target with the lowest cost.
pub(crate) fn cheapest(costs: impl Iterator<Item = Cost>) -> Option<Cost> {
    costs.min_by(|a, b| a.total.total_cmp(&b.total))
}

/// The cost of having an engine read the prompt, in milliseconds.
pub(crate) fn prefill_cost(
    fleet: &Fleet,
    engine: &Engine,
    demand: &Demand,
    generation: &Generation,
    sources: &Sources,
    now: Moment,
) -> Cost {
    let speed = fleet.speed(engine);
    let plan = fetch::quickest_prefill(fleet, engine, generation, sources, &speed);
    let prefill_tokens = plan.prefill_tokens;
    let work = speed::work(prefill_tokens, generation.tokens);
    let reading_ms = speed.millis(u64::from(work)) * engine.slowdown;
    let read_delay_ms = read_delay(engine, &speed, demand, work, now);
    let limit_wait = place::limit_wait(fleet, engine, demand, now).unwrap_or_default();
    let expected = millis(limit_wait)
        + speed.setup_ms
        + slot_wait(engine) * engine.slowdown
        + plan.transfer_ms
        + read_delay_ms;
    let copied_ms = speed.millis(u64::from(speed::work(
        plan.fetched_tokens,
        generation.tokens,
    )));
    let total = wait_weight(demand) * expected
        + COPY_WEIGHT * copied_ms
        + READ_WEIGHT * reading_ms
        + BLOCKING_WEIGHT * reading_ms * reading_ms
        + stream_cost(fleet, engine, reading_ms)
        + other_zone_cost(engine, demand)
        + connect_cost(engine, demand)
        + tie_break_cost(engine, generation.prompt);
    Cost {
        total,
        target: Target {
            engine: engine.record.id.clone(),
            prefill_tokens,
            work,
            rank: demand.priority,
            limit_wait,
            expected_latency: from_millis(expected * late_wait_factor(fleet, demand, now)),
            fetch_from: plan.fetch_from,
            placed_by: None,
        },
    }
}

/// The factor by which a late call waits longer than the work queued now suggests.
///
/// Calls that can be on time are read before a late one, even if they arrive later. Without the
/// factor a late call is expected to be read as soon as the present queue is; in a peak that never
/// happens, and its caller waits to the end and fails instead of being refused early.
fn late_wait_factor(fleet: &Fleet, demand: &Demand, now: Moment) -> f64 {
    if demand.priority < LATE_RANK {
        return 1.0;
    }
    fleet.wait_overrun(demand.service, now)
}

/// Time until the prompt has been read if it is sent now, in milliseconds.
fn read_delay(engine: &Engine, speed: &Speed, demand: &Demand, work: u32, now: Moment) -> f64 {
    let new = Job {
        ticket: 0,
        sent_at: now,
        rank: demand.priority,
        work,
    };
    millis(engine.time_until_read(new, speed.tokens_per_ms))
}

/// Weight of a millisecond of waiting. The answer of a late call is worth the same whenever it
/// comes, so a late call must not delay others to be read sooner.
fn wait_weight(demand: &Demand) -> f64 {
    if demand.priority < LATE_RANK {
        1.0
    } else {
        LATE_WAIT_WEIGHT
    }
}

/// The delay that reading the prompt causes to the streams at the engine, in milliseconds.
fn stream_cost(fleet: &Fleet, engine: &Engine, reading_ms: f64) -> f64 {
    let streams = engine.running_calls();
    if is_prefill(engine) || streams == 0 {
        return 0.0;
    }
    fleet.stream_delay_per_ms(engine) * reading_ms * f64::from(streams)
}

fn other_zone_cost(engine: &Engine, demand: &Demand) -> f64 {
    if engine.record.zone == *demand.zone {
        0.0
    } else {
        millis(OTHER_ZONE_COST)
    }
}

fn connect_cost(engine: &Engine, demand: &Demand) -> f64 {
    if demand.connected.contains(&engine.record.id) {
        0.0
    } else {
        millis(CONNECT_COST)
    }
}

/// Wait for a slot. Each call beyond the slots waits for another one to end, which is taken to need
/// 100 ms.
fn slot_wait(engine: &Engine) -> f64 {
    let excess = (engine.running_calls() + 1).saturating_sub(engine.record.slots);
    100.0 * f64::from(excess)
}

fn tie_break_cost(engine: &Engine, prompt: &[Part]) -> f64 {
    let first = prompt.first().map_or(0, |part| part.id);
    millis(TIE_BREAK_COST) * hash::combined_unit_interval(first, engine.id_hash)
}

/// The cheapest engine to take over a prompt's KV cache and generate.
pub(crate) fn decode_cost(
    fleet: &Fleet,
    engines: &[&Engine],
    demand: &Demand,
    generation: &Generation,
    source: &Zone,
    now: Moment,
) -> Option<Cost> {
    let transfer_ms = fetch::transfer_ms(generation.model, generation.tokens);
    let candidates = engines.iter().filter(|engine| may_generate(engine, demand));
    cheapest(candidates.map(|engine| {
        let is_far = engine.record.zone != *source;
        let path_ms = if is_far {
            2.0 * transfer_ms
        } else {
            transfer_ms
        };
        let batch = f64::from(engine.running_calls()) + slot_wait(engine);
        let limit_wait = place::limit_wait(fleet, engine, demand, now).unwrap_or_default();
        let total = millis(limit_wait)
            + path_ms
            + batch * engine.slowdown
            + read_delay(engine, &fleet.speed(engine), demand, 0, now)
            + connect_cost(engine, demand)
            + millis(KV_HANDOVER);
        Cost {
            total,
            target: Target {
                engine: engine.record.id.clone(),
                prefill_tokens: 0,
                work: 0,
                rank: demand.priority,
                limit_wait,
                expected_latency: from_millis(total),
                fetch_from: None,
                placed_by: None,
            },
        }
    }))
}

pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Longest time that a call is expected to take. Sizes of a configuration may make it longer than any duration.
const MAX_EXPECTED_MS: f64 = 86_400_000.0;

fn from_millis(time: f64) -> Duration {
    let bounded = if time > 0.0 {
        time.min(MAX_EXPECTED_MS)
    } else {
        0.0
    };
    Duration::from_secs_f64(bounded / 1_000.0)
}
