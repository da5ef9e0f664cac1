//! Routes, retry budgets and reading speeds.

mod common;

use std::rc::Rc;

use common::{ms, service};
use serving::budget::{RepeatBudgets, RepeatLimit};
use serving::route::{Limits, Share};
use serving::speed::{self, Speed};
use serving::{Kind, Route, Stage, Table};

fn route(prefix: &str, shares: &[(&str, u32)]) -> Route {
    let shares = shares.iter().map(|(service, weight)| Share {
        service: Rc::from(*service),
        weight: *weight,
    });
    Route {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Stream { resumable: false },
        timeout: ms(6_000),
        latency_target: ms(800),
        max_gap: Some(ms(300)),
        max_attempts: 1,
        priority: 0,
        public: false,
        shares: shares.collect(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        ("h".to_owned(), route("/a/", &[("x", 1)])),
        ("h".to_owned(), route("/a/b/", &[("y", 1)])),
        ("g".to_owned(), route("/a/b/c/", &[("z", 1)])),
    ];
    let table = Table::new(1, Limits::default(), routes, Vec::new());
    assert_eq!(table.find("h", "/a/b/c/d").unwrap().prefix, "/a/b/");
    assert_eq!(table.find("h", "/a/c").unwrap().prefix, "/a/");
    assert!(table.find("h", "/b/").is_none());
    assert!(table.find("other", "/a/").is_none());
}

#[test]
fn shares_are_in_proportion_to_their_weights() {
    let route = route("/", &[("x", 90), ("y", 10)]);
    let to_y = (0..1_000).filter(|n| &**route.service(f64::from(*n) / 1_000.0) == "y");
    assert_eq!(to_y.count(), 100);
}

/// Guards against weights whose sum overflows, by which all calls go to one service or the process ends.
#[test]
fn the_largest_weights_share_evenly() {
    let route = route("/", &[("x", u32::MAX), ("y", u32::MAX)]);
    let to_y = (0..1_000).filter(|n| &**route.service(f64::from(*n) / 1_000.0) == "y");
    assert_eq!(to_y.count(), 500);
}

#[test]
fn event_timeout_is_four_targets_eight_pauses_or_two_seconds() {
    assert_eq!(route("/", &[]).event_timeout(), ms(3_200));
    let short = Route {
        latency_target: ms(100),
        max_gap: None,
        ..route("/", &[])
    };
    assert_eq!(short.event_timeout(), ms(2_000));
}

/// Guards against exceeding the repeats allowed over all instances: each of eight instances spent
/// the whole slack at the same time.
#[test]
fn instances_together_stay_within_the_slack() {
    let bound = RepeatLimit {
        ratio: 0.2,
        slack: 52.0,
    };
    let mut all: Vec<RepeatBudgets> = (0..8).map(|_| RepeatBudgets::new(bound, 8)).collect();
    let mut repeats = 0;
    for budgets in &mut all {
        while budgets.take_repeat(&service()) {
            repeats += 1;
        }
    }
    assert!(repeats <= 52, "{repeats} repeats");
    for budgets in &mut all {
        for _ in 0..100 {
            budgets.record_first_attempt(&service());
        }
    }
    let earned = all.iter_mut().map(|budgets| {
        std::iter::from_fn(|| budgets.take_repeat(&service()).then_some(())).count()
    });
    assert!(earned.sum::<usize>() <= 8 * 20);
}

#[test]
fn a_share_shrinks_with_more_instances() {
    let bound = RepeatLimit {
        ratio: 0.0,
        slack: 200.0,
    };
    let mut budgets = RepeatBudgets::new(bound, 2);
    budgets.set_instances(100);
    assert!(budgets.take_repeat(&service()));
    assert!(!budgets.take_repeat(&service()));
}

#[test]
fn setup_and_rate_are_learned_from_two_sizes() {
    let mut speed = Speed::new(Stage::Prefill);
    for _ in 0..300 {
        speed.observe(500, ms(40 + 5));
        speed.observe(20_000, ms(40 + 200));
    }
    assert!((30.0..50.0).contains(&speed.setup_ms), "{speed:?}");
    assert!((90.0..110.0).contains(&speed.tokens_per_ms), "{speed:?}");
}

#[test]
fn work_grows_with_the_context_before_it() {
    assert!(speed::work(1_000, 50_000) > speed::work(1_000, 1_000));
    assert_eq!(speed::work(0, 50_000), 0);
}
