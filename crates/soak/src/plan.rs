//! Plan of the faults of a run, generated from a seed.

use std::fmt;
use std::time::Duration;

use platform_standin::{Cut, Ending};
use rand::rngs::StdRng;
use rand::{Rng as _, RngExt as _, SeedableRng as _};

mod heads;
mod streams;

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards everything.
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Forwards nothing in either direction, on open and new connections.
    Silent,
    /// Forwards nothing that comes from the target.
    OneWay,
    /// Resets open and new connections.
    Reset,
    /// Resets open connections and refuses new ones, as if nothing listened there.
    Refuse,
}

/// How an engine fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFailure {
    /// It refuses calls without running them.
    Full,
    /// It runs calls and closes the connection without an answer.
    LosesAnswers,
    /// It closes streams early.
    Cuts,
    /// It breaks streams off after this many bytes, by a reset or an orderly end.
    CutsAtByte(usize, Ending),
    /// It sends each answer once more, after a pause.
    AnswersTwice(Duration),
    /// It answers with the response to another request.
    Crosses,
    /// It runs calls and answers 500.
    Fails,
    /// It runs calls and never answers.
    Hangs,
    /// It runs calls and closes after so many bytes of the head of each answer.
    EndsWithinHead(usize),
}

/// Action on a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// `SIGSTOP`, then `SIGCONT`.
    Pause,
    /// `SIGKILL`, then a restart.
    Kill,
    /// `SIGTERM`, then a restart once it has exited.
    Stop,
    /// `SIGHUP`, to reload its settings.
    Reload,
}

/// Failure of the store that all clients see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// It does not answer.
    Silent,
    /// It refuses every call.
    Busy,
    /// It closes every connection.
    Reset,
}

/// Failure of the platform's interface for usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudFailure {
    /// It executes calls without answering.
    Silent,
    /// It refuses every call.
    Busy,
}

/// Kind of a fault or of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Action on one gateway, by its index.
    Process(usize, ProcessAction),
    /// All gateways are killed at once and restarted.
    KillAll,
    /// State of the link between callers and a gateway.
    Callers(usize, LinkState),
    /// State of the link between a gateway and the store.
    StoreLink(usize, LinkState),
    /// Failure of the store.
    Store(StoreFailure),
    /// The store compacts its topics to the newest entry of each key.
    Compact,
    /// The store is restored from a backup taken when the fault began.
    GoesBack,
    /// Failure of the platform's interface for usage reports.
    Cloud(CloudFailure),
    /// State of the link between all gateways and an engine, by its index.
    EngineLink(usize, LinkState),
    /// Failure of an engine.
    Engine(usize, EngineFailure),
    /// An engine announces that it drains, and a new one replaces it.
    Leave(usize),
    /// An engine crashes; its record is removed later, and a new engine replaces it.
    Crash(usize),
    /// An engine crashes and restarts under the same name at another address.
    Reborn(usize),
    /// Another program writes entries to the engines' topic, one of them over an engine's record.
    Foreign(usize),
    /// A caller repeats a call that crashes each engine that runs it. Engines restart under their
    /// old names or under new ones.
    Fatal,
    /// A caller sends calls whose prompts share a part that crashes each engine which begins to
    /// generate after it, beside sound calls of the same first part.
    FatalPart,
    /// An engine announces a rate limit, in requests per ten seconds.
    Limit(usize, u32),
    /// An engine turns all calls away, and asks each sender for a pause of [`PAUSE`].
    Pause(usize),
    /// A new configuration with an additional route.
    Configure,
    /// An engine announces that it drains, and one of the software version [`UPGRADED`] replaces it.
    Upgrade(usize),
    /// All engines of the software version [`UPGRADED`] announce that they drain, and ones of the version
    /// before replace them.
    Rollback,
    /// The answers of all engines have neither a length nor chunks and end with their connections.
    Unframed,
    /// Callers send streams that may be resumed, and nothing else.
    Streams,
    /// A gateway loses its paths to all engines, and keeps those to callers, store and gateways.
    Isolation(usize, Cut),
    /// Every second engine for generation falls silent for all gateways at once, and is replaced.
    EndTogether,
}

