//! Ports of soaks that run side by side.

use std::collections::BTreeSet;

use soak::gateway::PortAllocator;

/// Symptom: processes of one soak end by themselves, again and again. Sequence: a process is killed; before it
/// is started again, a soak beside it finds its port free and takes it. Cause: a port counted as free as
/// soon as nobody listened there.
#[test]
fn concurrent_allocators_share_no_port() {
    let (mut one, mut other) = (PortAllocator::default(), PortAllocator::default());
    let mut given = BTreeSet::new();
    for _ in 0..100 {
        assert!(given.insert(one.allocate()));
        assert!(given.insert(other.allocate()));
    }
}
