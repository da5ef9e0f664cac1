//! The network between entries: datagrams pass a relay that can be cut.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;

/// Largest datagram.
const LARGEST: usize = 65_536;

/// Stands before an entry's address; others reach the entry, and are answered, through it alone.
pub(crate) struct Relay {
    /// The address under which the entry is to be listed.
    pub(crate) address: String,
}

impl Relay {
    /// A relay to `target` that drops everything, both ways, while `cut` is set. It ends with the
    /// test's runtime.
    pub(crate) async fn start(target: SocketAddr, cut: Arc<AtomicBool>) -> Self {
        let front = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap().to_string();
        actix_rt::spawn(async move {
            let mut ways: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; LARGEST];
            while let Ok((length, from)) = front.recv_from(&mut buffer).await {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                let way = match ways.entry(from) {
                    Entry::Occupied(known) => known.into_mut(),
                    Entry::Vacant(new) => {
                        let way = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                        way.connect(target).await.unwrap();
                        actix_rt::spawn(back(way.clone(), front.clone(), from, cut.clone()));
                        new.insert(way)
                    }
                };
                // A datagram that can't be sent is lost, as any may be.
                let _ = way.send(&buffer[..length]).await;
            }
        });
        Self { address }
    }
}

async fn back(way: Rc<UdpSocket>, front: Rc<UdpSocket>, to: SocketAddr, cut: Arc<AtomicBool>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        // The other end may be away for a while: that shows as an error of one call.
        let Ok(length) = way.recv(&mut buffer).await else {
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if !cut.load(Ordering::SeqCst) {
            let _ = front.send_to(&buffer[..length], to).await;
        }
    }
}
