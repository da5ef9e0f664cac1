//! Dialing peers, accepting their calls, and renewing connections after a change of keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quinn::{Connection, Incoming};
use tokio::time::{Instant, sleep, timeout};

use crate::Id;
use crate::inner::Inner;
use crate::link::OLD_KEYS;
use crate::mesh::Peer;

/// How long the higher id of a pair leaves the dialing to the lower, so that rarely both dial.
const HEAD_START: Duration = Duration::from_millis(300);

/// Keeps a connection to the peer for as long as the task runs.
pub(crate) async fn maintain_connection(inner: Rc<Inner>, peer: Peer) {
    let own = &inner.config.local.instance;
    let head_start = if *own > peer.id {
        HEAD_START
    } else {
        Duration::ZERO
    };
    let mut failures = 0;
    sleep(head_start).await;
    loop {
        let began = Instant::now();
        if let Some(link) = inner.link(&peer.id) {
            link.connection.closed().await;
        } else {
            dial(&inner, &peer.id, peer.address).await;
            // The tasks of the new connection run before it is looked at again.
            tokio::task::yield_now().await;
            if inner.link(&peer.id).is_some() {
                continue;
            }
        }
        // A peer that refuses our certificate does so only after our side takes the connection
        // for made, so only one that lasted shows that dialing works.
        if began.elapsed() >= inner.config.limits.max_backoff {
            failures = 0;
        }
        failures += 1;
        sleep(head_start + backoff(&inner, failures)).await;
    }
}

/// Accepts calls until the endpoint is closed.
pub(crate) async fn accept(inner: Rc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        if inner.state.borrow().handshakes >= inner.config.limits.max_handshakes {
            incoming.refuse();
            continue;
        }
        inner.state.borrow_mut().handshakes += 1;
        actix_rt::spawn(accept_one(Rc::clone(&inner), incoming));
    }
}

/// Makes a connection anew that was made with older keys, and closes the old one if that fails.
pub(crate) async fn renew(inner: Rc<Inner>, id: Id, generation: u64) {
    sleep(inner.config.limits.rotation_period.mul_f64(rand::random())).await;
    let is_old = |inner: &Inner| {
        inner
            .link(&id)
            .filter(|link| link.origin.generation < generation)
    };
    let Some(old) = is_old(&inner) else { return };
    dial(&inner, &id, old.address()).await;
    if let Some(old) = is_old(&inner) {
        log::warn!(peer = id.as_str(); "the peer does not take the new keys; its connection is closed");
        old.connection.close(OLD_KEYS, b"old keys");
    }
}

async fn accept_one(inner: Rc<Inner>, incoming: Incoming) {
    let generation = inner.state.borrow().generation;
    let remote = incoming.remote_address();
    let handshake = timeout(inner.config.limits.dial_timeout, incoming).await;
    inner.state.borrow_mut().handshakes -= 1;
    let error = match handshake {
        Ok(Ok(connection)) => return inner.adopt(connection, false, generation),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    inner.count_failed_handshake();
    log::warn!(remote:%, error; "a call was refused");
}

async fn dial(inner: &Rc<Inner>, id: &Id, address: SocketAddr) {
    let generation = inner.state.borrow().generation;
    match connect(inner, id, address).await {
        Ok(connection) => inner.adopt(connection, true, generation),
        Err(error) => {
            inner.count_failed_handshake();
            log::debug!(peer = id.as_str(), address:%, error; "no connection could be made");
        }
    }
}

/// Connects; the handshake fails unless the peer's certificate is for this id.
async fn connect(inner: &Inner, id: &Id, address: SocketAddr) -> Result<Connection, String> {
    let client = inner.state.borrow().client.clone();
    let connecting = inner
        .endpoint
        .connect_with(client, address, id)
        .map_err(|error| error.to_string())?;
    match timeout(inner.config.limits.dial_timeout, connecting).await {
        Ok(connected) => connected.map_err(|error| error.to_string()),
        Err(_) => Err("timed out".to_owned()),
    }
}

/// Doubles with each failure up to a bound; the jitter keeps the peers of an entry that comes
/// back from dialing it all at once.
fn backoff(inner: &Inner, failures: u32) -> Duration {
    let limits = &inner.config.limits;
    let doubled = limits
        .initial_backoff
        .saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    doubled
        .min(limits.max_backoff)
        .mul_f64(0.5 + rand::random::<f64>())
}

/// Doublings after which the bound holds in any case.
const MAX_DOUBLINGS: u32 = 12;
