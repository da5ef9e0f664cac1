//! Reads the configuration and the engines from the store. Each topic has a task and a connection
//! of its own, so that a slow read of one does not delay the other. Where enough other instances
//! read and announce changes, this one does not read.

use std::rc::Rc;
use std::time::Duration;

use adapter::records;
use adapter::store::{self, Batch, KeyedRecord, Offset, Store, StoreError};
use bytes::Bytes;
use clock::Moment;
use serving::watch::{self, Waits, Watch};
use tokio::time::{Instant, sleep, sleep_until};
use wire::gateway::News;

use crate::instance::Instance;
use crate::metrics::EngineSource;
use crate::peers::Topic;
use crate::{compression, engine_cache, engine_records};

/// Longest wait of one read for a new configuration. Calls to the store are paid for, and peers
/// take a reader for stale that has had no response for somewhat longer.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(700);
/// Interval between reads of the engines' records. Every engine writes about once a second, so a
/// read that waited for the next record would return at once. A leaving engine may get work for two
/// seconds, of which this takes a part.
const ENGINES_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Least interval between a read and one that is requested. Streams that are taken up together share a read.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed call; doubles up to [`MAX_RETRY_INTERVAL`] while calls fail.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Interval between checks whether the first read is due.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Wait after the start for the discovery of the other instances, by when an instance that knows no
/// others reads the store itself. Far longer than a restart of all takes to read the list of
/// instances: if each read all records then, the store would answer none in time. While the list
/// cannot be read, neither can anything else of the store.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// Range of a random time that is added, so that instances that know no others do not all read the
/// store at once.
const DISCOVERY_SPREAD: Duration = Duration::from_secs(6);
/// Time for which an instance that knows less than the readers waits for records from a placer before
/// it reads them itself. A read of all records is large, and many fall behind at the same time.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after such a wait within which the records are read from the store instead.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// A reader that has not read for this long reads the newest records instead of the whole backlog,
/// which is nearly all heartbeats.
const MAX_BACKLOG: Duration = Duration::from_secs(2);

static NO_CONTENT: Bytes = Bytes::new();

/// Starts the readers.
pub(crate) fn start(instance: &Rc<Instance>) {
    actix_rt::spawn(follow_configuration(instance.clone()));
    actix_rt::spawn(follow_engines(instance.clone()));
}

/// Reads one topic.
struct Reader {
    instance: Rc<Instance>,
    topic: Topic,
    store: Store,
    watch: Watch,
    max_wait: Duration,
    interval: Duration,
    next: Option<Offset>,
    due: Instant,
    /// When a read that is requested may begin.
    earliest: Instant,
    /// Moment up to which the last read showed all records, unless a later one failed.
    last_success: Option<Moment>,
    /// When this instance reads though it does not know the others.
    discovery_end: Instant,
    failures: u32,
}

/// Result of one read.
enum Read {
    Snapshot(Vec<KeyedRecord>),
    Batch(Batch),
}

impl Read {
    /// Whether nothing is left to read.
    fn is_whole(&self) -> bool {
        match self {
            Self::Snapshot(_) => true,
            Self::Batch(batch) => batch.is_whole,
        }
    }
}

