//! What is known of the other instances, and what is to be told to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::parts::Part;
use serving::placer::{Election, Member, Placers, ZoneHash};
use serving::watch::{Deferred, ReaderReport, TopicState};
use serving::{EngineId, hash};
use wire::gateway::{News, State, Ticket};

use crate::frame::{moment, since};

mod news;

pub(crate) use news::groups;

/// An instance that was silent for this long, or did not make itself known for this long after it was found registered, is
/// taken to have ended.
const SILENT: Duration = Duration::from_secs(3);
/// Time for which an instance that did not answer a question is asked nothing: it may be paused or cut off, and each
/// question costs a call some milliseconds.
const MISSED: Duration = Duration::from_millis(1_000);
/// Most parts in one frame.
pub(crate) const PARTS: usize = 128;

/// What the store holds that all instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    Configuration,
    Engines,
}

impl Topic {
    /// What a record is of.
    pub(crate) fn of(news: &News) -> Self {
        if news.configuration {
            Self::Configuration
        } else {
            Self::Engines
        }
    }
}

/// Another instance.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    heard: Moment,
    leaving: bool,
    placing: bool,
    knows: bool,
    configuration: u64,
    configuration_read: Option<Moment>,
    engines: TopicState,
    engines_read: Option<Moment>,
}

/// A registered instance.
#[derive(Clone, Debug)]
struct Registered {
    place: ZoneHash,
    /// Missing where only its address is known.
    order: Option<u64>,
    added: Moment,
    /// What it last said.
    peer: Option<Peer>,
    /// When it last did not answer.
    missed: Option<Moment>,
}

impl Registered {
    fn new(place: ZoneHash, order: Option<u64>, now: Moment) -> Self {
        Self {
            place,
            order,
            added: now,
            peer: None,
            missed: None,
        }
    }

    fn is_heard(&self, now: Moment) -> bool {
        let peer = self.peer.as_ref();
        peer.is_some_and(|peer| now.saturating_sub(peer.heard) < SILENT)
    }

    /// As the election sees it. One that has fallen silent is none of its members.
    fn member(&self, address: SocketAddr, now: Moment) -> Option<Member> {
        let lives = match &self.peer {
            Some(peer) if peer.leaving || !self.is_heard(now) => return None,
            Some(_) => true,
            None => now.saturating_sub(self.added) < SILENT,
        };
        Some(Member {
            address,
            zone: self.place,
            order: self.order?,
            alive: lives,
        })
    }
}

impl Peer {
    /// Whether it places calls and does not know yet what engines hold.
    fn learns(&self) -> bool {
        self.placing && !self.knows
    }

    fn said(&self, order: u64, topic: Topic) -> ReaderReport {
        let (knows, read) = match topic {
            Topic::Configuration => (version(self.configuration), self.configuration_read),
            Topic::Engines => (self.engines, self.engines_read),
        };
        ReaderReport {
            order,
            heard_at: self.heard,
            read_at: read,
            state: knows,
        }
    }
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<SocketAddr, Registered>,
    election: Election,
    parts: Vec<(EngineId, Part)>,
    read_before: Vec<(Ticket, Moment)>,
    news: Vec<(News, u8)>,
    news_told: Option<Moment>,
    /// News that another reader is to tell.
    deferred: Deferred<News>,
    /// Whether this instance knows what engines hold.
    pub knows: bool,
    new_placers: Vec<SocketAddr>,
}

/// The place of an instance in the order in which instances read the store: those with the fastest
/// links first, since they tell all others, and else by chance.
pub(crate) fn order(address: SocketAddr, link_mbps: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slow = u64::from(u16::MAX) - (link_mbps.clamp(0.0, f64::from(u16::MAX)) as u64);
    slow << 48 | hash::hash64(&address.to_string()) >> 16
}

impl Peers {
    /// Notes the parts of a prompt that an engine is about to use. Those that it has read before
    /// count as well: others must know what was used last to know what yields next.
    pub(crate) fn uses(&mut self, engine: &EngineId, prompt: &[Part]) {
        let parts = prompt.iter().map(|part| (engine.clone(), *part));
        self.parts.extend(parts);
    }

