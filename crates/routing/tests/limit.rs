//! Accuracy of an owner's limit over eight entries, above and below. The entries run in one loop
//! that delivers their frames with a delay; arrivals come from a seeded generator.

use std::collections::VecDeque;
use std::time::Duration;

use assert_matches::assert_matches;
use clock::Moment;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use routing::{
    limit::{Config, Demand, Kind, Limits, Quota, Usage},
    peers,
    request::Subject,
};

const ENTRIES: usize = 8;
const STEP: Duration = Duration::from_millis(10);
const FRAME_EVERY: u32 = 50;
const FRAME_DELAY: Duration = Duration::from_millis(20);
const LIMIT: f64 = 200.0;
const OWNER: &str = "lima";

/// Admitted requests per second and entry.
type Counts = Vec<[f64; ENTRIES]>;

struct Frame {
    due: Moment,
    from: usize,
    to: usize,
    demand: Vec<Demand>,
}

struct Group {
    now: Moment,
    rng: SmallRng,
    entries: Vec<Limits>,
    alive: [bool; ENTRIES],
    /// Entries in different partitions do not hear each other.
    partition: [u8; ENTRIES],
    frames: VecDeque<Frame>,
    steps: u32,
    counts: Counts,
    arrivals: u32,
}

fn name(entry: usize) -> peers::Id {
    format!("entry-{entry}").into()
}

fn subject() -> Subject {
    OWNER.into()
}

fn quotas(requests: Option<f64>, concurrent: Option<u32>) -> Vec<Quota> {
    vec![Quota {
        subject: subject(),
        requests,
        tokens: None,
        concurrent,
    }]
}

impl Group {
    fn new(quotas: &[Quota]) -> Self {
        let mut entries: Vec<Limits> = (0..ENTRIES)
            .map(|entry| Limits::new(Config::default(), name(entry)))
            .collect();
        for (own, entry) in entries.iter_mut().enumerate() {
            entry.set_quotas(Moment::ZERO, quotas.to_vec());
            entry.set_peers((0..ENTRIES).filter(|peer| *peer != own).map(name));
        }
        Self {
            now: Moment::ZERO,
            rng: SmallRng::seed_from_u64(11),
            entries,
            alive: [true; ENTRIES],
            partition: [0; ENTRIES],
            frames: VecDeque::new(),
            steps: 0,
            counts: Vec::new(),
            arrivals: 0,
        }
    }

    /// Runs for `seconds` with these requests per second at each entry; each request ends at once.
    fn run(&mut self, seconds: usize, demand: [f64; ENTRIES]) {
        for _ in 0..seconds {
            self.counts.push([0.0; ENTRIES]);
            for _ in 0..100 {
                self.step(&demand);
            }
        }
    }

    fn step(&mut self, demand: &[f64; ENTRIES]) {
        self.deliver_frames();
        for (entry, rate) in demand.iter().enumerate() {
            let mut arrivals = 0;
            for _ in 0..4 {
                arrivals += u32::from(self.rng.random_bool(rate * STEP.as_secs_f64() / 4.0));
            }
            for _ in 0..arrivals {
                self.arrive(entry);
            }
        }
        self.now += STEP;
        self.steps += 1;
    }

    fn arrive(&mut self, entry: usize) {
        if !self.alive[entry] {
            return;
        }
        self.arrivals += 1;
        let limits = &mut self.entries[entry];
        if limits.try_acquire(self.now, &[subject()], 0).is_ok() {
            limits.release(&[subject()], Usage::none(0));
            self.counts
                .last_mut()
                .expect("a counter exists for this second")[entry] += 1.0;
        }
    }

    fn deliver_frames(&mut self) {
        for from in 0..ENTRIES {
            if !self.alive[from] || self.steps % FRAME_EVERY != from as u32 * 6 {
                continue;
            }
            let demand = self.entries[from].advertise(self.now);
            for to in (0..ENTRIES).filter(|to| *to != from) {
                self.frames.push_back(Frame {
                    due: self.now + FRAME_DELAY,
                    from,
                    to,
                    demand: demand.clone(),
                });
            }
        }
        while self
            .frames
            .front()
            .is_some_and(|frame| frame.due <= self.now)
        {
            let frame = self.frames.pop_front().expect("the queue has a front");
            if self.alive[frame.to] && self.partition[frame.from] == self.partition[frame.to] {
                self.entries[frame.to].update_peer(self.now, &name(frame.from), &frame.demand);
            }
        }
    }

