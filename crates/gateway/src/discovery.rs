//! Registers this instance in the store and discovers the others there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{KeyedRecord, Offset, Store, StoreError};
use serving::hash;
use tokio::time::{sleep, timeout};

use crate::instance::Instance;
use crate::quarantine_store;

/// Interval between reads of the other instances. An instance that starts greets all registered
/// ones, so that a read finds only those whose greeting was lost.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Time between the registrations of two instances in a store that was restored from an older copy:
/// the store would reject hundreds at once.
const REREGISTRATION_STAGGER: Duration = Duration::from_millis(20);
/// Pause after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Registers this instance and reads the others periodically.
pub(crate) async fn run(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let mut next: Option<Offset> = None;
    let mut may_be_first = instance.settings.borrow().is_first_start;
    loop {
        let read = match next {
            None => register_and_read(&mut store, &instance, may_be_first).await,
            Some(from) => store
                .read(INSTANCES_TOPIC, from, Duration::ZERO)
                .await
                .map(|batch| (batch.records, batch.next)),
        };
        match read {
            Ok((records, end)) => {
                next = Some(end);
                may_be_first = false;
                add_all(&instance, &records);
                if timeout(READ_INTERVAL, instance.store_went_back.notified())
                    .await
                    .is_ok()
                {
                    sleep(REREGISTRATION_STAGGER * instance.rank()).await;
                    next = None;
                }
            }
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                if matches!(trouble, StoreError::OffsetOutOfRange(_)) {
                    next = None;
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn add_all(instance: &Instance, records: &[KeyedRecord]) {
    let mut peers = instance.peers.borrow_mut();
    let others = records
        .iter()
        .filter(|record| !quarantine_store::apply_record(instance, record));
    let values = others.filter_map(|record| record.value.as_ref());
    let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
    let now = instance.now();
    for text in texts {
        let Some((address, zone, order)) = parse_entry(text) else {
            log::debug!(entry = text; "the record of a registered instance cannot be parsed");
            continue;
        };
        if address != instance.address {
            peers.register(address, hash::hash32(zone), order, now);
        }
    }
    drop(peers);
    instance.peers_discovered.set(true);
    instance.greeting_due.set(true);
    instance.frame_due.notify_one();
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

/// Registers this instance if it is not, and reads the registered ones.
///
/// The store handles appends to a topic one by one. If each instance registered at each start, the
/// last of hundreds that restart together would know no other for seconds, and place calls blindly.
/// So only instances that are not registered append, and they read again afterwards: of two that
/// start together, the one that registers last reads the other.
async fn register_and_read(
    store: &mut Store,
    instance: &Instance,
    may_be_first: bool,
) -> Result<(Vec<KeyedRecord>, Offset), StoreError> {
    let key = instance.address.to_string();
    let order = instance.order();
    let value = format!("{} {} {order}", instance.address, instance.zone);
    // On a first start nobody is registered.
    if !may_be_first {
        let newest = store.newest(INSTANCES_TOPIC).await?;
        let own = newest.records.iter().find(|record| record.key == key);
        if own.is_some_and(|own| own.value.as_deref() == Some(value.as_bytes())) {
            return Ok((newest.records, newest.end));
        }
        add_all(instance, &newest.records);
    }
    store
        .append(INSTANCES_TOPIC, &key, value.as_bytes(), None)
        .await?;
    let newest = store.newest(INSTANCES_TOPIC).await?;
    Ok((newest.records, newest.end))
}