impl Reader {
    fn new(instance: Rc<Instance>, topic: Topic, max_wait: Duration, interval: Duration) -> Self {
        let address = instance.settings.borrow().store;
        let waits = match topic {
            Topic::Configuration => Waits::default(),
            Topic::Engines => Waits::within(instance.settings.borrow().bounds.drain),
        };
        Self {
            topic,
            store: Store::new(address, instance.codec.clone()),
            watch: Watch::new(waits),
            max_wait,
            interval,
            next: None,
            due: Instant::now(),
            earliest: Instant::now(),
            last_success: None,
            discovery_end: Instant::now()
                + DISCOVERY_TIMEOUT
                + DISCOVERY_SPREAD.mul_f64(rand::random()),
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

    /// Returns the next records; retries until a read succeeds.
    async fn read(&mut self) -> Read {
        loop {
            let is_requested = self.wait().await;
            if !is_requested {
                self.due = Instant::now() + self.interval;
            }
            self.earliest = Instant::now() + MIN_READ_INTERVAL;
            let asked = self.instance.now();
            if self
                .last_success
                .is_none_or(|last| asked.saturating_sub(last) > MAX_BACKLOG)
            {
                self.next = None;
            }
            let from = self.next;
            match self.read_once().await {
                Ok(read) => {
                    let as_of = self.as_of(asked, from, &read);
                    if read.is_whole() {
                        self.instance.confirmation(self.topic).on_read(as_of);
                    }
                    self.on_success(as_of, is_requested);
                    return read;
                }
                Err(StoreError::OffsetOutOfRange(first)) => {
                    log::info!(topic = self.name(), first = first; "records since the last read were dropped; reading the newest ones");
                    self.next = None;
                }
                Err(trouble) => self.on_failure(&trouble),
            }
        }
    }

    /// Waits until a read is due or requested. Returns whether it is only requested.
    async fn wait(&mut self) -> bool {
        let (instance, topic, earliest) = (self.instance.clone(), self.topic, self.earliest);
        let discovery_end = self.discovery_end;
        let requested = async {
            wait_for_discovery(&instance, discovery_end).await;
            instance.engines_confirmation.requested().await;
            sleep_until(earliest).await;
        };
        tokio::select! {
            biased;
            () = self.wait_until_due() => false,
            () = requested, if topic == Topic::Engines => true,
        }
    }

    async fn wait_until_due(&mut self) {
        sleep_until(self.due).await;
        wait_for_discovery(&self.instance, self.discovery_end).await;
        while !self.must_read() && !self.is_due() {
            let has_state = self.instance.has_topic(self.topic);
            sleep(if has_state {
                POLL_INTERVAL
            } else {
                INITIAL_POLL_INTERVAL
            })
            .await;
        }
    }

    fn must_read(&self) -> bool {
        self.topic == Topic::Configuration && self.instance.must_read_configuration.take()
    }

    fn is_due(&mut self) -> bool {
        let instance = &self.instance;
        let is_partial = self.topic == Topic::Engines && instance.is_caching.get();
        let own = (!is_partial).then(|| instance.known(self.topic));
        let peers = instance.peers.borrow();
        let others = peers.reader_states(self.topic);
        let order = instance.order();
        let now = instance.now();
        let rank = peers.rank(order, now);
        let is_due = self.watch.is_due(order, rank, others, own, now);
        is_due
            && !(self.watch.lacks_records_only()
                && self.awaits_transfer(peers.announced_engines(now), now))
    }

    /// Whether records that this instance lacks are to be sent by another one, which announced
    /// `engines`. If it still differs after that, records were deleted, and it reads.
    fn awaits_transfer(&self, engines: Option<usize>, now: Moment) -> bool {
        if self.topic != Topic::Engines || engines.is_none() || self.instance.is_placing() {
            return false;
        }
        let until = &self.instance.transfer_awaited_until;
        match until.get() {
            Some(until) if now < until => true,
            Some(until) if now.saturating_sub(until) < TRANSFER_RETRY_INTERVAL => false,
            _ => {
                until.set(Some(now + TRANSFER_TIMEOUT));
                true
            }
        }
    }

    async fn read_once(&mut self) -> Result<Read, StoreError> {
        let name = self.name();
        let Some(from) = self.next else {
            let newest = self.store.newest(name).await?;
            self.next = Some(newest.end);
            self.instance.on_era(store::era(newest.end));
            return Ok(Read::Snapshot(newest.records));
        };
        let batch = self.store.read(name, from, self.max_wait).await?;
        self.next = Some(batch.next);
        Ok(Read::Batch(batch))
    }

    /// The moment up to which a read from a position shows all records. The answer may have waited in
    /// the socket, if this process was stopped or had no processor, so it counts from the request.
    fn as_of(&self, asked: Moment, from: Option<Offset>, read: &Read) -> Moment {
        // The store had no record for as long as it was asked to wait for one.
        let had_none = from.is_some() && from == self.next && read.is_whole();
        if had_none {
            asked + self.max_wait
        } else {
            asked
        }
    }

    fn on_success(&mut self, as_of: Moment, is_requested: bool) {
        self.last_success = Some(as_of);
        if std::mem::take(&mut self.failures) > 0 {
            log::info!(topic = self.name(); "the store answers again");
        }
        let read_at = watch::announced_read(as_of, self.instance.now());
        let last_read = self.instance.last_read(self.topic);
        let is_reader = last_read
            .get()
            .is_some_and(|last| read_at.saturating_sub(last) <= MAX_BACKLOG);
        // One requested read does not make this instance one on which others rely.
        if is_requested && !is_reader {
            return;
        }
        let before = last_read.replace(Some(read_at));
        if watch::is_resumption(before, read_at) {
            self.instance.greeting_due.set(true);
            self.instance.frame_due.notify_one();
        }
    }

    fn on_failure(&mut self, trouble: &StoreError) {
        self.instance.metrics.store_read_failed();
        // Other instances must not rely on this one while it cannot read.
        self.instance.last_read(self.topic).set(None);
        self.last_success = None;
        if self.failures == 0 {
            log::warn!(topic = self.name(), trouble:% = trouble; "the store does not answer");
        }
        let pause = RETRY_INTERVAL * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        // Readers that failed together must not come back together.
        let spread = 0.6 + 0.4 * rand::random::<f64>();
        self.due = Instant::now() + pause.min(MAX_RETRY_INTERVAL).mul_f64(spread);
        self.earliest = self.due;
    }
}

/// Waits until the other instances are known, or `end`. An instance that does not know them would take itself for
/// the first.
async fn wait_for_discovery(instance: &Instance, end: Instant) {
    while !instance.peers_discovered.get() && Instant::now() < end {
        sleep(INITIAL_POLL_INTERVAL).await;
    }
}

async fn follow_configuration(instance: Rc<Instance>) {
    let topic = Topic::Configuration;
    let mut reader = Reader::new(instance.clone(), topic, CONFIGURATION_WAIT, Duration::ZERO);
    loop {
        let read = reader.read().await;
        let records = match read {
            Read::Snapshot(records) => records,
            Read::Batch(batch) => batch.records,
        };
        for record in records {
            let Some(record) = seal(record) else {
                continue;
            };
            if apply_configuration(&instance, &record, "store") {
                announce(&instance, topic, &record);
            }
        }
    }
}

/// The operator's record in the form that may be kept and announced: with hashed keys, since
/// organisations' keys are secret. `None` if it cannot be parsed.
fn seal(record: KeyedRecord) -> Option<KeyedRecord> {
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
            apply_configuration(instance, record, "instance");
        }
        Topic::Engines => {
            let mut registry = instance.registry.borrow_mut();
            engine_records::apply_engine(instance, &mut registry, record, EngineSource::Instance);
        }
    }
}

