//! Registers this instance in the store and discovers the others there.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{self, KeyedRecord, Offset, Store, StoreError};
use clock::Moment;
use serving::hash;
use serving::registration::{Outcome, Registration, Step};
use tokio::time::{Instant, sleep, timeout_at};

use crate::instance::Instance;
use crate::{quarantine_store, registrar, version_records};

/// Interval between reads of the other instances. An instance that starts greets those that may
/// carry a role, so that a read finds only the others and those whose greeting was lost.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// The same after the registration: others may register at the same time.
const SETTLE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Registers this instance and reads the others periodically.
pub(crate) async fn run(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let mut is_crowded = instance.settings.borrow().is_first_start;
    loop {
        let next = register(&mut store, &instance, is_crowded).await;
        follow(&mut store, &instance, next).await;
        // All instances have lost their records, or their place in the list, at the same time.
        is_crowded = true;
    }
}

/// Registers this instance, unless it is registered, and reads the others. Returns the position from
/// which to read on.
async fn register(store: &mut Store, instance: &Rc<Instance>, is_crowded: bool) -> Offset {
    let (mut registration, mut step) = if is_crowded {
        Registration::crowded(instance.settings.borrow().link_mbps, rand::random())
    } else {
        Registration::alone()
    };
    let mut list = List::default();
    loop {
        let outcome = match step {
            Step::Read(pause) => {
                sleep(pause).await;
                match list.read(store, instance).await {
                    Ok(()) => Outcome::Listed {
                        is_registered: list.has_own,
                        others: &list.others,
                    },
                    Err(trouble) => {
                        log::warn!(trouble:% = trouble; "the other instances cannot be read");
                        Outcome::Unread
                    }
                }
            }
            Step::Append => match append(store, instance).await {
                Ok(_) => Outcome::Written,
                Err(trouble) => {
                    log::warn!(trouble:% = trouble; "this instance could not be registered");
                    Outcome::Unwritten
                }
            },
            Step::Ask(other) => {
                if registrar::request(instance, other).await {
                    Outcome::Written
                } else {
                    log::info!(instance:% = other; "an instance did not register this one");
                    Outcome::Unconfirmed
                }
            }
            Step::Done => break,
        };
        // Those that start together may each have read a part only until they are registered.
        if !is_crowded && matches!(outcome, Outcome::Listed { .. }) {
            on_discovered(instance);
        }
        step = registration.next(outcome, rand::random());
    }
    on_discovered(instance);
    log::info!(instances = list.others.len() + 1; "registered");
    list.next.unwrap_or_default()
}

/// The list of instances as this one reads it while it registers.
#[derive(Default)]
struct List {
    next: Option<Offset>,
    has_own: bool,
    /// The others, in the order common to all.
    others: Vec<SocketAddr>,
}

impl List {
    /// Reads all records, or those that were added since.
    async fn read(&mut self, store: &mut Store, instance: &Instance) -> Result<(), StoreError> {
        let asked = instance.now();
        let read = match self.next {
            Some(from) => store
                .read(INSTANCES_TOPIC, from, Duration::ZERO)
                .await
                .map(|batch| (batch.records, batch.next, batch.is_whole)),
            None => store
                .newest(INSTANCES_TOPIC)
                .await
                .map(|newest| (newest.records, newest.end, true)),
        };
        let (records, next, is_whole) = match read {
            Err(StoreError::OffsetOutOfRange(_)) => {
                *self = Self::default();
                return Err(StoreError::Refused("records were dropped".to_owned()));
            }
            other => other?,
        };
        self.next = Some(next);
        let own = own_value(instance);
        self.has_own |= records
            .iter()
            .any(|record| record.value.as_deref() == Some(own.as_bytes()));
        let listed = add_all(instance, &records, next);
        let mut versions = instance.origins.versions.borrow_mut();
        versions.on_instances_listed(listed == 0, instance.now());
        drop(versions);
        if is_whole {
            on_records_current(instance, asked);
        }
        self.others = instance.peers.borrow().in_order();
        Ok(())
    }
}

