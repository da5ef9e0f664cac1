//! How many bytes of a prompt a token has, as learnt from engines' counts.

use entry::token_estimator::{TokenEstimator, prompt_token_count};

#[test]
fn what_engines_count_replaces_the_guess() {
    // Symptom: questions are refused for their deadline while engines are idle.
    // Sequence: the words of an entry's prompts are long; engines count a token a word.
    // Cause: with a fixed number of bytes per token a prompt seemed several times as long.
    let densities = TokenEstimator::default();
    let guess = densities.bytes_per_token("verdicts");
    for _ in 0..5 {
        densities.record("verdicts", 13_000, 1_000);
    }
    assert_eq!(densities.bytes_per_token("verdicts"), 13.0);
    assert_eq!(densities.bytes_per_token("another"), guess);
    densities.retain(|entry| entry == "another");
    assert_eq!(densities.bytes_per_token("verdicts"), guess);
}

#[test]
fn a_strange_count_does_little_harm() {
    let densities = TokenEstimator::default();
    densities.record("empty", 1_000, 0);
    densities.record("empty", 0, 1_000);
    assert_eq!(
        densities.bytes_per_token("empty"),
        densities.bytes_per_token("unknown")
    );
    densities.record("huge", 1_000_000, 1);
    assert!(densities.bytes_per_token("huge") <= 32.0);
}

#[test]
fn the_count_is_found_in_the_last_events() {
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
