//! State of a mesh that its tasks share.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quinn::{Connection, Endpoint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use wire::peer::frame::Body;

use crate::codec::{self, Encoded};
use crate::config::{Config, Direction};
use crate::event::Event;
use crate::link::{Link, Origin, REPLACED, UNUSABLE_NAME};
use crate::mesh::SendError;
use crate::traffic::{Flow, Kind, Traffic};
use crate::{Id, dial, keys, receive};

/// Shared by all tasks of a mesh.
pub(crate) struct Inner {
    pub(crate) config: Config,
    pub(crate) endpoint: Endpoint,
    pub(crate) handler: Box<dyn Fn(Event)>,
    pub(crate) state: RefCell<State>,
}

/// Mutable state of a mesh. It is never borrowed across an `await` or a call of the handler.
pub(crate) struct State {
    pub(crate) client: quinn::ClientConfig,
    /// Incremented by each change of keys.
    pub(crate) generation: u64,
    sequence: u64,
    serial: u64,
    /// The connection in use for each peer.
    pub(crate) current: BTreeMap<Id, Rc<Link>>,
    /// All connections by serial number, including replaced ones that are still read.
    pub(crate) links: BTreeMap<u64, Rc<Link>>,
    pub(crate) dialers: BTreeMap<Id, Dialer>,
    pub(crate) handshakes: usize,
    pub(crate) traffic: Traffic,
}

/// The task that maintains the connection to a peer.
pub(crate) struct Dialer {
    pub(crate) address: SocketAddr,
    pub(crate) task: JoinHandle<()>,
}

impl State {
    pub(crate) fn new(client: quinn::ClientConfig) -> Self {
        Self {
            client,
            generation: 0,
            sequence: 0,
            serial: 0,
            current: BTreeMap::new(),
            links: BTreeMap::new(),
            dialers: BTreeMap::new(),
            handshakes: 0,
            traffic: Traffic::default(),
        }
    }
}

impl Inner {
    pub(crate) fn encode(&self, body: Body) -> Encoded {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        codec::encode(&self.config.local, state.sequence, body)
    }

    pub(crate) fn count(&self, kind: Kind, direction: Direction, bytes: usize) {
        let mut state = self.state.borrow_mut();
        state.traffic.count(kind, direction, bytes);
    }

    pub(crate) fn count_refused(&self) {
        self.state.borrow_mut().traffic.refused += 1;
    }

    pub(crate) fn count_failed_handshake(&self) {
        self.state.borrow_mut().traffic.failed_handshakes += 1;
    }

    pub(crate) fn count_unsent(&self) {
        self.state.borrow_mut().traffic.unsent += 1;
    }

    pub(crate) fn link(&self, id: &str) -> Option<Rc<Link>> {
        self.state.borrow().current.get(id).cloned()
    }

    pub(crate) fn send(&self, to: &str, encoded: Encoded) -> Result<(), SendError> {
        let sent = self.try_send(to, encoded);
        if sent.is_err() {
            self.count_unsent();
        }
        sent
    }

    fn try_send(&self, to: &str, encoded: Encoded) -> Result<(), SendError> {
        let link = self.link(to).ok_or(SendError::NotConnected)?;
        let (kind, size) = (encoded.kind, encoded.bytes.len());
        if size > self.config.limits.max_frame_bytes {
            return Err(SendError::TooLarge);
        }
        if self.config.drops(Direction::Out, &link.id) {
            return Ok(());
        }
        if !link.send(encoded) {
            return Err(SendError::QueueFull);
        }
        self.count(kind, Direction::Out, size);
        Ok(())
    }

    /// Adds a connection to the mesh after its handshake, unless the pair has a better one.
    pub(crate) fn adopt(self: &Rc<Self>, connection: Connection, dialed: bool, generation: u64) {
        let name = keys::identity(&connection);
        let Some(id) = name.filter(|id| *id != self.config.local.instance) else {
            self.count_failed_handshake();
            connection.close(UNUSABLE_NAME, b"no usable name");
            return;
        };
        let (queue, queued) = mpsc::channel(self.config.limits.send_queue_len);
        let link = {
            let mut state = self.state.borrow_mut();
            state.serial += 1;
            let link = Rc::new(Link {
                id,
                connection,
                origin: Origin {
                    dialed,
                    generation,
                    since: Instant::now(),
                },
                serial: state.serial,
                queue,
            });
            state.links.insert(link.serial, Rc::clone(&link));
            link
        };
        self.keep_one_connection(&link);
        actix_rt::spawn(serve(Rc::clone(self), link, queued));
    }

    /// Keeps one connection of the pair and closes the other after a delay.
    fn keep_one_connection(self: &Rc<Self>, link: &Rc<Link>) {
        let own = &self.config.local.instance;
        let former = self.link(&link.id);
        let kept = former
            .as_ref()
            .is_none_or(|former| link.origin.replaces(&former.origin, own, &link.id));
        let generation = {
            let mut state = self.state.borrow_mut();
            if kept {
                state.current.insert(link.id.clone(), Rc::clone(link));
            }
            state.generation
        };
        let first = former.is_none();
        let redundant = if kept { former } else { Some(Rc::clone(link)) };
        if let Some(spare) = redundant {
            actix_rt::spawn(close_later(spare, self.config.limits.linger));
        }
        // A reload of the keys during the handshake did not renew this connection.
        if kept && link.origin.generation < generation {
            let id = link.id.clone();
            actix_rt::spawn(dial::renew(Rc::clone(self), id, generation));
        }
        if first {
            (self.handler)(Event::Up(link.id.clone()));
        }
    }

    fn remove(&self, link: &Rc<Link>) {
        let down = {
            let mut state = self.state.borrow_mut();
            state.links.remove(&link.serial);
            merge(&mut state.traffic.udp, link.udp());
            let current = state.current.get(&link.id);
            let was_current = current.is_some_and(|current| current.serial == link.serial);
            if was_current {
                state.current.remove(&link.id);
            }
            was_current
        };
        if down {
            (self.handler)(Event::Down(link.id.clone()));
        }
    }
}

async fn serve(inner: Rc<Inner>, link: Rc<Link>, queued: mpsc::Receiver<Encoded>) {
    receive::run(Rc::clone(&inner), Rc::clone(&link), queued).await;
    inner.remove(&link);
}

/// Closes a redundant connection after frames in flight have had time to arrive.
async fn close_later(link: Rc<Link>, linger: Duration) {
    sleep(linger).await;
    link.connection.close(REPLACED, b"replaced");
}

/// Adds the counters of a connection to a total.
pub(crate) fn merge(total: &mut Flow, part: Flow) {
    total.sent.merge(part.sent);
    total.received.merge(part.received);
}
