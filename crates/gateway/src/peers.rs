//! What is known of the other instances, and what is to be told to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::parts::Part;
use serving::watch::Said;
use serving::{EngineId, hash};
use wire::gateway::{Frame, News, Read};

/// An instance that was silent for this long is told of work only now and then.
const SILENT: Duration = Duration::from_secs(3);
/// Frames between two that go to silent instances.
const SILENT_PACE: u64 = 20;
/// Times that news are told, since datagrams are lost.
const TELLINGS: u8 = 2;
/// Most parts in one frame.
pub(crate) const READS: usize = 128;
/// Most bytes of news in one frame, unless a single record is larger.
const NEWS_BYTES: usize = 8 * 1024;

/// What the store holds that all instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    Configuration,
    Engines,
}

/// Another instance.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    order: u64,
    heard: Moment,
    configuration: u64,
    configuration_read: Option<Moment>,
    engines: u64,
    engines_read: Option<Moment>,
}

impl Peer {
    fn said(&self, topic: Topic) -> Said {
        let (knows, read) = match topic {
            Topic::Configuration => (self.configuration, self.configuration_read),
            Topic::Engines => (self.engines, self.engines_read),
        };
        Said {
            order: self.order,
            heard: self.heard,
            read,
            knows,
        }
    }
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<SocketAddr, Option<Peer>>,
    reads: Vec<(EngineId, Part)>,
    news: Vec<(News, u8)>,
    /// Frames that this instance has sent.
    pub number: u64,
    /// Whether this instance knows what engines hold.
    pub knows: bool,
    /// Whether another instance that knew has been heard of.
    told: bool,
    newcomers: Vec<SocketAddr>,
}

/// The place of an instance in the order in which instances read the store.
pub(crate) fn order(address: SocketAddr) -> u64 {
    hash::number(&address.to_string())
}

impl Peers {
    /// Notes the parts of a prompt that an engine is about to use. Those that it has read before
    /// count as well: others must know what was used last to know what yields next.
    pub(crate) fn reads(&mut self, engine: &EngineId, prompt: &[Part]) {
        let reads = prompt.iter().map(|part| (engine.clone(), *part));
        self.reads.extend(reads);
    }

    /// Parts for the next frame.
    pub(crate) fn take_reads(&mut self) -> Vec<Read> {
        let most = self.reads.len().min(READS);
        let told = self.reads.drain(..most);
        told.map(|(engine, part)| read(&engine, part)).collect()
    }

    /// Notes a record that changed, to be told.
    pub(crate) fn add_news(&mut self, news: News) {
        self.news.push((news, TELLINGS));
    }

    /// News for the next frame.
    pub(crate) fn take_news(&mut self) -> Vec<News> {
        let mut bytes = 0;
        let mut most = 0;
        for (news, _) in &self.news {
            bytes += news.value.as_ref().map_or(0, Vec::len);
            if most > 0 && bytes > NEWS_BYTES {
                break;
            }
            most += 1;
        }
        let mut told = Vec::with_capacity(most);
        for (news, tellings) in self.news.drain(..most).collect::<Vec<_>>() {
            told.push(news.clone());
            if tellings > 1 {
                self.news.push((news, tellings - 1));
            }
        }
        told
    }

    /// Adds an instance that is registered.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        self.by_address.entry(address).or_default();
    }

    /// Addresses that the next frame goes to.
    pub(crate) fn addressees(&self, now: Moment) -> Vec<SocketAddr> {
        let also_silent = self.number.is_multiple_of(SILENT_PACE);
        let is_due = |peer: &Option<Peer>| {
            let heard = peer.as_ref().map(|peer| peer.heard);
            also_silent || heard.is_some_and(|heard| now.saturating_sub(heard) < SILENT)
        };
        let due = self.by_address.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(address, _)| *address).collect()
    }

    /// Takes in who sent a frame. Gives the incarnation that it replaces.
    pub(crate) fn heard(&mut self, from: SocketAddr, frame: &Frame, now: Moment) -> Option<u64> {
        let before = self.by_address.get(&from).cloned().flatten();
        let is_new = before
            .as_ref()
            .is_none_or(|before| before.incarnation != frame.incarnation);
        self.told |= frame.knows;
        if is_new && !frame.knows && self.knows {
            self.newcomers.push(from);
        }
        if !frame.partial {
            let peer = peer(from, frame, now);
            self.by_address.insert(from, Some(peer));
        }
        let before = before.filter(|before| before.incarnation != frame.incarnation)?;
        Some(before.incarnation)
    }

    /// What the others said of their reading of a topic.
    pub(crate) fn said(&self, topic: Topic) -> impl Iterator<Item = Said> {
        let peers = self.by_address.values().flatten();
        peers.map(move |peer| peer.said(topic))
    }

    /// Instances heard of within a time, this one included.
    pub(crate) fn count(&self, now: Moment) -> usize {
        let peers = self.by_address.values().flatten();
        1 + peers
            .filter(|peer| now.saturating_sub(peer.heard) < SILENT)
            .count()
    }

    /// Whether an instance that knows what engines hold has been heard of.
    pub(crate) fn is_told(&self) -> bool {
        self.told
    }

    /// Instances that have just started, to be told what engines hold.
    pub(crate) fn take_newcomers(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.newcomers)
    }

    /// Whether an engine is in the share of the instance at `own`. Each engine is in the share of one
    /// instance, which all compute alike from the instances that they know.
    pub(crate) fn is_share(&self, own: SocketAddr, engine: &EngineId) -> bool {
        let weight = |address: SocketAddr| hash::number(&format!("{address} {engine}"));
        let mut others = self.by_address.keys();
        others.all(|other| weight(*other) <= weight(own))
    }
}

/// A part at an engine, as it is told.
pub(crate) fn read(engine: &EngineId, part: Part) -> Read {
    Read {
        engine: hash::short(engine),
        part: part.id,
        tokens: part.tokens,
    }
}

fn peer(from: SocketAddr, frame: &Frame, now: Moment) -> Peer {
    Peer {
        incarnation: frame.incarnation,
        order: order(from),
        heard: now,
        configuration: frame.configuration,
        configuration_read: moment(frame.configuration_age_ms, now),
        engines: frame.engines_digest,
        engines_read: moment(frame.engines_age_ms, now),
    }
}

/// An age as it is told: plus one, so that nothing is told apart from now.
pub(crate) fn age(moment: Option<Moment>, now: Moment) -> u32 {
    let Some(moment) = moment else { return 0 };
    let age = now.saturating_sub(moment).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX - 1) + 1
}

/// The moment of which an age tells, on this instance's clock.
pub(crate) fn moment(age_ms: u32, now: Moment) -> Option<Moment> {
    let age = age_ms.checked_sub(1)?;
    Some(now.saturating_sub(Duration::from_millis(u64::from(age))))
}
