//! What happens in a run, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, RngExt as _, SeedableRng as _};

/// What a link does instead of passing bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Passes all on.
    Pass,
    /// Passes all on later.
    Delay(Duration),
    /// Passes nothing on in either direction, on open connections and new ones.
    Silent,
    /// Passes nothing on that comes from the accepting side.
    OneWay,
    /// Resets open connections and new ones.
    Reset,
    /// Resets open connections and refuses new ones, since nothing listens there any more.
    Refuse,
}

/// How an engine fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Engine {
    /// It refuses, without running anything.
    Full,
    /// It runs calls and closes without an answer.
    LosesAnswers,
    /// It breaks streams off.
    Cuts,
    /// It answers other requests first.
    Crosses,
    /// It runs calls and answers 500.
    Fails,
    /// It runs calls and never answers.
    Hangs,
}

/// What is done to a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// Stopped and continued.
    Pause,
    /// Killed, and started again.
    Kill,
    /// Asked to end, and started again once it has.
    Stop,
    /// Asked to read its settings again.
    Reload,
}

/// What is wrong with the store for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It answers nothing.
    Silent,
    /// It refuses every call.
    Busy,
    /// It closes every connection.
    Reset,
}

/// What is wrong with the platform's interface for duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cloud {
    /// It carries calls out and answers none.
    Silent,
    /// It refuses every call.
    Busy,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// To one gateway, by its number.
    Process(usize, Process),
    /// To all gateways at once: killed, and started again.
    KillAll,
    /// To the link between callers and a gateway.
    Callers(usize, Link),
    /// To the link between a gateway and the store.
    StoreLink(usize, Link),
    /// To the store.
    Store(Store),
    /// The store forgets its history but the newest of each key.
    Compact,
    /// The store comes back from a copy that was made when this began.
    GoesBack,
    /// The platform's interface for duties does not answer.
    Cloud(Cloud),
    /// To the link between all gateways and an engine, by its number.
    EngineLink(usize, Link),
    /// To an engine.
    Engine(usize, Engine),
    /// An engine says that it leaves, and a new one comes.
    Leave(usize),
    /// An engine ends without a word; its record goes later, and a new one comes.
    Crash(usize),
    /// An engine ends and starts again under its name, at another address.
    Reborn(usize),
    /// Another program writes entries among the engines' records, one of them in the place of an engine's.
    Foreign(usize),
    /// A caller sends a call that ends each engine which runs it, again and again. Engines are back under their names or new
    /// ones.
    Fatal,
    /// An engine announces a rate limit, in requests per ten seconds.
    Limit(usize, u32),
    /// A new configuration, with one route more.
    Configure,
}

/// Something that happens at a time, and for how long where it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time since callers began.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub lasts: Duration,
    /// What.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_millis(), self.lasts.as_millis());
        write!(f, "at {at} ms for {lasts} ms: {:?}", self.kind)
    }
}

impl Fault {
    /// Whether it is planned work, during which no call may be cut.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.kind,
            Kind::Process(_, Process::Stop | Process::Reload) | Kind::Configure | Kind::Leave(_)
        )
    }
}

/// All that happens in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Where it was drawn from.
    pub seed: u64,
    /// How long callers send.
    pub length: Duration,
    /// Gateway processes.
    pub gateways: usize,
    /// Engines of plain calls.
    pub services: usize,
    /// Engines that generate.
    pub engines: usize,
    /// What happens, in order of time.
    pub faults: Vec<Fault>,
}

/// Sizes that a plan is not left to draw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Gateway processes.
    pub gateways: Option<usize>,
    /// Engines that generate.
    pub engines: Option<usize>,
}

/// Time before the first fault, in which the processes serve.
const LEAD: Duration = Duration::from_millis(800);
/// Longest time that a fault lasts.
const LONGEST: u64 = 4_000;
/// Shortest time that a fault lasts.
const SHORTEST: u64 = 150;
/// Mean time between two faults: they overlap more often than not.
const BETWEEN: u64 = 700;

/// Of this many seeds one has planned work only, during which no call may be cut. Among other faults
/// nobody could tell what cut a call.
const PLANNED: u64 = 3;

/// Of this many seeds one has engines that start again under their names and entries of another writer beside its other
/// faults.
const RENEWED: u64 = 4;
/// Of this many seeds one has a caller that sends a call which ends engines, beside its other faults.
const FATAL: u64 = 4;
/// Of this many seeds one has a store that comes back from copies, and an interface for duties that fails, beside its other faults.
const COPIED: u64 = 4;
/// Of this many seeds one has engines that announce rate limits, beside its other faults.
const LIMITED: u64 = 4;
/// How many engines.
const LIMITS: usize = 3;
/// Their rate limits, in requests per ten seconds.
const TAKEN: [u32; 4] = [2, 10, 15, 40];
/// How often either happens there.
const COPIES: usize = 2;
/// Longest time until it begins.
const FATAL_LEAD: u64 = 1_500;
/// How many engines that start again and entries there are, half of either.
const RENEWALS: usize = 4;

impl Plan {
    /// Draws a plan. The same seed and length give the same plan.
    pub fn draw(seed: u64, length: Duration) -> Self {
        Self::draw_sized(seed, length, Size::default())
    }

