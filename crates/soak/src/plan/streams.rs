//! Faults under which streams break off anywhere.

use std::time::Duration;

use platform_standin::Ending;
use rand::RngExt as _;
use rand::rngs::StdRng;

use super::{EngineFailure, Fault, FaultKind, LinkState, ProcessAction, WARM_UP, pick};

/// Bytes of a stream within which it breaks off.
const MAX_CUT_BYTES: usize = 140;
/// Longest pause before an engine sends its answer again.
const MAX_REPEAT_PAUSE_MS: u64 = 60;

/// Engines that break streams off after any number of bytes and others that answer twice, beside links that are
/// reset and gateways that stand still, while callers send streams.
/// `sizes` are the numbers of gateways, of engines for plain calls and of engines for generation.
pub(super) fn broken(
    rng: &mut StdRng,
    (gateways, services, engines): (usize, usize, usize),
    duration: Duration,
) -> Vec<Fault> {
    let end_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let start_ms = u64::try_from(WARM_UP.as_millis()).unwrap_or_default();
    let mut faults = vec![Fault {
        at: WARM_UP,
        duration: duration.saturating_sub(WARM_UP),
        kind: FaultKind::Streams,
    }];
    let mut at = start_ms;
    while at < end_ms {
        let gateway = rng.random_range(0..gateways);
        let engine = services + rng.random_range(0..engines);
        let ending = pick(rng, &[Ending::Reset, Ending::Close, Ending::Complete]);
        let cut = EngineFailure::CutsAtByte(rng.random_range(0..MAX_CUT_BYTES), ending);
        let pause = Duration::from_millis(rng.random_range(0..MAX_REPEAT_PAUSE_MS));
        // The others know where streams began.
        let ending_gateway = gateway / 2 * 2;
        let kind = match rng.random_range(0..12) {
            0..=5 => FaultKind::Engine(engine, cut),
            6 | 7 => FaultKind::Engine(engine, EngineFailure::AnswersTwice(pause)),
            8 => FaultKind::EngineLink(engine, LinkState::Reset),
            9 => FaultKind::Callers(gateway, LinkState::Reset),
            10 => FaultKind::Process(ending_gateway, ProcessAction::Pause),
            _ => FaultKind::Process(ending_gateway, ProcessAction::Kill),
        };
        faults.push(Fault {
            at: Duration::from_millis(at),
            duration: Duration::from_millis(rng.random_range(50..1_500)),
            kind,
        });
        at += rng.random_range(50..400);
    }
    faults
}
