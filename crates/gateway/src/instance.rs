//! What all tasks of a process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use adapter::settings::Settings;
use adapter::store::Era;
use clock::{Clock as _, Moment, System};
use serving::budget::RepeatBudgets;
use serving::organisation::{Directory, Name};
use serving::parts::Part;
use serving::placer::{self, Member, Placers};
use serving::prior_wait::PriorWaits;
use serving::registry::Registry;
use serving::usage::{Ledger, UnixTime, Window};
use serving::watch::{self, TopicState};
use serving::{EngineId, Fleet, Table, Zone, hash};
use tokio::sync::Notify;
use wire::gateway::Frame;

use crate::bootstrap::Snapshot;
use crate::claim_log::ClaimLog;
use crate::crash_detection::Crashes;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::peers::{self, Peers, Topic};
use crate::placement::client::Pending;
use crate::pool::Pool;
use crate::reports::Reports;
use crate::suspects::Suspects;

/// One process.
pub(crate) struct Instance {
    pub settings: RefCell<Settings>,
    pub zone: Zone,
    pub incarnation: u64,
    /// Where other instances send their frames.
    pub address: SocketAddr,
    pub clock: System,
    pub codec: http1::Config,
    pub table: RefCell<Option<Rc<Table>>>,
    pub fleet: RefCell<Fleet>,
    pub registry: RefCell<Registry>,
    /// What organisations use, where that is reported.
    pub usage: RefCell<Option<Ledger>>,
    /// Claims, and what was ordered under them.
    pub claim_log: ClaimLog,
    /// True time when the process started.
    started: UnixTime,
    /// Who places calls.
    pub placers: RefCell<Placers>,
    /// Placement requests that await their responses.
    pub pending: Pending,
    /// Calls that others placed for this instance, and what is to be reported of them.
    pub reports: Reports,
    /// Whether other instances should hear of this one soon.
    pub greeting_due: Cell<bool>,
    /// When this instance last read each topic itself.
    pub configuration_read: Cell<Option<Moment>>,
    pub engines_read: Cell<Option<Moment>>,
    /// Whether all engines are known.
    pub engines_known: Cell<bool>,
    /// Copies of the store's records, for instances that start.
    pub snapshot: RefCell<Snapshot>,
    /// Whether the other instances have been read from the store.
    pub is_registered: Cell<bool>,
    /// Whether another instance said that the configuration is to be read.
    pub must_read: Cell<bool>,
    pub budgets: RefCell<RepeatBudgets>,
    pub usual: RefCell<PriorWaits>,
    pub pool: Pool,
    /// Calls that end engines.
    pub suspects: Suspects,
    /// Engines of which it is being found out whether they have ended.
    pub crashes: Crashes,
    pub peers: RefCell<Peers>,
    pub phase: Lifecycle,
    pub metrics: Metrics,
    /// Something happened of which the others should hear at once.
    pub stirred: Notify,
    /// How often the store had come back from an older copy when it was last heard of.
    pub era: Cell<Option<Era>>,
    /// The store has come back from an older copy.
    pub store_went_back: Notify,
}

