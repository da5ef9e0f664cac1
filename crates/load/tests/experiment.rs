//! Comparisons: the order of segments, statistics over rounds, merged pool fields, and samples of
//! engines.

use load::admin::merge;
use load::engine_monitor::{EngineMonitor, State};
use load::experiment::{Experiment, Spread};
use serde_json::json;

#[test]
fn variant_order_rotates_between_rounds() {
    let yaml = "{rounds: 4, variants: [{name: a}, {name: b}, {name: c}]}";
    let experiment = Experiment::parse(yaml).unwrap();
    let orders: Vec<Vec<usize>> = (0..4)
        .map(|round| experiment.order(round).collect())
        .collect();
    assert_eq!(
        orders,
        [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1]].map(Vec::from)
    );
}

#[test]
fn comparison_needs_two_variants_with_different_names() {
    let findings = Experiment::parse("{rounds: 0, variants: [{name: a}]}").unwrap_err();
    assert_eq!(findings.current_context().all().len(), 2);
    let findings = Experiment::parse("{variants: [{name: a}, {name: a}]}").unwrap_err();
    let place = &findings.current_context().all()[0].place;
    assert_eq!(place, "variants[1].name");
}

#[test]
fn spread_uses_the_sample_deviation() {
    let spread = Spread::of(&[1.0, 2.0, 3.0, 4.0]);
    assert!((spread.mean - 2.5).abs() < 1e-12);
    assert!((spread.deviation - 1.290_994).abs() < 1e-6);
    assert!((spread.least - 1.0).abs() < 1e-12 && (spread.most - 4.0).abs() < 1e-12);
}

#[test]
fn fields_are_merged_into_a_pool() {
    let mut pool = json!({"kind": "engine", "role_change": {"price": 1.0, "takes": "5s"}});
    merge(
        &mut pool,
        &json!({"planner": "static", "role_change": {"price": 4}}),
    );
    let expected = json!({
        "kind": "engine", "planner": "static", "role_change": {"price": 4, "takes": "5s"},
    });
    assert_eq!(pool, expected);
}

#[test]
fn role_changes_are_counted_across_a_missed_sample() {
    let sample = |roles: &[(usize, &str, u64)]| -> Vec<(usize, State)> {
        let state = |(engine, role, open): &(usize, &str, u64)| {
            let role = (*role).to_owned();
            (*engine, State { role, open: *open })
        };
        roles.iter().map(state).collect()
    };
    let mut monitor = EngineMonitor::default();
    monitor.record_sample(&sample(&[(0, "mixed", 2), (1, "mixed", 4)]));
    monitor.record_sample(&sample(&[(1, "decode", 3)]));
    monitor.record_sample(&[]);
    monitor.record_sample(&sample(&[(0, "prefill", 3), (1, "decode", 3)]));
    let stats = monitor.stats();
    assert_eq!((stats.role_changes, stats.looks), (2, 3));
    assert!((stats.mean_open - 3.0).abs() < 1e-12);
    assert!((stats.spread_open - 1.0 / 3.0).abs() < 1e-12);
}
