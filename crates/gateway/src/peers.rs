//! What is known of the other instances, and what is to be told to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::parts::Part;
use serving::spread::Place;
use serving::watch::Said;
use serving::{EngineId, hash};
use wire::gateway::{News, State, Ticket};

/// An instance that was silent for this long is told of no changes, only of states.
const SILENT: Duration = Duration::from_secs(3);
/// Times that news of engines are told, since datagrams are lost.
const TELLINGS: u8 = 2;
/// Most parts in one frame.
pub(crate) const PARTS: usize = 128;
/// Instances up to which news are sent to each directly.
const DIRECT: usize = 12;
/// Pause between two frames of news, which is gathered meanwhile.
const NEWS_PACE: Duration = Duration::from_millis(350);
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
    by_address: BTreeMap<SocketAddr, (u32, Option<Peer>)>,
    parts: Vec<(EngineId, Part)>,
    read_before: Vec<(Ticket, Moment)>,
    news: Vec<(News, u8)>,
    news_told: Option<Moment>,
    /// Whether this instance knows what engines hold.
    pub knows: bool,
    /// Whether another instance that knew has been heard of.
    told: bool,
    newcomers: Vec<SocketAddr>,
}

/// The place of an instance in the order in which instances read the store: those with the fastest
/// links first, since they tell all others, and else by chance.
pub(crate) fn order(address: SocketAddr, link_mbps: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slow = u64::from(u16::MAX) - (link_mbps.clamp(0.0, f64::from(u16::MAX)) as u64);
    slow << 48 | hash::number(&address.to_string()) >> 16
}

/// Groups of instances that pass news on: the first of each group gets them and passes them to the
/// rest, so that one slow link does not carry them to all.
pub(crate) fn groups(
    addresses: &[SocketAddr],
) -> impl Iterator<Item = (SocketAddr, &[SocketAddr])> {
    let size = if addresses.len() <= DIRECT {
        1
    } else {
        addresses.len().isqrt() + 1
    };
    let groups = addresses.chunks(size);
    groups.filter_map(|group| group.split_first().map(|(first, rest)| (*first, rest)))
}

impl Peers {
    /// Notes the parts of a prompt that an engine is about to use. Those that it has read before
    /// count as well: others must know what was used last to know what yields next.
    pub(crate) fn uses(&mut self, engine: &EngineId, prompt: &[Part]) {
        let parts = prompt.iter().map(|part| (engine.clone(), *part));
        self.parts.extend(parts);
    }

    /// Parts for the next frame.
    pub(crate) fn take_parts(&mut self) -> Vec<wire::gateway::Part> {
        let most = self.parts.len().min(PARTS);
        let told = self.parts.drain(..most);
        told.map(|(engine, part)| told_part(&engine, part))
            .collect()
    }

    /// Prompts that were read, for the next frame: the new ones, and once more those of the frame
    /// before.
    pub(crate) fn take_read(&mut self, new: Vec<(Ticket, Moment)>, now: Moment) -> Vec<Ticket> {
        let before = std::mem::replace(&mut self.read_before, new.clone());
        let told = before.into_iter().chain(new);
        let told = told.map(|(ticket, at)| Ticket {
            age_ms: millis(at, now),
            ..ticket
        });
        told.collect()
    }

    /// Notes a record that changed, to be told.
    ///
    /// Of configurations only the newest is told, and not more often than [`NEWS_PACE`]: operators
    /// that edit in quick succession would else take the links of small instances from calls.
    pub(crate) fn add_news(&mut self, news: News) {
        if news.configuration {
            self.news.retain(|(known, _)| !known.configuration);
        }
        // A lost configuration shows in the versions that all tell, and is large to tell twice.
        let tellings = if news.configuration { 1 } else { TELLINGS };
        self.news.push((news, tellings));
    }

    /// News for the next frame.
    pub(crate) fn take_news(&mut self, now: Moment) -> Vec<News> {
        let told = self.news_told;
        if told.is_some_and(|told| now.saturating_sub(told) < NEWS_PACE) || self.news.is_empty() {
            return Vec::new();
        }
        self.news_told = Some(now);
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

    /// Adds an instance that is registered, with the hash of its data centre.
    pub(crate) fn add(&mut self, address: SocketAddr, zone: u32) {
        self.by_address.entry(address).or_insert((zone, None));
    }

    /// Addresses of the instances, or of those of a data centre, that have been heard of lately.
    pub(crate) fn heard_of(&self, zone: Option<u32>, now: Moment) -> Vec<SocketAddr> {
        let in_zone = |other: u32| zone.is_none_or(|zone| zone == other);
        let is_heard = |peer: &Peer| now.saturating_sub(peer.heard) < SILENT;
        let heard = self
            .by_address
            .iter()
            .filter(|(_, (other, peer))| in_zone(*other) && peer.as_ref().is_some_and(is_heard));
        heard.map(|(address, _)| *address).collect()
    }

    /// The data centre of an instance, 0 where it is not known.
    pub(crate) fn place(&self, address: SocketAddr) -> Place {
        self.by_address.get(&address).map_or(0, |(place, _)| *place)
    }

    /// Addresses of all registered instances.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.by_address.keys().copied().collect()
    }

