//! Follows the store: the configuration and the engines. Each has a task and a connection of its
//! own, so that a slow read of one does not age the other. Where enough other instances read and
//! tell, this one does not read.

use std::rc::Rc;
use std::time::Duration;

use adapter::records;
use adapter::store::{self, KeyedRecord, Offset, Store, StoreError};
use serving::registry::{Change, Registry};
use serving::watch::{self, Watch};
use serving::{Fleet, Record};
use tokio::time::{Instant, sleep, sleep_until};
use wire::gateway::News;

use crate::instance::Instance;
use crate::peers::Topic;

/// Longest wait of one read for a new configuration. Each call is paid for, and others take a
/// reader for stale that has not had an answer for somewhat longer.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(700);
/// Pause between two reads of the engines' records. Every engine writes about once a second, so a
/// read that waited for the next record would return at once; work may go to a leaving engine for
/// two seconds, of which this takes a part.
const ENGINES_PACE: Duration = Duration::from_millis(400);
/// Pause after a call that failed; doubles up to [`LONGEST_RETRY`] while calls fail.
const RETRY: Duration = Duration::from_millis(200);
/// Longest pause after calls that failed.
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// Pause between two looks whether the first read is due.
const FIRST_LOOK: Duration = Duration::from_millis(10);
/// Pause between two looks whether a read is due.
const LOOK: Duration = Duration::from_millis(100);
/// Time after the start within which the other instances are known, if the store is well.
const REGISTERED: Duration = Duration::from_millis(400);
/// The same where all instances start for the first time, and register one after the other.
const ALL_REGISTERED: Duration = Duration::from_millis(3_000);
/// A reader that has not read for this long reads the newest records instead of all since: nearly
/// all of them are heartbeats.
const BACKLOG: Duration = Duration::from_secs(2);

/// Starts following.
pub(crate) fn start(instance: &Rc<Instance>) {
    actix_rt::spawn(follow_configuration(instance.clone()));
    actix_rt::spawn(follow_engines(instance.clone()));
}

/// Reads of one topic: how it is paced and where it stands.
struct Reader {
    instance: Rc<Instance>,
    topic: Topic,
    store: Store,
    watch: Watch,
    wait: Duration,
    pace: Duration,
    next: Option<Offset>,
    due: Instant,
    /// When following began.
    begun: Instant,
    failures: u32,
}

/// What one read gave.
enum Read {
    All(Vec<KeyedRecord>),
    More(Vec<KeyedRecord>),
}

impl Reader {
    fn new(instance: Rc<Instance>, topic: Topic, wait: Duration, pace: Duration) -> Self {
        let address = instance.settings.borrow().store;
        Self {
            topic,
            store: Store::new(address, instance.codec.clone()),
            watch: Watch::default(),
            wait,
            pace,
            next: None,
            due: Instant::now(),
            begun: Instant::now(),
            failures: 0,
            instance,
        }
    }