    /// Draws a plan for a world of a given size.
    pub fn draw_sized(seed: u64, length: Duration, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=4);
        let gateways = size.gateways.unwrap_or(drawn);
        let services = rng.random_range(2..=3);
        let drawn = rng.random_range(3..=8);
        let engines = size.engines.unwrap_or(drawn);
        let planned = seed.is_multiple_of(PLANNED);
        let count = (length.as_millis() / u128::from(BETWEEN)).max(1);
        let last = length.saturating_sub(LEAD).as_millis();
        let last = u64::try_from(last).unwrap_or(u64::MAX).max(1);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: LEAD + Duration::from_millis(rng.random_range(0..last)),
                lasts: Duration::from_millis(rng.random_range(SHORTEST..=LONGEST)),
                kind: if planned {
                    planned_kind(&mut rng, gateways, services + engines)
                } else {
                    kind(&mut rng, gateways, services + engines)
                },
            })
            .collect();
        if !planned && seed % RENEWED == RENEWED - 1 {
            // Drawn apart, so that the plans of other seeds stay as they were.
            let mut rng = StdRng::seed_from_u64(!seed);
            faults.extend((0..RENEWALS).map(|number| Fault {
                at: LEAD + Duration::from_millis(rng.random_range(0..last)),
                lasts: Duration::from_millis(rng.random_range(SHORTEST..=LONGEST)),
                kind: if number % 2 == 0 {
                    Kind::Reborn(rng.random_range(0..services + engines))
                } else {
                    Kind::Foreign(rng.random_range(0..services + engines))
                },
            }));
        }
        if !planned && seed % FATAL == 1 {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
            let at = LEAD + Duration::from_millis(rng.random_range(0..FATAL_LEAD));
            faults.push(Fault {
                at,
                lasts: length.saturating_sub(at),
                kind: Kind::Fatal,
            });
        }
        if !planned && seed % COPIED == COPIED / 2 {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
            faults.extend((0..2 * COPIES).map(|number| Fault {
                at: LEAD + Duration::from_millis(rng.random_range(0..last)),
                lasts: Duration::from_millis(rng.random_range(SHORTEST..=LONGEST)),
                kind: match number % 4 {
                    0 | 1 => Kind::GoesBack,
                    2 => Kind::Cloud(Cloud::Silent),
                    _ => Kind::Cloud(Cloud::Busy),
                },
            }));
        }
        if !planned && seed.is_multiple_of(LIMITED) {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(48));
            faults.extend((0..LIMITS).map(|_| {
                let at = LEAD + Duration::from_millis(rng.random_range(0..FATAL_LEAD));
                Fault {
                    at,
                    lasts: length.saturating_sub(at),
                    kind: Kind::Limit(
                        rng.random_range(0..services + engines),
                        pick(&mut rng, &TAKEN),
                    ),
                }
            }));
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            length,
            gateways,
            services,
            engines,
            faults,
        }
    }
}

fn kind(rng: &mut StdRng, gateways: usize, engines: usize) -> Kind {
    let gateway = rng.random_range(0..gateways);
    let engine = rng.random_range(0..engines);
    match rng.random_range(0..20) {
        0 => Kind::Process(gateway, Process::Pause),
        1 => Kind::Process(gateway, Process::Kill),
        2 | 3 => Kind::Process(gateway, Process::Stop),
        4 => Kind::Process(gateway, Process::Reload),
        5 => Kind::KillAll,
        6 => Kind::Callers(gateway, link(rng)),
        7 | 8 => Kind::StoreLink(gateway, link(rng)),
        9 => Kind::Store(pick(rng, &[Store::Silent, Store::Busy, Store::Reset])),
        10 => Kind::Compact,
        11 | 12 => Kind::EngineLink(engine, link(rng)),
        13..=15 => Kind::Engine(engine, trouble(rng)),
        16 => Kind::Leave(engine),
        17 => Kind::Crash(engine),
        _ => Kind::Configure,
    }
}

fn planned_kind(rng: &mut StdRng, gateways: usize, engines: usize) -> Kind {
    let gateway = rng.random_range(0..gateways);
    match rng.random_range(0..6) {
        0..=2 => Kind::Process(gateway, Process::Stop),
        3 => Kind::Process(gateway, Process::Reload),
        4 => Kind::Leave(rng.random_range(0..engines)),
        _ => Kind::Configure,
    }
}

fn link(rng: &mut StdRng) -> Link {
    let delay = Duration::from_millis(rng.random_range(5..400));
    pick(
        rng,
        &[Link::Delay(delay), Link::Silent, Link::OneWay, Link::Reset],
    )
}

fn trouble(rng: &mut StdRng) -> Engine {
    let all = [
        Engine::Full,
        Engine::LosesAnswers,
        Engine::Cuts,
        Engine::Crosses,
        Engine::Fails,
        Engine::Hangs,
    ];
    pick(rng, &all)
}

fn pick<T: Copy>(rng: &mut StdRng, all: &[T]) -> T {
    all[rng.random_range(0..all.len())]
}

/// Where callers draw from: apart from the plan, so that leaving a fault out changes nothing else.
pub fn callers(seed: u64, caller: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ caller.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A number for ids that no other run has.
pub fn mark(seed: u64) -> u64 {
    StdRng::seed_from_u64(seed).next_u64()
}
