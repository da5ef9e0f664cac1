//! Where a call goes. The load that this answers: prompts of which three quarters are shared, so
//! that an engine that has read the shared part before does a fourth of the work, under mixes that
//! swing within seconds. See `docs/design/placement.md` for the ways weighed.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::{Engine, Job, LATE, Rank, Stage};
use crate::parts::Part;
use crate::route::Model;
use crate::{EngineId, Fleet, ServiceName, Zone, hash, speed};

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
    pub target: Duration,
    /// This instance's data centre.
    pub zone: &'a Zone,
    /// Whether engines of its own data centre go first; see [`crate::cell`].
    pub own_cell: bool,
    /// Whether its prompt may be read at one engine for another one. A call whose prompt was read and
    /// then found no engine is not read once more: each further read counts as a repeat.
    pub may_split: bool,
    /// Time that sending the prompt to one engine takes this instance's link.
    pub sending: Duration,
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
        /// The place that it would have had, for the log.
        best: Option<Box<Target>>,
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
    /// Work that the prompt is there, in tokens of [`speed::work`].
    pub work: u32,
    /// Its urgency there.
    pub rank: Rank,
    /// Time to its first answer.
    pub expected: Duration,
    /// Engine from which it fetches parts of the prompt.
    pub fetch: Option<EngineId>,
}

/// Fixed time that handing a prompt's memory over takes, besides the bytes.
const HANDOVER: Duration = Duration::from_millis(15);
/// Fixed time that fetching parts of a prompt takes, besides the bytes.
const FETCH: Duration = Duration::from_millis(10);
/// How much a token that is fetched counts, against the time that reading it would take: its copy pushes
/// other parts out, which are then fetched or read again.
const COPY_WEIGHT: f64 = 1.5;
/// How much a token that must be read counts beyond the time that this call waits for it: reading
/// takes engine time from later calls. 1 means as much again.
const READ_WEIGHT: f64 = 1.5;
/// What reading counts beyond that by its square, a millisecond: a prompt that is being read holds
/// up all calls that come meanwhile, of which a few come a second to each engine.
const BLOCKING: f64 = 0.001;
/// Disadvantage of an engine in another data centre: the way there and back, and bytes between
/// data centres that are paid for.
const FAR: Duration = Duration::from_millis(6);
/// Weight of a millisecond of waiting for a call that cannot be on time. Not nothing, since its caller leaves in the end.
const LATE_HASTE: f64 = 0.2;
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
        let in_reach = !demand.own_cell || engine.record.zone == *demand.zone;
        in_reach && engine.health.is_open(now) && takes(engine, demand)
    })
}

/// If every engine rests, the one that rests soonest over is better than none.
fn any<'a>(fleet: &'a Fleet, demand: &'a Demand) -> impl Iterator<Item = &'a Engine> {
    fleet
        .ready(demand.service)
        .filter(|engine| takes(engine, demand))
}

/// Whether an engine may get a call, however it is.
///
/// An engine resets connections beyond those it takes from all instances, and a call that had been sent on
/// one may have run. One notices it by resets of calls at the fullest engines of a burst.
fn takes(engine: &Engine, demand: &Demand) -> bool {
    engine.running() < demand.connections && !demand.avoid.contains(&engine.record.id)
}

fn plain(fleet: &Fleet, demand: &Demand, now: Moment) -> Choice {
    let cost = |engine: &&Engine| plain_cost(engine, demand, now);
    let best = open(fleet, demand, now)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .or_else(|| any(fleet, demand).min_by(|a, b| cost(a).total_cmp(&cost(b))));
    match best {
        Some(engine) => Choice::Direct(Target {
            engine: engine.record.id.clone(),
            unread: 0,
            work: 0,
            rank: demand.priority,
            expected: Duration::ZERO,
            fetch: None,
        }),
        None => Choice::Refuse {
            after: NO_ENGINE_AFTER,
            why: Refusal::NoEngine,
            best: None,
        },
    }
}