    fn name(&self) -> &'static str {
        match self.topic {
            Topic::Configuration => records::OPERATOR_TOPIC,
            Topic::Engines => records::ENGINES_TOPIC,
        }
    }

    /// The next records, however long it takes.
    async fn read(&mut self) -> Read {
        loop {
            sleep_until(self.due).await;
            self.wait_until_due().await;
            self.due = Instant::now() + self.pace;
            match self.once().await {
                Ok(read) => {
                    self.succeeded();
                    return read;
                }
                Err(StoreError::OffsetOutOfRange(first)) => {
                    log::info!(topic = self.name(), first = first; "records were dropped, reading all");
                    self.next = None;
                }
                Err(trouble) => self.failed(&trouble),
            }
        }
    }

    async fn wait_until_due(&mut self) {
        // Whoever does not know the others yet would take itself for the first.
        let is_first_start = self.instance.settings.borrow().is_first_start;
        let within = if is_first_start {
            ALL_REGISTERED
        } else {
            REGISTERED
        };
        while !self.instance.is_registered.get() && self.begun.elapsed() < within {
            sleep(FIRST_LOOK).await;
        }
        while !self.must_read() && !self.is_due() {
            let has = self.instance.has(self.topic);
            sleep(if has { LOOK } else { FIRST_LOOK }).await;
        }
        let now = self.instance.now();
        let last = self.instance.last_read(self.topic).get();
        if last.is_none_or(|last| now.saturating_sub(last) > BACKLOG) {
            self.next = None;
        }
    }

    fn must_read(&self) -> bool {
        self.topic == Topic::Configuration && self.instance.must_read.take()
    }

    fn is_due(&mut self) -> bool {
        let instance = &self.instance;
        let own = instance.knows(self.topic);
        let peers = instance.peers.borrow();
        let others = peers.said(self.topic);
        let order = instance.order();
        let now = instance.now();
        let rank = peers.rank(order, now);
        self.watch.is_due(order, rank, others, own, now)
    }

    async fn once(&mut self) -> Result<Read, StoreError> {
        let name = self.name();
        let Some(from) = self.next else {
            let newest = self.store.newest(name).await?;
            self.next = Some(newest.end);
            self.instance.on_era(store::era(newest.end));
            return Ok(Read::All(newest.records));
        };
        let batch = self.store.read(name, from, self.wait).await?;
        self.next = Some(batch.next);
        Ok(Read::More(batch.records))
    }

    fn succeeded(&mut self) {
        let now = self.instance.now();
        let before = self.instance.last_read(self.topic).replace(Some(now));
        if watch::is_resumption(before, now) {
            self.instance.greeting_due.set(true);
            self.instance.stirred.notify_one();
        }
        if std::mem::take(&mut self.failures) > 0 {
            log::info!(topic = self.name(); "the store answers again");
        }
    }

    fn failed(&mut self, trouble: &StoreError) {
        self.instance.metrics.store_failed();
        // Others must not rely on this instance while it cannot read.
        self.instance.last_read(self.topic).set(None);
        if self.failures == 0 {
            log::warn!(topic = self.name(), trouble:% = trouble; "the store does not answer");
        }
        let pause = RETRY * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        self.due = Instant::now() + pause.min(LONGEST_RETRY);
    }
}

async fn follow_configuration(instance: Rc<Instance>) {
    let topic = Topic::Configuration;
    let mut reader = Reader::new(instance.clone(), topic, CONFIGURATION_WAIT, Duration::ZERO);
    loop {
        let (Read::All(records) | Read::More(records)) = reader.read().await;
        for record in records {
            let Some(record) = sealed(record) else {
                continue;
            };
            if take_configuration(&instance, &record, "store") {
                tell(&instance, topic, &record);
            }
        }
    }
}

/// A record of the operator as it may be kept and told: keys of organisations are secret. Nothing if it cannot be read.
fn sealed(record: KeyedRecord) -> Option<KeyedRecord> {
    let Some(value) = record
        .value
        .as_ref()
        .filter(|_| record.key == records::CONFIGURATION_KEY)
    else {
        return Some(record);
    };
    match records::digest_keys(value, &rand::random()) {
        Ok(value) => Some(KeyedRecord {
            value: Some(value.into()),
            ..record
        }),
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "the configuration in force stays");
            None
        }
    }
}

/// Applies a record of the store that a peer forwards.
pub(crate) fn apply_update(instance: &Instance, topic: Topic, record: &KeyedRecord) {
    instance.on_era(store::era(record.offset));
    match topic {
        Topic::Configuration => {
            take_configuration(instance, record, "instance");
        }
        Topic::Engines => {
            let mut registry = instance.registry.borrow_mut();
            registry.store_answered(instance.now());
            take_engine(instance, &mut registry, record);
        }
    }
}

fn news(topic: Topic, record: &KeyedRecord) -> News {
    News {
        configuration: topic == Topic::Configuration,
        offset: record.offset,
        key: record.key.clone(),
        value: record.value.as_ref().map(|value| value.to_vec()),
    }
}

/// Tells the other instances of a record that changed something.
///
/// Where another reader comes before this one, that one tells. It may lose the store before it has read the record; then
/// all others would find themselves behind, and read. So the record is told a little later if that one does not know it by then.
fn tell(instance: &Instance, topic: Topic, record: &KeyedRecord) {
    let news = news(topic, record);
    let now = instance.now();
    let upto = match topic {
        Topic::Configuration => instance.knows(topic).upto,
        Topic::Engines => record.offset,
    };
    let mut peers = instance.peers.borrow_mut();
    if peers.has_reader_before(instance.order(), topic, now) {
        peers.defer_news(news, upto, now);
    } else {
        peers.add_news(news);
    }
    drop(peers);
    instance.stirred.notify_one();
}

