//! The calls of the replay: kinds, sizes, and when they come.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::parts::Part;

/// Microseconds of simulated time.
pub(crate) type Micros = u64;

pub(crate) const INSTANCES: usize = 4;
pub(crate) const PREFILL: usize = 4;
pub(crate) const DECODE: usize = 8;
/// Time a prompt has of its own, in which nobody else waits.
pub(crate) const SETUP: Micros = 90_000;
/// True speeds, in tokens of work a millisecond; the second one is not what the placement begins with.
pub(crate) const READ_RATES: (f64, f64) = (75.0, 22.0);
/// Step ahead of the end of a prompt at which an engine chooses the next one, in tokens of work.
pub(crate) const CHUNK_WORK: f64 = 2_048.0;
/// Time of a frame from one instance to another, with the gathering before it.
pub(crate) const FRAME_DELAY: Micros = 12_000;
/// Time of a transfer between two engines.
pub(crate) const TRANSFER_TIME: Micros = 20_000;
/// Traffic lasts this long, after a start in which engines read the shared parts.
pub(crate) const TRAFFIC_DURATION: Micros = 24_000_000;
pub(crate) const COUNTED_FROM: Micros = 4_000_000;
/// An outage, from and to.
pub(crate) const OUTAGE: (Micros, Micros) = (8_000_000, 10_000_000);
/// Time in which all come back after it.
pub(crate) const RETURN_SPREAD: Micros = 400_000;

/// A kind of call: share of the traffic in either half of a swing, shared parts and their size, own
/// size, target, rank.
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
    /// How long its caller had waited before.
    pub(crate) waited_before: Micros,
    pub(crate) instance: usize,
    pub(crate) prompt: Vec<Part>,
    pub(crate) tokens: u32,
    pub(crate) target: Micros,
    pub(crate) rank: u8,
    /// Whose it is.
    pub(crate) organisation: usize,
}

/// Organisations of callers, alike in what they send.
pub(crate) const ORGANISATIONS: usize = 10;
/// The one that sends more at times, and how much of its usual load.
pub(crate) const FLOODING: usize = 0;
pub(crate) const FLOOD_FACTOR: usize = 10;
/// What all send of their usual load at the worst.
pub(crate) const PEAK_FACTOR: usize = 3;

/// The same calls for every way, by a seed.
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

/// The same calls, but nobody is served for two seconds, and all who came meanwhile come back together.
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

/// Three times the same calls, from ten organisations, of which one sends ten times as much as the others.
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
            let mut more = call.clone();
            more.at += rng.random_range(0..1_000_000);
            more.instance = rng.random_range(0..INSTANCES);
            // Each asks something of its own.
            let last = more.prompt.len() - 1;
            more.prompt[last].id = 1_000_000 + rng.random_range(0..1_000_000_000);
            calls.push(more);
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

pub(crate) fn call(rng: &mut SmallRng, number: usize, kind: &Kind, at: Micros) -> Call {
    let shared_index = rng.random_range(0..kind.shared.0);
    // A product of three uniform numbers has the long tail that prompts have.
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
    /// Whether it is counted: it is not from the start, and can be on time.
    pub(crate) fn counts(&self) -> bool {
        self.at >= COUNTED_FROM && self.waited_before == 0
    }
}
