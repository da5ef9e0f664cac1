//! Replays how long a leaving stays unread while the store is silent to the readers and to some of
//! those that read in their place.

mod common;

use common::ms;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use serving::watch::{ReaderReport, TopicState, Waits, Watch};

const INSTANCES: usize = 8;
/// Times after which an engine that leaves must get no more requests, on small and on grown
/// deployments.
const DRAIN_MS: [u64; 2] = [2_000, 3_000];
/// Time from the reader's answer to the last instance that it informs.
const ANNOUNCE_MS: u64 = 50;

const STEP_MS: usize = 10;
const SILENT_FROM_MS: u64 = 6_000;
const END_MS: u64 = 12_000;
const READ_INTERVAL_MS: u64 = 400;
const ANSWER_MS: u64 = 10;
const CALL_TIMEOUT_MS: u64 = 1_500;
const RETRY_MS: u64 = 200;
const POLL_MS: u64 = 100;
const STATE_MS: u64 = 450;

#[derive(Clone, Default)]
struct Instance {
    watch: Watch,
    is_silenced: bool,
    call_since: Option<u64>,
    due: u64,
    phase: u64,
    last_read: Option<u64>,
    /// When it last announced itself, and its last read as announced.
    announced: Option<(u64, Option<u64>)>,
}

impl Instance {
    fn report(&self, order: usize) -> Option<ReaderReport> {
        let (heard, read) = self.announced?;
        Some(ReaderReport {
            order: order as u64,
            heard_at: ms(heard),
            read_at: read.map(ms),
            state: TopicState::default(),
        })
    }

    /// Ends a call that is answered or times out. Returns whether the answer is newer than `since`.
    fn end_call(&mut self, now: u64, since: u64) -> bool {
        let Some(started) = self.call_since else {
            return false;
        };
        let hangs = self.is_silenced && started + ANSWER_MS >= SILENT_FROM_MS;
        if !hangs && now >= started + ANSWER_MS {
            self.call_since = None;
            self.last_read = Some(now);
            return started >= since;
        }
        if now >= started + CALL_TIMEOUT_MS {
            self.call_since = None;
            self.last_read = None;
            self.due = now + RETRY_MS;
        }
        false
    }
}

/// Time from the leaving of an engine to the first read that shows it.
fn unread_for(silenced: usize, drain_ms: u64, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let waits = Waits::within(ms(drain_ms));
    let instance = Instance {
        watch: Watch::new(waits),
        ..Instance::default()
    };
    let mut instances = vec![instance; INSTANCES];
    for instance in &mut instances {
        instance.phase = rng.random_range(0..STATE_MS) / 10 * 10;
    }
    // The readers, and some of the others.
    let mut others: Vec<usize> = (2..INSTANCES).collect();
    others.shuffle(&mut rng);
    for index in [0, 1].into_iter().chain(others).take(silenced) {
        instances[index].is_silenced = true;
    }
    let leaves_at = SILENT_FROM_MS - READ_INTERVAL_MS + 10 * rng.random_range(0..80);
    for now in (0..END_MS).step_by(STEP_MS) {
        for index in 0..INSTANCES {
            if instances[index].end_call(now, leaves_at) {
                return now - leaves_at;
            }
            let reports: Vec<ReaderReport> = instances
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .filter_map(|(other, instance)| instance.report(other))
                .collect();
            let instance = &mut instances[index];
            let polls = (now + instance.phase).is_multiple_of(POLL_MS);
            if instance.call_since.is_none() && now >= instance.due && polls {
                let rank = u32::try_from(index).expect("a small number");
                let own = TopicState::default();
                if instance.watch.is_due(
                    index as u64,
                    rank,
                    reports.into_iter(),
                    Some(own),
                    ms(now),
                ) {
                    instance.call_since = Some(now);
                    instance.due = now + READ_INTERVAL_MS;
                }
            }
            if (now + instance.phase).is_multiple_of(STATE_MS) {
                instance.announced = Some((now, instance.last_read));
            }
        }
    }
    END_MS
}

/// Guards against requests to leaving engines for longer than they accept them: the waits for a
/// silent reader, for each instance that reads in its place, and for each poll add up.
#[test]
fn a_leaving_is_known_in_time_however_many_instances_the_store_does_not_answer() {
    for (silenced, drain_ms) in (2..INSTANCES).flat_map(|n| DRAIN_MS.map(|drain| (n, drain))) {
        let longest = (0..50)
            .map(|seed| unread_for(silenced, drain_ms, seed))
            .max();
        let known_after = longest.unwrap_or_default() + ANNOUNCE_MS;
        assert!(
            known_after < drain_ms,
            "{silenced} of {INSTANCES} silenced: known after {known_after} of {drain_ms} ms"
        );
    }
}
