//! Registers this instance in the store and finds the others there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{KeyedRecord, Offset, Store, StoreError};
use serving::hash;
use tokio::time::{sleep, timeout};

use crate::instance::Instance;
use crate::quarantine_store;

/// Pause between two reads of the other instances. Each one that starts tells all that are registered
/// of itself, so that a read finds only what was lost.
const DISCOVERY: Duration = Duration::from_secs(60);
/// How much longer than the one before it an instance waits before it registers again in a store that has come back from an older copy:
/// hundreds that did so at once would be turned away.
const RETURN_STEP: Duration = Duration::from_millis(20);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(500);

/// Registers this instance and reads the others, now and then.
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
                if timeout(DISCOVERY, instance.store_went_back.notified())
                    .await
                    .is_ok()
                {
                    sleep(RETURN_STEP * instance.rank()).await;
                    next = None;
                }
            }
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                if matches!(trouble, StoreError::OffsetOutOfRange(_)) {
                    next = None;
                }
                sleep(RETRY).await;
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
        let Some((address, zone, order)) = entry(text) else {
            log::debug!(entry = text; "a registered instance has no address");
            continue;
        };
        if address != instance.address {
            peers.add(address, hash::hash32(zone), order, now);
        }
    }
    drop(peers);
    instance.is_registered.set(true);
    instance.greeting_due.set(true);
    instance.stirred.notify_one();
}

/// Address, data centre and place in the common order of a registered instance.
fn entry(text: &str) -> Option<(SocketAddr, &str, Option<u64>)> {
    let (address, rest) = text.split_once(' ')?;
    let address = address.parse().ok()?;
    let with_order = rest.rsplit_once(' ');
    let parsed = with_order.and_then(|(zone, order)| Some((zone, order.parse().ok()?)));
    Some(match parsed {
        Some((zone, order)) => (address, zone, Some(order)),
        None => (address, rest, None),
    })
}

/// Reads who is registered, and registers where this instance is not yet.
///
/// The store carries out one append of a topic after the other. If each instance registered at each start, the last of hundreds that
/// are started again at once would know nobody for seconds; one would notice it by calls that are placed blindly long after
/// such a restart. So only those register that are not, and they read on to what was registered meanwhile: of two
/// instances that start at the same time, the one that registers last reads of the other one.
async fn register_and_read(
    store: &mut Store,
    instance: &Instance,
    may_be_first: bool,
) -> Result<(Vec<KeyedRecord>, Offset), StoreError> {
    let key = instance.address.to_string();
    let order = instance.order();
    let value = format!("{} {} {order}", instance.address, instance.zone);
    // Nobody is registered then.
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
