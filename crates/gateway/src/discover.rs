//! Registers this instance in the store and finds the others there.

use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES;
use adapter::store::{Keyed, Offset, Store, Trouble};
use serving::hash;
use tokio::time::sleep;

use crate::instance::Instance;

/// Pause between two reads of the other instances. Each one that starts tells all that are registered
/// of itself, so that a read finds only what was lost.
const DISCOVERY: Duration = Duration::from_secs(60);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(500);

/// Registers this instance and reads the others, now and then.
pub(crate) async fn run(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let mut next: Option<Offset> = None;
    loop {
        let read = match next {
            None => register_and_read(&mut store, &instance).await,
            Some(from) => store
                .read(INSTANCES, from, Duration::ZERO)
                .await
                .map(|batch| (batch.records, batch.next)),
        };
        match read {
            Ok((records, end)) => {
                next = Some(end);
                add_all(&instance, &records);
                sleep(DISCOVERY).await;
            }
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                if matches!(trouble, Trouble::Dropped(_)) {
                    next = None;
                }
                sleep(RETRY).await;
            }
        }
    }
}

fn add_all(instance: &Instance, records: &[Keyed]) {
    let mut peers = instance.peers.borrow_mut();
    let values = records.iter().filter_map(|record| record.value.as_ref());
    let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
    let entries = texts.filter_map(|text| text.split_once(' '));
    for (address, zone) in entries {
        let Ok(address) = address.parse() else {
            log::debug!(address = address; "a registered instance has no address");
            continue;
        };
        if address != instance.address {
            peers.add(address, hash::short(zone));
        }
    }
}

/// Registers first and reads then: of two instances that start at the same time, the one that
/// registers last reads of the other one.
async fn register_and_read(
    store: &mut Store,
    instance: &Instance,
) -> Result<(Vec<Keyed>, Offset), Trouble> {
    let key = instance.address.ip().to_string();
    let value = format!("{} {}", instance.address, instance.zone);
    store
        .append(INSTANCES, &key, value.as_bytes(), None)
        .await?;
    let newest = store.newest(INSTANCES).await?;
    Ok((newest.records, newest.end))
}
