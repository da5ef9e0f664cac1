//! What all tasks of a process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::settings::Settings;
use clock::{Clock as _, Moment, System};
use serving::budget::Budgets;
use serving::parts::Part;
use serving::registry::Registry;
use serving::usual::Usual;
use serving::{EngineId, Fleet, Record, Table, Zone, hash};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::peers::{self, Peers, Topic};
use crate::phase::Phase;
use crate::pool::Pool;

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
    /// Whether engines of this data centre go first.
    pub own_cell: Cell<bool>,
    /// When this instance last read each topic itself.
    pub configuration_read: Cell<Option<Moment>>,
    pub engines_read: Cell<Option<Moment>>,
    /// Whether the engines have been read once.
    pub engines_known: Cell<bool>,
    pub budgets: RefCell<Budgets>,
    pub usual: RefCell<Usual>,
    pub pool: Pool,
    pub peers: RefCell<Peers>,
    pub phase: Phase,
    pub metrics: Metrics,
    /// Something happened of which the others should hear at once.
    pub stirred: Notify,
}

/// Instances assumed until the others have been heard of.
const INSTANCES: u32 = 6;

impl Instance {
    pub(crate) fn new(settings: Settings) -> Self {
        let incarnation = rand::random();
        Self {
            zone: Zone::from(settings.zone.as_str()),
            incarnation,
            clock: System::new(),
            codec: http1::config(),
            table: RefCell::default(),
            fleet: RefCell::default(),
            registry: RefCell::default(),
            own_cell: Cell::new(false),
            configuration_read: Cell::new(None),
            engines_read: Cell::new(None),
            address: SocketAddr::new(settings.ip, settings.ports.0),
            engines_known: Cell::new(false),
            budgets: RefCell::new(Budgets::new(settings.bounds.repeats, INSTANCES)),
            usual: RefCell::default(),
            pool: Pool::default(),
            peers: RefCell::default(),
            phase: Phase::default(),
            metrics: Metrics::default(),
            stirred: Notify::new(),
            settings: RefCell::new(settings),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether an engine is in this instance's share of those that the instances of its cell tell
    /// newcomers of.
    pub(crate) fn has_share(&self, engine: &Record) -> bool {
        if self.own_cell.get() && engine.zone != self.zone {
            return false;
        }
        let zone = self.own_cell.get().then(|| hash::short(&self.zone));
        let peers = self.peers.borrow();
        peers.is_share(self.address, zone, &engine.id)
    }

    /// This instance's place in the order in which instances read the store.
    pub(crate) fn order(&self) -> u64 {
        peers::order(self.address, self.settings.borrow().link_mbps)
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
    pub(crate) fn knows(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Configuration => self.table().map_or(0, |table| table.version),
            Topic::Engines => self.registry.borrow().digest(),
        }
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
            fleet.reads(engine, parts, model.memory_tokens, now);
        }
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
