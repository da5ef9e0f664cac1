//! Registers instances that ask for it, and asks others to register this one;
//! [`serving::registration`] decides when.
//!
//! All requests that arrive within a short time go into one append, so that the appends of a fleet that
//! starts do not grow with its instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{Store, StoreError};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::gateway::{Frame, Registration};

use crate::instance::Instance;
use crate::{discovery, mesh};

/// Time that an instance gets to register another one. Longer than an append that waits for some
/// tens of others.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which requests are gathered. Calls to the store are paid for, and a fleet that starts
/// has seconds.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Pause after a failed append.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Most records in one append, well below the size that the store accepts.
const MAX_BATCH: usize = 4_096;

/// Requests of other instances, and this one's own.
#[derive(Default)]
pub(crate) struct Registrar {
    /// Values of the records to write, by the address of the instance that asked.
    requested: RefCell<BTreeMap<SocketAddr, String>>,
    request_arrived: Notify,
    /// Whether another instance has confirmed this one's registration.
    is_confirmed: Cell<bool>,
    confirmed: Notify,
}

/// Asks another instance to register this one. Returns whether it confirmed.
pub(crate) async fn request(instance: &Instance, other: SocketAddr) -> bool {
    let registrar = &instance.registrar;
    registrar.is_confirmed.set(false);
    let frame = Frame {
        register: Some(Registration {
            zone: instance.zone.to_string(),
            order: instance.order(),
        }),
        ..instance.frame()
    };
    if !instance.pending_placements.send(&frame, other) {
        return false;
    }
    let confirmed = timeout(RESPONSE_TIMEOUT, registrar.confirmed.notified()).await;
    confirmed.is_ok() || registrar.is_confirmed.get()
}

/// Handles another instance's confirmation.
pub(crate) fn on_confirmed(instance: &Instance) {
    instance.registrar.is_confirmed.set(true);
    instance.registrar.confirmed.notify_one();
}

/// Handles another instance's request.
pub(crate) fn on_request(instance: &Instance, from: SocketAddr, request: &Registration) {
    let value = discovery::entry(from, &request.zone, request.order);
    let mut requested = instance.registrar.requested.borrow_mut();
    requested.insert(from, value);
    instance.registrar.request_arrived.notify_one();
}

/// Writes the requested records, until the process ends.
pub(crate) async fn run(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut store = Store::new(instance.settings.borrow().store, instance.codec.clone());
    loop {
        instance.registrar.request_arrived.notified().await;
        loop {
            sleep(BATCH_TIME).await;
            let batch = take_batch(&instance.registrar);
            if batch.is_empty() {
                break;
            }
            match append(&mut store, &batch).await {
                Ok(()) => {
                    log::info!(instances = batch.len(); "registered other instances");
                    let frame = Frame {
                        registered: true,
                        ..instance.frame()
                    };
                    let recipients: Vec<SocketAddr> = batch.into_keys().collect();
                    mesh::broadcast(&socket, &frame, &recipients);
                }
                Err(trouble) => {
                    // Those that asked will ask another instance, or append themselves.
                    log::warn!(instances = batch.len(), trouble:% = trouble; "other instances could not be registered");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

fn take_batch(registrar: &Registrar) -> BTreeMap<SocketAddr, String> {
    let mut requested = registrar.requested.borrow_mut();
    let rest = match requested.keys().nth(MAX_BATCH).copied() {
        Some(first) => requested.split_off(&first),
        None => BTreeMap::new(),
    };
    std::mem::replace(&mut requested, rest)
}

async fn append(store: &mut Store, batch: &BTreeMap<SocketAddr, String>) -> Result<(), StoreError> {
    let keys: Vec<String> = batch.keys().map(ToString::to_string).collect();
    let records = keys
        .iter()
        .zip(batch.values())
        .map(|(key, value)| (key.as_str(), value.as_bytes()));
    store.append_all(INSTANCES_TOPIC, records).await?;
    Ok(())
}