    /// Share of the limit used in each window of `window` seconds, beginning at second `from`.
    fn used(&self, from: usize, window: usize) -> Vec<f64> {
        let totals: Vec<f64> = self
            .counts
            .iter()
            .map(|second| second.iter().sum())
            .collect();
        totals[from..]
            .windows(window)
            .map(|seconds| seconds.iter().sum::<f64>() / (LIMIT * window as f64))
            .collect()
    }

    fn report(&self, case: &str, from: usize) -> (f64, f64) {
        let used = self.used(from, 5);
        let least = used.iter().copied().fold(f64::INFINITY, f64::min);
        let most = used.iter().copied().fold(0.0, f64::max);
        println!("{case}: 5 s windows use {least:.3} to {most:.3} of the limit");
        (least, most)
    }
}

#[test]
fn steady_demand_above_the_limit_uses_all_of_it() {
    let mut group = Group::new(&quotas(Some(LIMIT), None));
    group.run(40, [50.0; ENTRIES]);
    let (least, most) = group.report("steady, 2 times", 8);
    assert!(least > 0.9 && most < 1.1);
}

#[test]
fn shares_follow_skewed_demand() {
    let mut group = Group::new(&quotas(Some(LIMIT), None));
    group.run(10, [50.0; ENTRIES]);
    let mut skewed = [2.0; ENTRIES];
    skewed[3] = 380.0;
    group.run(30, skewed);
    let (_, most) = group.report("skewed, change included", 5);
    let (least, _) = group.report("skewed, 8 s after", 18);
    assert!(most < 1.1 && least > 0.85);
}

#[test]
fn moving_demand_never_exceeds_the_limit() {
    // Guards against exceeding the limit while callers move between entries: the entry that gains
    // demand must not raise its share before the others have lowered theirs.
    let mut group = Group::new(&quotas(Some(LIMIT), None));
    for entry in 0..ENTRIES {
        let mut demand = [10.0; ENTRIES];
        demand[entry] = 300.0;
        group.run(5, demand);
    }
    let (_, most) = group.report("moving every 5 s", 5);
    assert!(most < 1.1);
}

#[test]
fn the_share_of_a_killed_entry_is_reclaimed_once_it_is_gone() {
    let mut group = Group::new(&quotas(Some(LIMIT), None));
    group.run(15, [50.0; ENTRIES]);
    group.alive[0] = false;
    group.run(10, [57.0; ENTRIES]);
    let (reserved, over) = group.report("one killed, not yet known", 15);
    for entry in 1..ENTRIES {
        group.entries[entry].remove_peer(&name(0));
    }
    group.run(20, [57.0; ENTRIES]);
    let (least, most) = group.report("one killed, known, 5 s after", 30);
    assert!(over < 1.1 && reserved > 0.8);
    assert!(most < 1.1 && least > 0.9);
}

#[test]
fn a_partition_does_not_multiply_the_limit() {
    // Guards against each side of a network partition dividing the whole limit among the entries
    // that it hears, which doubles an owner's usage when the demand of one side grows.
    let mut group = Group::new(&quotas(Some(LIMIT), None));
    group.run(15, [50.0; ENTRIES]);
    group.partition = [0, 0, 0, 0, 1, 1, 1, 1];
    let mut grown = [50.0; ENTRIES];
    for demand in &mut grown[..4] {
        *demand = 250.0;
    }
    group.run(30, grown);
    let (least, most) = group.report("cut in two, one side grows", 15);
    group.partition = [0; ENTRIES];
    group.run(15, grown);
    let (_, healed) = group.report("healed", 45);
    assert!(most < 1.1 && healed < 1.1 && least > 0.8);
}

