//! Replays how a fleet that starts registers at a store that carries out one append after the other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::registration::{Outcome, Registration, Step};

const APPEND_MS: u64 = 4;
const ROUND_TRIP_MS: u64 = 6;
/// Appends that would wait longer are turned away.
const MAX_LINE_MS: u64 = 2_000;
/// Time for which a registrar gathers requests.
const BATCH_MS: u64 = 50;
/// A caller takes the outcome of a longer call for unknown.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// All start within this time.
const START_MS: f64 = 300.0;
/// One instance in this many has a fast link.
const FAST_EVERY: usize = 20;

fn address(number: usize) -> SocketAddr {
    let number = u32::try_from(number).expect("addresses are few");
    SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + number), 7_380))
}

struct Instance {
    registration: Registration,
    due_ms: u64,
    step: Step,
    is_done: bool,
}

/// What a start took.
struct Start {
    appends: usize,
    turned_away: usize,
    longest_line_ms: u64,
    last_registered_ms: u64,
}

/// A store's line of appends, and the list.
#[derive(Default)]
struct Store {
    free_at_ms: u64,
    listed: BTreeSet<usize>,
    /// When each appended batch can be read.
    pending: Vec<(u64, Vec<usize>)>,
    appends: usize,
    turned_away: usize,
    longest_line_ms: u64,
}

impl Store {
    /// When the append of a batch is answered; `None` if it is turned away.
    fn append(&mut self, batch: Vec<usize>, now: u64) -> Option<u64> {
        let line = self.free_at_ms.saturating_sub(now);
        self.longest_line_ms = self.longest_line_ms.max(line);
        if line > MAX_LINE_MS {
            self.turned_away += 1;
            return None;
        }
        self.appends += 1;
        self.free_at_ms = self.free_at_ms.max(now) + APPEND_MS;
        self.pending.push((self.free_at_ms, batch));
        Some(self.free_at_ms + ROUND_TRIP_MS)
    }