    /// Drops what nobody is to be told: this instance does not place calls.
    pub(crate) fn forget_parts(&mut self) {
        self.parts.clear();
        self.read_before.clear();
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
            age_ms: since(at, now),
            ..ticket
        });
        told.collect()
    }

    /// Adds an instance that is registered, with the hash of its data centre and its place in the common order.
    pub(crate) fn add(
        &mut self,
        address: SocketAddr,
        place: ZoneHash,
        order: Option<u64>,
        now: Moment,
    ) {
        let known = self.by_address.entry(address);
        known.or_insert_with(|| Registered::new(place, order, now));
    }

    /// Who places calls now, as this instance sees it.
    pub(crate) fn elect(&mut self, own: &Member, now: Moment) -> Placers {
        let members = self.by_address.iter();
        let members = members.filter_map(|(address, known)| known.member(*address, now));
        let members: Vec<Member> = members.collect();
        self.election.update(own, &members, now)
    }

    /// Takes in that an instance did not answer.
    pub(crate) fn missed(&mut self, address: SocketAddr, now: Moment) {
        if let Some(known) = self.by_address.get_mut(&address) {
            known.missed = Some(now);
        }
    }

    /// Whether an instance has answered lately, as far as it was asked.
    pub(crate) fn answers(&self, address: SocketAddr, now: Moment) -> bool {
        let known = self.by_address.get(&address);
        let missed = known.and_then(|known| known.missed);
        missed.is_none_or(|missed| now.saturating_sub(missed) >= MISSED)
    }

    /// Addresses of all registered instances.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.by_address.keys().copied().collect()
    }

    /// Applies a peer's state. Returns the incarnation that it replaces.
    pub(crate) fn on_state(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        state: &State,
        now: Moment,
    ) -> Option<u64> {
        let known = self.by_address.entry(from);
        let known = known.or_insert_with(|| Registered::new(state.zone, None, now));
        known.place = state.zone;
        known.order = Some(state.order);
        let peer = peer(incarnation, state, now);
        let learns = peer.learns();
        let before = known.peer.replace(peer);
        let was_learning = before
            .as_ref()
            .is_some_and(|before| before.incarnation == incarnation && before.learns());
        if self.knows && learns && !was_learning {
            self.new_placers.push(from);
        }
        let before = before.filter(|before| before.incarnation != incarnation)?;
        Some(before.incarnation)
    }

    /// What the others said of their reading of a topic.
    pub(crate) fn said(&self, topic: Topic) -> impl Iterator<Item = ReaderReport> {
        let known = self.by_address.values();
        known.filter_map(move |known| Some(known.peer.as_ref()?.said(known.order?, topic)))
    }

    /// Instances that place calls and were heard of lately, the first ones of the common order.
    pub(crate) fn first_placers(&self, most: usize, now: Moment) -> Vec<SocketAddr> {
        let is_placing = |known: &Registered| known.peer.as_ref().is_some_and(|peer| peer.placing);
        let known = self.by_address.iter();
        let placing = known.filter(|(_, known)| known.is_heard(now) && is_placing(known));
        let mut placing: Vec<_> = placing
            .map(|(address, known)| (known.order, *address))
            .collect();
        placing.sort_unstable();
        placing.truncate(most);
        placing.into_iter().map(|(_, address)| address).collect()
    }

    /// Instances that place calls, were heard of lately and come before `order`.
    pub(crate) fn placing_before(&self, order: u64, now: Moment) -> usize {
        let is_placing = |known: &Registered| known.peer.as_ref().is_some_and(|peer| peer.placing);
        let count = self.count_before(order, |known| known.is_heard(now) && is_placing(known));
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Instances that come before `order` and may live, if any other instance is heard of at all, or may have just started.
    pub(crate) fn rank(&self, order: u64, now: Moment) -> u32 {
        let is_new = |known: &Registered| now.saturating_sub(known.added) < SILENT;
        let mut known = self.by_address.values();
        if known.any(|known| known.is_heard(now) || is_new(known)) {
            self.count_before(order, |known| known.peer.is_none() || known.is_heard(now))
        } else {
            0
        }
    }

    /// Whether a fresh reader of a topic comes before `order`.
    pub(crate) fn has_reader_before(&self, order: u64, topic: Topic, now: Moment) -> bool {
        let mut said = self.said(topic);
        said.any(|said| said.order < order && said.is_fresh(now))
    }

    /// Instances that have been heard of lately and come before `order`.
    pub(crate) fn before(&self, order: u64, now: Moment) -> u32 {
        self.count_before(order, |known| known.is_heard(now))
    }

    fn count_before(&self, order: u64, counts: impl Fn(&Registered) -> bool) -> u32 {
        let known = self.by_address.values().filter(|known| counts(known));
        let before = known.filter(|known| known.order.is_some_and(|other| other < order));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Registered instances, this one included.
    pub(crate) fn count(&self) -> usize {
        1 + self.by_address.len()
    }

    /// Whether a live peer announces that it knows what engines hold.
    pub(crate) fn has_warm_peer(&self, now: Moment) -> bool {
        let mut heard = self.by_address.values().filter(|known| known.is_heard(now));
        heard.any(|known| known.peer.as_ref().is_some_and(|peer| peer.knows))
    }

    /// Instances that have begun to place calls, to be told what engines hold.
    pub(crate) fn take_new_placers(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.new_placers)
    }
}

/// How far a version of the configuration goes.
pub(crate) fn version(version: u64) -> TopicState {
    TopicState {
        upto: version,
        digest: version,
    }
}

/// A part at an engine, as it is told.
pub(crate) fn told_part(engine: &EngineId, part: Part) -> wire::gateway::Part {
    wire::gateway::Part {
        engine: hash::hash32(engine),
        part: part.id,
        tokens: part.tokens,
    }
}

fn peer(incarnation: u64, state: &State, now: Moment) -> Peer {
    Peer {
        incarnation,
        heard: now,
        leaving: state.leaving,
        placing: state.placing,
        knows: state.knows,
        configuration: state.configuration,
        configuration_read: moment(state.configuration_age_ms, now),
        engines: TopicState {
            upto: state.engines_upto,
            digest: state.engines_digest,
        },
        engines_read: moment(state.engines_age_ms, now),
    }
}
