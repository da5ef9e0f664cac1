//! The calls of the replay: their kinds, sizes and arrival times.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::parts::Part;

/// Microseconds of simulated time.
pub(crate) type Micros = u64;

pub(crate) const INSTANCES: usize = 4;
pub(crate) const PREFILL: usize = 4;
pub(crate) const DECODE: usize = 8;
/// Setup time of a prompt, in which no other prompt waits.
pub(crate) const SETUP: Micros = 90_000;
/// True reading speeds of prefill and decode engines, in tokens of work per millisecond; the second
/// differs from the initial estimate.
pub(crate) const READ_RATES: (f64, f64) = (75.0, 22.0);
/// Work before the end of a prompt at which an engine chooses the next one, in tokens.
pub(crate) const CHUNK_WORK: f64 = 2_048.0;
/// Least duration of a step.
pub(crate) const MIN_STEP: Micros = 3_500;
/// Bounds of the time after which a report of a first answer arrives.
pub(crate) const REPORT_DELAY: (Micros, Micros) = (10_000, 30_000);
/// Delay of a frame between instances, including batching.
pub(crate) const FRAME_DELAY: Micros = 12_000;
/// Duration of a transfer between two engines.
pub(crate) const TRANSFER_TIME: Micros = 20_000;
/// Duration of the traffic, including a warm-up in which engines read the shared parts.
pub(crate) const TRAFFIC_DURATION: Micros = 24_000_000;
pub(crate) const COUNTED_FROM: Micros = 4_000_000;
/// Learned speeds are compared from here on, at engines that have read this many prompts.
pub(crate) const CHECKED_FROM: Micros = 8_000_000;
pub(crate) const MIN_READ_COUNT: usize = 70;
/// Ratio to the truth up to which a learned speed holds.
pub(crate) const SPEED_TOLERANCE: f64 = 1.25;
/// Start and end of the outage.
pub(crate) const OUTAGE: (Micros, Micros) = (8_000_000, 10_000_000);
/// Time within which all callers come back after it.
pub(crate) const RETURN_SPREAD: Micros = 400_000;

/// A kind of call: its rates per second in either half of a mix cycle, the number and size of
/// shared parts, mean size of its own part, target and rank.
pub(crate) struct Kind {
    rates: (f64, f64),
    shared: (u32, u32),
    own: f64,
    target_ms: u64,
    rank: u8,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        rates: (14.0, 14.0),
        shared: (50, 13_300),
        own: 3_720.0,
        target_ms: 800,
        rank: 2,
    },
    Kind {
        rates: (12.0, 4.0),
        shared: (25, 6_300),
        own: 2_890.0,
        target_ms: 600,
        rank: 1,
    },
    Kind {
        rates: (10.0, 26.0),
        shared: (80, 350),
        own: 1_110.0,
        target_ms: 500,
        rank: 0,
    },
];

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) at: Micros,
    /// How long its caller had waited already.
    pub(crate) waited_before: Micros,
    pub(crate) instance: usize,
    pub(crate) prompt: Vec<Part>,
    pub(crate) tokens: u32,
    pub(crate) target: Micros,
    pub(crate) rank: u8,
    /// The organisation that it belongs to.
    pub(crate) organisation: usize,
}

/// Number of organisations, which send alike.
pub(crate) const ORGANISATIONS: usize = 10;
/// The organisation that floods, and the factor by which it exceeds the others.
pub(crate) const FLOODING: usize = 0;
pub(crate) const FLOOD_FACTOR: usize = 10;
/// Factor on the load of all organisations in the flood.
pub(crate) const PEAK_FACTOR: usize = 3;

/// The calls for a seed, the same for every policy.
pub(crate) fn calls(seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for (number, kind) in KINDS.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let swing = ((at / 2.8e6) as u64).is_multiple_of(2);
            let rate = if swing { kind.rates.0 } else { kind.rates.1 };
            at += -rng.random::<f64>().max(1e-9).ln() / rate * 1e6;
            if at >= TRAFFIC_DURATION as f64 {
                break;
            }
            calls.push(call(&mut rng, number, kind, at as Micros));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// The same calls, but none is served for two seconds, and all callers from that time come back
/// together.
pub(crate) fn calls_with_outage(seed: u64) -> Vec<Call> {
    let mut calls = calls(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for call in &mut calls {
        if (OUTAGE.0..OUTAGE.1).contains(&call.at) {
            let returns_at = OUTAGE.1 + rng.random_range(0..RETURN_SPREAD);
            call.waited_before = returns_at - call.at;
            call.at = returns_at;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Factors on the reading times of a service's engines in turn.
pub(crate) const PACES: [f64; 3] = [0.7, 0.7, 1.7];
/// Stalls of single engines: how long one lasts, the factor on reading times in it, and the share of
/// the time.
pub(crate) const STALL_TIME: Micros = 600_000;
pub(crate) const STALL_FACTOR: f64 = 2.5;
pub(crate) const STALLED_SHARE: f64 = 0.15;

/// The same calls several times, within a second of each other.
pub(crate) fn calls_times(seed: u64, times: usize) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = calls(seed);
    for call in calls.clone() {
        for _ in 1..times {
            calls.push(repeated(&mut rng, &call));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// A call like another one, within a second after it.
fn repeated(rng: &mut SmallRng, call: &Call) -> Call {
    let mut more = call.clone();
    more.at += rng.random_range(0..1_000_000);
    more.instance = rng.random_range(0..INSTANCES);
    // Each prompt ends with a part of its own.
    let last = more.prompt.len() - 1;
    more.prompt[last].id = 1_000_000 + rng.random_range(0..1_000_000_000);
    more
}

/// Three times the same calls from ten organisations, one of which sends ten times as much as the
/// others.
pub(crate) fn calls_with_flood(seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = calls(seed);
    for call in &mut calls {
        call.organisation = rng.random_range(0..ORGANISATIONS);
    }
    for call in calls.clone() {
        let times = if call.organisation == FLOODING {
            PEAK_FACTOR * FLOOD_FACTOR
        } else {
            PEAK_FACTOR
        };
        for _ in 1..times {
            calls.push(repeated(&mut rng, &call));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

pub(crate) fn call(rng: &mut SmallRng, number: usize, kind: &Kind, at: Micros) -> Call {
    let shared_index = rng.random_range(0..kind.shared.0);
    // A product of three uniform numbers has the long tail that prompt sizes have.
    let tail: f64 = (0..3).map(|_| 2.0 * rng.random::<f64>()).product();
    let own = (kind.own * tail) as u32 + 50;
    let shared = Part {
        id: number as u32 * 1_000 + shared_index,
        tokens: kind.shared.1,
    };
    let last = Part {
        id: 1_000_000 + rng.random_range(0..1_000_000_000),
        tokens: own,
    };
    Call {
        at,
        waited_before: 0,
        instance: rng.random_range(0..INSTANCES),
        prompt: vec![shared, last],
        tokens: kind.shared.1 + own,
        target: kind.target_ms * 1_000,
        rank: kind.rank,
        organisation: 0,
    }
}

impl Call {
    /// Whether it is counted: it arrives after the warm-up and can be on time.
    pub(crate) fn counts(&self) -> bool {
        self.at >= COUNTED_FROM && self.waited_before == 0
    }
}
