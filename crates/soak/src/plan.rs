//! What happens in a run, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, RngExt as _, SeedableRng as _};

/// What a link does instead of passing bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
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
pub enum EngineFailure {
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
pub enum ProcessAction {
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
pub enum StoreFailure {
    /// It answers nothing.
    Silent,
    /// It refuses every call.
    Busy,
    /// It closes every connection.
    Reset,
}

/// What is wrong with the platform's interface for duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudFailure {
    /// It carries calls out and answers none.
    Silent,
    /// It refuses every call.
    Busy,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// To one gateway, by its number.
    Process(usize, ProcessAction),
    /// To all gateways at once: killed, and started again.
    KillAll,
    /// To the link between callers and a gateway.
    Callers(usize, LinkState),
    /// To the link between a gateway and the store.
    StoreLink(usize, LinkState),
    /// To the store.
    Store(StoreFailure),
    /// The store forgets its history but the newest of each key.
    Compact,
    /// The store comes back from a copy that was made when this began.
    GoesBack,
    /// The platform's interface for duties does not answer.
    Cloud(CloudFailure),
    /// To the link between all gateways and an engine, by its number.
    EngineLink(usize, LinkState),
    /// To an engine.
    Engine(usize, EngineFailure),
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
    pub duration: Duration,
    /// What.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_millis(), self.duration.as_millis());
        write!(f, "at {at} ms for {lasts} ms: {:?}", self.kind)
    }
}

impl Fault {
    /// Whether it is planned work, during which no call may be cut.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Process(_, ProcessAction::Stop | ProcessAction::Reload)
                | FaultKind::Configure
                | FaultKind::Leave(_)
        )
    }
}

/// All that happens in a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Where it was drawn from.
    pub seed: u64,
    /// How long callers send.
    pub duration: Duration,
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
const WARM_UP: Duration = Duration::from_millis(800);
/// Longest time that a fault lasts.
const MAX_FAULT_MS: u64 = 4_000;
/// Shortest time that a fault lasts.
const MIN_FAULT_MS: u64 = 150;
/// Mean time between two faults: they overlap more often than not.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;

/// Of this many seeds one has planned work only, during which no call may be cut. Among other faults
/// nobody could tell what cut a call.
const PLANNED_ONLY_EVERY: u64 = 3;

/// Of this many seeds one has engines that start again under their names and entries of another writer beside its other
/// faults.
const RESTARTS_EVERY: u64 = 4;
/// Of this many seeds one has a caller that sends a call which ends engines, beside its other faults.
const FATAL_EVERY: u64 = 4;
/// Of this many seeds one has a store that comes back from copies, and an interface for duties that fails, beside its other faults.
const RESTORES_EVERY: u64 = 4;
/// Of this many seeds one has engines that announce rate limits, beside its other faults.
const RATE_LIMITS_EVERY: u64 = 4;
/// How many engines.
const RATE_LIMIT_COUNT: usize = 3;
/// Their rate limits, in requests per ten seconds.
const RATES_PER_TEN_SECONDS: [u32; 4] = [2, 10, 15, 40];
/// How often either happens there.
const RESTORE_COUNT: usize = 2;
/// Longest time until it begins.
const MAX_EARLY_START_MS: u64 = 1_500;
/// How many engines that start again and entries there are, half of either.
const RESTART_COUNT: usize = 4;

impl Plan {
    /// Draws a plan. The same seed and length give the same plan.
    pub fn generate(seed: u64, duration: Duration) -> Self {
        Self::generate_sized(seed, duration, Size::default())
    }

