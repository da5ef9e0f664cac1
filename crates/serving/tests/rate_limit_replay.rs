//! Replay in simulated time of a service some or all of whose engines announce a rate limit: calls
//! arrive at random at eight instances, are placed, wait, or are refused and come back once.

#![allow(clippy::cast_precision_loss)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use common::{demand, fleet, generation, id, max_within_window, prompt, service, zone};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::place::{self, Target};
use serving::placer::Placers;
use serving::throttle::{Announcement, Rate};
use serving::{Choice, EngineId, Fleet, Stage};

const INSTANCES: usize = 8;
const PREFILL: usize = 8;
const DECODE: usize = 10;
const CALLS_PER_SECOND: f64 = 50.0;
/// Requests per second that an engine with a limit accepts.
const LIMIT_PER_SECOND: f64 = 1.5;
const TARGET: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(4);
/// Time from sending a prompt to a prefill engine until it has been read.
const READ_TIME: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(4);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A call arrives, for the first time or again.
    Arrive { call: usize, is_retry: bool },
    /// The prompt of a call has been read by a prefill engine.
    Read {
        call: usize,
        reserved: Option<EngineId>,
    },
}

struct Call {
    at: Moment,
    instance: usize,
}

#[derive(Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    refused: usize,
    /// Calls refused again after they had come back at the time they were given.
    refused_again: usize,
    wasted_reads: usize,
    /// When each engine got its requests.
    requests: Vec<(EngineId, Moment)>,
}

struct World {
    fleets: Vec<Fleet>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    rng: SmallRng,
    outcome: Outcome,
}

fn names() -> Vec<(String, Stage)> {
    let prefill = (0..PREFILL).map(|n| (format!("p{n}"), Stage::Prefill));
    let decode = (0..DECODE).map(|n| (format!("d{n}"), Stage::Decode));
    prefill.chain(decode).collect()
}

