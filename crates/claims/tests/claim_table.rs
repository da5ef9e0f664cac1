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

fn fold(records: &[Record]) -> ClaimTable {
    let mut table = ClaimTable::new();
    for (offset, record) in (1..).zip(records) {
        table.apply(offset, record);
    }
    table
}

fn holder(table: &ClaimTable) -> Option<(&str, Offset)> {
    let claim = table.claim(&KEY)?;
    Some((&claim.holder.instance, claim.offset))
}

#[test]
fn first_claim_of_a_key_wins() {
    let table = fold(&[claim("a", 1), claim("b", 1)]);
    assert_eq!(holder(&table), Some(("a", 1)));
}

#[test]
fn key_concluded_as_not_run_can_be_claimed_again() {
    let end = outcome("a", 1, 1, KeyEnd::NotRun);
    let table = fold(&[claim("a", 1), end, claim("b", 1)]);
    assert_eq!(holder(&table), Some(("b", 3)));
}

/// An outcome from another process, from a later run of the same instance or for another claim must
/// not free a claimed key, because its call could then run twice. Only the holder knows whether it
/// sent the call.
#[test]
fn only_the_holder_frees_its_own_claim() {
    for end in [
        outcome("b", 1, 1, KeyEnd::NotRun),
        outcome("a", 2, 1, KeyEnd::NotRun),
        outcome("a", 1, 9, KeyEnd::NotRun),
    ] {
        let table = fold(&[claim("a", 1), end, claim("b", 1)]);
        assert_eq!(holder(&table), Some(("a", 1)));
    }
}

#[test]
fn answered_claim_stays() {
    let ends = [KeyEnd::Answered, KeyEnd::NotRun].map(|end| outcome("a", 1, 1, end));
    let [answered, not_run] = ends;
    let table = fold(&[claim("a", 1), answered, not_run]);
    assert!(table.claim(&KEY).is_some_and(|claim| claim.answered));
}

#[test]
fn claims_are_dropped_with_their_records() {
    let mut table = fold(&[claim("a", 1), claim("b", 1)]);
    table.forget_before(2);
    assert!(table.is_empty());
    assert_eq!(table.apply(2, &claim("b", 1)), Effect::Repeated);
    table.apply(3, &claim("c", 1));
    assert_eq!(holder(&table), Some(("c", 3)));
}

#[test]
fn dropping_a_concluded_claim_keeps_the_later_one() {
    let end = outcome("a", 1, 1, KeyEnd::NotRun);
    let mut table = fold(&[claim("a", 1), end, claim("b", 1)]);
    table.forget_before(2);
    assert_eq!(holder(&table), Some(("b", 3)));
}

/// A reader starts at a snapshot and skips retained records. Snapshots contain no claims, so the
/// skipped records may contain an earlier claim.
#[test]
fn skipped_records_are_detected() {
    let mut table = ClaimTable::new();
    table.forget_before(5);
    table.apply(5, &claim("a", 1));
    assert!(!table.has_gap());
    table.apply(7, &claim("b", 1));
    assert!(table.has_gap());
}
