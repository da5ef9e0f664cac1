//! Network partitions: packets between two meshes pass through a relay that drops them in one or
//! both directions.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use peer::Peer;
use peer::issue::Authority;
use support::{Process, config, confirm, loopback};
use tokio::net::UdpSocket;

/// Maximum size of a relayed packet.
const MAX_PACKET_BYTES: usize = 2048;

/// The directions in which packets are dropped.
#[derive(Clone, Copy, Default)]
struct Loss {
    to_b: bool,
    to_a: bool,
}

/// Relays packets between b and the dialer of its address.
struct Relay {
    address: SocketAddr,
    loss: Rc<Cell<Loss>>,
}

impl Relay {
    async fn start(b: SocketAddr) -> Self {
        let front = UdpSocket::bind(loopback()).await.unwrap();
        let back = UdpSocket::bind(loopback()).await.unwrap();
        let address = front.local_addr().unwrap();
        let loss = Rc::new(Cell::new(Loss::default()));
        actix_rt::spawn(relay(front, back, b, Rc::clone(&loss)));
        Self { address, loss }
    }
}

async fn relay(front: UdpSocket, back: UdpSocket, b: SocketAddr, loss: Rc<Cell<Loss>>) {
    let mut a = None;
    let (mut to_b, mut to_a) = ([0; MAX_PACKET_BYTES], [0; MAX_PACKET_BYTES]);
    loop {
        tokio::select! {
            received = front.recv_from(&mut to_b) => {
                let (size, from) = received.unwrap();
                a = Some(from);
                if !loss.get().to_b {
                    back.send_to(&to_b[..size], b).await.unwrap();
                }
            }
            received = back.recv_from(&mut to_a) => {
                let (size, _) = received.unwrap();
                if let (Some(a), false) = (a, loss.get().to_a) {
                    front.send_to(&to_a[..size], a).await.unwrap();
                }
            }
        }
    }
}

// Packets are lost in one or both directions, and later arrive again. A connection without
// acknowledgements has to be closed on both sides and redialed automatically, or an entry would
// wait for ever on a dead connection.
async fn lose_packets_and_heal(lossy: Loss) {
    let authority = Authority::new("test").unwrap();
    let mut nodes = ["a", "b"].map(|id| {
        let mut config = config(id, 1, authority.issue(id).unwrap());
        config.limits.idle_timeout = Duration::from_millis(300);
        config.limits.dial_timeout = Duration::from_millis(300);
        Process::start_with_config(config)
    });
    let [a, b] = &mut nodes;
    let relay = Relay::start(b.peer().address).await;
    a.mesh.set_members(&[Peer {
        id: "b".to_owned(),
        address: relay.address,
    }]);
    a.wait_up("b").await;
    b.wait_up("a").await;
    relay.loss.set(lossy);
    a.wait_down("b").await;
    b.wait_down("a").await;
    relay.loss.set(Loss::default());
    a.wait_up("b").await;
    b.wait_up("a").await;
    a.mesh.send("b", confirm(3)).unwrap();
    assert_eq!(b.wait_confirmed(3).await, "a");
    b.mesh.send("a", confirm(4)).unwrap();
    assert_eq!(a.wait_confirmed(4).await, "b");
}

#[actix_rt::test]
async fn loss_towards_b_closes_both_sides_and_recovers() {
    let to_b = Loss {
        to_b: true,
        to_a: false,
    };
    lose_packets_and_heal(to_b).await;
}

#[actix_rt::test]
async fn loss_towards_a_closes_both_sides_and_recovers() {
    let to_a = Loss {
        to_b: false,
        to_a: true,
    };
    lose_packets_and_heal(to_a).await;
}

#[actix_rt::test]
async fn loss_in_both_directions_closes_both_sides_and_recovers() {
    let both = Loss {
        to_b: true,
        to_a: true,
    };
    lose_packets_and_heal(both).await;
}