/// Calls before this one, in units of the engine's slots, and what speaks against the engine.
fn plain_cost(engine: &Engine, demand: &Demand, now: Moment) -> f64 {
    let load = f64::from(engine.running() + 1) / f64::from(engine.record.slots.max(1));
    let far = if engine.record.zone == *demand.zone {
        0.0
    } else {
        0.1
    };
    load + far + 4.0 * engine.health.failures(now)
}

struct Cost {
    total: f64,
    target: Target,
}

fn generate(fleet: &Fleet, demand: &Demand, size: &Generation, now: Moment) -> Choice {
    if demand.own_cell {
        // Of the work at engines elsewhere nothing is known, so that they always look idle: they are
        // for calls that would be refused here.
        let choice = in_reach(fleet, demand, size, now);
        if !matches!(choice, Choice::Refuse { .. }) {
            return choice;
        }
    }
    let all = Demand {
        own_cell: false,
        ..*demand
    };
    in_reach(fleet, &all, size, now)
}

fn in_reach(fleet: &Fleet, demand: &Demand, size: &Generation, now: Moment) -> Choice {
    let choice = at_rank(fleet, demand, size, now);
    let choice = match expected(&choice) {
        Some(expected) if expected > demand.target => {
            let late = Demand {
                priority: demand.priority.saturating_add(LATE),
                ..*demand
            };
            at_rank(fleet, &late, size, now)
        }
        _ => choice,
    };
    refuse_if_late(choice, demand)
}

fn expected(choice: &Choice) -> Option<Duration> {
    match choice {
        Choice::Direct(target) => Some(target.expected),
        Choice::Split { expected, .. } => Some(*expected),
        Choice::Refuse { .. } => None,
    }
}

fn at_rank(fleet: &Fleet, demand: &Demand, size: &Generation, now: Moment) -> Choice {
    let mut engines: Vec<&Engine> = open(fleet, demand, now).collect();
    if engines
        .iter()
        .all(|e| e.record.stage == Some(Stage::Prefill))
    {
        engines = any(fleet, demand).collect();
    }
    let sources = sources(fleet, demand, size, now);
    let direct = best(
        engines
            .iter()
            .filter(|e| !is_prefill(e))
            .map(|e| read_cost(fleet, e, demand, size, &sources, now)),
    );
    let Some(direct) = direct else {
        return Choice::Refuse {
            after: NO_ENGINE_AFTER,
            why: Refusal::NoEngine,
            best: None,
        };
    };
    let prefill = best(
        engines
            .iter()
            .filter(|e| demand.may_split && is_prefill(e))
            .map(|e| read_cost(fleet, e, demand, size, &sources, now)),
    );
    let split = prefill.and_then(|prefill| {
        let source = fleet.get(&prefill.target.engine)?;
        let decode = taker(fleet, &engines, demand, size, &source.record.zone, now)?;
        Some((prefill, decode))
    });
    match split {
        Some((prefill, decode))
            if prefill.total + decode.total + millis(demand.sending) < direct.total =>
        {
            Choice::Split {
                expected: prefill.target.expected + decode.target.expected,
                prefill: prefill.target,
            }
        }
        _ => Choice::Direct(direct.target),
    }
}

/// Finds the engine that takes over the memory of a prompt that was read in a data centre.
pub fn decode(fleet: &Fleet, demand: &Demand, source: &Zone, now: Moment) -> Option<Target> {
    let size = demand.generation.as_ref()?;
    let mut engines: Vec<&Engine> = open(fleet, demand, now).collect();
    if engines.iter().all(|engine| is_prefill(engine)) {
        engines = any(fleet, demand).collect();
    }
    taker(fleet, &engines, demand, size, source, now).map(|cost| cost.target)
}

fn is_prefill(engine: &Engine) -> bool {
    engine.record.stage == Some(Stage::Prefill)
}

