//! Stores calls that crash engines on the platform: that they are held, which has to survive all
//! instances, and which one instance tries a call again.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{KeyedRecord, Store, StoreError};
use clock::Clock as _;
use serving::fingerprint::Fingerprint;
use serving::quarantine::{Entry, TRIAL_CLAIM_TIMEOUT};
use tokio::time::{sleep, timeout};
use wire::Message as _;
use wire::gateway::Suspect;

use crate::attempt::Request;
use crate::frame;
use crate::instance::Instance;
use crate::suspects::{self, fingerprint_text};

/// Key prefix of held calls. Their records lie beside the registered instances, which every
/// starting instance reads: it knows the held calls as soon as it knows its peers, without another
/// call to the store.
const KEY_PREFIX: &str = "held/";
/// Interval between checks for changes to write, and pause after a failed write.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Age after which a record holds no call any more, even by a clock that is off by hours. Without
/// deletion the records would pile up, and every starting instance reads them all.
const MAX_RECORD_AGE: Duration = Duration::from_secs(2 * 24 * 60 * 60);

/// The fingerprint in a record's key; `None` for other records.
pub(crate) fn call_of(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key.strip_prefix(KEY_PREFIX)?, 16).ok()
}

/// Key of a call's record.
pub(crate) fn key(call: Fingerprint) -> String {
    format!("{KEY_PREFIX}{}", fingerprint_text(call))
}

/// Value of a call's record.
pub(crate) fn value(call: Fingerprint, entry: &Entry, instance: &Instance) -> Vec<u8> {
    let suspect = frame::encode_suspect(call, entry, suspects::now(instance));
    let written = Suspect {
        written_unix_ms: unix_ms(instance.clock.wall_time()),
        ..suspect
    };
    written.encode_to_vec()
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Applies a record of the store if it is about a call. Returns whether it is.
pub(crate) fn apply_record(instance: &Instance, record: &KeyedRecord) -> bool {
    let Some(call) = call_of(&record.key) else {
        return false;
    };
    let Some(value) = &record.value else {
        return true;
    };
    match Suspect::decode(&value[..]) {
        Ok(suspect) => {
            let now = unix_ms(instance.clock.wall_time());
            let age = Duration::from_millis(now.saturating_sub(suspect.written_unix_ms));
            if age > MAX_RECORD_AGE {
                instance.suspects.mark_expired(call);
                return true;
            }
            let aged = frame::with_current_ages(suspect, now);
            instance
                .suspects
                .merge(&aged, "store", Duration::ZERO, suspects::now(instance));
        }
        Err(error) => {
            log::error!(key = record.key.as_str(), error:% = error; "the record of a held call cannot be read");
        }
    }
    true
}

/// Writes crashes that this instance saw and removes expired calls, until the process ends.
pub(crate) async fn run(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    loop {
        sleep(POLL_INTERVAL).await;
        instance.suspects.expire(suspects::now(&instance));
        if instance
            .peers
            .borrow()
            .live_before(instance.order(), instance.now())
            == 0
        {
            delete_expired(&instance, &mut store).await;
        }
        for (call, entry) in instance.suspects.unwritten() {
            let value = value(call, &entry, &instance);
            match store
                .append(INSTANCES_TOPIC, &key(call), &value, None)
                .await
            {
                Ok(_) => {
                    instance.suspects.mark_written(call, &entry);
                    log::info!(fingerprint = fingerprint_text(call), ended = entry.uncleared_crashes(); "the store knows of a call that ends engines");
                }
                Err(trouble) => {
                    log::info!(fingerprint = fingerprint_text(call), trouble:% = trouble; "a held call could not be written yet");
                    break;
                }
            }
        }
    }
}

/// Deletes outdated records, unless the call is known again.
async fn delete_expired(instance: &Instance, store: &mut Store) {
    while let Some(call) = instance.suspects.take_expired() {
        if instance.suspects.get(call).is_some() {
            continue;
        }
        match store.append(INSTANCES_TOPIC, &key(call), &[], None).await {
            Ok(_) => {
                log::info!(fingerprint = fingerprint_text(call); "deleted the expired record of a held call");
            }
            Err(trouble) => {
                log::info!(fingerprint = fingerprint_text(call), trouble:% = trouble; "the expired record of a held call could not be deleted yet");
                instance.suspects.mark_expired(call);
                return;
            }
        }
    }
}

/// Claims the trial of a held call or part for this instance. Returns whether it may send the call.
///
/// If each instance tried it on its own, as many engines would crash as there are instances. The
/// store appends the claim only if nothing was written since this instance read, so that of two
/// claims one fails. Without the store, no instance tries.
pub(crate) async fn claim_trial(
    instance: &Instance,
    request: &Request,
    suspect: Fingerprint,
) -> bool {
    match timeout(TRIAL_CLAIM_TIMEOUT, claim_at_store(instance, suspect)).await {
        Ok(Ok(is_claimed)) => is_claimed,
        Ok(Err(trouble)) => {
            log::info!(id = request.call.id.as_str(), trouble:% = trouble; "no trial of a held call without the store");
            false
        }
        Err(_) => {
            log::info!(id = request.call.id.as_str(); "no trial of a held call, the store takes too long");
            false
        }
    }
}

async fn claim_at_store(instance: &Instance, call: Fingerprint) -> Result<bool, StoreError> {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let newest = store.newest(INSTANCES_TOPIC).await?;
    for record in &newest.records {
        apply_record(instance, record);
    }
    let now = suspects::now(instance);
    let Some(entry) = instance.suspects.trial(call, now) else {
        return Ok(false);
    };
    let value = value(call, &entry, instance);
    match store
        .append(INSTANCES_TOPIC, &key(call), &value, Some(newest.end))
        .await
    {
        Ok(_) => {
            instance.suspects.on_trial_claimed(call, &entry, now);
            // The answer may have waited while this process was stopped.
            Ok(entry.may_start_trial(suspects::now(instance)))
        }
        Err(StoreError::EndMismatch(_)) => Ok(false),
        Err(trouble) => Err(trouble),
    }
}
