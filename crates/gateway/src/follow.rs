//! Follows the store: the configuration and the engines. Each has a task and a connection of its
//! own, so that a slow read of one does not age the other.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use adapter::records;
use adapter::store::{Keyed, Offset, Store, Trouble};
use serving::Record;
use serving::registry::{Change, Registry};
use tokio::time::{Instant, sleep_until};

use crate::instance::Instance;

/// Longest wait of one read for a new configuration. Each call is paid for, and a connection that
/// has fallen silent is noticed only when a call is due.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two reads of the engines' records. Every engine writes about once a second, so a
/// read that waited for the next record would return at once; work may go to a leaving engine for
/// two seconds, of which this takes a part.
const ENGINES_PACE: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(200);

/// Starts following.
pub(crate) fn start(instance: &Rc<Instance>) {
    actix_rt::spawn(follow_configuration(instance.clone()));
    actix_rt::spawn(follow_engines(instance.clone()));
}

/// Reads of one topic: how it is paced and where it stands.
struct Reader {
    store: Store,
    topic: &'static str,
    wait: Duration,
    pace: Duration,
    next: Option<Offset>,
    due: Instant,
    lost: bool,
}

/// What one read gave.
enum Read {
    All(Vec<Keyed>),
    More(Vec<Keyed>),
}

impl Reader {
    fn new(instance: &Instance, topic: &'static str, wait: Duration, pace: Duration) -> Self {
        let address = instance.settings.borrow().store;
        Self {
            store: Store::new(address, instance.codec.clone()),
            topic,
            wait,
            pace,
            next: None,
            due: Instant::now(),
            lost: false,
        }
    }

    /// The next records, however long it takes.
    async fn read(&mut self) -> Read {
        loop {
            sleep_until(self.due).await;
            self.due = Instant::now() + self.pace;
            match self.once().await {
                Ok(read) => {
                    self.regained();
                    return read;
                }
                Err(Trouble::Dropped(first)) => {
                    log::info!(topic = self.topic, first = first; "records were dropped, reading all");
                    self.next = None;
                }
                Err(trouble) => self.failed(&trouble),
            }
        }
    }

    async fn once(&mut self) -> Result<Read, Trouble> {
        let Some(from) = self.next else {
            let newest = self.store.newest(self.topic).await?;
            self.next = Some(newest.end);
            return Ok(Read::All(newest.records));
        };
        let batch = self.store.read(self.topic, from, self.wait).await?;
        self.next = Some(batch.next);
        Ok(Read::More(batch.records))
    }

    fn regained(&mut self) {
        if self.lost {
            self.lost = false;
            log::info!(topic = self.topic; "the store answers again");
        }
    }

    fn failed(&mut self, trouble: &Trouble) {
        if !self.lost {
            self.lost = true;
            log::warn!(topic = self.topic, trouble:% = trouble; "the store does not answer");
        }
        self.due = Instant::now() + RETRY;
    }
}

async fn follow_configuration(instance: Rc<Instance>) {
    let pace = Duration::ZERO;
    let mut reader = Reader::new(&instance, records::OPERATOR, CONFIGURATION_WAIT, pace);
    loop {
        let (Read::All(records) | Read::More(records)) = reader.read().await;
        for record in records {
            take_configuration(&instance, &record);
        }
    }
}

fn take_configuration(instance: &Instance, record: &Keyed) {
    if record.key != records::CONFIGURATION {
        return;
    }
    let Some(value) = &record.value else {
        log::error!(offset = record.offset; "the configuration was dropped, the one in force stays");
        return;
    };
    match records::table(value) {
        Ok(table) => instance.configure(table, "store"),
        Err(error) => {
            log::error!(offset = record.offset, error:% = error; "the configuration in force stays");
        }
    }
}

async fn follow_engines(instance: Rc<Instance>) {
    let registry = RefCell::new(Registry::default());
    let mut reader = Reader::new(&instance, records::ENGINES, Duration::ZERO, ENGINES_PACE);
    loop {
        let read = reader.read().await;
        let now = instance.now();
        let mut registry = registry.borrow_mut();
        registry.heard(now);
        match read {
            Read::All(records) => take_all(&instance, &mut registry, &records),
            Read::More(records) => {
                for record in &records {
                    take_one(&instance, &mut registry, record);
                }
            }
        }
        let mut fleet = instance.fleet.borrow_mut();
        for engine in registry.expire(&mut fleet, now) {
            log::info!(engine = &*engine; "engine has not come back, removed");
        }
        instance.pool.sweep(now, |id| fleet.get(id).is_some());
    }
}

fn take_all(instance: &Instance, registry: &mut Registry, records: &[Keyed]) {
    let engines: Vec<Record> = records.iter().filter_map(engine).collect();
    let count = engines.len();
    let mut fleet = instance.fleet.borrow_mut();
    let changes = registry.replace(&mut fleet, engines, instance.now());
    instance.engines_known.set(true);
    log::info!(engines = count, changes = changes; "all engines read");
}

fn take_one(instance: &Instance, registry: &mut Registry, record: &Keyed) {
    let mut fleet = instance.fleet.borrow_mut();
    if record.value.is_none() {
        let change = registry.remove(&mut fleet, &record.key, instance.now());
        if change != Change::None {
            log::info!(engine = record.key.as_str(), change:? = change; "engine's record is gone");
        }
        return;
    }
    let Some(engine) = engine(record) else { return };
    let state = engine.state;
    let stage = engine.stage;
    if registry.put(&mut fleet, engine) == Change::Put {
        log::info!(engine = record.key.as_str(), state:? = state, stage:? = stage; "engine changed");
    }
}

fn engine(record: &Keyed) -> Option<Record> {
    let value = record.value.as_ref()?;
    match records::engine(&record.key, value) {
        Ok(engine) => Some(engine),
        Err(error) => {
            log::error!(engine = record.key.as_str(), error:% = error; "an engine's record is skipped");
            None
        }
    }
}
