//! Plans: all findings are reported with their places, and times and rates are scaled.

use std::time::Duration;

use load::plan::{Plan, RequestKind};

const GOOD: &str = r"
seed: 7
duration: 60s
time_scale: 10
classes:
  - name: summaries
    key: k1
    rate: 2
    completion:
      model: overnight
      prompt: {median: 1200, sigma: 0.5, max: 8000}
      output: {median: 200, max: 400}
      prefix: {count: 4, tokens: 64}
    contract: {deadline: 30s, first_token: 5s, between_tokens: 100ms}
  - name: authorisations
    key: k2
    rate: 5
    repeatable: false
    keyed: true
    plain: {path: /kiosk/authorise, body_bytes: 100}
    contract: {deadline: 2s}
swings:
  - classes: [summaries]
    quantity: prompt
    shape:
      oscillation: {period: 20s, low: 0.5, high: 1.5, wave: square}
";

const BAD: &str = r"
duration: 0s
time_scale: 0
classes:
  - name: a
    key: k
    rate: -1
    completion:
      model: m
      prompt: {median: 10, max: 5}
      output: {median: 0, max: 5}
    contract: {deadline: 0s}
  - name: a
    key: k
    rate: 1
    contract: {deadline: 1s}
  - name: b
    key: k
    rate: 1
    patience: 0.5
    plain: {method: post, path: x}
    contract: {deadline: 1s}
swings:
  - classes: [nobody]
    quantity: rate
    shape:
      ramp: {from: 5s, to: 5s, factor: -2}
";

#[test]
fn time_scale_applies_to_times_and_rates() {
    let plan = Plan::parse(GOOD).unwrap();
    assert_eq!(plan.duration, Duration::from_secs(6));
    assert!((plan.classes[0].rate - 20.0).abs() < 1e-9);
    assert_eq!(plan.classes[0].contract.deadline, Duration::from_secs(3));
    assert_eq!(plan.classes[0].gives_up_after, Duration::from_secs(6));
    assert_eq!(plan.classes[0].swings.len(), 1);
    assert!(plan.classes[1].swings.is_empty());
    assert!(matches!(plan.classes[1].kind, RequestKind::Plain(_)));
}

#[test]
fn all_findings_are_reported_at_once() {
    let findings = Plan::parse(BAD).unwrap_err();
    let places: Vec<_> = findings
        .current_context()
        .all()
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    assert_eq!(
        places,
        [
            "time_scale",
            "duration",
            "classes[1].name",
            "classes[0].rate",
            "classes[0].contract.deadline",
            "classes[0].completion.prompt.max",
            "classes[0].completion.output.median",
            "classes[1]",
            "classes[2].patience",
            "classes[2].plain.path",
            "classes[2].plain.method",
            "swings[0].classes[0]",
            "swings[0].shape",
            "swings[0].shape",
        ]
    );
}

#[test]
fn unknown_key_is_reported_with_its_line() {
    let yaml = GOOD.replace("keyed: true", "keyd: true");
    let findings = Plan::parse(&yaml).unwrap_err();
    let text = findings.current_context().to_string();
    assert!(text.contains("keyd"), "{text}");
    assert!(text.contains("line 19"), "{text}");
}