fn best(costs: impl Iterator<Item = Cost>) -> Option<Cost> {
    costs.min_by(|a, b| a.total.total_cmp(&b.total))
}

/// What it costs to have the prompt read at an engine, in milliseconds.
fn read_cost(
    fleet: &Fleet,
    engine: &Engine,
    demand: &Demand,
    size: &Generation,
    sources: &Sources,
    now: Moment,
) -> Cost {
    let speed = fleet.speed(engine);
    let kept = fleet.parts.kept(&engine.record.id, size.prompt);
    let kept = kept.min(size.tokens);
    let whole = Fetch {
        from: None,
        unread: size.tokens - kept,
        tokens: 0,
        takes: 0.0,
    };
    let cost = |fetch: &Fetch| {
        let work = speed::work(fetch.unread, size.tokens);
        fetch.takes + speed.time(u64::from(work)) * engine.pace
    };
    let fetches = sources
        .iter()
        .filter_map(|source| fetch(source, engine, size, kept));
    let fetch = fetches
        .chain([whole])
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .unwrap_or_default();
    let unread = fetch.unread;
    let work = speed::work(unread, size.tokens);
    let reading = speed.time(u64::from(work)) * engine.pace;
    let read = wait(fleet, engine, demand, work, now);
    let expected = speed.setup + slot_wait(engine) * engine.pace + fetch.takes + read;
    let copied = speed.time(u64::from(speed::work(fetch.tokens, size.tokens)));
    let total = haste(demand) * expected
        + COPY_WEIGHT * copied
        + READ_WEIGHT * reading
        + BLOCKING * reading * reading
        + beside(fleet, engine, reading)
        + far(engine, demand)
        + spread(engine, size.prompt);
    Cost {
        total,
        target: Target {
            engine: engine.record.id.clone(),
            unread,
            work,
            rank: demand.priority,
            expected: from_millis(expected * overrun(fleet, demand, now)),
            fetch: fetch.from,
        },
    }
}

/// How much longer than what is before it a call waits.
///
/// Calls that can be on time go before one that cannot, also those which come later. Without these it is expected to be
/// read as soon as what is there now is read; in a peak that never comes, its caller waits to the end for nothing, and
/// one notices it by calls that fail while hardly any are refused.
fn overrun(fleet: &Fleet, demand: &Demand, now: Moment) -> f64 {
    if demand.priority < LATE {
        return 1.0;
    }
    fleet.overrun(demand.service, now)
}

/// An engine that keeps the beginning of the prompt, the one that keeps most of its data centre.
struct Source<'a> {
    engine: &'a Engine,
    kept: u32,
}

type Sources<'a> = SmallVec<[Source<'a>; 4]>;

/// How an engine comes to the prompt.
#[derive(Clone, Debug, Default)]
struct Fetch {
    /// Engine from which it fetches parts.
    from: Option<EngineId>,
    /// Tokens that it reads.
    unread: u32,
    /// Tokens that it fetches.
    tokens: u32,
    /// Time for the transfer, in milliseconds.
    takes: f64,
}

/// Finds the engine of each data centre that keeps the most of a prompt.
fn sources<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    size: &Generation,
    now: Moment,
) -> Sources<'a> {
    let mut sources = Sources::new();
    for engine in fleet.ready(demand.service) {
        let kept = fleet.parts.kept(&engine.record.id, size.prompt);
        if kept == 0 || !engine.health.is_open(now) {
            continue;
        }
        let near = |source: &&mut Source| source.engine.record.zone == engine.record.zone;
        match sources.iter_mut().find(near) {
            Some(source) if source.kept >= kept => {}
            Some(source) => *source = Source { engine, kept },
            None => sources.push(Source { engine, kept }),
        }
    }
    sources
}

