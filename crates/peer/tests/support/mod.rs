//! Meshes on loopback for the tests of this crate.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use peer::config::{Fault, Limits};
use peer::issue::Authority;
use peer::{Config, Event, Mesh, Peer, keys};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use wire::peer::Confirm;
use wire::peer::frame::Body;
use wire::record::Author;

/// Much longer than any wait in these tests; exceeding it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which an awaited state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A mesh and its events.
pub struct Process {
    pub id: String,
    pub mesh: Mesh,
    pub events: UnboundedReceiver<Event>,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Limits with short waits, so that tests with several dials are fast.
pub fn limits() -> Limits {
    Limits {
        initial_backoff: Duration::from_millis(20),
        max_backoff: Duration::from_millis(200),
        rotation_period: Duration::from_millis(100),
        linger: Duration::from_millis(100),
        ..Limits::default()
    }
}

pub fn config(id: &str, incarnation: u64, keys: keys::Source) -> Config {
    let own = Author {
        instance: id.to_owned(),
        incarnation,
    };
    Config {
        limits: limits(),
        ..Config::new(own, loopback(), keys)
    }
}

impl Process {
    pub fn start(authority: &Authority, id: &str) -> Self {
        Self::start_with_config(config(id, 1, authority.issue(id).expect("id is a name")))
    }

    pub fn start_with_fault(authority: &Authority, id: &str, fault: Fault) -> Self {
        let mut config = config(id, 1, authority.issue(id).expect("id is a name"));
        config.fault = Some(fault);
        Self::start_with_config(config)
    }

    pub fn start_with_config(config: Config) -> Self {
        let id = config.local.instance.clone();
        let (sender, events) = unbounded_channel();
        let handler = move |event| {
            let _test_is_over = sender.send(event);
        };
        let mesh = Mesh::start(config, handler).expect("mesh starts");
        Self { id, mesh, events }
    }

    pub fn peer(&self) -> Peer {
        Peer {
            id: self.id.clone(),
            address: self.mesh.address().expect("socket stands"),
        }
    }

    /// Waits for the first event for which the closure returns a value; drops the others.
    pub async fn wait_for<T>(&mut self, mut pick: impl FnMut(Event) -> Option<T>) -> T {
        let wait = async {
            loop {
                let event = self.events.recv().await.expect("mesh runs");
                if let Some(picked) = pick(event) {
                    return picked;
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("{} timed out", self.id))
    }

    /// Waits until a handshake of this process has failed, and returns the events up to then.
    pub async fn wait_handshake_failed(&mut self) -> Vec<Event> {
        let mut earlier = Vec::new();
        let wait = async {
            while self.mesh.traffic().failed_handshakes == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("no handshake of {} failed", self.id));
        while let Ok(event) = self.events.try_recv() {
            earlier.push(event);
        }
        earlier
    }

    pub async fn wait_up(&mut self, peer: &str) {
        self.wait_for(|event| matches!(event, Event::Up(id) if id == peer).then_some(()))
            .await;
    }

    pub async fn wait_down(&mut self, peer: &str) {
        self.wait_for(|event| matches!(event, Event::Down(id) if id == peer).then_some(()))
            .await;
    }

    /// Waits for a confirmation of this order and returns its sender.
    pub async fn wait_confirmed(&mut self, order: u64) -> String {
        self.wait_for(|event| match event {
            Event::Frame(frame) => match frame.body {
                Some(Body::Confirm(confirm)) if confirm.order == order => {
                    frame.from.map(|from| from.instance)
                }
                _ => None,
            },
            _ => None,
        })
        .await
    }
}

/// Connects all processes with each other.
pub async fn connect(processes: &mut [&mut Process]) {
    let peers: Vec<Peer> = processes.iter().map(|process| process.peer()).collect();
    for process in processes.iter() {
        process.mesh.set_members(&peers);
    }
    for process in processes.iter_mut() {
        for _ in 1..peers.len() {
            process
                .wait_for(|event| matches!(event, Event::Up(_)).then_some(()))
                .await;
        }
    }
}

/// Starts two processes, `a` and `b`, and connects them.
pub async fn connected(authority: &Authority) -> (Process, Process) {
    let mut a = Process::start(authority, "a");
    let mut b = Process::start(authority, "b");
    connect(&mut [&mut a, &mut b]).await;
    (a, b)
}

pub fn confirm(order: u64) -> Body {
    Body::Confirm(Confirm {
        order,
        upstream: "engine-1".to_owned(),
        open: 0,
    })
}
