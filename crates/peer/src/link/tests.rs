//! Choice between two connections of a pair.

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

// Both sides dial at once and see the two connections in different orders. If each kept the newer
// one and closed the other, two healthy entries would lose their connection again and again.
#[test]
fn both_sides_keep_the_same_of_two_simultaneous_connections() {
    let now = Instant::now();
    let soon = now + SIMULTANEOUS / 2;
    for a_sees_own_first in [true, false] {
        for b_sees_own_first in [true, false] {
            // Each side compares the connection that it sees second with the first.
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
            assert!(a_kept, "a keeps the connection that it dialed");
            assert!(!b_kept, "b keeps the connection that a dialed");
        }
    }
}

#[test]
fn newer_connection_is_kept_unless_dialed_simultaneously() {
    let now = Instant::now();
    let later = now + SIMULTANEOUS + Duration::from_millis(1);
    for dialed in [true, false] {
        let standing = origin(!dialed, 0, now);
        assert!(origin(dialed, 0, later).replaces(&standing, "a", "b"));
        // A dialer dials again only if its previous connection is dead.
        let own = origin(dialed, 0, now);
        assert!(origin(dialed, 0, now).replaces(&own, "a", "b"));
        // A connection with newer keys is always kept.
        assert!(origin(dialed, 1, now).replaces(&standing, "a", "b"));
    }
}
