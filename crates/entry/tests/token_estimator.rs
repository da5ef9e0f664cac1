//! Estimates of the bytes per token of prompts.

use entry::token_estimator::{TokenEstimator, prompt_token_count};

/// The words of an entry's prompts are long, and engines count one token per word. With a fixed
/// number of bytes per token, such prompts seem several times as long and are refused for their
/// deadline while engines are idle.
#[test]
fn engine_counts_replace_the_default_estimate() {
    let estimator = TokenEstimator::default();
    let default = estimator.bytes_per_token("verdicts");
    for _ in 0..5 {
        estimator.record("verdicts", 13_000, 1_000);
    }
    assert_eq!(estimator.bytes_per_token("verdicts"), 13.0);
    assert_eq!(estimator.bytes_per_token("another"), default);
    estimator.retain(|entry| entry == "another");
    assert_eq!(estimator.bytes_per_token("verdicts"), default);
}

#[test]
fn implausible_counts_are_ignored_or_clamped() {
    let estimator = TokenEstimator::default();
    estimator.record("empty", 1_000, 0);
    estimator.record("empty", 0, 1_000);
    assert_eq!(
        estimator.bytes_per_token("empty"),
        estimator.bytes_per_token("unknown")
    );
    estimator.record("huge", 1_000_000, 1);
    assert!(estimator.bytes_per_token("huge") <= 32.0);
}

#[test]
fn prompt_token_count_is_found_in_the_last_events() {
    let events = b"id: a:7\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\": 345,\"completion_tokens\":9}}\n\n\
        id: a:8\ndata: [DONE]\n\n";
    assert_eq!(prompt_token_count(events), Some(345));
    let text = br#"data: {"choices":[{"text":"\"prompt_tokens\":5"}]}"#;
    assert_eq!(
        prompt_token_count(text),
        None,
        "text of an answer is no count"
    );
    assert_eq!(prompt_token_count(b"data: [DONE]\n\n"), None);
}
