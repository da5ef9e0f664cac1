//! Transfers the store's state to instances that have just started.
//!
//! Store reads are limited and paid for, so after a restart of the whole fleet only a few instances
//! read. Placers send the configuration and the engines to instances of their data centre that lack
//! them. An instance that receives nothing reads the store itself, so a lost datagram only costs
//! time.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::KeyedRecord;
use serving::hash;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use wire::Message as _;
use wire::gateway::{Frame, News, State};

use crate::instance::Instance;
use crate::peers::{self, Topic};
use crate::{mesh, store_reader};

/// Record bytes from which on a datagram is full.
const FRAME_BYTES: usize = 8 * 1024;
/// Largest configuration that is transferred; a larger one is read from the store faster.
const MAX_CONFIGURATION_BYTES: usize = 24 * 1024;
/// Instances, first in the read order, that transfer state to placers of other data centres.
const SEEDERS: u32 = 2;

/// Share of the slower of two links that a transfer takes.
const LINK_SHARE: f64 = 0.5;
/// Least interval between the beginnings of two transfers to an instance, besides the time that they
/// take: its next states may be on their way while it is served.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Copies of the store's records, kept for transfer.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    configuration: Option<KeyedRecord>,
    /// The configuration in the form that is sent.
    configuration_news: OnceCell<News>,
    engines: BTreeMap<String, News>,
}

impl Snapshot {
    /// Stores the configuration.
    pub(crate) fn set_configuration(&mut self, record: KeyedRecord) {
        self.configuration = Some(record);
        self.configuration_news = OnceCell::new();
    }

    /// The configuration, as it is sent.
    fn configuration(&self) -> Option<&News> {
        let record = self.configuration.as_ref()?;
        let news = || store_reader::to_news(Topic::Configuration, record);
        Some(self.configuration_news.get_or_init(news))
    }

    /// Stores an engine's record, or removes it when its value is absent.
    pub(crate) fn apply(&mut self, news: News) {
        if news.value.is_some() {
            self.engines.insert(news.key.clone(), news);
        } else {
            self.engines.remove(&news.key);
        }
    }

    /// An engine's record.
    pub(crate) fn engine(&self, name: &str) -> Option<News> {
        self.engines.get(name).cloned()
    }

    /// Removes all engines, before a full read.
    pub(crate) fn clear_engines(&mut self) {
        self.engines.clear();
    }
}

/// Sends a peer what it lacks by its state, no faster than both links allow.
pub(crate) fn serve(
    instance: &Rc<Instance>,
    socket: &Rc<UdpSocket>,
    peer: SocketAddr,
    state: &State,
) {
    let now = instance.now();
    if !instance.peers.borrow().may_transfer(peer, now) {
        return;
    }
    let frames = transfer(instance, state);
    if frames.is_empty() {
        return;
    }
    let link_mbps = peers::link_mbps(state.order).min(instance.settings.borrow().link_mbps);
    let pace = move |bytes| peers::transmission_time(bytes, link_mbps).mul_f64(1.0 / LINK_SHARE);
    let duration = pace(frames.iter().map(Frame::encoded_len).sum());
    let repeat = now + REPEAT_INTERVAL + duration * 2;
    instance.peers.borrow_mut().on_transfer(peer, repeat);
    let socket = socket.clone();
    actix_rt::spawn(async move {
        for frame in frames {
            let bytes = mesh::broadcast(&socket, &frame, &[peer]);
            sleep(pace(bytes)).await;
        }
    });
}

/// Frames for a peer whose state shows that it lacks a topic; none if another instance serves it.
fn transfer(instance: &Instance, state: &State) -> Vec<Frame> {
    let lacks_topic = state.configuration == 0 || state.lacks_engines;
    if !lacks_topic || !instance.is_placing() || !serves(instance, state) {
        return Vec::new();
    }
    let mut frames = Vec::new();
    let snapshot = instance.snapshot.borrow();
    if state.configuration == 0 {
        frames.extend(
            snapshot
                .configuration()
                .map(|news| configuration(instance, news)),
        );
    }
    if state.lacks_engines && instance.engines_known.get() {
        if !state.knows_placers && !state.placing {
            // It may need fewer records than all, and decides once it knows how many there are.
            frames.push(mesh::own_state(instance));
            return frames;
        }
        let mut batch = Vec::new();
        let mut bytes = 0;
        for news in snapshot.engines.values() {
            bytes += news.value.as_ref().map_or(0, Vec::len);
            batch.push(news.clone());
            if bytes > FRAME_BYTES {
                bytes = 0;
                frames.push(frame(instance, std::mem::take(&mut batch)));
            }
        }
        frames.push(Frame {
            all_engines: instance.known(Topic::Engines).digest,
            ..frame(instance, batch)
        });
    }
    frames
}

/// Whether this placer is the one that transfers state to the peer.
fn serves(instance: &Instance, state: &State) -> bool {
    let is_seeder = || {
        let peers = instance.peers.borrow();
        peers.rank(instance.order(), instance.now()) < SEEDERS
    };
    hash::hash32(&instance.zone) == state.zone || state.placing && is_seeder()
}

fn configuration(instance: &Instance, news: &News) -> Frame {
    if news
        .value
        .as_ref()
        .is_some_and(|value| value.len() > MAX_CONFIGURATION_BYTES)
    {
        return Frame {
            read_configuration: true,
            ..instance.frame()
        };
    }
    frame(instance, vec![news.clone()])
}

fn frame(instance: &Instance, news: Vec<News>) -> Frame {
    Frame {
        news,
        ..instance.frame()
    }
}