/// Instances assumed until the others have been heard of.
const INSTANCES: u32 = 6;

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
            pending: Pending::default(),
            reports: Reports::default(),
            greeting_due: Cell::new(true),
            configuration_read: Cell::new(None),
            engines_read: Cell::new(None),
            address: SocketAddr::new(settings.ip, settings.ports.0),
            engines_known: Cell::new(false),
            snapshot: RefCell::default(),
            is_registered: Cell::new(false),
            must_read: Cell::new(false),
            budgets: RefCell::new(RepeatBudgets::new(settings.bounds.retry_budget, INSTANCES)),
            usual: RefCell::default(),
            pool: Pool::default(),
            suspects: Suspects::default(),
            crashes: Crashes::default(),
            peers: RefCell::default(),
            phase: Lifecycle::default(),
            metrics: Metrics::default(),
            stirred: Notify::new(),
            era: Cell::new(None),
            store_went_back: Notify::new(),
            settings: RefCell::new(settings),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// True time, as it was when the process started and has gone on since. The time of day may be set meanwhile, and back again; windows of
    /// true time would come twice or not at all.
    pub(crate) fn unix(&self) -> UnixTime {
        self.started + self.clock.now_boottime()
    }

    /// Takes in that an engine began a request of an organisation.
    pub(crate) fn used(&self, organisation: &Name, at: UnixTime) {
        let table = self.table.borrow();
        let directory = table
            .as_ref()
            .and_then(|table| table.organisations.as_ref());
        let known = directory.map_or(0, Directory::len);
        self.metrics.begun(organisation, known);
        if let Some(ledger) = self.usage.borrow_mut().as_mut() {
            ledger.count_request(organisation, at);
        }
    }

    /// Windows whose use the platform has been told.
    pub(crate) fn reported(&self) -> Vec<Window> {
        let ledger = self.usage.borrow();
        ledger.iter().flat_map(Ledger::taken_windows).collect()
    }

    /// A frame that tells nothing yet.
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

    /// Whether an engine is in this instance's share, of all that place calls. Each engine is in the share of one, which
    /// all compute alike from the instances that they know.
    pub(crate) fn has_share(&self, engine: &EngineId) -> bool {
        placer::rank(engine, self.address, &self.placers.borrow().others) == 0
    }

    /// Looks who places calls now. Says whether this instance has begun to, or has ceased.
    pub(crate) fn elect(&self) -> bool {
        let own = Member {
            address: self.address,
            zone: hash::hash32(&self.zone),
            order: self.order(),
            alive: true,
        };
        let now = self.now();
        let mut placers = self.peers.borrow_mut().elect(&own, now);
        // Whoever does not know the others yet would take itself for the first.
        placers.includes_self &= !self.phase.is_leaving() && self.is_registered.get();
        let before = self.placers.replace(placers);
        let after = self.placers.borrow();
        let throttles = &mut self.fleet.borrow_mut().throttles;
        throttles.set_placers(self.address, &after, now);
        if before != *after {
            log::info!(own = after.includes_self, others = after.others.len(); "instances that place calls");
        }
        before.includes_self != after.includes_self
    }

    /// This instance's place in the order in which instances read the store.
    pub(crate) fn order(&self) -> u64 {
        peers::order(self.address, self.settings.borrow().link_mbps)
    }

    /// Instances that come before this one in that order and may live.
    pub(crate) fn rank(&self) -> u32 {
        self.peers.borrow().rank(self.order(), self.now())
    }

    /// Time that some bytes take this instance's link.
    pub(crate) fn sending(&self, bytes: usize) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let bits = bytes as f64 * 8.0;
        Duration::from_secs_f64(bits / (self.settings.borrow().link_mbps * 1e6))
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

    /// What this instance knows of a topic, as instances compare it.
    pub(crate) fn knows(&self, topic: Topic) -> TopicState {
        match topic {
            Topic::Configuration => {
                peers::known_version(self.table().map_or(0, |table| table.version))}
            Topic::Engines => self.registry.borrow().topic_state(),
        }
    }

    /// Whether something of a topic is known at all.
    pub(crate) fn has(&self, topic: Topic) -> bool {
        match topic {
            Topic::Configuration => self.table.borrow().is_some(),
            Topic::Engines => self.engines_known.get(),
        }
    }

    /// Applies the store's era, as read or as announced by a peer.
    ///
    /// What this process wrote since the copy was made is gone, and so is what others did.
    pub(crate) fn on_era(&self, era: Era) {
        let before = self.era.get();
        if before.is_some_and(|before| before >= era) {
            return;
        }
        self.era.set(Some(era));
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

    /// Whether the configuration in force is the newest, as far as that can be known: this instance or one that it hears of has read the
    /// store just now. Whoever is cut off may lack a key that was given out meanwhile, and what it refuses for ever would be
    /// served elsewhere.
    pub(crate) fn is_current(&self) -> bool {
        let now = self.now();
        let is_recent = |read: Moment| now.saturating_sub(read) <= watch::FRESH_AGE;
        let own = self.configuration_read.get();
        let peers = self.peers.borrow();
        own.is_some_and(is_recent)
            || peers
                .reader_states(Topic::Configuration)
                .any(|said| said.is_fresh(now))
    }

    /// Takes in that an engine uses these parts.
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
            fleet.record_cached_parts(engine, parts, model.kv_capacity_tokens, now);
        }
    }

    /// Whether all is known that calls need.
    pub(crate) fn knows_all(&self) -> bool {
        self.has(Topic::Configuration) && self.has(Topic::Engines)
    }

    /// Takes in that an engine uses these parts for a call that this instance placed, to be told to the other placers.
    pub(crate) fn uses(&self, engine: &EngineId, parts: &[Part]) {
        self.note_parts(engine, parts);
        self.peers.borrow_mut().queue_parts(engine, parts);
    }

    /// Puts a configuration in force if it is newer than the one in force.
    ///
    /// Reads that overtake each other, a store that lags and peers that are behind all bring older
    /// versions. One would notice it by requests on new routes that get 404 after they were served.
    /// The comparison makes the order of arrival irrelevant. Says whether it was newer.
    pub(crate) fn configure(&self, table: Table, source: &str) -> bool {
        let mut present = self.table.borrow_mut();
        let before = present.as_ref().map(|table| table.version);
        if before.is_some_and(|before| before >= table.version) {
            return false;
        }
        log::info!(
            version = table.version, before = before.unwrap_or_default(), source = source;
            "configuration in force"
        );
        *present = Some(Rc::new(table));
        true
    }
}

/// Time since the Unix epoch.
fn unix(time: SystemTime) -> UnixTime {
    // A clock before the epoch shows nothing.
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
