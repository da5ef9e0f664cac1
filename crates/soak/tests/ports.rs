//! Port allocation by concurrent soaks.

use std::collections::BTreeSet;

use soak::gateway::PortAllocator;

/// Restarted processes failed repeatedly because a concurrent soak had taken their port between the
/// kill and the restart: a port counted as free as soon as nobody listened there.
#[test]
fn concurrent_allocators_share_no_port() {
    let (mut one, mut other) = (PortAllocator::default(), PortAllocator::default());
    let mut given = BTreeSet::new();
    for _ in 0..100 {
        assert!(given.insert(one.allocate()));
        assert!(given.insert(other.allocate()));
    }
}