/// Software version to which engines are upgraded.
pub const UPGRADED: &str = "v2";

/// Pause that engines ask for.
pub const PAUSE: Duration = Duration::from_secs(6);

/// A scheduled fault or piece of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, since the callers started.
    pub at: Duration,
    /// How long it lasts; ignored for kinds without an end.
    pub duration: Duration,
    /// What happens.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.as_millis(), self.duration.as_millis());
        write!(f, "at {at} ms for {duration} ms: {:?}", self.kind)
    }
}

impl Fault {
    /// Whether it is planned work, which must not cut any call.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Process(_, ProcessAction::Stop | ProcessAction::Reload)
                | FaultKind::Configure
                | FaultKind::Leave(_)
                | FaultKind::Upgrade(_)
                | FaultKind::Rollback
        )
    }
}

/// Sizes and faults of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed that generated it.
    pub seed: u64,
    /// How long the callers send.
    pub duration: Duration,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of engines for plain calls.
    pub services: usize,
    /// Number of engines for generation.
    pub engines: usize,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
}

/// Sizes that replace the generated ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of gateway processes.
    pub gateways: Option<usize>,
    /// Number of engines for generation.
    pub engines: Option<usize>,
}

/// Time before the first fault in which the processes serve undisturbed.
const WARM_UP: Duration = Duration::from_millis(800);
/// Longest duration of a fault.
const MAX_FAULT_MS: u64 = 4_000;
/// Shortest duration of a fault.
const MIN_FAULT_MS: u64 = 150;
/// Mean time between the starts of two faults, short enough that most faults overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;

/// One seed in this many has only planned work, which must not cut any call. Among other faults the
/// cause of a cut call would be unknown.
const PLANNED_ONLY_EVERY: u64 = 3;

/// One seed in this many adds engines that restart under their names, and entries of a foreign
/// writer.
const RESTARTS_EVERY: u64 = 4;
/// One seed in this many adds a caller whose call crashes engines.
const FATAL_EVERY: u64 = 4;
/// One seed in this many adds a caller whose prompts share a part that crashes engines.
const FATAL_PART_EVERY: u64 = 4;
/// One seed in this many adds restores of the store from backups, and failures of the interface for
/// usage reports.
const RESTORES_EVERY: u64 = 4;
/// One seed in this many adds engines that announce rate limits.
const RATE_LIMITS_EVERY: u64 = 4;
/// Number of engines that announce rate limits in such a plan.
const RATE_LIMIT_COUNT: usize = 3;
/// Rate limits to choose from, in requests per ten seconds.
const RATES_PER_TEN_SECONDS: [u32; 4] = [2, 10, 15, 40];
/// One seed in this many adds engines that leave while the store answers one gateway only.
const UNSEEN_LEAVINGS_EVERY: u64 = 5;
/// Number of engines that leave in such a plan.
const UNSEEN_LEAVING_COUNT: usize = 2;
/// Time from the silence of the store to the first leaving, and between two leavings.
const UNSEEN_LEAVING_INTERVAL: Duration = Duration::from_millis(400);
/// How long the store is silent in such a plan.
const UNSEEN_LEAVING_SILENCE: Duration = Duration::from_millis(4_000);
/// One seed in this many adds engines that ask for pauses.
const PAUSES_EVERY: u64 = 5;
/// One seed in this many adds gateways that lose their paths to all engines.
const ISOLATIONS_EVERY: u64 = 5;
/// One seed in this many adds engines that end together.
const JOINT_ENDS_EVERY: u64 = 6;
/// One seed in this many adds engines whose answers end with their connections.
const UNFRAMED_EVERY: u64 = 5;
/// Number of engines that cut such answers in such a plan.
const UNFRAMED_CUT_COUNT: usize = 2;
/// One seed in this many adds engines that break streams off anywhere, answer twice, and callers that send
/// streams only.
const BROKEN_STREAMS_EVERY: u64 = 10;
/// One seed in this many adds engines that stop within the heads of their answers.
const CUT_HEADS_EVERY: u64 = 7;
/// One seed in this many upgrades a part of the engines.
const UPGRADES_EVERY: u64 = 5;
/// Time between two upgrades.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(400);
/// One seed in this many releases another software version to all engines for generation and takes it
/// back, while a gateway is frozen, another one is cut off from the store and all are killed.
const ROLLBACKS_EVERY: u64 = 7;
/// Time from the freeze to the first upgrade of such a plan, and between two upgrades.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the kill of all to the rollback.
const ROLLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// Number of restores, and of interface failures, in such a plan.
const RESTORE_COUNT: usize = 2;
/// Longest time after the warm-up until fatal calls and rate limits begin.
const MAX_EARLY_START_MS: u64 = 1_500;
/// Number of restarts and foreign entries together in such a plan, half of each.
const RESTART_COUNT: usize = 4;