impl World {
    /// Engines whose number modulo ten is below `limited` announce a limit.
    fn new(seed: u64, limited: usize) -> Self {
        let names = names();
        let known: Vec<(&str, Stage)> = names.iter().map(|(n, s)| (n.as_str(), *s)).collect();
        let address =
            |n: usize| SocketAddr::from(([127, 0, 0, 1], u16::try_from(n).expect("a port") + 1));
        let fleets = (0..INSTANCES).map(|own| {
            let mut fleet = fleet(&known);
            let placers = Placers {
                includes_self: true,
                others: (0..INSTANCES)
                    .filter(|other| *other != own)
                    .map(|other| (address(other), 0))
                    .collect(),
            };
            fleet
                .throttles
                .set_placers(address(own), &placers, Moment::ZERO);
            for (number, (name, _)) in names.iter().enumerate() {
                if number % 10 < limited {
                    let announcement = Announcement {
                        limit: Some(Rate::try_from(LIMIT_PER_SECOND).expect("a rate")),
                        at: Moment::ZERO,
                    };
                    fleet.throttles.merge(&id(name), announcement, Moment::ZERO);
                }
            }
            fleet
        });
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        let mut at = 0.0;
        while at < DURATION.as_secs_f64() {
            at += -(1.0 - rng.random::<f64>()).ln() / CALLS_PER_SECOND;
            // Balancers spread connections unevenly.
            let instance = rng
                .random_range(0..INSTANCES)
                .min(rng.random_range(0..INSTANCES * 2));
            calls.push(Call {
                at: Duration::from_secs_f64(at),
                instance,
            });
        }
        let events = calls.iter().enumerate();
        let events = events.map(|(call, c)| {
            Reverse((
                c.at,
                Event::Arrive {
                    call,
                    is_retry: false,
                },
            ))
        });
        Self {
            fleets: fleets.collect(),
            events: events.collect(),
            calls,
            rng,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrive { call, is_retry } => self.arrive(call, is_retry, now),
                Event::Read { call, reserved } => self.read(call, reserved.as_ref(), now),
            }
        }
        self.outcome
    }

    fn arrive(&mut self, call: usize, is_retry: bool, now: Moment) {
        if is_retry {
            self.calls[call].instance = self.rng.random_range(0..INSTANCES);
        }
        match self.choose(call, true, now) {
            Choice::Direct(target) => self.send(call, &target, now),
            Choice::Split {
                prefill, reserved, ..
            } => {
                self.record_request(&prefill, now);
                let read = now + prefill.limit_wait + READ_TIME;
                self.events
                    .push(Reverse((read, Event::Read { call, reserved })));
            }
            Choice::Refuse {
                retry_after: after, ..
            } => self.refuse(call, is_retry, after, now),
        }
    }

    fn choose(&mut self, call: usize, may_split: bool, now: Moment) -> Choice {
        let (service, zone) = (service(), zone());
        let waited = now.saturating_sub(self.calls[call].at);
        let parts = prompt(&[(u32::try_from(call).expect("few calls"), 4_000)]);
        let demand = serving::Demand {
            may_split,
            latency_target: TARGET.saturating_sub(waited),
            time_left: DEADLINE.saturating_sub(waited),
            ..demand(&service, &zone, Some(generation(&parts)))
        };
        let fleet = &mut self.fleets[self.calls[call].instance];
        let mut choice = place::choose(fleet, &demand, now);
        place::commit(fleet, &demand, &mut choice, now);
        choice
    }

    fn read(&mut self, call: usize, reserved: Option<&EngineId>, now: Moment) {
        let (service, zone) = (service(), zone());
        let waited = now.saturating_sub(self.calls[call].at);
        let parts = prompt(&[(u32::try_from(call).expect("few calls"), 4_000)]);
        let demand = serving::Demand {
            latency_target: TARGET.saturating_sub(waited),
            reserved,
            time_left: DEADLINE.saturating_sub(waited),
            ..demand(&service, &zone, Some(generation(&parts)))
        };
        let fleet = &mut self.fleets[self.calls[call].instance];
        if let Some(target) = place::choose_decode(fleet, &demand, &zone, now) {
            place::charge(fleet, &demand, &target, now);
            self.send(call, &target, now);
            return;
        }
        self.outcome.wasted_reads += 1;
        match self.choose(call, false, now) {
            Choice::Direct(target) => self.send(call, &target, now),
            _ => self.outcome.refused += 1,
        }
    }

    fn record_request(&mut self, target: &Target, now: Moment) {
        let sent = (target.engine.clone(), now + target.limit_wait);
        self.outcome.requests.push(sent);
    }

    fn send(&mut self, call: usize, target: &Target, now: Moment) {
        self.record_request(target, now);
        if now + target.expected_latency <= self.calls[call].at + TARGET {
            self.outcome.on_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    /// A refused caller retries once, if its `Retry-After` is within a third of its remaining time.
    fn refuse(&mut self, call: usize, is_retry: bool, after: Duration, now: Moment) {
        let left = (self.calls[call].at + DEADLINE).saturating_sub(now);
        if is_retry || after > left / 3 {
            self.outcome.refused += 1;
            self.outcome.refused_again += usize::from(is_retry);
        } else {
            let back = Event::Arrive {
                call,
                is_retry: true,
            };
            self.events.push(Reverse((now + after, back)));
        }
    }
}

/// Mean number of requests per second at the engines of a stage that have a limit.
fn mean_requests_per_second(outcome: &Outcome, stage: Stage, limited: usize) -> f64 {
    let names = names();
    let names = names.iter().enumerate();
    let names = names.filter(|(number, (_, other))| number % 10 < limited && *other == stage);
    let engines: Vec<EngineId> = names.map(|(_, (name, _))| id(name)).collect();
    let requests = outcome.requests.iter();
    let requests = requests
        .filter(|(engine, _)| engines.contains(engine))
        .count();
    requests as f64 / engines.len() as f64 / DURATION.as_secs_f64()
}

/// The largest number of requests that one engine with a limit got within a window.
fn max_in_window(outcome: &Outcome, limited: usize) -> usize {
    let names = names();
    let names = names.iter().enumerate();
    let names = names.filter(|(number, _)| number % 10 < limited);
    let most = names.map(|(_, (name, _))| {
        let requests = outcome.requests.iter();
        let own = requests.filter(|(engine, _)| **engine == **name);
        let mut at: Vec<Moment> = own.map(|(_, at)| *at).collect();
        at.sort_unstable();
        max_within_window(&at, WINDOW)
    });
    most.max().unwrap_or(0)
}

fn assert_within_limit(outcome: &Outcome, limited: usize) {
    let most = max_in_window(outcome, limited);
    assert!(
        most as f64 <= 1.5 * LIMIT_PER_SECOND * WINDOW.as_secs_f64() + 5.0,
        "{most}"
    );
}

/// Guards against calls that wait or are refused because of limited engines while others have
/// capacity.
#[test]
fn unlimited_engines_serve_calls_that_limited_ones_cannot() {
    for (seed, limited) in [(1, 2), (2, 5), (3, 8)] {
        let outcome = World::new(seed, limited).run();
        assert_eq!(
            (outcome.late, outcome.refused),
            (0, 0),
            "{limited} of ten limited"
        );
        assert_within_limit(&outcome, limited);
    }
}

/// Guards against queues in which every call is late, unused limits, prompts read for nothing, and
/// callers that come back only to be refused again.
#[test]
fn calls_are_on_time_up_to_the_limits_of_all_engines() {
    for seed in 1..=5 {
        let outcome = World::new(seed, 10).run();
        assert_within_limit(&outcome, 10);
        println!(
            "seed {seed}: {} on time, {} late, {} refused ({} again), {} read in vain",
            outcome.on_time,
            outcome.late,
            outcome.refused,
            outcome.refused_again,
            outcome.wasted_reads
        );
        let used = mean_requests_per_second(&outcome, Stage::Decode, 10);
        assert!(
            used > 0.9 * LIMIT_PER_SECOND,
            "seed {seed}: {used} requests/s"
        );
        let served = outcome.on_time + outcome.late;
        assert!(
            outcome.on_time as f64 > 0.9 * served as f64,
            "seed {seed}: {} of {served}",
            outcome.on_time
        );
        assert_eq!(outcome.wasted_reads, 0, "seed {seed}");
        assert!(
            outcome.refused_again * 4 < outcome.refused,
            "seed {seed}: {} of {}",
            outcome.refused_again,
            outcome.refused
        );
    }
}