fn take_configuration(instance: &Instance, record: &KeyedRecord, source: &str) -> bool {
    if record.key != records::CONFIGURATION_KEY {
        return false;
    }
    let Some(value) = &record.value else {
        log::error!(offset = record.offset; "the configuration was dropped, the one in force stays");
        return false;
    };
    match records::parse_table(value) {
        Ok(table) => {
            let is_new = instance.configure(table, source);
            if is_new {
                let news = news(Topic::Configuration, record);
                instance.snapshot.borrow_mut().apply(news);
            }
            is_new
        }
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "the configuration in force stays");
            false
        }
    }
}

async fn follow_engines(instance: Rc<Instance>) {
    let topic = Topic::Engines;
    let mut reader = Reader::new(instance.clone(), topic, Duration::ZERO, ENGINES_PACE);
    loop {
        let read = reader.read().await;
        let mut registry = instance.registry.borrow_mut();
        registry.store_answered(instance.now());
        match read {
            Read::All(records) => take_all(&instance, &mut registry, &records),
            Read::More(records) => take_more(&instance, &mut registry, &records),
        }
    }
}

fn take_more(instance: &Instance, registry: &mut Registry, records: &[KeyedRecord]) {
    for record in records {
        if take_engine(instance, registry, record) {
            tell(instance, Topic::Engines, record);
        }
    }
}

fn take_all(instance: &Instance, registry: &mut Registry, records: &[KeyedRecord]) {
    let mut kept = instance.snapshot.borrow_mut();
    kept.clear_engines();
    for record in records {
        registry.is_newer(&record.key, record.offset);
        registry.advance_to(record.offset);
        kept.apply(news(Topic::Engines, record));
    }
    drop(kept);
    let mut fleet = instance.fleet.borrow_mut();
    let engines: Vec<Record> = records
        .iter()
        .filter_map(|record| engine(&mut fleet, registry, record))
        .collect();
    let count = engines.len();
    let changes = registry.replace(&mut fleet, engines, instance.now());
    instance.engines_known.set(true);
    log::info!(engines = count, changes = changes; "all engines read");
}

/// Takes in an engine's record. Says whether it changed something.
fn take_engine(instance: &Instance, registry: &mut Registry, record: &KeyedRecord) -> bool {
    if !registry.is_newer(&record.key, record.offset) {
        return false;
    }
    instance
        .snapshot
        .borrow_mut()
        .apply(news(Topic::Engines, record));
    let mut fleet = instance.fleet.borrow_mut();
    if record.value.is_none() {
        let change = registry.remove(&mut fleet, &record.key, instance.now());
        if change != Change::None {
            registry.advance_to(record.offset);
            log::info!(engine = record.key.as_str(), change:? = change; "engine's record is gone");
        }
        return change != Change::None;
    }
    let was_readable = !registry.is_unreadable(&record.key);
    let Some(engine) = engine(&mut fleet, registry, record) else {
        if was_readable {
            registry.advance_to(record.offset);
        }
        return was_readable;
    };
    let state = engine.state;
    let stage = engine.stage;
    let born = engine.started_ms;
    let changed = registry.put(&mut fleet, engine) == Change::Put;
    if changed {
        registry.advance_to(record.offset);
        log::info!(engine = record.key.as_str(), state:? = state, stage:? = stage, born = born.unwrap_or_default(); "engine changed");
    }
    changed
}

/// The engine that a record names. One that names none is told of once, however often it is read.
fn engine(fleet: &mut Fleet, registry: &mut Registry, record: &KeyedRecord) -> Option<Record> {
    let value = record.value.as_ref()?;
    match records::parse_engine(&record.key, value) {
        Ok(engine) => Some(engine),
        Err(error) => {
            if registry.mark_unreadable(fleet, &record.key) {
                log::error!(entry:? = record.key, error:% = error; "an entry names no engine");
            }
            None
        }
    }
}

/// Pause between two sweeps of engines that have not come back, and of idle connections.
const SWEEP: Duration = Duration::from_millis(200);

/// Removes what has lapsed, until the process ends.
pub(crate) async fn sweep(instance: Rc<Instance>) {
    loop {
        sleep(SWEEP).await;
        let now = instance.now();
        let mut fleet = instance.fleet.borrow_mut();
        for engine in instance.registry.borrow_mut().expire(&mut fleet, now) {
            log::info!(engine = &*engine; "engine has not come back, removed");
        }
        instance.pool.sweep(now, |id| fleet.get(id).is_some());
        let instances = instance.peers.borrow().count();
        if let Some(connections) = instance.table().and_then(|t| t.fewest_connections()) {
            instance.pool.shared_by(connections, instances);
        }
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        instance.budgets.borrow_mut().set_instances(instances);
    }
}