/// Reads who registers later, until this instance has to register again.
async fn follow(store: &mut Store, instance: &Instance, mut next: Offset) {
    let settled = Instant::now() + SETTLE_INTERVAL;
    let mut due = settled;
    loop {
        let wait = timeout_at(due, instance.instances_confirmation.requested());
        tokio::select! {
            () = instance.store_went_back.notified() => return,
            _ = wait => {}
        }
        let asked = instance.now();
        match store.read(INSTANCES_TOPIC, next, Duration::ZERO).await {
            Ok(batch) => {
                let has_advanced = batch.next > next;
                next = batch.next;
                if !batch.records.is_empty() {
                    add_all(instance, &batch.records, next);
                    on_discovered(instance);
                }
                if batch.is_whole {
                    on_records_current(instance, asked);
                }
                // What is left of a long answer is read at once.
                due = if batch.is_whole || !has_advanced {
                    next_read(settled)
                } else {
                    Instant::now()
                };
                if is_removed(instance.address, &batch.records) {
                    return;
                }
            }
            Err(StoreError::OffsetOutOfRange(_)) => match store.newest(INSTANCES_TOPIC).await {
                Ok(newest) => {
                    next = newest.end;
                    due = next_read(settled);
                    add_all(instance, &newest.records, next);
                    let listed = newest.records.iter();
                    let listed = listed.filter_map(|record| record.key.parse().ok());
                    let listed: BTreeSet<SocketAddr> = listed.collect();
                    let now = instance.now();
                    instance.peers.borrow_mut().retain_listed(&listed, now);
                    on_records_current(instance, asked);
                    if !listed.contains(&instance.address) {
                        return;
                    }
                }
                Err(trouble) => {
                    log::debug!(trouble:% = trouble; "the other instances cannot be read");
                    due = Instant::now() + RETRY_INTERVAL;
                }
            },
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                due = Instant::now() + RETRY_INTERVAL;
            }
        }
    }
}

/// Lets the other tasks rely on what the records said at `as_of`.
fn on_records_current(instance: &Instance, as_of: Moment) {
    let (now, unix) = (instance.now(), instance.unix());
    let mut versions = instance.origins.versions.borrow_mut();
    versions.on_records_current(as_of, now, unix);
    instance.instances_confirmation.on_read(as_of);
}

/// Whether the last of these records about an instance removes it.
fn is_removed(address: SocketAddr, records: &[KeyedRecord]) -> bool {
    let key = address.to_string();
    let last = records.iter().rfind(|record| record.key == key);
    last.is_some_and(|record| record.value.is_none())
}

/// When to read next after a read that succeeded.
fn next_read(settled: Instant) -> Instant {
    let now = Instant::now();
    if now < settled {
        settled
    } else {
        now + READ_INTERVAL
    }
}

/// Lets the other tasks rely on the instances that are known.
fn on_discovered(instance: &Instance) {
    instance.peers_discovered.set(true);
    instance.greeting_due.set(true);
    instance.frame_due.notify_one();
}

/// Applies records of the list of instances that were read up to a position. Returns how many instances they
/// name.
fn add_all(instance: &Instance, records: &[KeyedRecord], upto: Offset) -> usize {
    let (now, unix) = (instance.now(), instance.unix());
    let mut versions = instance.origins.versions.borrow_mut();
    versions.on_store_era(store::era(upto), now);
    let others = records.iter().filter(|record| {
        !quarantine_store::apply_record(instance, record)
            && !version_records::apply(&mut versions, record, now, unix)
    });
    let mut peers = instance.peers.borrow_mut();
    let mut eviction = instance.eviction.borrow_mut();
    let mut count = 0;
    for record in others {
        let Some(value) = &record.value else {
            if let Ok(address) = record.key.parse() {
                peers.remove(address, now);
            }
            continue;
        };
        let Ok(text) = std::str::from_utf8(value) else {
            continue;
        };
        let Some((address, zone, order)) = parse_entry(text) else {
            log::debug!(entry = text; "the record of a registered instance cannot be parsed");
            continue;
        };
        count += 1;
        if address != instance.address {
            eviction.on_registered(address, now);
            peers.register(address, hash::hash32(zone), order, now);
        }
    }
    count
}

/// Address, data centre and read order of a registered instance.
fn parse_entry(text: &str) -> Option<(SocketAddr, &str, Option<u64>)> {
    let (address, rest) = text.split_once(' ')?;
    let address = address.parse().ok()?;
    let with_order = rest.rsplit_once(' ');
    let parsed = with_order.and_then(|(zone, order)| Some((zone, order.parse().ok()?)));
    Some(match parsed {
        Some((zone, order)) => (address, zone, Some(order)),
        None => (address, rest, None),
    })
}

/// The value of an instance's record.
pub(crate) fn entry(address: SocketAddr, zone: &str, order: u64) -> String {
    format!("{address} {zone} {order}")
}

fn own_value(instance: &Instance) -> String {
    entry(instance.address, &instance.zone, instance.order())
}

async fn append(store: &mut Store, instance: &Instance) -> Result<Offset, StoreError> {
    let key = instance.address.to_string();
    let value = own_value(instance);
    store
        .append(INSTANCES_TOPIC, &key, value.as_bytes(), None)
        .await
}
