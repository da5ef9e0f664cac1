//! Learned speeds of single engines.

mod common;

use std::time::Duration;

use common::{demand, fleet, id, ms, record, service, zone};
use serving::engine::Job;
use serving::fleet::WorkChange;
use serving::health::Outcome;
use serving::pace::Pace;
use serving::place::choose;
use serving::{Choice, Fleet, Stage};

/// Milliseconds of work that an engine of mean speed needs for a prompt of these tests.
const MEAN_MS: f64 = 60.0;
const NOW: Duration = Duration::from_secs(10);

/// The factor after prompts that took these multiples of the mean, 100 ms apart.
fn factor_after(ratios: &[f64]) -> f64 {
    let mut pace = Pace::default();
    let mut now = NOW;
    for ratio in ratios {
        now += ms(100);
        pace.observe(1.0, MEAN_MS * ratio, now);
    }
    pace.factor(MEAN_MS, now)
}

fn with(steady: f64, count: usize, then: &[f64]) -> Vec<f64> {
    let mut ratios = vec![steady; count];
    ratios.extend(then);
    ratios
}

/// Guards against engines whose speed is known only after dozens of calls: two thirds of a service
/// take 0.7 of the mean and a third 1.7, and all looked alike for eight seconds.
#[test]
fn two_prompts_determine_most_of_the_factor() {
    for ratio in [0.6, 0.7, 1.7, 2.5] {
        let logs = [1, 2, 3].map(|count| factor_after(&vec![ratio; count]).ln() / ratio.ln());
        assert!((0.35..0.7).contains(&logs[0]), "{ratio}: {logs:?}");
        assert!(logs[1] > 0.6 && logs[2] > 0.7, "{ratio}: {logs:?}");
    }
}

#[test]
fn an_unknown_engine_is_as_fast_as_its_service() {
    let factor = Pace::default().factor(MEAN_MS, NOW);
    assert!((factor - 1.0).abs() < 1e-9, "{factor}");
}

/// Guards against calls that are sent to a stalled engine for its whole stall, and against one that
/// is avoided long afterwards.
#[test]
fn a_stall_shows_within_three_prompts_and_is_forgotten_within_seconds() {
    let before = factor_after(&with(0.7, 30, &[]));
    let stalled = factor_after(&with(0.7, 30, &[1.75; 3]));
    assert!(stalled > before * 1.2, "{before} {stalled}");
    let lasting = factor_after(&with(0.7, 30, &[1.75; 30]));
    assert!((1.4..2.0).contains(&lasting), "{lasting}");
    let recovered = factor_after(&[with(0.7, 30, &[1.75; 6]), vec![0.7; 30]].concat());
    assert!((0.6..0.85).contains(&recovered), "{recovered}");
}

/// Guards against one long time, such as that of a wrong clock, shutting an engine out.
#[test]
fn one_outlier_is_bounded_and_forgotten() {
    for outlier in [0.0, 20.0, 1e9] {
        let factor = factor_after(&with(1.0, 20, &[outlier]));
        assert!((0.9..=2.5).contains(&factor), "{outlier}: {factor}");
        let later = factor_after(&[with(1.0, 20, &[outlier]), vec![1.0; 80]].concat());
        assert!((0.9..1.2).contains(&later), "{outlier}: {later}");
    }
    let invalid = factor_after(&with(1.0, 20, &[f64::NAN, -1.0]));
    assert!((0.99..1.01).contains(&invalid), "{invalid}");
}

/// Guards against an engine that stalled, is avoided, and stays avoided since no call shows that
/// the stall is over.
#[test]
fn a_stall_without_further_prompts_is_forgotten() {
    let mut pace = Pace::default();
    for number in 0..26 {
        let ratio = if number < 20 { 1.0 } else { 4.0 };
        pace.observe(1.0, MEAN_MS * ratio, NOW + ms(100 * number));
    }
    let stalled = pace.factor(MEAN_MS, NOW + ms(2_600));
    let later = pace.factor(MEAN_MS, NOW + ms(17_600));
    assert!(stalled > 1.7 && later < 1.25, "{stalled} {later}");
}

