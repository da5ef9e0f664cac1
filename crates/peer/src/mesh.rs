//! The mesh: which connections stand, and the calls of its user.

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

/// A peer to be connected to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Instance id, which its certificate must bear.
    pub id: Id,
    /// Its UDP address.
    pub address: SocketAddr,
}

/// A connection as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Instance id of the peer.
    pub id: Id,
    /// Its UDP address.
    pub address: SocketAddr,
    /// Whether this process dialed.
    pub dialed: bool,
    /// Age of the connection.
    pub age: Duration,
    /// Smoothed time there and back.
    pub round_trip: Duration,
    /// UDP datagrams of this connection.
    pub udp: Flow,
}

/// Why a frame was not sent. Frames are repeated by their senders, so this is for counts and logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection to the peer stands.
    NotConnected,
    /// The peer takes frames more slowly than they come.
    QueueFull,
    /// It is larger than [`crate::config::Limits::max_frame_bytes`].
    TooLarge,
}

/// A running mesh. Clones are handles of the same mesh; it runs on the actix system that started
/// it until [`Mesh::close`].
#[derive(Clone)]
pub struct Mesh {
    pub(crate) inner: Rc<Inner>,
}

impl Mesh {
    /// Listens, and calls `handler` for all that happens. The handler runs on the mesh's own
    /// tasks and must not block.
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

    /// The address that is listened on.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Report<Error>> {
        let wanted = Error::Listen(self.inner.config.listen);
        self.inner.endpoint.local_addr().change_context(wanted)
    }

    /// Dials these peers from now on. A connection to one that is left out is kept while it
    /// stands, because the list lags and the peer may still serve.
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

    /// Sends a frame with this body, under this process's name and the next sequence number,
    /// without waiting.
    ///
    /// # Errors
    ///
    /// Why it can't be sent now; it is not tried again.
    pub fn send(&self, to: &str, body: Body) -> Result<(), SendError> {
        let encoded = self.inner.encode(body);
        self.inner.send(to, encoded)
    }

    /// Sends the same frame to all peers that are connected, and says to how many.
    pub fn broadcast(&self, body: Body) -> usize {
        let encoded = self.inner.encode(body);
        let peers: Vec<Id> = self.inner.state.borrow().current.keys().cloned().collect();
        let sent = peers
            .iter()
            .filter(|peer| self.inner.send(peer, encoded.clone()).is_ok());
        sent.count()
    }

    /// Asks a peer and waits for its reply, at most this long.
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

    /// Reads the keys again and uses them from now on. Connections that stand are renewed one by
    /// one within [`crate::config::Limits::rotation_period`], the old one being closed after its
    /// successor stands; a peer that does not accept the new keys is cut off by the end of it.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] with all findings; the keys in use stay.
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

    /// Counts since the start.
    pub fn traffic(&self) -> Traffic {
        let state = self.inner.state.borrow();
        let mut traffic = state.traffic.clone();
        for link in state.links.values() {
            merge(&mut traffic.udp, link.udp());
        }
        traffic
    }

    /// The connections that stand, by id of the peer.
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

    /// Closes all connections and tells the peers so.
    pub async fn close(&self) {
        let dialers = std::mem::take(&mut self.inner.state.borrow_mut().dialers);
        for dialer in dialers.values() {
            dialer.task.abort();
        }
        self.inner.endpoint.close(STOPPING, b"stopping");
        // A peer that is cut off never acknowledges, so the wait is bounded.
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
