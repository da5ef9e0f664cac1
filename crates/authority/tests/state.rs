//! The fold of claims, renewals, releases, intents and outcomes.

mod common;

use assert_matches::assert_matches;
use authority::effect::{Effect, Refusal};
use authority::order::{Role, Verdict};
use authority::state::State;
use common::{author, claim, intent, outcome, release, renewal};
use proptest::prelude::*;
use wire::record::{Record, Snapshot};

fn fold(records: &[Record]) -> (State, Vec<Effect>) {
    let mut state = State::new();
    let effects = records.iter().zip(1..);
    let effects = effects.map(|(record, offset)| state.apply(offset, record));
    let effects = effects.collect();
    (state, effects)
}

#[test]
fn first_claim_in_the_log_wins() {
    // Two instances read that nobody holds the pool, and both claim it. Both claims were correct
    // when they were sent, but only one instance may become the holder.
    let (state, effects) = fold(&[claim("a", 0, 0), claim("b", 0, 0)]);
    assert_matches!(effects[0], Effect::Claimed { fence: 1, .. });
    assert_eq!(
        effects[1],
        Effect::Refused(Refusal::Superseded { in_force: 1 })
    );
    assert_eq!(
        state.current_claim(common::SCOPE).unwrap().holder,
        author("a")
    );
}

#[test]
fn renewal_that_the_challenger_had_not_read_defeats_its_claim() {
    // A renewal is logged just before the challenger's claim and extends the holder's lease. It does
    // not change the claim in force, so the challenger must also name the newest renewal.
    let (state, effects) = fold(&[claim("a", 0, 0), renewal("a", 1), claim("b", 1, 1)]);
    assert_eq!(effects[2], Effect::Refused(Refusal::Renewed { renewed: 2 }));
    assert_eq!(state.current_claim(common::SCOPE).unwrap().fence, 1);
    let (_, effects) = fold(&[claim("a", 0, 0), renewal("a", 1), claim("b", 1, 2)]);
    assert_matches!(&effects[2], Effect::Claimed { previous_holder: Some(previous), .. } if *previous == author("a"));
}

#[test]
fn records_of_a_former_holder_are_refused() {
    let log = [
        claim("a", 0, 0),
        intent("a", 1, "engine-1", 0),
        claim("b", 1, 1),
        renewal("a", 1),
        intent("a", 1, "engine-2", 0),
        outcome("a", 1, 2, Verdict::Done),
        outcome("a", 3, 2, Verdict::Done),
        outcome("b", 3, 2, Verdict::Undone),
    ];
    let (state, effects) = fold(&log);
    for refused in &effects[3..7] {
        assert_eq!(
            *refused,
            Effect::Refused(Refusal::Unauthorised { in_force: 3 })
        );
    }
    assert_matches!(effects[7], Effect::Concluded { order: 2, .. });
    assert_matches!(state.pending_order("engine-1"), None);
}

#[test]
fn restarted_instance_is_not_the_holder() {
    let mut restarted = renewal("a", 1);
    restarted.author.as_mut().unwrap().incarnation = 2;
    let (_, effects) = fold(&[claim("a", 0, 0), restarted]);
    assert_matches!(
        effects[1],
        Effect::Refused(Refusal::Unauthorised { in_force: 1 })
    );
}

#[test]
fn released_scope_can_only_be_claimed_again() {
    let log = [
        claim("a", 0, 0),
        release("a", 1),
        renewal("a", 1),
        intent("a", 1, "engine-1", 0),
        claim("b", 1, 1),
    ];
    let (_, effects) = fold(&log);
    assert_matches!(
        effects[2],
        Effect::Refused(Refusal::Unauthorised { in_force: 1 })
    );
    assert_matches!(
        effects[3],
        Effect::Refused(Refusal::Unauthorised { in_force: 1 })
    );
    assert_matches!(
        &effects[4],
        Effect::Claimed {
            previous_holder: None,
            ..
        }
    );
}

#[test]
fn engine_has_at_most_one_pending_order() {
    let (_, effects) = fold(&[
        claim("a", 0, 0),
        intent("a", 1, "engine-1", 0),
        intent("a", 1, "engine-1", 0),
    ]);
    assert_eq!(effects[2], Effect::Refused(Refusal::Busy { order: 2 }));
}

