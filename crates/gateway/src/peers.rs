//! State of the other instances, and the changes queued for them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use clock::Moment;
use serving::eviction::GONE_AFTER;
use serving::forwarders::Forwarder;
use serving::outbox::Outbox;
use serving::parts::Part;
use serving::placer::{Election, Member, Placers, ZoneHash};
use serving::receipt::Receipt;
use serving::watch::{Deferred, ReaderReport, TopicState};
use serving::{EngineId, Zone, hash, replication};
use wire::gateway::{News, State, Ticket};

use crate::frame::{elapsed_ms, moment_from_age};

mod members;
mod news;

pub(crate) use news::{MAX_NEWS_BYTES, NEWS_INTERVAL};

/// An instance that was silent for this long, or has not announced itself for this long after it
/// was found registered, counts as ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an instance that did not respond gets no further placement requests: it may be
/// paused or partitioned, and each request costs a call some milliseconds.
const MISSED_BACKOFF: Duration = Duration::from_millis(1_000);
/// Most parts in one frame.
pub(crate) const MAX_PARTS_PER_FRAME: usize = 128;
/// Most parts that wait for a frame. Others hear nothing of those beyond, and estimate without them.
const MAX_QUEUED_PARTS: usize = 32 * MAX_PARTS_PER_FRAME;

/// The topics of the store that all instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    Configuration,
    Engines,
}

impl Topic {
    /// Topic of a record.
    pub(crate) fn of(news: &News) -> Self {
        if news.configuration {
            Self::Configuration
        } else {
            Self::Engines
        }
    }
}

/// Last announced state of another instance.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    /// When its last state was handled.
    last_heard: Moment,
    /// When that state arrived.
    arrived: Moment,
    leaving: bool,
    placing: bool,
    is_warm: bool,
    configuration: u64,
    configuration_read: Option<Moment>,
    engines: TopicState,
    engines_read: Option<Moment>,
    /// Number of engines if it knows all, else 0.
    engine_count: usize,
}

/// A registered instance.
#[derive(Clone, Debug)]
struct Registered {
    place: ZoneHash,
    /// Place in the read order; `None` if only the address is known.
    order: Option<u64>,
    added: Moment,
    /// State that it last announced.
    peer: Option<Peer>,
    /// When it last did not respond.
    last_missed: Option<Moment>,
    /// When what it lacks may be sent again.
    next_transfer: Option<Moment>,
}

impl Registered {
    fn new(place: ZoneHash, order: Option<u64>, now: Moment) -> Self {
        Self {
            place,
            order,
            added: now,
            peer: None,
            last_missed: None,
            next_transfer: None,
        }
    }

    fn is_heard(&self, now: Moment) -> bool {
        let peer = self.peer.as_ref();
        peer.is_some_and(|peer| now.saturating_sub(peer.last_heard) < SILENCE_TIMEOUT)
    }

    /// As a member of the election; `None` once it has fallen silent.
    fn member(&self, address: SocketAddr, now: Moment) -> Option<Member> {
        let lives = match &self.peer {
            Some(peer) if peer.leaving || !self.is_heard(now) => return None,
            Some(_) => true,
            None => now.saturating_sub(self.added) < SILENCE_TIMEOUT,
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
    /// Whether it places calls and does not know yet which parts engines have cached.
    fn needs_seeding(&self) -> bool {
        self.placing && !self.is_warm
    }

    fn reader_state(&self, order: u64, topic: Topic) -> ReaderReport {
        let (knows, read) = match topic {
            Topic::Configuration => (known_version(self.configuration), self.configuration_read),
            Topic::Engines => (self.engines, self.engines_read),
        };
        ReaderReport {
            order,
            heard_at: self.arrived,
            read_at: read,
            state: knows,
        }
    }
}

/// An engine that takes no more calls.
#[derive(Clone, Debug)]
pub(crate) enum Departure {
    /// It has announced that it leaves; this is the hash of its id.
    Leaving(u32),
    /// Its record is gone.
    Removed(News),
}

/// All other instances.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<SocketAddr, Registered>,
    /// When all frames that had arrived were handled.
    listened_until: Moment,
    election: Election,
    parts: Vec<(EngineId, Part)>,
    last_completed_prefills: Vec<(Ticket, Moment)>,
    news: Vec<(News, u8)>,
    news_sent: Option<Moment>,
    /// What other instances must know within a short time, because calls to these engines fail.
    departures: Outbox<Departure>,
    /// Updates that another reader is to send.
    deferred: Deferred<News>,
    /// Whether this instance knows which parts engines have cached.
    pub is_warm: bool,
    new_placers: Vec<SocketAddr>,
}

/// The place of an instance in the order in which instances read the store: fastest links first,
/// since readers update all others, and otherwise by hash.
pub(crate) fn order(address: SocketAddr, link_mbps: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slow = u64::from(u16::MAX) - (link_mbps.clamp(0.0, f64::from(u16::MAX)) as u64);
    slow << 48 | hash::hash64(&address.to_string()) >> 16
}

/// Bandwidth of the link of the instance with this place in the read order.
pub(crate) fn link_mbps(order: u64) -> f64 {
    let slow = u16::try_from(order >> 48).unwrap_or(u16::MAX);
    f64::from(u16::MAX - slow)
}

/// Time to send `bytes` over a link.
pub(crate) fn transmission_time(bytes: usize, link_mbps: f64) -> Duration {
    #[allow(clippy::cast_precision_loss)]
    let bits = bytes as f64 * 8.0;
    Duration::from_secs_f64(bits / (link_mbps.max(0.1) * 1e6))
}

impl Peers {
    /// Notes that all frames that had arrived by `at` are handled.
    pub(crate) fn on_listened(&mut self, at: Moment) {
        self.listened_until = at;
    }

