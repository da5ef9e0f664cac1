//! Replay of streams that callers resume at an engine that also gets more new ones than it can read.

mod common;

use std::time::Duration;

use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::engine::Rank;
use serving::fleet::SentCall;
use serving::place::choose;
use serving::prior_wait::{Awaited, PriorWaits};
use serving::{Choice, Demand, Fleet, Stage};

const TOKENS: u32 = 2_000;
/// Time in which the engine reads such a prompt.
const READING: Duration = Duration::from_millis(60);
const TRAFFIC: u64 = 60_000;
const SEED: u64 = 11;
/// Time that callers wait in all, and what those have left that resume a stream.
const PATIENCE: Duration = Duration::from_secs(4);
const LEFT: Duration = Duration::from_millis(2_500);
/// Time that callers wait for an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_400);

struct Waiting {
    awaited: Awaited,
    at: Duration,
    rank: Rank,
    call: SentCall,
}

/// Begun and all calls of each kind.
#[derive(Default)]
struct Counts {
    first: (f64, f64),
    next: (f64, f64),
}

impl Counts {
    fn of(&mut self, awaited: Awaited) -> &mut (f64, f64) {
        match awaited {
            Awaited::FirstAnswer => &mut self.first,
            Awaited::NextEvent => &mut self.next,
        }
    }

    /// The shares of new streams that begin, and of resumed ones that go on.
    fn shares(&self) -> (f64, f64) {
        (self.first.0 / self.first.1, self.next.0 / self.next.1)
    }
}

/// Sends the engine a call every `interval` milliseconds on average, of which one in `resumed` resumes a
/// stream.
fn replay(interval: f64, resumed: f64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let mut waits = PriorWaits::default();
    let mut counts = Counts::default();
    let mut queue: Vec<Waiting> = Vec::new();
    let mut reading: Option<(Waiting, Duration)> = None;
    for now in (0..TRAFFIC).map(ms) {
        if let Some((read, _)) = reading.take_if(|(_, end)| *end <= now) {
            fleet.prompt_read(&read.call, now);
            fleet.end_call(&read.call, None, now);
            counts.of(read.awaited).0 += 1.0;
        }
        let has_left = |waiting: &mut Waiting| now >= waiting.at + EVENT_TIMEOUT;
        for gone in queue.extract_if(.., has_left) {
            fleet.end_call(&gone.call, None, now);
        }
        if rng.random::<f64>() < 1.0 / interval {
            let awaited = match rng.random::<f64>() < 1.0 / resumed {
                true => Awaited::NextEvent,
                false => Awaited::FirstAnswer,
            };
            counts.of(awaited).1 += 1.0;
            queue.extend(arrive(&mut fleet, &mut waits, awaited, now));
        }
        if reading.is_none() {
            let first = (0..queue.len()).min_by_key(|n| (queue[*n].rank, queue[*n].at));
            reading = first.map(|first| (queue.remove(first), now + READING));
        }
    }
    counts
}

fn arrive(
    fleet: &mut Fleet,
    waits: &mut PriorWaits,
    awaited: Awaited,
    now: Duration,
) -> Option<Waiting> {
    let left = match awaited {
        Awaited::FirstAnswer => PATIENCE,
        Awaited::NextEvent => LEFT,
    };
    let waited = waits.estimate("route", left, awaited, now);
    let (service, zone) = (service(), zone());
    let parts = prompt(&[(
        u32::try_from(now.as_millis()).expect("a short replay"),
        TOKENS,
    )]);
    let usual = demand(&service, &zone, Some(generation(&parts)));
    let demand = Demand {
        latency_target: usual.latency_target.saturating_sub(waited),
        time_left: left.min(EVENT_TIMEOUT),
        software: (awaited == Awaited::NextEvent).then_some("v1"),
        ..usual
    };
    let Choice::Direct(target) = choose(fleet, &demand, now) else {
        return None;
    };
    Some(Waiting {
        awaited,
        at: now,
        rank: target.rank,
        call: fleet.begin_call(&id("a"), target.work, target.rank, now),
    })
}

/// Guards against streams that callers resume in a peak and that wait behind all new ones until they are
/// refused, since the target of their first event was over.
#[test]
fn resumed_streams_go_on_as_often_as_new_ones_begin() {
    for interval in [50.0, 40.0, 30.0, 20.0, 10.0] {
        let (new, resumed) = replay(interval, 8.0).shares();
        println!("every {interval} ms: {new:.3} begin, {resumed:.3} go on");
        assert!(
            resumed >= new / 2.0,
            "every {interval} ms: {resumed:.3} of {new:.3}"
        );
    }
}

/// Guards against new streams that find no place behind those that are resumed.
#[test]
fn new_streams_begin_among_many_that_are_resumed() {
    for resumed in [1.25, 2.0, 3.0, 4.0] {
        let (new, going_on) = replay(20.0, resumed).shares();
        println!("one in {resumed} resumed: {new:.3} begin, {going_on:.3} go on");
        assert!(
            new >= going_on / 2.0,
            "one in {resumed}: {new:.3} of {going_on:.3}"
        );
    }
}
