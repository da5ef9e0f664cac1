//! Ports of the tests themselves.

mod harness;

use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Threads that start children.
const STARTERS: usize = 4;
/// Ports that are looked at.
const PORTS: usize = 1_000;

/// Symptom: a gateway of a test ends at its start, one run in many, because an address cannot be listened on. Sequence: a
/// test looks whether a port is free; another thread forks a child at that moment; the test's gateway binds the port before
/// the child has begun its program. Cause: the child has a copy of the socket by which the port was looked at.
#[test]
fn a_port_that_is_free_can_be_bound_while_children_start() {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let child = harness::spawn(&mut Command::new("true"));
                    let status = child.and_then(|mut child| child.wait());
                    assert!(status.is_ok_and(|status| status.success()));
                }
            });
        }
        let bound = (0..PORTS).map(|_| UdpSocket::bind(("127.0.0.1", harness::free_port())));
        let failed = bound.filter(Result::is_err).count();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0);
    });
}