/// Guards against intervals between single prompts: two that share a step end together, and the
/// second seemed to come from a very fast engine.
#[test]
fn prompts_that_end_together_count_together() {
    let mut pace = Pace::default();
    for number in 0..20 {
        for busy_ms in [2.0 * MEAN_MS, 0.0] {
            pace.observe(1.0, busy_ms, NOW + ms(200 * number));
        }
    }
    let factor = pace.factor(MEAN_MS, NOW + ms(4_000));
    assert!((0.98..1.02).contains(&factor), "{factor}");
}

/// Guards against small prompts, whose times consist of delays, outweighing large ones.
#[test]
fn prompts_of_a_millisecond_count_little() {
    let mut pace = Pace::default();
    for number in 0..20 {
        pace.observe(60.0, 60.0, NOW + ms(100 * number));
    }
    for number in 20..25 {
        pace.observe(1.0, 4.0, NOW + ms(100 * number));
    }
    let factor = pace.factor(1.0, NOW + ms(2_500));
    assert!((0.9..1.25).contains(&factor), "{factor}");
}

/// Setup and rate of the engines of a fleet, in milliseconds and tokens per millisecond.
const SETUP_MS: u64 = 20;
const RATE: u32 = 50;

/// A fleet that knows engines `a` and `b`, with 30 prompts of 5,000 tokens read at `b`, one at a time.
fn trained_fleet() -> Fleet {
    let mut fleet = fleet(&[("a", Stage::Prefill), ("b", Stage::Prefill)]);
    for number in 0..60_u32 {
        let at = ms(200 * u64::from(number));
        let work = if number % 2 == 0 { 5_000 } else { 10_000 };
        let sent = fleet.begin_call(&id("b"), work, 1, at);
        let read_at = at + ms(SETUP_MS + u64::from(work / RATE));
        fleet.prompt_read(&sent, read_at);
        fleet.end_call(&sent, None, read_at);
    }
    fleet
}

fn slowdown(fleet: &mut Fleet, of: &str, now: Duration) -> f64 {
    // Any call settles what is known by then.
    let sent = fleet.begin_call(&id("b"), 0, 1, now);
    fleet.end_call(&sent, None, now);
    fleet.slowdown(fleet.get(of).expect("the engine exists"), now)
}

/// Guards against learning from the wait in the queue: the time of each prompt held those before
/// it, and reports of other placers were not used at all.
#[test]
fn queued_prompts_of_several_placers_give_the_speed_of_their_engine() {
    let mut fleet = trained_fleet();
    let start = ms(20_000);
    // Six prompts at once, each read in 200 ms where the mean is 100, reported by their placers
    // after 20 ms and not in their order.
    for ticket in 0..6 {
        let job = Job {
            ticket,
            sent_at: start,
            rank: 1,
            work: 5_000,
        };
        fleet.apply_change(
            u64::from(ticket % 3),
            &WorkChange::Started(id("a"), job),
            start,
        );
    }
    for ticket in [1, 0, 2, 3, 5, 4] {
        let read_at = start + ms(SETUP_MS + 200 * u64::from(ticket + 1));
        let read = WorkChange::Read(id("a"), ticket, read_at);
        let heard_at = start + ms(SETUP_MS + 200 * u64::from(ticket + 1) + 20);
        fleet.apply_change(u64::from(ticket % 3), &read, heard_at);
    }
    let factor = slowdown(&mut fleet, "a", start + ms(1_400));
    assert!((1.6..2.1).contains(&factor), "{factor}");
}

/// Guards against counting the reading time of a prompt whose caller left, or whose report is lost,
/// for the next one.
#[test]
fn a_prompt_after_one_of_unknown_end_is_no_sample() {
    let mut fleet = trained_fleet();
    let mut now = ms(20_000);
    for number in 0..4 {
        let lost = fleet.begin_call(&id("a"), 50_000, 1, now);
        let sent = fleet.begin_call(&id("a"), 5_000, 1, now + ms(1));
        if number % 2 == 0 {
            fleet.end_call(&lost, None, now + ms(900));
        }
        fleet.prompt_read(&sent, now + ms(1_000));
        fleet.end_call(&sent, None, now + ms(1_000));
        fleet.end_call(&lost, None, now + ms(1_800));
        now += ms(2_000);
    }
    let factor = slowdown(&mut fleet, "a", now);
    // As fast as its service, whose mean is learned from the other engine.
    assert!((factor - 1.0).abs() < 0.02, "{factor}");
}

