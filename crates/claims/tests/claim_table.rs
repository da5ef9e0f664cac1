//! The fold of claims and outcomes.

use claims::{ClaimTable, Effect, Holder, Offset};
use wire::record::record::Body;
use wire::record::{KeyClaim, KeyClaims, KeyEnd, KeyOutcome, KeyOutcomes, Record};

const KEY: [u8; 16] = [7; 16];

fn record(instance: &str, incarnation: u64, body: Body) -> Record {
    let holder = Holder {
        instance: instance.to_owned(),
        incarnation,
    };
    Record {
        author: Some((&holder).into()),
        body: Some(body),
        ..Record::default()
    }
}

fn claim(instance: &str, incarnation: u64) -> Record {
    let claim = KeyClaim {
        key: KEY.to_vec(),
        request: "r".to_owned(),
        fingerprint: vec![1; 16],
    };
    let claims = vec![claim];
    record(instance, incarnation, Body::KeyClaims(KeyClaims { claims }))
}

fn outcome(instance: &str, incarnation: u64, claim: Offset, end: KeyEnd) -> Record {
    let outcome = KeyOutcome {
        key: KEY.to_vec(),
        claim,
        end: end.into(),
    };
    let outcomes = vec![outcome];
    record(
        instance,
        incarnation,
        Body::KeyOutcomes(KeyOutcomes { outcomes }),
    )
}

fn folded(records: &[Record]) -> ClaimTable {
    let mut book = ClaimTable::new();
    for (offset, record) in (1..).zip(records) {
        book.apply(offset, record);
    }
    book
}

fn holder(book: &ClaimTable) -> Option<(&str, Offset)> {
    let claim = book.claim(&KEY)?;
    Some((&claim.holder.instance, claim.offset))
}

#[test]
fn first_claim_of_a_key_wins() {
    let book = folded(&[claim("a", 1), claim("b", 1)]);
    assert_eq!(holder(&book), Some(("a", 1)));
}

#[test]
fn key_that_was_not_run_is_claimed_again() {
    let end = outcome("a", 1, 1, KeyEnd::NotRun);
    let book = folded(&[claim("a", 1), end, claim("b", 1)]);
    assert_eq!(holder(&book), Some(("b", 3)));
}

/// Symptom: a call runs twice although its key was claimed.
/// Sequence: an outcome arrives that is not the holder's own word on this very claim.
/// Cause: another process, or a later run of the same instance, cannot know what was sent; and an
/// outcome of an earlier claim says nothing of the later one.
#[test]
fn only_the_holder_frees_its_own_claim() {
    for end in [
        outcome("b", 1, 1, KeyEnd::NotRun),
        outcome("a", 2, 1, KeyEnd::NotRun),
        outcome("a", 1, 9, KeyEnd::NotRun),
    ] {
        let book = folded(&[claim("a", 1), end, claim("b", 1)]);
        assert_eq!(holder(&book), Some(("a", 1)));
    }
}

#[test]
fn answered_claim_stays() {
    let ends = [KeyEnd::Answered, KeyEnd::NotRun].map(|end| outcome("a", 1, 1, end));
    let [answered, not_run] = ends;
    let book = folded(&[claim("a", 1), answered, not_run]);
    assert!(book.claim(&KEY).is_some_and(|claim| claim.answered));
}

#[test]
fn claims_go_with_the_records() {
    let mut book = folded(&[claim("a", 1), claim("b", 1)]);
    book.forget_before(2);
    assert!(book.is_empty());
    assert_eq!(book.apply(2, &claim("b", 1)), Effect::Repeated);
    book.apply(3, &claim("c", 1));
    assert_eq!(holder(&book), Some(("c", 3)));
}

#[test]
fn forgetting_a_concluded_claim_keeps_the_later_one() {
    let end = outcome("a", 1, 1, KeyEnd::NotRun);
    let mut book = folded(&[claim("a", 1), end, claim("b", 1)]);
    book.forget_before(2);
    assert_eq!(holder(&book), Some(("b", 3)));
}

/// Symptom: a claim counts as the first although the log holds an earlier one.
/// Sequence: a reader starts at a snapshot and passes over retained records.
/// Cause: snapshots hold no claims.
#[test]
fn records_that_were_passed_over_are_noticed() {
    let mut book = ClaimTable::new();
    book.forget_before(5);
    book.apply(5, &claim("a", 1));
    assert!(!book.has_gap());
    book.apply(7, &claim("b", 1));
    assert!(book.has_gap());
}
