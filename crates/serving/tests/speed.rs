//! Learned reading speeds of engines.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::place::choose;
use serving::speed::{Speed, work};
use serving::{Choice, Demand, Fleet, Stage};

/// True setup and rate of the engines of these tests, five times as fast as assumed initially.
const SETUP: f64 = 5.0;
const RATE: f64 = 300.0;

fn read_time(work: u32) -> Duration {
    Duration::from_secs_f64((SETUP + f64::from(work) / RATE) / 1_000.0)
}

/// Prompts of a deployment without small ones.
const WORKS: [u32; 5] = [2_400, 9_000, 5_200, 12_500, 3_600];

/// A fleet that has seen an idle engine read this many prompts, one at a time.
fn trained_fleet(count: usize) -> Fleet {
    let mut fleet = fleet(&[("a", Stage::Prefill), ("b", Stage::Decode)]);
    let mut now = ms(0);
    for work in WORKS.iter().cycle().take(count) {
        let sent = fleet.begin_call(&id("a"), *work, 0, now);
        fleet.prompt_read(&sent, now + read_time(*work));
        fleet.end_call(&sent, None, now + read_time(*work));
        now += ms(200);
    }
    fleet
}

/// Guards against learning the setup from small prompts only: in a deployment without small prompts
/// the initial 80 ms stayed in force for engines that need 5 ms, so calls with 200 ms to spare were
/// expected late, yielded on idle engines, and were late together in the next peak.
#[test]
fn calls_to_idle_engines_are_expected_on_time_whatever_their_sizes() {
    let fleet = trained_fleet(40);
    let (service, zone) = (service(), zone());
    let parts = prompt(&[(1, 9_000)]);
    let demand = Demand {
        latency_target: ms(100),
        priority: 0,
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    let choice = choose(&fleet, &demand, ms(60_000));
    assert_matches!(choice, Choice::Split { prefill, .. } if prefill.rank == 0);
}

#[test]
fn setup_and_rate_are_learned_together() {
    let mut speed = Speed::new(Stage::Prefill);
    for work in WORKS.iter().cycle().take(120) {
        speed.observe(*work, read_time(*work));
    }
    assert!((speed.setup_ms - SETUP).abs() < 2.0, "{speed:?}");
    assert!((speed.tokens_per_ms - RATE).abs() < 15.0, "{speed:?}");
}

/// Guards against one stalled engine that makes all engines look slow: its time was used unbounded,
/// and calls were refused.
#[test]
fn one_outlier_changes_the_speed_little() {
    let mut speed = Speed::new(Stage::Prefill);
    for work in WORKS.iter().cycle().take(60) {
        speed.observe(*work, read_time(*work));
    }
    let before = speed.setup_ms + speed.millis(9_000);
    speed.observe(9_000, Duration::from_secs(2));
    let after = speed.setup_ms + speed.millis(9_000);
    assert!(after < before * 1.2, "{before} {after}");
}

#[test]
fn prompts_of_one_size_determine_the_time_but_not_the_rate() {
    let mut speed = Speed::new(Stage::Prefill);
    for _ in 0..400 {
        speed.observe(6_000, read_time(6_000));
    }
    let known = speed.setup_ms + speed.millis(6_000);
    assert!((known - 25.0).abs() < 3.0, "{speed:?}");
    assert!(speed.tokens_per_ms.is_finite() && speed.millis(u64::from(work(12_000, 12_000))) > 0.0);
}