    /// The moment up to which silence counts. What arrived while this process was stopped may not have been
    /// handled yet, and the others would all seem to have ended.
    fn listened(&self, now: Moment) -> Moment {
        now.min(self.listened_until)
    }

    /// Whether a transfer to a peer may begin.
    pub(crate) fn may_transfer(&self, address: SocketAddr, now: Moment) -> bool {
        let registered = self.by_address.get(&address);
        let repeat = registered.and_then(|registered| registered.next_transfer);
        repeat.is_none_or(|repeat| now >= repeat)
    }

    /// Notes that a transfer to a peer begins, which is not to be repeated before `repeat`.
    pub(crate) fn on_transfer(&mut self, address: SocketAddr, repeat: Moment) {
        if let Some(registered) = self.by_address.get_mut(&address) {
            registered.next_transfer = Some(repeat);
        }
    }

    /// Number of engines, as announced by placers that know all.
    pub(crate) fn announced_engines(&self, now: Moment) -> Option<usize> {
        let now = self.listened(now);
        let heard = self
            .by_address
            .values()
            .filter(|registered| registered.is_heard(now));
        let peers = heard.filter_map(|registered| registered.peer.as_ref());
        let counts = peers.filter(|peer| peer.placing && peer.engine_count > 0);
        counts.map(|peer| peer.engine_count).max()
    }

    /// Addresses of the instances that may hold the records of all of so many engines, in the common
    /// order.
    pub(crate) fn holders(&self, engines: usize) -> Vec<SocketAddr> {
        let holds = |registered: &Registered| {
            let by_link = registered
                .order
                .is_none_or(|order| replication::may_hold_all(link_mbps(order), engines));
            let peer = registered.peer.as_ref();
            by_link || peer.is_some_and(|peer| peer.placing || peer.engine_count > 0)
        };
        self.in_order_if(holds)
    }

    /// Queues the parts of a prompt that an engine is about to use. Parts that it has already
    /// cached count as well: the order of last use decides which are evicted.
    pub(crate) fn queue_parts(&mut self, engine: &EngineId, prompt: &[Part]) {
        let room = MAX_QUEUED_PARTS.saturating_sub(self.parts.len());
        let parts = prompt.iter().map(|part| (engine.clone(), *part));
        self.parts.extend(parts.take(room));
    }

    /// Drops the queued parts, when this instance does not place calls.
    pub(crate) fn clear_parts(&mut self) {
        self.parts.clear();
        self.last_completed_prefills.clear();
    }

    /// Parts for the next frame.
    pub(crate) fn take_parts(&mut self) -> Vec<wire::gateway::Part> {
        let count = self.parts.len().min(MAX_PARTS_PER_FRAME);
        let parts = self.parts.drain(..count);
        parts
            .map(|(engine, part)| encode_engine_part(&engine, part))
            .collect()
    }

    /// Completed prefills for the next frame: the new ones, and once more those of the previous
    /// frame.
    pub(crate) fn take_completed_prefills(
        &mut self,
        new: Vec<(Ticket, Moment)>,
        now: Moment,
    ) -> Vec<Ticket> {
        let before = std::mem::replace(&mut self.last_completed_prefills, new.clone());
        let read = before.into_iter().chain(new);
        let read = read.map(|(ticket, at)| Ticket {
            age_ms: elapsed_ms(at, now),
            ..ticket
        });
        read.collect()
    }

