//! Transfers the store's state to instances that have just started.
//!
//! Store reads are limited and paid for, so after a restart of the whole fleet only a few instances
//! read. Placers send the configuration and the engines to instances of their data centre that lack
//! them. An instance that receives nothing reads the store itself, so a lost datagram only costs
//! time.

use std::collections::BTreeMap;

use serving::hash;
use wire::gateway::{Frame, News, State};

use crate::instance::Instance;
use crate::peers::Topic;

/// Record bytes from which on a datagram is full.
const FRAME_BYTES: usize = 8 * 1024;
/// Largest configuration that is transferred; a larger one is read from the store faster.
const MAX_CONFIGURATION_BYTES: usize = 24 * 1024;
/// Instances, first in the read order, that transfer state to placers of other data centres.
const SEEDERS: u32 = 2;

/// Copies of the store's records, kept for transfer.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    configuration: Option<News>,
    engines: BTreeMap<String, News>,
}

impl Snapshot {
    /// Stores a record, or removes it when its value is absent.
    pub(crate) fn apply(&mut self, news: News) {
        if news.configuration {
            self.configuration = Some(news);
        } else if news.value.is_some() {
            self.engines.insert(news.key.clone(), news);
        } else {
            self.engines.remove(&news.key);
        }
    }

    /// Removes all engines, before a full read.
    pub(crate) fn clear_engines(&mut self) {
        self.engines.clear();
    }
}

/// Frames for a peer whose state shows that it lacks a topic; none if another instance serves it.
pub(crate) fn transfer(instance: &Instance, state: &State) -> Vec<Frame> {
    let lacks_topic = state.configuration == 0 || state.lacks_engines;
    if !lacks_topic || !instance.is_placing() || !serves(instance, state) {
        return Vec::new();
    }
    let mut frames = Vec::new();
    let snapshot = instance.snapshot.borrow();
    if state.configuration == 0 {
        frames.extend(
            snapshot
                .configuration
                .as_ref()
                .map(|news| configuration(instance, news)),
        );
    }
    if state.lacks_engines && instance.has_topic(Topic::Engines) {
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