    /// Draws a plan for a world of a given size.
    pub fn generate_sized(seed: u64, duration: Duration, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=4);
        let gateways = size.gateways.unwrap_or(drawn);
        let services = rng.random_range(2..=3);
        let drawn = rng.random_range(3..=8);
        let engines = size.engines.unwrap_or(drawn);
        let planned = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let count = (duration.as_millis() / u128::from(MEAN_FAULT_INTERVAL_MS)).max(1);
        let last_ms = duration.saturating_sub(WARM_UP).as_millis();
        let last_ms = u64::try_from(last_ms).unwrap_or(u64::MAX).max(1);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: WARM_UP + Duration::from_millis(rng.random_range(0..last_ms)),
                duration: Duration::from_millis(rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS)),
                kind: if planned {
                    random_planned_work(&mut rng, gateways, services + engines)
                } else {
                    random_fault(&mut rng, gateways, services + engines)
                },
            })
            .collect();
        if !planned && seed % RESTARTS_EVERY == RESTARTS_EVERY - 1 {
            // Drawn apart, so that the plans of other seeds stay as they were.
            let mut rng = StdRng::seed_from_u64(!seed);
            faults.extend((0..RESTART_COUNT).map(|number| Fault {
                at: WARM_UP + Duration::from_millis(rng.random_range(0..last_ms)),
                duration: Duration::from_millis(rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS)),
                kind: if number % 2 == 0 {
                    FaultKind::Reborn(rng.random_range(0..services + engines))
                } else {
                    FaultKind::Foreign(rng.random_range(0..services + engines))
                },
            }));
        }
        if !planned && seed % FATAL_EVERY == 1 {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            faults.push(Fault {
                at,
                duration: duration.saturating_sub(at),
                kind: FaultKind::Fatal,
            });
        }
        if !planned && seed % RESTORES_EVERY == RESTORES_EVERY / 2 {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
            faults.extend((0..2 * RESTORE_COUNT).map(|number| Fault {
                at: WARM_UP + Duration::from_millis(rng.random_range(0..last_ms)),
                duration: Duration::from_millis(rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS)),
                kind: match number % 4 {
                    0 | 1 => FaultKind::GoesBack,
                    2 => FaultKind::Cloud(CloudFailure::Silent),
                    _ => FaultKind::Cloud(CloudFailure::Busy),
                },
            }));
        }
        if !planned && seed.is_multiple_of(RATE_LIMITS_EVERY) {
            // Drawn apart, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(48));
            faults.extend((0..RATE_LIMIT_COUNT).map(|_| {
                let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
                Fault {
                    at,
                    duration: duration.saturating_sub(at),
                    kind: FaultKind::Limit(
                        rng.random_range(0..services + engines),
                        pick(&mut rng, &RATES_PER_TEN_SECONDS),
                    ),
                }
            }));
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            duration,
            gateways,
            services,
            engines,
            faults,
        }
    }
}

fn random_fault(rng: &mut StdRng, gateways: usize, engines: usize) -> FaultKind {
    let gateway = rng.random_range(0..gateways);
    let engine = rng.random_range(0..engines);
    match rng.random_range(0..20) {
        0 => FaultKind::Process(gateway, ProcessAction::Pause),
        1 => FaultKind::Process(gateway, ProcessAction::Kill),
        2 | 3 => FaultKind::Process(gateway, ProcessAction::Stop),
        4 => FaultKind::Process(gateway, ProcessAction::Reload),
        5 => FaultKind::KillAll,
        6 => FaultKind::Callers(gateway, random_link_state(rng)),
        7 | 8 => FaultKind::StoreLink(gateway, random_link_state(rng)),
        9 => FaultKind::Store(pick(
            rng,
            &[
                StoreFailure::Silent,
                StoreFailure::Busy,
                StoreFailure::Reset,
            ],
        )),
        10 => FaultKind::Compact,
        11 | 12 => FaultKind::EngineLink(engine, random_link_state(rng)),
        13..=15 => FaultKind::Engine(engine, random_engine_failure(rng)),
        16 => FaultKind::Leave(engine),
        17 => FaultKind::Crash(engine),
        _ => FaultKind::Configure,
    }
}

fn random_planned_work(rng: &mut StdRng, gateways: usize, engines: usize) -> FaultKind {
    let gateway = rng.random_range(0..gateways);
    match rng.random_range(0..6) {
        0..=2 => FaultKind::Process(gateway, ProcessAction::Stop),
        3 => FaultKind::Process(gateway, ProcessAction::Reload),
        4 => FaultKind::Leave(rng.random_range(0..engines)),
        _ => FaultKind::Configure,
    }
}

fn random_link_state(rng: &mut StdRng) -> LinkState {
    let delay = Duration::from_millis(rng.random_range(5..400));
    pick(
        rng,
        &[
            LinkState::Delay(delay),
            LinkState::Silent,
            LinkState::OneWay,
            LinkState::Reset,
        ],
    )
}

fn random_engine_failure(rng: &mut StdRng) -> EngineFailure {
    let all = [
        EngineFailure::Full,
        EngineFailure::LosesAnswers,
        EngineFailure::Cuts,
        EngineFailure::Crosses,
        EngineFailure::Fails,
        EngineFailure::Hangs,
    ];
    pick(rng, &all)
}

fn pick<T: Copy>(rng: &mut StdRng, all: &[T]) -> T {
    all[rng.random_range(0..all.len())]
}

/// Where callers draw from: apart from the plan, so that leaving a fault out changes nothing else.
pub fn caller_rng(seed: u64, caller: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ caller.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A number for ids that no other run has.
pub fn run_id(seed: u64) -> u64 {
    StdRng::seed_from_u64(seed).next_u64()
}
