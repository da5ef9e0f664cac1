//! The public interface of the mesh.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use quinn::{Endpoint, EndpointConfig, TokioRuntime};
use tokio::time::{sleep, timeout};
use wire::peer::frame::Body;
use wire::peer::{Query, Reply};

use crate::config::{Config, Direction};
use crate::event::Event;
use crate::inner::{Dialer, Inner, State, merge};
use crate::link::{Link, STOPPING};
use crate::receive::{self, Exchange};
use crate::traffic::{Flow, Traffic};
use crate::{Error, Id, dial, keys};

/// A peer to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Instance id, which its certificate must name.
    pub id: Id,
    /// Its UDP address.
    pub address: SocketAddr,
}

/// Status of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Instance id of the peer.
    pub id: Id,
    /// Its UDP address.
    pub address: SocketAddr,
    /// Whether this process dialed the connection.
    pub dialed: bool,
    /// Age of the connection.
    pub age: Duration,
    /// Smoothed round-trip time.
    pub round_trip: Duration,
    /// UDP datagrams and bytes of this connection.
    pub udp: Flow,
}

/// Why a frame was not sent. Senders repeat their frames, so this serves counters and logs only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// There is no connection to the peer.
    NotConnected,
    /// The send queue of the peer is full.
    QueueFull,
    /// The frame is larger than [`crate::config::Limits::max_frame_bytes`].
    TooLarge,
}

/// Handle of a running mesh, which runs on the actix system that started it until
/// [`Mesh::close`]. Clones refer to the same mesh.
#[derive(Clone)]
pub struct Mesh {
    pub(crate) inner: Rc<Inner>,
}

impl Mesh {
    /// Starts listening and calls `handler` for each event. The handler runs on the tasks of the
    /// mesh and must not block.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] with all findings, or [`Error::Listen`].
    pub fn start(config: Config, handler: impl Fn(Event) + 'static) -> Result<Self, Report<Error>> {
        let own = &config.local.instance;
        let keys = keys::load(&config.keys, own, &config.limits)
            .map_err(|findings| Report::new(Error::Keys(findings)))?;
        let endpoint = listen(&config, keys.server)?;
        let state = State::new(keys.client);
        let inner = Rc::new(Inner {
            config,
            endpoint,
            handler: Box::new(handler),
            state: RefCell::new(state),
        });
        actix_rt::spawn(dial::accept(Rc::clone(&inner)));
        Ok(Self { inner })
    }

    /// The local UDP address.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the socket is closed.
    pub fn address(&self) -> Result<SocketAddr, Report<Error>> {
        let wanted = Error::Listen(self.inner.config.listen);
        self.inner.endpoint.local_addr().change_context(wanted)
    }

    /// Replaces the set of peers to dial. An open connection to a peer that was removed is kept,
    /// because the list lags and the peer may still serve.
    pub fn set_members(&self, members: &[Peer]) {
        let own = &self.inner.config.local.instance;
        let mut state = self.inner.state.borrow_mut();
        let wanted: BTreeSet<&Id> = members.iter().map(|peer| &peer.id).collect();
        state.dialers.retain(|id, dialer| {
            let keep = wanted.contains(id);
            if !keep {
                dialer.task.abort();
            }
            keep
        });
        for peer in members.iter().filter(|peer| peer.id != *own) {
            let known = state.dialers.get(&peer.id);
            if known.is_some_and(|dialer| dialer.address == peer.address) {
                continue;
            }
            let task = actix_rt::spawn(dial::maintain_connection(
                Rc::clone(&self.inner),
                peer.clone(),
            ));
            let dialer = Dialer {
                address: peer.address,
                task,
            };
            if let Some(former) = state.dialers.insert(peer.id.clone(), dialer) {
                former.task.abort();
            }
        }
    }

    /// Sends a frame with this body and the next sequence number, without waiting.
    ///
    /// # Errors
    ///
    /// Why it was not sent; it is not retried.
    pub fn send(&self, to: &str, body: Body) -> Result<(), SendError> {
        let encoded = self.inner.encode(body);
        self.inner.send(to, encoded)
    }

