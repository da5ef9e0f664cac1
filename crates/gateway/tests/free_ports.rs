//! Ports for these tests.

mod harness;

use std::collections::BTreeSet;
use std::env;
use std::io::{self, BufRead as _, BufReader, Read as _};
use std::net::UdpSocket;
use std::process::{Command, Stdio};
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

/// Variable with which a test runs this program again to be given ports.
const IS_CHILD: &str = "FREE_PORTS_CHILD";
/// Ports that each of two processes takes.
const PORTS_EACH: usize = 300;
/// Precedes a port in the output of the child.
const PORT_PREFIX: &str = "port ";

/// Guards against gateways that end at their start because tests of another checkout, which run at the same time,
/// have got the same port.
#[test]
fn processes_that_run_at_the_same_time_get_different_ports() {
    if env::var_os(IS_CHILD).is_some() {
        for _ in 0..PORTS_EACH {
            println!("{PORT_PREFIX}{}", harness::free_port());
        }
        // Holds the ports until the parent has taken its own.
        let _ = io::stdin().read_line(&mut String::new());
        return;
    }
    let name = "processes_that_run_at_the_same_time_get_different_ports";
    let mut command = Command::new(env::current_exe().expect("this program has a path"));
    command
        .args(["--exact", name, "--nocapture"])
        .env(IS_CHILD, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    let mut child = harness::spawn(&mut command).expect("this program starts");
    let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
    let lines = output.by_ref().lines().map_while(Result::ok);
    let ports = lines.filter_map(|line| line.split_once(PORT_PREFIX)?.1.parse().ok());
    let others: BTreeSet<u16> = ports.take(PORTS_EACH).collect();
    assert_eq!(others.len(), PORTS_EACH);
    let own = (0..PORTS_EACH).map(|_| harness::free_port());
    assert_eq!(own.filter(|port| others.contains(port)).count(), 0);
    drop(child.stdin.take());
    let _ = io::copy(&mut output, &mut io::sink());
    assert!(child.wait().is_ok_and(|status| status.success()));
}
