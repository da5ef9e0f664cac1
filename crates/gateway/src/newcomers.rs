//! Tells instances that have just started what the store holds.
//!
//! After all processes were killed at once, each of them would read the configuration and all engines from the store; these
//! calls are paid for, and share one rate. So few read, and whoever places calls tells those of its data centre that know
//! nothing yet. One that is told nothing reads in the end, so that a lost datagram costs time only.

use std::collections::BTreeMap;

use serving::hash;
use wire::gateway::{Frame, News, State};

use crate::instance::Instance;
use crate::peers::Topic;

/// Most bytes of records in one datagram.
const BYTES: usize = 8 * 1024;
/// Largest configuration that is told. A larger one takes small links longer than the store's.
const LARGEST: usize = 24 * 1024;
/// Instances, by the common order, that tell placers of other data centres.
const FIRST: u32 = 2;

/// Records of the store as they were read, so that they can be told.
#[derive(Debug, Default)]
pub(crate) struct Records {
    configuration: Option<News>,
    engines: BTreeMap<String, News>,
}

impl Records {
    /// Keeps a record; one that was dropped goes.
    pub(crate) fn put(&mut self, news: News) {
        if news.configuration {
            self.configuration = Some(news);
        } else if news.value.is_some() {
            self.engines.insert(news.key.clone(), news);
        } else {
            self.engines.remove(&news.key);
        }
    }

    /// Forgets engines before all are read.
    pub(crate) fn clear_engines(&mut self) {
        self.engines.clear();
    }
}

/// What an instance that sent this state is to be told, if it knows nothing of a topic.
pub(crate) fn frames(instance: &Instance, state: &State) -> Vec<Frame> {
    let is_lacking = state.configuration == 0 || state.lacks_engines;
    if !is_lacking || !instance.is_placing() || !is_to_tell(instance, state) {
        return Vec::new();
    }
    let mut frames = Vec::new();
    let records = instance.records.borrow();
    if state.configuration == 0 {
        frames.extend(
            records
                .configuration
                .as_ref()
                .map(|news| configuration(instance, news)),
        );
    }
    if state.lacks_engines && instance.has(Topic::Engines) {
        let mut some = Vec::new();
        let mut bytes = 0;
        for news in records.engines.values() {
            bytes += news.value.as_ref().map_or(0, Vec::len);
            some.push(news.clone());
            if bytes > BYTES {
                bytes = 0;
                frames.push(frame(instance, std::mem::take(&mut some)));
            }
        }
        frames.push(Frame {
            all_engines: instance.knows(Topic::Engines).digest,
            ..frame(instance, some)
        });
    }
    frames
}

/// Whether this instance, of those that place calls, tells the one that sent this state.
fn is_to_tell(instance: &Instance, state: &State) -> bool {
    let is_first = || {
        let peers = instance.peers.borrow();
        peers.rank(instance.order(), instance.now()) < FIRST
    };
    hash::short(&instance.zone) == state.zone || state.placing && is_first()
}

fn configuration(instance: &Instance, news: &News) -> Frame {
    if news
        .value
        .as_ref()
        .is_some_and(|value| value.len() > LARGEST)
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
