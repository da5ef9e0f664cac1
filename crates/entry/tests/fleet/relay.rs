//! A datagram relay that can be cut, to partition entries.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;

/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Relays all datagrams between an entry and its peers.
pub(crate) struct Relay {
    /// Address under which the entry must be listed.
    pub(crate) address: String,
}

impl Relay {
    /// Starts a relay to `target` that drops all datagrams, in both directions, while `cut` is set.
    /// It ends with the test's runtime.
    pub(crate) async fn start(target: SocketAddr, cut: Arc<AtomicBool>) -> Self {
        let front = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap().to_string();
        actix_rt::spawn(async move {
            let mut sockets: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; MAX_DATAGRAM];
            while let Ok((length, from)) = front.recv_from(&mut buffer).await {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                let socket = match sockets.entry(from) {
                    Entry::Occupied(known) => known.into_mut(),
                    Entry::Vacant(new) => {
                        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                        socket.connect(target).await.unwrap();
                        actix_rt::spawn(forward_replies(
                            socket.clone(),
                            front.clone(),
                            from,
                            cut.clone(),
                        ));
                        new.insert(socket)
                    }
                };
                // Datagrams may be lost, so errors are ignored.
                let _ = socket.send(&buffer[..length]).await;
            }
        });
        Self { address }
    }
}

async fn forward_replies(
    socket: Rc<UdpSocket>,
    front: Rc<UdpSocket>,
    to: SocketAddr,
    cut: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // While the target is down, single calls fail.
        let Ok(length) = socket.recv(&mut buffer).await else {
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if !cut.load(Ordering::SeqCst) {
            let _ = front.send_to(&buffer[..length], to).await;
        }
    }
}
