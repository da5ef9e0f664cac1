//! State that all tasks of a process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use adapter::settings::Settings;
use adapter::store::{Era, Offset};
use clock::{Clock as _, Moment, System};
use http1::{Client, Failure, TcpTimeouts};
use serving::budget::RepeatBudgets;
use serving::eviction::Eviction;
use serving::organisation::{Directory, Name};
use serving::parts::Part;
use serving::placer::{self, Member, Placers};
use serving::prior_wait::PriorWaits;
use serving::registry::Registry;
use serving::replication::{self, Growth};
use serving::usage::{Ledger, UnixTime, Window};
use serving::version_history::VersionHistory;
use serving::watch::{self, TopicState};
use serving::{EngineId, Fleet, Table, Zone, hash};
use tokio::sync::Notify;
use wire::gateway::Frame;

use crate::bootstrap::Snapshot;
use crate::claim_log::ClaimLog;
use crate::confirmation::Confirmation;
use crate::connection_memory::ConnectionMemory;
use crate::crash_detection::CrashDetection;
use crate::engine_cache::EngineCache;
use crate::engine_links::EngineLinks;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::origins::StreamOrigins;
use crate::own_load::OwnLoad;
use crate::peers::{self, Peers, Topic};
use crate::placement::client::Pending;
use crate::pool::Pool;
use crate::registrar::Registrar;
use crate::reports::Reports;
use crate::suspects::Suspects;

mod members;
mod streams;

/// State of the process.
pub(crate) struct Instance {
    pub settings: RefCell<Settings>,
    pub zone: Zone,
    pub incarnation: u64,
    /// Address to which other instances send frames.
    pub address: SocketAddr,
    pub clock: System,
    pub codec: http1::Config,
    pub table: RefCell<Option<Rc<Table>>>,
    pub fleet: RefCell<Fleet>,
    pub registry: RefCell<Registry>,
    /// Organisations' usage, if it is reported.
    pub usage: RefCell<Option<Ledger>>,
    /// Claims, and what was ordered under them.
    pub claim_log: ClaimLog,
    /// True time when the process started.
    started: UnixTime,
    /// The instances that place calls.
    pub placers: RefCell<Placers>,
    /// Placement requests that await their responses.
    pub pending_placements: Pending,
    /// Calls that placers placed for this instance, and what to report of them.
    pub reports: Reports,
    /// Whether to announce this instance to the others soon.
    pub greeting_due: Cell<bool>,
    /// When this instance last read each topic itself.
    pub configuration_read: Cell<Option<Moment>>,
    pub engines_read: Cell<Option<Moment>>,
    /// Where the log of engine records ended when this instance last read it; 0 before that.
    pub engines_end: Cell<Offset>,
    /// Whether all engines are known.
    pub engines_known: Cell<bool>,
    /// Whether this instance keeps only the records of engines that placers chose for its calls.
    pub is_caching: Cell<bool>,
    /// Whether this instance needs the records of all engines and lacks some.
    pub wants_engines: Cell<bool>,
    /// Whether a placer that knows all engines was heard of lately.
    pub knows_placers: Cell<bool>,
    /// Until when it waits for other instances to send the records that it lacks.
    pub transfer_awaited_until: Cell<Option<Moment>>,
    /// How the number of engines grows.
    engine_growth: Cell<Growth>,
    /// The engines that placers chose, while [`Self::is_caching`].
    pub engine_cache: EngineCache,
    /// Copies of the store's records, for instances that start.
    pub snapshot: RefCell<Snapshot>,
    /// Whether the other instances have been read from the store.
    pub peers_discovered: Cell<bool>,
    /// Whether a peer asked this instance to read the configuration.
    pub must_read_configuration: Cell<bool>,
    pub budgets: RefCell<RepeatBudgets>,
    pub usual: RefCell<PriorWaits>,
    pub pool: Pool,
    /// Paths to engines.
    pub links: EngineLinks,
    /// Load of the own link and event loop.
    pub own_load: Rc<OwnLoad>,
    pub connection_memory: Rc<ConnectionMemory>,
    /// Number of requests being sent for other instances.
    pub forwarding: Cell<usize>,
    /// Software versions that began streams.
    pub origins: StreamOrigins,
    /// Calls that crash engines.
    pub suspects: Suspects,
    /// Ongoing crash detection.
    pub crash_detection: CrashDetection,
    pub peers: RefCell<Peers>,
    /// Instances that have gone for good.
    pub eviction: RefCell<Eviction>,
    pub lifecycle: Lifecycle,
    pub metrics: Metrics,
    /// Notified when a change should be sent to the other instances at once.
    pub frame_due: Notify,
    /// Notified when other instances should be told at once of engines that take no more calls.
    pub departure_due: Notify,
    /// Last known era: how often the store was restored from an older copy.
    pub era: Cell<Option<Era>>,
    /// Notified when the store was restored from an older copy.
    pub store_went_back: Notify,
    /// Reads of the list of instances.
    pub instances_confirmation: Confirmation,
    /// Reads of all engines.
    pub engines_confirmation: Confirmation,
    /// Reads of the configuration.
    pub configuration_confirmation: Confirmation,
    /// Registrations of instances by others.
    pub registrar: Registrar,
}