    /// Adds a registered instance, with the hash of its data centre and its place in the read
    /// order.
    pub(crate) fn register(
        &mut self,
        address: SocketAddr,
        place: ZoneHash,
        order: Option<u64>,
        now: Moment,
    ) {
        let entry = self.by_address.entry(address);
        entry.or_insert_with(|| Registered::new(place, order, now));
    }

    /// The current placers, as this instance sees them.
    pub(crate) fn elect(&mut self, own: &Member, now: Moment) -> Placers {
        let members = self.by_address.iter();
        let listened = self.listened(now);
        let members =
            members.filter_map(|(address, registered)| registered.member(*address, listened));
        let members: Vec<Member> = members.collect();
        self.election.update(own, &members, now)
    }

    /// Notes that an instance did not respond.
    pub(crate) fn on_missed(&mut self, address: SocketAddr, now: Moment) {
        if let Some(registered) = self.by_address.get_mut(&address) {
            registered.last_missed = Some(now);
        }
    }

    /// Whether an instance has not missed a request lately.
    pub(crate) fn is_responsive(&self, address: SocketAddr, now: Moment) -> bool {
        let registered = self.by_address.get(&address);
        let missed = registered.and_then(|registered| registered.last_missed);
        missed.is_none_or(|missed| now.saturating_sub(missed) >= MISSED_BACKOFF)
    }

    /// Bandwidth of the slowest link among these instances.
    pub(crate) fn slowest_link(&self, addresses: &[SocketAddr]) -> f64 {
        let registered = addresses
            .iter()
            .filter_map(|address| self.by_address.get(address));
        let links = registered.filter_map(|registered| Some(link_mbps(registered.order?)));
        links.fold(f64::INFINITY, f64::min)
    }

    /// Addresses of all registered instances, in the common order.
    pub(crate) fn in_order(&self) -> Vec<SocketAddr> {
        self.in_order_if(|_| true)
    }

    fn in_order_if(&self, is_included: impl Fn(&Registered) -> bool) -> Vec<SocketAddr> {
        let included = self.by_address.iter().filter(|(_, peer)| is_included(peer));
        let mut all: Vec<_> = included
            .map(|(address, registered)| (registered.order.unwrap_or(u64::MAX), *address))
            .collect();
        all.sort_unstable();
        all.into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses of all registered instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_address.keys().copied().collect()
    }

    /// Applies a peer's state. Returns the incarnation that it replaces.
    pub(crate) fn on_state(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        state: &State,
        receipt: Receipt,
    ) -> Option<u64> {
        if !self.by_address.contains_key(&from) && receipt.max_wait() >= GONE_AFTER {
            // Its sender may have left the list since.
            return None;
        }
        let registered = self.by_address.entry(from);
        let registered =
            registered.or_insert_with(|| Registered::new(state.zone, None, receipt.handled));
        registered.place = state.zone;
        registered.order = Some(state.order);
        let peer = decode_peer(incarnation, state, receipt);
        let needs_seeding = peer.needs_seeding();
        let before = registered.peer.replace(peer);
        let needed_seeding = before
            .as_ref()
            .is_some_and(|before| before.incarnation == incarnation && before.needs_seeding());
        if self.is_warm && needs_seeding && !needed_seeding {
            self.new_placers.push(from);
        }
        let before = before.filter(|before| before.incarnation != incarnation)?;
        // What the process before it missed says nothing of this one.
        registered.last_missed = None;
        Some(before.incarnation)
    }

    /// What the others announced of their reading of a topic.
    pub(crate) fn reader_states(&self, topic: Topic) -> impl Iterator<Item = ReaderReport> {
        let registered = self.by_address.values();
        registered.filter_map(move |registered| {
            Some(
                registered
                    .peer
                    .as_ref()?
                    .reader_state(registered.order?, topic),
            )
        })
    }

    /// Placers that were heard of lately, the first `count` in the read order.
    pub(crate) fn first_placers(&self, count: usize, now: Moment) -> Vec<SocketAddr> {
        let now = self.listened(now);
        let is_placing =
            |registered: &Registered| registered.peer.as_ref().is_some_and(|peer| peer.placing);
        let registered = self.by_address.iter();
        let placing =
            registered.filter(|(_, registered)| registered.is_heard(now) && is_placing(registered));
        let mut placing: Vec<_> = placing
            .map(|(address, registered)| (registered.order, *address))
            .collect();
        placing.sort_unstable();
        placing.truncate(count);
        placing.into_iter().map(|(_, address)| address).collect()
    }