impl Plan {
    /// Generates a plan. The same seed and duration give the same plan.
    pub fn generate(seed: u64, duration: Duration) -> Self {
        Self::generate_sized(seed, duration, Size::default())
    }

    /// Generates a plan for a cluster of a given size.
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
            // A separate generator keeps the plans of other seeds unchanged.
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
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            faults.push(Fault {
                at,
                duration: duration.saturating_sub(at),
                kind: FaultKind::Fatal,
            });
        }
        if !planned && seed % FATAL_PART_EVERY == FATAL_PART_EVERY - 1 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(12));
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            faults.push(Fault {
                at,
                duration: duration.saturating_sub(at),
                kind: FaultKind::FatalPart,
            });
        }
        if !planned && seed % RESTORES_EVERY == RESTORES_EVERY / 2 {
            // A separate generator, for the same reason.
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
            // A separate generator, for the same reason.
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
        if !planned && seed % UNSEEN_LEAVINGS_EVERY == UNSEEN_LEAVINGS_EVERY - 1 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(8));
            faults.extend(unseen_leavings(&mut rng, gateways, services + engines));
        }
        if !planned && seed % PAUSES_EVERY == PAUSES_EVERY - 2 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(24));
            // Of engines that are alike the first is chosen, so these get most calls.
            faults.extend([0, services].map(|engine| {
                let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
                Fault {
                    at,
                    duration: duration.saturating_sub(at),
                    kind: FaultKind::Pause(engine),
                }
            }));
        }
        if !planned && seed % ISOLATIONS_EVERY == 2 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(40));
            let isolated = rng.random_range(1..gateways);
            let cut = pick(&mut rng, &[Cut::Silent, Cut::Reset, Cut::SilentNew]);
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            faults.extend((0..isolated).map(|gateway| Fault {
                at,
                duration: duration.saturating_sub(at),
                kind: FaultKind::Isolation(gateway, cut),
            }));
        }
        if !planned && seed % JOINT_ENDS_EVERY == 4 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(36));
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            faults.push(Fault {
                at,
                duration: Duration::from_millis(MAX_FAULT_MS),
                kind: FaultKind::EndTogether,
            });
        }
        if !planned && seed % UNFRAMED_EVERY == 1 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(56));
            let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            let duration = duration.saturating_sub(at);
            let kind = FaultKind::Unframed;
            faults.push(Fault { at, duration, kind });
            faults.extend((0..UNFRAMED_CUT_COUNT).map(|_| {
                let engine = services + rng.random_range(0..engines);
                let kind = FaultKind::Engine(engine, EngineFailure::Cuts);
                Fault { at, duration, kind }
            }));
        }
        if !planned && seed.is_multiple_of(BROKEN_STREAMS_EVERY) {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(20));
            let sizes = (gateways, services, engines);
            faults.extend(streams::broken(&mut rng, sizes, duration));
        }
        if !planned && seed % CUT_HEADS_EVERY == 4 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(20));
            faults.extend(heads::cut(&mut rng, services + engines, last_ms));
        }
        if !planned && seed.is_multiple_of(UPGRADES_EVERY) {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(4));
            let first = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
            // Engines of both stages stay on both versions.
            let upgraded = (services..services + engines).step_by(2);
            faults.extend(upgraded.zip(0..).map(|(engine, number)| Fault {
                at: first + UPGRADE_INTERVAL * number,
                duration: Duration::from_millis(rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS)),
                kind: FaultKind::Upgrade(engine),
            }));
        }
        if !planned && seed % ROLLBACKS_EVERY == 3 {
            // A separate generator, for the same reason.
            let mut rng = StdRng::seed_from_u64(seed.rotate_left(28));
            faults.extend(release_and_back(&mut rng, gateways, services, engines));
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

/// Engines that leave while the store is silent to all gateways but one.
fn unseen_leavings(rng: &mut StdRng, gateways: usize, engines: usize) -> Vec<Fault> {
    let served = rng.random_range(0..gateways);
    let at = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
    let silenced = (0..gateways).filter(|gateway| *gateway != served);
    let mut faults: Vec<Fault> = silenced
        .map(|gateway| Fault {
            at,
            duration: UNSEEN_LEAVING_SILENCE,
            kind: FaultKind::StoreLink(gateway, LinkState::Silent),
        })
        .collect();
    faults.extend((1..=UNSEEN_LEAVING_COUNT as u32).map(|number| Fault {
        at: at + UNSEEN_LEAVING_INTERVAL * number,
        duration: UNSEEN_LEAVING_SILENCE,
        kind: FaultKind::Leave(rng.random_range(0..engines)),
    }));
    faults
}

/// Upgrades of all engines for generation and their rollback, each beside a kill of all gateways. One gateway
/// is frozen and one is cut off from the store since before the first upgrade.
fn release_and_back(
    rng: &mut StdRng,
    gateways: usize,
    services: usize,
    engines: usize,
) -> Vec<Fault> {
    let start = WARM_UP + Duration::from_millis(rng.random_range(0..MAX_EARLY_START_MS));
    let fault = |at: Duration, duration_ms, kind| Fault {
        at,
        duration: Duration::from_millis(duration_ms),
        kind,
    };
    let frozen = rng.random_range(0..gateways);
    let cut_off = (frozen + 1) % gateways;
    let freeze = FaultKind::Process(frozen, ProcessAction::Pause);
    let cut = FaultKind::StoreLink(cut_off, LinkState::Silent);
    let mut faults = vec![
        fault(start, rng.random_range(800..2_500), freeze),
        fault(start, rng.random_range(800..2_500), cut),
    ];
    let mut at = start;
    for engine in services..services + engines {
        at += RELEASE_INTERVAL;
        let kind = FaultKind::Upgrade(engine);
        faults.push(fault(at, rng.random_range(300..1_200), kind));
    }
    let killed = start + Duration::from_millis(rng.random_range(600..2_500));
    let rollback = killed.max(at) + ROLLBACK_DELAY;
    let killed_again = rollback + Duration::from_millis(rng.random_range(100..1_200));
    faults.extend([
        fault(killed, 0, FaultKind::KillAll),
        fault(rollback, rng.random_range(300..1_200), FaultKind::Rollback),
        fault(killed_again, 0, FaultKind::KillAll),
    ]);
    faults
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

/// Random numbers of a caller, separate from those of the plan so that removing a fault changes
/// nothing else.
pub fn caller_rng(seed: u64, caller: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ caller.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A number for request ids that is unique to the run.
pub fn run_id(seed: u64) -> u64 {
    StdRng::seed_from_u64(seed).next_u64()
}