    /// Takes in the state of another instance. Gives the incarnation that it replaces.
    pub(crate) fn heard(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        state: &State,
        now: Moment,
    ) -> Option<u64> {
        let peer = peer(incarnation, state, now);
        let entry = self.by_address.insert(from, (state.zone, Some(peer)));
        let before = entry.and_then(|(_, peer)| peer);
        let is_new = before
            .as_ref()
            .is_none_or(|before| before.incarnation != incarnation);
        self.told |= state.knows;
        if is_new && !state.knows && self.knows {
            self.newcomers.push(from);
        }
        let before = before.filter(|before| before.incarnation != incarnation)?;
        Some(before.incarnation)
    }

    /// What the others said of their reading of a topic.
    pub(crate) fn said(&self, topic: Topic) -> impl Iterator<Item = Said> {
        let peers = self
            .by_address
            .values()
            .filter_map(|(_, peer)| peer.as_ref());
        peers.map(move |peer| peer.said(topic))
    }

    /// Whether a fresh reader of a topic comes before `order`.
    pub(crate) fn has_reader_before(&self, order: u64, topic: Topic, now: Moment) -> bool {
        let mut said = self.said(topic);
        said.any(|said| said.order < order && said.is_fresh(now))
    }

    /// Instances that have been heard of lately and come before `order`.
    pub(crate) fn before(&self, order: u64, now: Moment) -> u32 {
        let peers = self.by_address.values();
        let before = peers
            .filter_map(|(_, peer)| peer.as_ref())
            .filter(|peer| peer.order < order && now.saturating_sub(peer.heard) < SILENT);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Registered instances, this one included.
    pub(crate) fn count(&self) -> usize {
        1 + self.by_address.len()
    }

    /// Whether an instance that knows what engines hold has been heard of.
    pub(crate) fn is_told(&self) -> bool {
        self.told
    }

    /// Instances that have just started, to be told what engines hold.
    pub(crate) fn take_newcomers(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.newcomers)
    }

    /// Whether an engine is in the share of the instance at `own`, among all instances or those of
    /// its data centre. Each engine is in the share of one, which all compute alike from the
    /// instances that they know.
    pub(crate) fn is_share(&self, own: SocketAddr, zone: Option<u32>, engine: &EngineId) -> bool {
        let weight = |address: SocketAddr| hash::number(&format!("{address} {engine}"));
        let others = self.by_address.iter();
        let mut others = others.filter(|(_, (other, _))| zone.is_none_or(|zone| zone == *other));
        others.all(|(other, _)| weight(*other) <= weight(own))
    }
}

/// A part at an engine, as it is told.
pub(crate) fn told_part(engine: &EngineId, part: Part) -> wire::gateway::Part {
    wire::gateway::Part {
        engine: hash::short(engine),
        part: part.id,
        tokens: part.tokens,
    }
}

fn peer(incarnation: u64, state: &State, now: Moment) -> Peer {
    Peer {
        incarnation,
        order: state.order,
        heard: now,
        configuration: state.configuration,
        configuration_read: moment(state.configuration_age_ms, now),
        engines: state.engines_digest,
        engines_read: moment(state.engines_age_ms, now),
    }
}

/// An age as it is told: plus one, so that nothing is told apart from now.
pub(crate) fn age(moment: Option<Moment>, now: Moment) -> u32 {
    moment.map_or(0, |moment| millis(moment, now).saturating_add(1))
}

/// Milliseconds since a moment.
pub(crate) fn millis(moment: Moment, now: Moment) -> u32 {
    let age = now.saturating_sub(moment).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// The moment of which an age tells, on this instance's clock.
pub(crate) fn moment(age_ms: u32, now: Moment) -> Option<Moment> {
    let age = age_ms.checked_sub(1)?;
    Some(now.saturating_sub(Duration::from_millis(u64::from(age))))
}
