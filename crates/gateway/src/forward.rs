//! Sends calls through other instances, which reach engines that this instance does not.
//!
//! Where a call goes, how often, and on whose account stays with the instance that has the caller;
//! the other one only sends the request on to the engine that it names, once, and passes the response
//! back. See [`docs/design/engine-links.md`](../../../docs/design/engine-links.md).

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use clock::Moment;
use http1::{Client, Failure, Framing, TcpTimeouts};

use crate::engine_links::Target;

pub(crate) mod server;

/// Names the engine that a request is for; see [`Target`].
const FORWARD_TO: HeaderName = HeaderName::from_static("tarragon-forward-to");
/// Asks for a connection to the engine only; nothing is sent there.
const CONNECT_ONLY: HeaderName = HeaderName::from_static("tarragon-connect-only");
/// Says why a request was not sent on; missing in engines' responses.
const NOT_FORWARDED: HeaderName = HeaderName::from_static("tarragon-not-forwarded");

/// Present if the body of the engine's response ended with its connection; it is passed back in chunks.
const UNTIL_CLOSE: HeaderName = HeaderName::from_static("tarragon-until-close");

/// Another instance is near, and asking the next one costs less than waiting.
const PEER_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(150),
    acknowledge: Duration::from_millis(2_000),
    probe_interval: Duration::from_millis(1_000),
    probe_count: 1,
};

/// Time after which an idle connection to another instance is not used any more; shorter than the
/// time after which that instance closes it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Idle connections kept to one instance.
const MAX_IDLE: usize = 8;

/// Why another instance did not send a request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotForwarded {
    /// It reaches no engine of the service itself.
    Isolated,
    /// It reaches other engines of the service, not this one.
    Unreachable,
    /// The engine takes no requests from it now.
    Unavailable,
    /// It is about to end, or forwards as many calls as it can.
    Busy,
}

impl NotForwarded {
    const ALL: [Self; 4] = [
        Self::Isolated,
        Self::Unreachable,
        Self::Unavailable,
        Self::Busy,
    ];

    /// Its name in messages and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Isolated => "isolated",
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
            Self::Busy => "busy",
        }
    }
}

/// An engine's response, read up to its head.
pub(crate) struct Response {
    pub head: ResponseHead,
    pub framing: Framing,
    pub client: Client,
}

/// Result of asking one instance.
pub(crate) enum Forwarded {
    Response(Box<Response>),
    /// It did not send the request on.
    Declined(NotForwarded),
    /// It could not be asked.
    Silent(Failure),
    /// It may have sent the request on.
    Lost(Failure),
}

struct Idle {
    client: Client,
    until: Moment,
}

/// Idle connections to other instances.
#[derive(Default)]
pub(crate) struct PeerPool(RefCell<HashMap<SocketAddr, Vec<Idle>>>);

impl PeerPool {
    fn take(&self, peer: SocketAddr, now: Moment) -> Option<Client> {
        let mut all = self.0.borrow_mut();
        let idle = all.get_mut(&peer)?;
        while let Some(mut last) = idle.pop() {
            if now < last.until && last.client.is_reusable() {
                return Some(last.client);
            }
        }
        None
    }

    /// Keeps a connection whose response was read completely.
    pub(crate) fn put(&self, mut client: Client, now: Moment) {
        if !client.is_reusable() {
            return;
        }
        let mut all = self.0.borrow_mut();
        let idle = all.entry(client.peer()).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        let until = now + MAX_IDLE_TIME;
        idle.push(Idle { client, until });
    }

    /// Closes expired connections.
    pub(crate) fn sweep(&self, now: Moment) {
        self.0.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.until);
            !idle.is_empty()
        });
    }
}

/// Whether another instance reaches an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Reached,
    /// It reaches other engines of the service.
    NotReached,
    /// It may have a fault of its own.
    Unknown,
    /// It reaches no engine of the service.
    Isolated,
    /// It could not be asked.
    Silent,
}

/// Asks an instance whether it reaches an engine.
pub(crate) async fn reaches(
    pool: &PeerPool,
    connect: impl AsyncFnOnce(SocketAddr, &TcpTimeouts) -> Result<Client, Failure>,
    peer: SocketAddr,
    engine: &Target,
    now: Moment,
) -> Reach {
    let mut head = RequestHead::default();
    let headers = &mut head.headers;
    headers.insert(HOST, HeaderValue::from_static("instance"));
    headers.insert(CONNECT_ONLY, HeaderValue::from_static("1"));
    match request(pool, connect, peer, engine, head, &Bytes::new(), now).await {
        Forwarded::Response(mut response) => {
            if response.client.body(0).await.is_ok() {
                pool.put(response.client, now);
            }
            Reach::Reached
        }
        Forwarded::Declined(NotForwarded::Unreachable) => Reach::NotReached,
        Forwarded::Declined(NotForwarded::Isolated) => Reach::Isolated,
        Forwarded::Declined(NotForwarded::Unavailable | NotForwarded::Busy) => Reach::Unknown,
        Forwarded::Silent(failure) if !is_timeout(&failure) => Reach::Unknown,
        Forwarded::Silent(_) | Forwarded::Lost(_) => Reach::Silent,
    }
}

/// Asks an instance to send a request to an engine. `connect` opens a connection to it.
pub(crate) async fn request(
    pool: &PeerPool,
    connect: impl AsyncFnOnce(SocketAddr, &TcpTimeouts) -> Result<Client, Failure>,
    peer: SocketAddr,
    engine: &Target,
    mut head: RequestHead,
    body: &Bytes,
    now: Moment,
) -> Forwarded {
    let mut client = match pool.take(peer, now) {
        Some(client) => client,
        None => match connect(peer, &PEER_PATIENCE).await {
            Ok(client) => client,
            Err(failure) => return Forwarded::Silent(failure),
        },
    };
    let Ok(target) = HeaderValue::from_str(&engine.to_string()) else {
        return Forwarded::Declined(NotForwarded::Unreachable);
    };
    head.headers.insert(FORWARD_TO, target);
    match client.send(head, body).await {
        Ok(mut response) => match refusal(&response.head) {
            None => {
                let is_until_close = response.head.headers.remove(UNTIL_CLOSE).next().is_some();
                Forwarded::Response(Box::new(Response {
                    framing: match is_until_close {
                        true => Framing::UntilClose,
                        false => response.framing,
                    },
                    head: response.head,
                    client,
                }))
            }
            Some(why) => {
                if client.body(0).await.is_ok() {
                    pool.put(client, now);
                }
                Forwarded::Declined(why)
            }
        },
        Err(failure) => Forwarded::Lost(failure),
    }
}

/// Whether a connection did not open in time, rather than being refused.
pub(crate) fn is_timeout(failure: &Failure) -> bool {
    matches!(failure, Failure::NotSent(error) if error.kind() == io::ErrorKind::TimedOut)
}

fn refusal(head: &ResponseHead) -> Option<NotForwarded> {
    let why = head.headers.get(NOT_FORWARDED)?;
    let mut known = NotForwarded::ALL.into_iter();
    // A reason of a later version means the same: it was not sent.
    let named = known.find(|known| why == known.name());
    Some(named.unwrap_or(NotForwarded::Busy))
}