/// A record as it is sent to other instances. An entry that is too large to be an engine's goes without its
/// content, which names no engine either: it would not fit into a datagram.
pub(crate) fn to_news(topic: Topic, record: &KeyedRecord) -> News {
    let configuration = topic == Topic::Configuration;
    let is_oversized =
        |value: &Bytes| !configuration && value.len() > records::MAX_ENGINE_RECORD_BYTES;
    let value = match &record.value {
        Some(value) if is_oversized(value) => Some(&NO_CONTENT),
        value => value.as_ref(),
    };
    let compressed = value.filter(|_| configuration).and_then(|value| {
        compression::compress(value)
            .inspect_err(
                |error| log::error!(error:% = error; "the configuration cannot be compressed"),
            )
            .ok()
    });
    News {
        configuration,
        offset: record.offset,
        key: record.key.clone(),
        compressed: compressed.is_some(),
        value: compressed.or_else(|| value.map(|value| value.to_vec())),
    }
}

/// Announces a record that changed something to the other instances.
///
/// If another reader comes before this one, that one announces it. It may lose the store before it
/// has read the record, and then all others would find themselves behind, and read. So this instance
/// announces the record a little later if the other one does not know it by then. Departures do not
/// wait for that.
pub(crate) fn announce(instance: &Instance, topic: Topic, record: &KeyedRecord) {
    if topic == Topic::Engines {
        engine_records::announce_departure(instance, record);
        if record.value.is_none() {
            return;
        }
    }
    let news = to_news(topic, record);
    let now = instance.now();
    let upto = match topic {
        Topic::Configuration => instance.known(topic).upto,
        Topic::Engines => record.offset,
    };
    let mut peers = instance.peers.borrow_mut();
    if peers.has_reader_before(instance.order(), topic, now) {
        peers.defer_news(news, upto, now);
    } else {
        peers.queue_news(news);
    }
    drop(peers);
    instance.frame_due.notify_one();
}

fn apply_configuration(instance: &Instance, record: &KeyedRecord, source: &str) -> bool {
    if record.key != records::CONFIGURATION_KEY {
        return false;
    }
    let Some(value) = &record.value else {
        log::error!(offset = record.offset; "the configuration's record was removed; the one in force stays");
        return false;
    };
    match records::parse_table(value) {
        Ok(table) => {
            let is_new = instance.apply_configuration(table, source);
            if is_new {
                let mut snapshot = instance.snapshot.borrow_mut();
                snapshot.set_configuration(record.clone());
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
    let mut reader = Reader::new(
        instance.clone(),
        topic,
        Duration::ZERO,
        ENGINES_READ_INTERVAL,
    );
    loop {
        let read = reader.read().await;
        let mut registry = instance.registry.borrow_mut();
        if let Some(as_of) = reader.last_success {
            engine_records::on_store_answered(&mut registry, reader.next, as_of, "store");
        }
        instance.engines_end.set(reader.next.unwrap_or_default());
        match read {
            Read::Snapshot(records) => {
                let end = reader.next.unwrap_or_default();
                engine_records::apply_snapshot(&instance, &mut registry, &records, end);
            }
            Read::Batch(batch) => {
                engine_records::apply_batch(&instance, &mut registry, &batch.records);
            }
        }
    }
}

/// Interval between sweeps of engines that have not come back and of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Removes what has expired, until the process ends.
pub(crate) async fn sweep(instance: Rc<Instance>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = instance.now();
        let mut fleet = instance.fleet.borrow_mut();
        let expired = instance.registry.borrow_mut().expire(&mut fleet, now);
        for engine in expired {
            log::info!(engine = &*engine.name; "engine has not come back, removed");
            if let Some(offset) = engine.offset {
                engine_records::announce_removal(&instance, &engine.name, offset);
            }
        }
        drop(fleet);
        engine_cache::sweep(&instance);
        let fleet = instance.fleet.borrow();
        instance.pool.sweep(now, |id| fleet.get(id).is_some());
        let instances = instance.peers.borrow().count();
        if let Some(connections) = instance.table().and_then(|t| t.fewest_connections()) {
            instance.pool.set_share(connections, instances);
        }
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        instance.budgets.borrow_mut().set_instances(instances);
    }
}