/// Guards against factors that drift with the mean: all engines become quicker together, and the
/// forecast of each is to follow.
#[test]
fn a_change_of_all_engines_does_not_remain_in_one_factor() {
    let mut fleet = trained_fleet();
    for number in 0..200_u64 {
        let at = ms(20_000 + 200 * number);
        let engine = id(if number % 2 == 0 { "a" } else { "b" });
        let work: u32 = if number % 3 == 0 { 5_000 } else { 10_000 };
        let sent = fleet.begin_call(&engine, work, 1, at);
        let read_at = at + ms(SETUP_MS + u64::from(work / RATE / 2));
        fleet.prompt_read(&sent, read_at);
        fleet.end_call(&sent, None, read_at);
    }
    for engine in ["a", "b"] {
        let factor = slowdown(&mut fleet, engine, ms(61_000));
        assert!((0.9..1.1).contains(&factor), "{engine}: {factor}");
    }
}

/// A fleet of plain engines of six slots; calls at `a` take these milliseconds, at `b` 60.
fn plain_fleet(a_ms: u64, outcome: Outcome) -> Fleet {
    let mut fleet = Fleet::default();
    for name in ["a", "b"] {
        fleet.put(serving::Record {
            slots: 6,
            ..record(name, None)
        });
    }
    for number in 0..40 {
        let at = ms(100 * number);
        let calls = ["a", "b"].map(|name| fleet.begin_call(&id(name), 0, 1, at));
        fleet.end_call(&calls[0], Some(outcome), at + ms(a_ms));
        fleet.end_call(&calls[1], Some(Outcome::Success), at + ms(60));
    }
    fleet
}

fn plain_choice(fleet: &Fleet) -> String {
    let (service, zone) = (service(), zone());
    match choose(fleet, &demand(&service, &zone, None), ms(4_100)) {
        Choice::Direct(target) => target.engine.to_string(),
        other => panic!("unexpected choice: {other:?}"),
    }
}

/// Guards against counting slots alone: a call took twice as long at the slow engine as it would
/// have at the quick one, which had two calls more.
#[test]
fn plain_calls_go_where_they_end_first() {
    let mut fleet = plain_fleet(120, Outcome::Success);
    for _ in 0..3 {
        assert_eq!(plain_choice(&fleet), "b");
        fleet.begin_call(&id("b"), 0, 1, ms(4_050));
    }
    // The queue behind the slots of the quick engine is longer than a call at the slow one.
    for _ in 0..9 {
        fleet.begin_call(&id("b"), 0, 1, ms(4_050));
    }
    assert_eq!(plain_choice(&fleet), "a");
}

/// Guards against an engine that fails calls at once looking quick.
#[test]
fn failed_calls_are_no_samples() {
    let fleet = plain_fleet(1, Outcome::Failed);
    let engine = fleet.get("a").expect("the engine exists");
    let factor = fleet.slowdown(engine, ms(4_100));
    assert!((factor - 1.0).abs() < 1e-9, "{factor}");
}

/// Guards against taking the calls of a service, whose slots are full, for slow engines.
#[test]
fn the_wait_for_a_slot_is_no_slowness() {
    let mut fleet = plain_fleet(60, Outcome::Success);
    let start = ms(10_000);
    let calls: Vec<_> = (0..18)
        .map(|_| fleet.begin_call(&id("a"), 0, 1, start))
        .collect();
    for (number, call) in (0_u64..).zip(&calls) {
        let rounds = number / 6 + 1;
        fleet.end_call(call, Some(Outcome::Success), start + ms(60 * rounds));
    }
    let engine = fleet.get("a").expect("the engine exists");
    let factor = fleet.slowdown(engine, ms(10_200));
    assert!((0.8..1.3).contains(&factor), "{factor}");
}
