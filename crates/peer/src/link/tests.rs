//! Which of two connections of a pair is kept.

use std::time::Duration;

use tokio::time::Instant;

use super::{Origin, SIMULTANEOUS};

fn origin(dialed: bool, generation: u64, since: Instant) -> Origin {
    Origin {
        dialed,
        generation,
        since,
    }
}

// Symptom: two entries lose their connection again and again while both are well.
// Sequence: both dial at once; each takes the newer of the two connections and closes the other.
// Cause: the two sides see the connections in different orders.
#[test]
fn both_sides_keep_the_same_of_two_dialed_at_once() {
    let now = Instant::now();
    let soon = now + SIMULTANEOUS / 2;
    for a_sees_own_first in [true, false] {
        for b_sees_own_first in [true, false] {
            // Each side judges the one that it sees second against the one that it sees first.
            let a_first = origin(a_sees_own_first, 0, now);
            let a_second = origin(!a_sees_own_first, 0, soon);
            let b_first = origin(b_sees_own_first, 0, now);
            let b_second = origin(!b_sees_own_first, 0, soon);
            let a_kept = match a_second.replaces(&a_first, "a", "b") {
                true => a_second.dialed,
                false => a_first.dialed,
            };
            let b_kept = match b_second.replaces(&b_first, "b", "a") {
                true => b_second.dialed,
                false => b_first.dialed,
            };
            assert!(a_kept, "a keeps its own");
            assert!(!b_kept, "b keeps that of a");
        }
    }
}

#[test]
fn later_the_newer_is_kept_whoever_dialed() {
    let now = Instant::now();
    let later = now + SIMULTANEOUS + Duration::from_millis(1);
    for dialed in [true, false] {
        let standing = origin(!dialed, 0, now);
        assert!(origin(dialed, 0, later).replaces(&standing, "a", "b"));
        // The same dialer dials again only if its former connection is dead.
        let own = origin(dialed, 0, now);
        assert!(origin(dialed, 0, now).replaces(&own, "a", "b"));
        // One with newer keys is kept in any case.
        assert!(origin(dialed, 1, now).replaces(&standing, "a", "b"));
    }
}