    /// Sends the frame to all connected peers and returns to how many it was sent.
    pub fn broadcast(&self, body: Body) -> usize {
        let encoded = self.inner.encode(body);
        let peers: Vec<Id> = self.inner.state.borrow().current.keys().cloned().collect();
        let sent = peers
            .iter()
            .filter(|peer| self.inner.send(peer, encoded.clone()).is_ok());
        sent.count()
    }

    /// Sends a query to a peer and waits for its reply, at most for `within`.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`], [`Error::TimedOut`], [`Error::Broken`] or [`Error::Malformed`].
    pub async fn query(
        &self,
        to: &str,
        query: Query,
        within: Duration,
    ) -> Result<Reply, Report<Error>> {
        let peer = to.to_owned();
        let link = self.inner.link(to);
        let link = link.ok_or_else(|| Report::new(Error::NotConnected(peer.clone())))?;
        let encoded = self.inner.encode(Body::Query(query));
        if self.inner.config.drops(Direction::Out, &link.id) {
            sleep(within).await;
            return Err(Report::new(Error::TimedOut(peer)));
        }
        self.inner
            .count(encoded.kind, Direction::Out, encoded.bytes.len());
        match timeout(within, receive::exchange(&self.inner, &link, &encoded)).await {
            Ok(Exchange::Replied(reply)) => Ok(reply),
            Ok(Exchange::Broken) => Err(Report::new(Error::Broken(peer))),
            Ok(Exchange::Malformed) => Err(Report::new(Error::Malformed(peer))),
            Err(_) => Err(Report::new(Error::TimedOut(peer))),
        }
    }

    /// Reloads the keys. Open connections are renewed within
    /// [`crate::config::Limits::rotation_period`], each old one being closed only after its
    /// successor is open; a peer that rejects the new keys is disconnected by then.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] with all findings; the current keys stay in use.
    pub fn reload(&self, source: &keys::Source) -> Result<(), Report<Error>> {
        let config = &self.inner.config;
        let keys = keys::load(source, &config.local.instance, &config.limits)
            .map_err(|findings| Report::new(Error::Keys(findings)))?;
        self.inner.endpoint.set_server_config(Some(keys.server));
        let mut state = self.inner.state.borrow_mut();
        state.client = keys.client;
        state.generation += 1;
        for id in state.current.keys() {
            actix_rt::spawn(dial::renew(
                Rc::clone(&self.inner),
                id.clone(),
                state.generation,
            ));
        }
        Ok(())
    }

    /// Counters since the start.
    pub fn traffic(&self) -> Traffic {
        let state = self.inner.state.borrow();
        let mut traffic = state.traffic.clone();
        for link in state.links.values() {
            merge(&mut traffic.udp, link.udp());
        }
        traffic
    }

    /// The current connections, ordered by the id of the peer.
    pub fn status(&self) -> Vec<Status> {
        let state = self.inner.state.borrow();
        let status = |link: &Rc<Link>| Status {
            id: link.id.clone(),
            address: link.address(),
            dialed: link.origin.dialed,
            age: link.origin.since.elapsed(),
            round_trip: link.connection.rtt(),
            udp: link.udp(),
        };
        state.current.values().map(status).collect()
    }

    /// Closes all connections and notifies the peers.
    pub async fn close(&self) {
        let dialers = std::mem::take(&mut self.inner.state.borrow_mut().dialers);
        for dialer in dialers.values() {
            dialer.task.abort();
        }
        self.inner.endpoint.close(STOPPING, b"stopping");
        // An unreachable peer never acknowledges the close, so the wait is bounded.
        let _cut_off = timeout(
            self.inner.config.limits.dial_timeout,
            self.inner.endpoint.wait_idle(),
        )
        .await;
    }
}

fn listen(config: &Config, server: quinn::ServerConfig) -> Result<Endpoint, Report<Error>> {
    let socket =
        std::net::UdpSocket::bind(config.listen).change_context(Error::Listen(config.listen))?;
    Endpoint::new(
        EndpointConfig::default(),
        Some(server),
        socket,
        Arc::new(TokioRuntime),
    )
    .change_context(Error::Listen(config.listen))
}