/// Time after its last read of the engines' records for which an instance that read them in the place
/// of others keeps them.
const ENGINES_KEPT_AFTER_READ: Duration = Duration::from_secs(5);

/// Number of instances assumed until the others are known.
const ASSUMED_INSTANCES: u32 = 6;

impl Instance {
    pub(crate) fn new(settings: Settings) -> Self {
        let incarnation = rand::random();
        let clock = System::new();
        let started = unix(clock.wall_time());
        let schedule = settings.duties.and_then(|duties| duties.usage_schedule);
        Self {
            usage: RefCell::new(schedule.map(|schedule| Ledger::new(schedule, started))),
            claim_log: ClaimLog::default(),
            started,
            zone: Zone::from(settings.data_centre.as_str()),
            incarnation,
            clock,
            codec: http1::config(),
            table: RefCell::default(),
            fleet: RefCell::default(),
            registry: RefCell::default(),
            placers: RefCell::default(),
            pending_placements: Pending::default(),
            reports: Reports::default(),
            greeting_due: Cell::new(true),
            configuration_read: Cell::new(None),
            engines_read: Cell::new(None),
            engines_end: Cell::new(0),
            address: SocketAddr::new(settings.ip, settings.ports.0),
            engines_known: Cell::new(false),
            is_caching: Cell::new(false),
            wants_engines: Cell::new(true),
            knows_placers: Cell::new(false),
            transfer_awaited_until: Cell::new(None),
            engine_growth: Cell::default(),
            engine_cache: EngineCache::default(),
            snapshot: RefCell::default(),
            peers_discovered: Cell::new(false),
            must_read_configuration: Cell::new(false),
            budgets: RefCell::new(RepeatBudgets::new(
                settings.bounds.retry_budget,
                ASSUMED_INSTANCES,
            )),
            usual: RefCell::default(),
            pool: Pool::default(),
            links: EngineLinks::default(),
            own_load: Rc::new(OwnLoad::new(clock, &settings)),
            connection_memory: Rc::new(ConnectionMemory::new(clock, settings.memory)),
            forwarding: Cell::new(0),
            origins: StreamOrigins::new(VersionHistory::new(settings.is_first_start)),
            suspects: Suspects::default(),
            crash_detection: CrashDetection::default(),
            peers: RefCell::default(),
            eviction: RefCell::default(),
            lifecycle: Lifecycle::default(),
            metrics: Metrics::default(),
            frame_due: Notify::new(),
            departure_due: Notify::new(),
            era: Cell::new(None),
            store_went_back: Notify::new(),
            instances_confirmation: Confirmation::default(),
            engines_confirmation: Confirmation::default(),
            configuration_confirmation: Confirmation::default(),
            registrar: Registrar::default(),
            settings: RefCell::new(settings),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// True time, extrapolated from the process's start. The wall clock may be set meanwhile,
    /// forwards and backwards, and windows of true time would come twice or not at all.
    pub(crate) fn unix(&self) -> UnixTime {
        self.started + self.clock.now_boottime()
    }

    /// Records that an engine began a request of an organisation.
    pub(crate) fn note_request(&self, organisation: &Name, at: UnixTime) {
        let table = self.table.borrow();
        let directory = table
            .as_ref()
            .and_then(|table| table.organisations.as_ref());
        let known = directory.map_or(0, Directory::len);
        self.metrics.request_started(organisation, known);
        if let Some(ledger) = self.usage.borrow_mut().as_mut() {
            ledger.count_request(organisation, at);
        }
    }

    /// Windows whose usage the platform has accepted.
    pub(crate) fn reported_windows(&self) -> Vec<Window> {
        let ledger = self.usage.borrow();
        ledger.iter().flat_map(Ledger::taken_windows).collect()
    }

    /// Opens a connection to an engine or to another instance, from the address under which this
    /// instance is registered.
    pub(crate) async fn connect(
        &self,
        peer: SocketAddr,
        timeouts: &TcpTimeouts,
    ) -> Result<Client, Failure> {
        Client::open_from(self.address.ip(), peer, timeouts, &self.codec).await
    }

    /// A frame without content.
    pub(crate) fn frame(&self) -> Frame {
        Frame {
            incarnation: self.incarnation,
            ..Frame::default()
        }
    }

    /// Whether this instance places calls itself.
    pub(crate) fn is_placing(&self) -> bool {
        self.placers.borrow().includes_self
    }

    /// Whether an engine is in this instance's share among all placers. Each engine is in the share
    /// of exactly one; all compute it alike from the instances that they know.
    pub(crate) fn is_in_share(&self, engine: &EngineId) -> bool {
        placer::rank(engine, self.address, &self.placers.borrow().others) == 0
    }

    /// Updates who places calls. Returns whether this instance has started or stopped placing.
    pub(crate) fn update_placers(&self) -> bool {
        let own = Member {
            address: self.address,
            zone: hash::hash32(&self.zone),
            order: self.order(),
            alive: true,
        };
        let now = self.now();
        let mut placers = self.peers.borrow_mut().elect(&own, now);
        // An instance that does not know the others yet would take itself for the first.
        placers.includes_self &= !self.lifecycle.is_leaving() && self.peers_discovered.get();
        let before = self.placers.replace(placers);
        self.update_engine_scope();
        let after = self.placers.borrow();
        let throttles = &mut self.fleet.borrow_mut().throttles;
        throttles.set_placers(self.address, &after, now);
        if before != *after {
            log::info!(own = after.includes_self, others = after.others.len(); "instances that place calls");
        }
        if after.includes_self && !before.includes_self {
            // A placer tells all others that it places, so it must know them.
            self.instances_confirmation.request();
        }
        before.includes_self != after.includes_self
    }

    /// Updates whether this instance keeps only the records of engines that placers chose, and whether
    /// it wants all.
    pub(crate) fn update_engine_scope(&self) {
        let now = self.now();
        let engines = self.peers.borrow().announced_engines(now);
        let link_mbps = self.settings.borrow().link_mbps;
        let may_take_all = |engines: usize| {
            let mut growth = self.engine_growth.get();
            let is_settled = growth.observe(engines, now);
            self.engine_growth.set(growth);
            is_settled && replication::holds_all(link_mbps, engines)
        };
        self.knows_placers.set(engines.is_some());
        let wants_engines = self.is_placing() || engines.is_none_or(may_take_all);
        self.wants_engines
            .set(wants_engines && !self.engines_known.get());
        let is_caching = !self.engines_known.get() && !self.is_placing() && engines.is_some();
        if self.is_caching.replace(is_caching) != is_caching {
            log::info!(caching = is_caching, engines = engines.unwrap_or_default(); "scope of the engines' records");
        }
    }

    /// Whether this instance holds all records although it need not, and does not read them for
    /// others.
    pub(crate) fn may_drop_engines(&self) -> bool {
        let now = self.now();
        let is_reader = self
            .engines_read
            .get()
            .is_some_and(|read| now.saturating_sub(read) < ENGINES_KEPT_AFTER_READ);
        let engines = self.peers.borrow().announced_engines(now);
        let link_mbps = self.settings.borrow().link_mbps;
        !self.is_placing()
            && !is_reader
            && engines.is_some_and(|engines| !replication::may_hold_all(link_mbps, engines))
    }

    /// This instance's place in the order in which instances read the store.
    pub(crate) fn order(&self) -> u64 {
        peers::order(self.address, self.settings.borrow().link_mbps)
    }

    /// Time to send `bytes` over this instance's link.
    pub(crate) fn transmission_time(&self, bytes: usize) -> Duration {
        peers::transmission_time(bytes, self.settings.borrow().link_mbps)
    }

    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// When this instance last read a topic itself.
    pub(crate) fn last_read(&self, topic: Topic) -> &Cell<Option<Moment>> {
        match topic {
            Topic::Configuration => &self.configuration_read,
            Topic::Engines => &self.engines_read,
        }
    }

    /// What this instance has read of a topic itself, and when.
    pub(crate) fn confirmation(&self, topic: Topic) -> &Confirmation {
        match topic {
            Topic::Configuration => &self.configuration_confirmation,
            Topic::Engines => &self.engines_confirmation,
        }
    }

    /// State of a topic, in the form in which instances compare it.
    pub(crate) fn known(&self, topic: Topic) -> TopicState {
        match topic {
            Topic::Configuration => {
                peers::known_version(self.table().map_or(0, |table| table.version))
            }
            Topic::Engines => self.registry.borrow().topic_state(),
        }
    }

    /// Whether what calls need of a topic is known.
    pub(crate) fn has_topic(&self, topic: Topic) -> bool {
        match topic {
            Topic::Configuration => self.table.borrow().is_some(),
            Topic::Engines => self.engines_known.get() || self.is_caching.get(),
        }
    }

    /// Applies the store's era, as read or as announced by a peer.
    ///
    /// In a new era, all records written since the copy was made are lost, this process's and
    /// others'.
    pub(crate) fn on_era(&self, era: Era) {
        let before = self.era.get();
        if before.is_some_and(|before| before >= era) {
            return;
        }
        self.era.set(Some(era));
        self.origins
            .versions
            .borrow_mut()
            .on_store_era(era, self.now());
        if before.is_none() {
            return;
        }
        log::warn!(era = era; "the store has come back from an older copy");
        let now = self.now();
        self.registry.borrow_mut().store_rolled_back(now);
        if let Some(ledger) = self.usage.borrow_mut().as_mut() {
            ledger.fixed_reports_lost(self.unix());
        }
        if self.peers.borrow().live_before(self.order(), now) == 0 {
            self.suspects.mark_held_unwritten();
        }
        self.store_went_back.notify_waiters();
    }

    /// Whether what is known of a topic is the newest, as far as can be known: this instance or a peer has
    /// just read the store. A partitioned instance may lack a key that was issued meanwhile, and would
    /// reject for good what others serve.
    pub(crate) fn is_current(&self, topic: Topic) -> bool {
        let now = self.now();
        let is_recent = |read: Moment| now.saturating_sub(read) <= watch::FRESH_AGE;
        let own = self.confirmation(topic).as_of();
        let peers = self.peers.borrow();
        own.is_some_and(is_recent)
            || peers
                .reader_states(topic)
                .any(|reader| reader.is_fresh(now))
    }

    /// Notes that an engine uses these parts.
    pub(crate) fn note_parts(&self, engine: &EngineId, parts: &[Part]) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let service = fleet
            .get(engine)
            .map(|engine| engine.record.service.clone());
        let table = self.table.borrow();
        let service = service
            .zip(table.as_ref())
            .and_then(|(name, table)| table.service(&name));
        if let Some(model) = service.and_then(|service| service.model) {
            fleet.cache_parts(engine, parts, model.kv_capacity_tokens, now);
        }
    }

    /// Whether everything that calls need is known.
    pub(crate) fn is_synced(&self) -> bool {
        self.has_topic(Topic::Configuration) && self.has_topic(Topic::Engines)
    }

    /// Notes that an engine uses these parts for a call that this instance placed, and queues them
    /// for the other placers.
    pub(crate) fn announce_parts(&self, engine: &EngineId, parts: &[Part]) {
        self.note_parts(engine, parts);
        self.peers.borrow_mut().queue_parts(engine, parts);
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// Overtaking reads, a lagging store and stale peers all deliver older versions; applying one
    /// would answer requests on new routes with 404 after they were served. The comparison makes
    /// the order of arrival irrelevant. Returns whether it was newer.
    pub(crate) fn apply_configuration(&self, table: Table, source: &str) -> bool {
        let mut current = self.table.borrow_mut();
        let before = current.as_ref().map(|table| table.version);
        if before.is_some_and(|before| before >= table.version) {
            return false;
        }
        log::info!(
            version = table.version, before = before.unwrap_or_default(), source = source;
            "configuration in force"
        );
        self.own_load
            .set_latency_target(table.shortest_latency_target());
        *current = Some(Rc::new(table));
        true
    }
}

/// Time since the Unix epoch.
fn unix(time: SystemTime) -> UnixTime {
    // A clock set before the epoch counts as the epoch.
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