#[test]
fn a_new_entry_does_not_take_the_whole_limit() {
    // Guards against exceeding the limit when an entry is replaced: an entry that has not heard
    // any peer yet must not take the whole limit.
    let mut new_entry = Limits::new(Config::default(), name(0));
    new_entry.set_quotas(Moment::ZERO, quotas(Some(LIMIT), None));
    let mut admitted = 0.0;
    for step in 0..1_000 {
        let now = STEP * step;
        if new_entry.try_acquire(now, &[subject()], 0).is_ok() {
            admitted += 1.0;
        }
    }
    assert!(admitted <= LIMIT * 10.0 / ENTRIES as f64);
}

#[test]
fn a_share_rises_only_after_the_raise_delay() {
    // Guards against exceeding the limit at each shift of demand: an entry whose demand grows
    // tenfold must not raise its share before its peer has heard and lowered its own.
    let mut small = Limits::new(Config::default(), name(0));
    small.set_quotas(Moment::ZERO, quotas(Some(LIMIT), None));
    small.set_peers([name(1)]);
    let large = Demand {
        subject: subject(),
        requests: 4.0 * LIMIT,
        tokens: 0.0,
        in_flight: 0,
    };
    let mut ask = |from: u64, to: u64, every: usize| {
        let mut admitted = 0;
        for ms in (from..to).step_by(every) {
            let now = Duration::from_millis(ms);
            if ms % 500 == 0 {
                small.update_peer(now, &name(1), std::slice::from_ref(&large));
                small.advertise(now);
            }
            if small.try_acquire(now, &[subject()], 0).is_ok() {
                small.release(&[subject()], Usage::none(0));
                admitted += 1;
            }
        }
        admitted
    };
    ask(0, 20_000, 100);
    // The demand grows twenty-five-fold and is advertised at 20.5 s.
    ask(20_000, 20_500, 4);
    let before = ask(20_500, 20_700, 4);
    ask(20_700, 20_800, 4);
    let after = ask(20_800, 21_000, 4);
    println!(
        "admitted: {before} in 200 ms after advertising, {after} in 200 ms after the raise delay"
    );
    assert!(2 * before < after);
}

#[test]
fn concurrency_slots_add_up_to_the_limit() {
    let mut group = Group::new(&quotas(None, Some(10)));
    group.run(20, [20.0; ENTRIES]);
    let mut open = [0_u32; ENTRIES];
    for (entry, open) in open.iter_mut().enumerate() {
        while group.entries[entry]
            .try_acquire(group.now, &[subject()], 0)
            .is_ok()
        {
            *open += 1;
        }
    }
    println!("slots per entry: {open:?}");
    assert_eq!(open.iter().sum::<u32>(), 10);
    let refused = group.entries[0].try_acquire(group.now, &[subject()], 0);
    assert_eq!(
        refused.expect_err("all slots are used").kind,
        Kind::Concurrent
    );
}

#[test]
fn an_entry_without_demand_has_concurrency_slots() {
    // Guards against refusals by the concurrency limit with hundreds of slots free. All entries
    // know each other, but only one has advertised demand; relative demand adds up to the whole,
    // which left no slots for the entries without any.
    let mut group = Group::new(&quotas(None, Some(200)));
    let mut one = [0.0; ENTRIES];
    one[0] = 20.0;
    group.run(3, one);
    for entry in 1..ENTRIES {
        let first = group.entries[entry].try_acquire(group.now, &[subject()], 0);
        assert_matches!(first, Ok(()), "entry {entry}");
    }
    let busy = &mut group.entries[0];
    let slots = (0..200).take_while(|_| busy.try_acquire(group.now, &[subject()], 0).is_ok());
    assert!(slots.count() >= 150, "the busy entry keeps most slots");
}

#[test]
fn independent_arrivals_far_below_a_small_limit_are_admitted() {
    // Guards against refusing coincident arrivals far below a small limit: with a bucket of half a
    // second, an entry's share of the limit is little more than one request.
    let mut group = Group::new(&quotas(Some(20.0), None));
    group.run(10, [6.0 / ENTRIES as f64; ENTRIES]);
    group.counts.clear();
    let before = group.arrivals;
    group.run(300, [6.0 / ENTRIES as f64; ENTRIES]);
    let arrived = f64::from(group.arrivals - before);
    let admitted: f64 = group.counts.iter().flatten().sum();
    let refused = 1.0 - admitted / arrived;
    println!("refused: {refused:.3} of {arrived}");
    assert!(refused < 0.02);
}