/// What it takes to fetch from a source, if it keeps more than the engine does.
fn fetch(source: &Source, engine: &Engine, size: &Generation, kept: u32) -> Option<Fetch> {
    let most = source.kept.min(size.tokens);
    let tokens = most.checked_sub(kept).filter(|&tokens| tokens > 0)?;
    let moved = transfer(size.model, tokens);
    let is_far = source.engine.record.zone != engine.record.zone;
    let way = if is_far { 2.0 * moved } else { moved };
    Some(Fetch {
        from: Some(source.engine.record.id.clone()),
        unread: size.tokens - most,
        tokens,
        takes: way + millis(FETCH),
    })
}

/// Time until work that is sent now is done, in milliseconds.
fn wait(fleet: &Fleet, engine: &Engine, demand: &Demand, work: u32, now: Moment) -> f64 {
    let new = Job {
        ticket: 0,
        sent: now,
        rank: demand.priority,
        work,
    };
    millis(engine.read_in(new, fleet.speed(engine).rate))
}

/// How much a millisecond of waiting counts for a call. One that cannot be on time is worth the same whenever its
/// answer comes, so that it must not make others late to be there sooner.
fn haste(demand: &Demand) -> f64 {
    if demand.priority < LATE {
        1.0
    } else {
        LATE_HASTE
    }
}

/// What reading here costs the streams beside it, in milliseconds.
fn beside(fleet: &Fleet, engine: &Engine, reading: f64) -> f64 {
    if is_prefill(engine) {
        return 0.0;
    }
    fleet.strain(engine) * reading * f64::from(engine.running())
}

fn far(engine: &Engine, demand: &Demand) -> f64 {
    if engine.record.zone == *demand.zone {
        0.0
    } else {
        millis(FAR)
    }
}

/// Calls beyond the slots wait for one to end; each is taken to need a tenth of a second.
fn slot_wait(engine: &Engine) -> f64 {
    let over = (engine.running() + 1).saturating_sub(engine.record.slots);
    100.0 * f64::from(over)
}

fn spread(engine: &Engine, prompt: &[Part]) -> f64 {
    let first = prompt.first().map_or(0, |part| part.id);
    millis(SPREAD) * hash::share(&format!("{first}{}", engine.record.id))
}

/// The engine to which a prompt's memory is handed at least cost.
fn taker(
    fleet: &Fleet,
    engines: &[&Engine],
    demand: &Demand,
    size: &Generation,
    source: &Zone,
    now: Moment,
) -> Option<Cost> {
    let moved = transfer(size.model, size.tokens);
    let takers = engines.iter().filter(|engine| !is_prefill(engine));
    best(takers.map(|engine| {
        let far = engine.record.zone != *source;
        let way = if far { 2.0 * moved } else { moved };
        let batch = f64::from(engine.running()) + slot_wait(engine);
        let total =
            way + batch * engine.pace + wait(fleet, engine, demand, 0, now) + millis(HANDOVER);
        Cost {
            total,
            target: Target {
                engine: engine.record.id.clone(),
                unread: 0,
                work: 0,
                rank: demand.priority,
                expected: from_millis(total),
                fetch: None,
            },
        }
    }))
}

/// Time that the memory of some tokens takes over the link, in milliseconds.
fn transfer(model: &Model, tokens: u32) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bits = f64::from(tokens) * model.token_bytes as f64 * 8.0;
    bits / (model.link_mbps.max(1.0) * 1_000.0)
}

fn refuse_if_late(choice: Choice, demand: &Demand) -> Choice {
    let Some(expected) = expected(&choice) else {
        return choice;
    };
    let bound = demand.left.mul_f64(IN_TIME);
    if expected <= bound {
        return choice;
    }
    Choice::Refuse {
        after: expected - bound,
        why: Refusal::TooMuchWork,
        best: match choice {
            Choice::Direct(target)
            | Choice::Split {
                prefill: target, ..
            } => Some(Box::new(target)),
            Choice::Refuse { best, .. } => best,
        },
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn from_millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1_000.0)
}
