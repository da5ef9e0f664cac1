//! Acceptance of edits: who wins, what is found, what stays in force.

mod common;

use assert_matches::assert_matches;
use catalogue::{Applied, Found, Refusal, State, Verdict};
use common::{accept, edit, owner, pool, service_entry};

#[test]
fn first_edit_is_in_force() {
    let mut state = State::default();
    let changes = [
        owner("kiosks", "key-1"),
        pool("kiosk-api"),
        service_entry("cards", "kiosks", "kiosk-api", "/cards"),
    ];
    accept(&mut state, 5, &changes);
    assert_eq!(state.revision(), 5);
    assert_eq!(
        state.view().owner_of_key("key-1").map(|o| &*o.name),
        Some("kiosks")
    );
    assert_matches!(state.view().entry_at("POST", "/cards/17"), Found::Entry(entry) if entry.name == "cards");
    assert_matches!(state.view().entry_at("POST", "/cardsharp"), Found::Nothing);
}

/// Symptom: an operator's change is gone although it was accepted.
/// Sequence: two operators edit the same pool on the same base, both edits reach the log.
/// Cause: the second edit would overwrite what its author has never seen.
#[test]
fn of_two_edits_on_one_base_the_first_wins_and_the_second_learns_it() {
    let mut state = State::default();
    accept(&mut state, 1, &[pool("kiosk-api")]);
    let first = edit(1, "ana", &[pool("kiosk-api")]);
    let second = edit(1, "luis", &[pool("kiosk-api")]);
    assert_matches!(
        state.apply(2, &first),
        Applied::Edit(Verdict::Accepted { revision: 2 })
    );
    let refused = state.apply(3, &second);
    assert_matches!(refused, Applied::Edit(Verdict::Refused(Refusal::Conflict(conflicts))) => {
        assert_eq!(conflicts.len(), 1);
        assert_eq!(conflicts[0].operator, "ana");
        assert_eq!(conflicts[0].revision, 2);
    });
    assert_eq!(state.revision(), 2);
}