    fn settle(&mut self, now: u64) {
        let (done, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending = pending;
        let done: Vec<(u64, Vec<usize>)> = done;
        self.listed
            .extend(done.into_iter().flat_map(|(_, batch)| batch));
    }
}

/// Starts instances until all are registered or `limit_ms` is over.
fn start(count: usize, seed: u64, limit_ms: u64) -> Start {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut instances: Vec<Instance> = (0..count)
        .map(|number| {
            let link_mbps = if number % FAST_EVERY == 0 {
                1_000.0
            } else {
                20.0
            };
            let (registration, step) = Registration::crowded(link_mbps, rng.random());
            let begun: f64 = START_MS * rng.random::<f64>();
            let due = Duration::from_millis(begun as u64);
            Instance {
                registration,
                due_ms: due.as_millis() as u64,
                step,
                is_done: false,
            }
        })
        .collect();
    // A read begins after its pause.
    for instance in &mut instances {
        if let Step::Read(pause) = instance.step {
            instance.due_ms += pause.as_millis() as u64;
        }
    }
    let mut requested: Vec<Vec<usize>> = vec![Vec::new(); count];
    let mut registrar_free_at = vec![0; count];
    let mut last = 0;
    for now in 0..limit_ms {
        store.settle(now);
        for number in 0..count {
            // A registrar writes all requests that it has as soon as its last append is answered.
            if !requested[number].is_empty() && registrar_free_at[number] == now {
                let batch = std::mem::take(&mut requested[number]);
                if let Some(answered) = store.append(batch.clone(), now) {
                    registrar_free_at[number] = answered + BATCH_MS;
                    for asking in batch {
                        instances[asking].due_ms = answered + ROUND_TRIP_MS;
                    }
                }
            }
            if instances[number].is_done || instances[number].due_ms != now {
                continue;
            }
            let others: Vec<SocketAddr> = store
                .listed
                .iter()
                .filter(|other| **other != number)
                .map(|other| address(*other))
                .collect();
            let outcome = match instances[number].step {
                Step::Read(_) => Outcome::Listed {
                    is_registered: store.listed.contains(&number),
                    others: &others,
                },
                Step::Append if store.listed.contains(&number) => Outcome::Written,
                Step::Append => Outcome::Unwritten,
                Step::Ask(_) if store.listed.contains(&number) => Outcome::Written,
                Step::Ask(_) => Outcome::Unconfirmed,
                Step::Done => continue,
            };
            let step = instances[number].registration.next(outcome, rng.random());
            let wait = match step {
                Step::Read(pause) => pause.as_millis() as u64 + ROUND_TRIP_MS,
                Step::Append => store
                    .append(vec![number], now)
                    .map_or(CALL_TIMEOUT_MS, |answered| {
                        (answered - now).min(CALL_TIMEOUT_MS)
                    }),
                Step::Ask(other) => {
                    let other = (0..count).find(|n| address(*n) == other);
                    let other = other.expect("listed");
                    requested[other].push(number);
                    if registrar_free_at[other] <= now {
                        registrar_free_at[other] = now + BATCH_MS;
                    }
                    CALL_TIMEOUT_MS
                }
                Step::Done => {
                    last = now;
                    instances[number].is_done = true;
                    0
                }
            };
            instances[number].step = step;
            instances[number].due_ms = now + wait.max(1);
        }
        if instances.iter().all(|instance| instance.is_done) {
            break;
        }
    }
    assert!(
        instances.iter().all(|instance| instance.is_done),
        "{count} instances, seed {seed}"
    );
    Start {
        appends: store.appends,
        turned_away: store.turned_away,
        longest_line_ms: store.longest_line_ms,
        last_registered_ms: last,
    }
}

/// Guards against a start that never ends: with an append an instance, a thousand kept the line of
/// the store full with records that nobody waited for any more.
#[test]
fn a_fleet_that_starts_is_registered_in_a_few_appends() {
    for count in [6, 60, 250, 1_000, 2_000] {
        for seed in 1..=3 {
            let start = start(count, seed, 10_000);
            assert_eq!(start.turned_away, 0, "{count} instances, seed {seed}");
            println!(
                "{count} instances: {} appends, line {} ms, all registered after {} ms",
                start.appends, start.longest_line_ms, start.last_registered_ms
            );
            assert!(
                start.appends <= count.min(40 + count / 20),
                "{count} instances: {}",
                start.appends
            );
            assert!(
                start.longest_line_ms <= MAX_LINE_MS / 4,
                "{count}: {} ms",
                start.longest_line_ms
            );
            assert!(
                start.last_registered_ms <= 2_000,
                "{count}: {} ms",
                start.last_registered_ms
            );
        }
    }
}

/// Guards against repeated appends: one whose outcome is unknown may have been carried out.
#[test]
fn an_append_of_unknown_outcome_is_looked_up_before_it_is_repeated() {
    let (mut registration, first) = Registration::alone();
    assert_eq!(first, Step::Read(Duration::ZERO));
    let empty = Outcome::Listed {
        is_registered: false,
        others: &[],
    };
    assert_eq!(registration.next(empty, 0.5), Step::Append);
    assert!(
        matches!(registration.next(Outcome::Unwritten, 0.5), Step::Read(pause) if !pause.is_zero())
    );
    let listed = Outcome::Listed {
        is_registered: true,
        others: &[],
    };
    assert_eq!(registration.next(listed, 0.5), Step::Done);
}

/// Guards against instances that fail together and come back together for ever.
#[test]
fn pauses_after_failures_grow_and_differ() {
    let pauses = |draw: f64| {
        let (mut registration, _) = Registration::alone();
        let steps = (0..8).map(move |_| registration.next(Outcome::Unread, draw));
        let pauses = steps.map(|step| match step {
            Step::Read(pause) => pause,
            other => panic!("{other:?}"),
        });
        pauses.collect::<Vec<Duration>>()
    };
    let (early, late) = (pauses(0.0), pauses(0.99));
    assert!(early.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(early[4] >= early[0] * 8);
    assert!(early.iter().zip(&late).all(|(early, late)| late > early));
    assert!(late.iter().all(|pause| *pause <= Duration::from_secs(12)));
}

/// Guards against a registration that waits for instances that have ended.
#[test]
fn an_instance_that_nobody_confirms_appends_its_own_record() {
    let (mut registration, _) = Registration::crowded(1_000.0, 0.5);
    let others: Vec<SocketAddr> = (1..=10).map(address).collect();
    let mut step = registration.next(
        Outcome::Listed {
            is_registered: false,
            others: &others,
        },
        0.5,
    );
    let mut asked = BTreeSet::new();
    while let Step::Ask(other) = step {
        assert!(asked.insert(other));
        step = registration.next(Outcome::Unconfirmed, 0.5);
    }
    assert_eq!(step, Step::Append);
    assert_eq!(asked.len(), 3);
}
