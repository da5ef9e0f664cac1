//! Ports for these tests.

mod harness;

use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Threads that spawn children.
const SPAWNERS: usize = 4;
/// Ports that are tried.
const PORTS: usize = 1_000;

/// A test checks that a port is free while another thread forks a child, which inherits the socket
/// used for the check until its exec. The test's gateway could not bind the port then and ended at
/// its start, in one run of many.
#[test]
fn a_free_port_can_be_bound_while_children_are_spawned() {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let child = harness::spawn(&mut Command::new("true"));
                    let status = child.and_then(|mut child| child.wait());
                    assert!(status.is_ok_and(|status| status.success()));
                }
            });
        }
        let bound = (0..PORTS).map(|_| UdpSocket::bind(("127.0.0.1", harness::free_port())));
        let failed = bound.filter(Result::is_err).count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0);
    });
}
