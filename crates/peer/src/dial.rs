//! Dials peers, accepts connections, and renews connections after a change of keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quinn::{Connection, Incoming};
use tokio::time::{Instant, sleep, timeout};

use crate::Id;
use crate::inner::Inner;
use crate::link::OLD_KEYS;
use crate::mesh::Peer;

/// How long the higher id of a pair waits for the lower one to dial, so that both rarely dial.
const HEAD_START: Duration = Duration::from_millis(300);

/// Keeps a connection to the peer open while the task runs.
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
            // Lets the tasks of the new connection run before it is checked.
            tokio::task::yield_now().await;
            if inner.link(&peer.id).is_some() {
                continue;
            }
        }
        // A peer rejects our certificate only after the handshake has completed on our side, so
        // only a connection that lasted resets the back-off.
        if began.elapsed() >= inner.config.limits.max_backoff {
            failures = 0;
        }
        failures += 1;
        sleep(head_start + backoff(&inner, failures)).await;
    }
}

/// Accepts connections until the endpoint is closed.
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

/// Replaces a connection made with older keys, and closes the old one if that fails.
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
        log::warn!(peer = id.as_str(); "peer does not accept the new keys; closing its connection");
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

/// Connects. The handshake fails unless the certificate of the peer is for this id.
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

/// Exponential back-off with jitter, so that peers do not all dial a returning entry at once.
fn backoff(inner: &Inner, failures: u32) -> Duration {
    let limits = &inner.config.limits;
    let doubled = limits
        .initial_backoff
        .saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    doubled
        .min(limits.max_backoff)
        .mul_f64(0.5 + rand::random::<f64>())
}

/// Limits the shift so that it cannot overflow; the back-off has reached its maximum by then.
const MAX_DOUBLINGS: u32 = 12;