    /// Number of placers that were heard of lately and come before `order`.
    pub(crate) fn placers_before(&self, order: u64, now: Moment) -> usize {
        let now = self.listened(now);
        let is_placing =
            |registered: &Registered| registered.peer.as_ref().is_some_and(|peer| peer.placing);
        let count = self.count_before(order, |registered| {
            registered.is_heard(now) && is_placing(registered)
        });
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Number of instances that come before `order` and may be alive; 0 unless another instance was
    /// heard of lately or may have just started.
    pub(crate) fn rank(&self, order: u64, now: Moment) -> u32 {
        let now = self.listened(now);
        let is_new =
            |registered: &Registered| now.saturating_sub(registered.added) < SILENCE_TIMEOUT;
        let mut registered = self.by_address.values();
        if registered.any(|registered| registered.is_heard(now) || is_new(registered)) {
            self.count_before(order, |registered| {
                registered.peer.is_none() || registered.is_heard(now)
            })
        } else {
            0
        }
    }

    /// Whether at least half of the other registered instances sent a frame lately. An instance
    /// that is cut off from them knows only a part of the calls.
    pub(crate) fn hears_most(&self, now: Moment) -> bool {
        let registered = self.by_address.values();
        let heard = registered.filter(|registered| registered.is_heard(now));
        2 * heard.count() >= self.by_address.len()
    }

    /// Whether a fresh reader of a topic comes before `order`.
    pub(crate) fn has_reader_before(&self, order: u64, topic: Topic, now: Moment) -> bool {
        let mut readers = self.reader_states(topic);
        readers.any(|reader| reader.order < order && reader.is_fresh(now))
    }

    /// Number of instances that were heard of lately and come before `order`.
    pub(crate) fn live_before(&self, order: u64, now: Moment) -> u32 {
        let now = self.listened(now);
        self.count_before(order, |registered| registered.is_heard(now))
    }

    fn count_before(&self, order: u64, counts: impl Fn(&Registered) -> bool) -> u32 {
        let registered = self
            .by_address
            .values()
            .filter(|registered| counts(registered));
        let before =
            registered.filter(|registered| registered.order.is_some_and(|other| other < order));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Whether an instance is registered at this IP address.
    pub(crate) fn is_registered(&self, ip: IpAddr) -> bool {
        self.by_address.keys().any(|address| address.ip() == ip)
    }

    /// Whether this is the address of a registered instance.
    pub(crate) fn is_instance(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// The instances that may send calls for this one, which is in `zone`.
    pub(crate) fn forwarders(&self, zone: &Zone, now: Moment) -> Vec<Forwarder> {
        let place = hash::hash32(zone);
        // Most instances announce themselves only to some, so silence says nothing of the others.
        let is_leaving = |registered: &Registered| {
            let peer = registered.peer.as_ref();
            peer.is_some_and(|peer| peer.leaving)
        };
        let usable = self.by_address.iter();
        let usable = usable.filter(|(address, _)| self.is_responsive(**address, now));
        let forwarders = usable.map(|(address, registered)| Forwarder {
            address: *address,
            near: registered.place == place,
            leaving: is_leaving(registered),
        });
        forwarders.collect()
    }

    /// Number of registered instances, this one included.
    pub(crate) fn count(&self) -> usize {
        1 + self.by_address.len()
    }

    /// Whether a live peer announces that it knows which parts engines have cached.
    pub(crate) fn has_warm_peer(&self, now: Moment) -> bool {
        let now = self.listened(now);
        let mut heard = self
            .by_address
            .values()
            .filter(|registered| registered.is_heard(now));
        heard.any(|registered| registered.peer.as_ref().is_some_and(|peer| peer.is_warm))
    }

    /// Instances that have started to place calls and need the cached parts.
    pub(crate) fn take_new_placers(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.new_placers)
    }
}

/// A version of the configuration in the form in which instances compare topics.
pub(crate) fn known_version(version: u64) -> TopicState {
    TopicState {
        upto: version,
        digest: version,
    }
}

/// Encodes a part at an engine.
pub(crate) fn encode_engine_part(engine: &EngineId, part: Part) -> wire::gateway::Part {
    wire::gateway::Part {
        engine: hash::hash32(engine),
        part: part.id,
        tokens: part.tokens,
    }
}

fn decode_peer(incarnation: u64, state: &State, receipt: Receipt) -> Peer {
    Peer {
        incarnation,
        last_heard: receipt.handled,
        arrived: receipt.arrived,
        leaving: state.leaving,
        placing: state.placing,
        is_warm: state.knows,
        configuration: state.configuration,
        configuration_read: moment_from_age(state.configuration_age_ms, receipt.arrived),
        engines: TopicState {
            upto: state.engines_upto,
            digest: state.engines_digest,
        },
        engines_read: moment_from_age(state.engines_age_ms, receipt.arrived),
        engine_count: usize::try_from(state.engine_count).unwrap_or(usize::MAX),
    }
}
