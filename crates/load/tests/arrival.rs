//! Arrivals and requests: rates follow the swings, and a seed determines the load.

use std::time::Duration;

use load::arrival::Arrivals;
use load::plan::Plan;
use load::request::RequestSource;
use load::swing::{Shape, Wave};

fn plan(swings: &str) -> Plan {
    let yaml = format!(
        r"
duration: 100s
classes:
  - name: a
    key: k
    rate: 50
    completion:
      model: m
      prompt: {{median: 100, sigma: 0.5, max: 1000}}
      output: {{median: 50, sigma: 0.5, max: 500}}
      prefix: {{count: 3, tokens: 8, share: 0.5}}
    contract: {{deadline: 1s}}
swings: {swings}
"
    );
    Plan::parse(&yaml).expect("the plan of the test is valid")
}

/// Numbers of arrivals in the first and second half of a run, over all workers.
fn halves(plan: &Plan, workers: usize) -> (usize, usize) {
    let arrivals = (0..workers)
        .flat_map(|worker| Arrivals::new(plan, &plan.classes[0], worker as u64, workers));
    let (first, second): (Vec<_>, Vec<_>) = arrivals.partition(|at| *at < Duration::from_secs(50));
    (first.len(), second.len())
}

#[test]
fn mean_rate_matches_the_plan() {
    let (first, second) = halves(&plan("[]"), 4);
    let all = first + second;
    // Five standard deviations of a Poisson count of 5,000.
    assert!(all.abs_diff(5_000) < 5 * 71, "{all}");
}

#[test]
fn step_changes_the_rate() {
    let swings = "[{classes: [a], quantity: rate, shape: {step: {at: 50s, factor: 3}}}]";
    let (first, second) = halves(&plan(swings), 2);
    assert!(first.abs_diff(2_500) < 5 * 50, "{first}");
    assert!(second.abs_diff(7_500) < 5 * 87, "{second}");
}

#[test]
fn same_seed_gives_the_same_load() {
    let plan = plan("[{classes: [a], quantity: prompt, shape: {noise: {every: 2s, sigma: 0.4}}}]");
    let draw = |seed| {
        let class = &plan.classes[0];
        let mut source = RequestSource::new(class, 0, "x".to_owned(), seed);
        Arrivals::new(&plan, class, seed, 1)
            .map(|at| (at, source.next_request(at).body))
            .collect::<Vec<_>>()
    };
    assert_eq!(draw(5), draw(5));
    assert_ne!(draw(5), draw(6));
}

#[test]
fn shapes_stay_within_their_maximum_factor() {
    let shapes = [
        Shape::Ramp {
            from: Duration::from_secs(10),
            to: Duration::from_secs(30),
            factor: 2.5,
        },
        Shape::Oscillation {
            period: Duration::from_secs(7),
            low: 0.2,
            high: 1.8,
            wave: Wave::Sine,
            phase: 0.5,
        },
        Shape::Noise {
            every: Duration::from_secs(3),
            sigma: 1.0,
        },
    ];
    for shape in shapes {
        for second in 0..60 {
            let factor = shape.factor(Duration::from_secs(second), 1);
            assert!(
                (0.0..=shape.max_factor()).contains(&factor),
                "{shape:?} {factor}"
            );
        }
    }
}

#[test]
fn opposite_phases_of_an_oscillation_add_up_to_a_constant() {
    let wave = |phase| Shape::Oscillation {
        period: Duration::from_secs(8),
        low: 0.5,
        high: 1.5,
        wave: Wave::Square,
        phase,
    };
    for second in 0..16 {
        let at = Duration::from_secs(second);
        let sum = wave(0.0).factor(at, 1) + wave(0.5).factor(at, 1);
        assert!((sum - 2.0).abs() < 1e-9);
    }
}