#[test]
fn duplicate_intent_counts_once() {
    // The answer to an intent is lost, so the intent is appended twice. One copy is concluded before
    // the other is logged. The late copy must not close the engine for the same order again.
    let (state, effects) = fold(&[
        claim("a", 0, 0),
        intent("a", 1, "engine-1", 0),
        outcome("a", 1, 2, Verdict::Done),
        intent("a", 1, "engine-1", 0),
        outcome("a", 1, 2, Verdict::Done),
    ]);
    assert_eq!(effects[3], Effect::Refused(Refusal::Outdated { newest: 2 }));
    assert_eq!(effects[4], Effect::Refused(Refusal::Resolved { order: 2 }));
    assert_eq!(state.settled("engine-1").unwrap().role, Some(Role::Decode));
    assert_eq!(state.recent_orders().count(), 1);
}

#[test]
fn earlier_claim_of_the_current_holder_is_not_in_force() {
    // "a" sends an intent that is delayed, loses the scope to "b" and acquires it again before the
    // intent is logged. The author is the holder again; only the fence distinguishes the claims.
    let (_, effects) = fold(&[
        claim("a", 0, 0),
        claim("b", 1, 1),
        claim("a", 2, 2),
        intent("a", 1, "engine-1", 0),
    ]);
    assert_eq!(
        effects[3],
        Effect::Refused(Refusal::Unauthorised { in_force: 3 })
    );
}

#[test]
fn record_delivered_twice_counts_once() {
    // The first of two renewals is delivered again. Applying it would reset the newest renewal, and
    // a claim based on the first renewal could win.
    let (mut state, _) = fold(&[claim("a", 0, 0), renewal("a", 1), renewal("a", 1)]);
    assert_eq!(state.apply(2, &renewal("a", 1)), Effect::Repeated);
    assert_eq!(state.current_claim(common::SCOPE).unwrap().renewed, 3);
    assert_eq!(state.folded(), 3);
}

#[test]
fn record_after_a_gap_changes_nothing() {
    // A reader misses the record with the claim of "b". Folding the next record against the claim of
    // "a" would accept an order of a former holder.
    let (mut state, _) = fold(&[claim("a", 0, 0)]);
    let before = state.clone();
    let late = intent("a", 1, "engine-1", 0);
    assert_eq!(state.apply(3, &late), Effect::Gap { missing: 2 });
    assert_eq!(state, before);
    assert_matches!(
        state.apply(2, &claim("b", 1, 1)),
        Effect::Claimed { fence: 2, .. }
    );
    assert_eq!(
        state.apply(3, &late),
        Effect::Refused(Refusal::Unauthorised { in_force: 2 })
    );
}

#[test]
fn malformed_records_change_nothing() {
    let mut without_author = claim("a", 0, 0);
    without_author.author = None;
    let (state, effects) = fold(&[without_author, claim("", 0, 0)]);
    for effect in effects {
        assert_matches!(effect, Effect::Refused(Refusal::Malformed(_)));
    }
    assert_eq!(state.current_claims().count(), 0);
}

/// Any record of two instances about two engines in a short log.
fn any_record() -> impl Strategy<Value = Record> {
    let instance = prop_oneof![Just("a"), Just("b")];
    let upstream = prop_oneof![Just("engine-1"), Just("engine-2")];
    (instance, upstream, 0..5u8, 0..12u64, 0..12u64).prop_map(
        |(instance, upstream, kind, one, two)| match kind {
            0 => claim(instance, one, two),
            1 => renewal(instance, one),
            2 => release(instance, one),
            3 => intent(instance, one, upstream, two),
            _ => outcome(instance, one, two, Verdict::Done),
        },
    )
}

proptest! {
    #[test]
    fn snapshot_and_suffix_fold_to_the_same_state(
        log in proptest::collection::vec(any_record(), 1..40),
        cut in 0..40usize,
    ) {
        let cut = cut.min(log.len());
        let (whole, effects) = fold(&log);
        let (prefix, _) = fold(&log[..cut]);
        let mut snapshot = Snapshot { upto: cut as u64, ..Snapshot::default() };
        prefix.fill_snapshot(&mut snapshot);
        let mut resumed = State::try_from(&snapshot).unwrap();
        // A reader may receive records that the snapshot already contains.
        for (record, offset) in log.iter().zip(1..) {
            let effect = resumed.apply(offset, record);
            if offset > cut as u64 {
                prop_assert_eq!(&effect, &effects[offset as usize - 1]);
            }
        }
        let (mut one, mut other) = (Snapshot::default(), Snapshot::default());
        whole.fill_snapshot(&mut one);
        resumed.fill_snapshot(&mut other);
        prop_assert_eq!(one, other);
    }
}
