//! What of the calls that end engines goes through the platform's store: that they are held, which has to outlast all instances,
//! and who tries one again, which has to be one instance.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{KeyedRecord, Store, StoreError};
use clock::Clock as _;
use serving::fingerprint::Fingerprint;
use serving::quarantine::Entry;
use tokio::time::{sleep, timeout};
use wire::Message as _;
use wire::gateway::Suspect;

use crate::attempt::Request;
use crate::frame;
use crate::instance::Instance;
use crate::suspects::{self, text};

/// Begins the keys of held calls. They stand beside the registered instances, which each instance that starts reads: it
/// knows whom to hold back before it knows whom to ask, at no further call to the store.
const PREFIX: &str = "held/";
/// Pause between two looks whether something is to be written, and after a write that failed.
const LOOK: Duration = Duration::from_millis(250);
/// Age of a record after which no call is held by it any more, by a clock that may be off by hours. Records that nobody deletes would
/// stand in the store for ever, and each instance that starts reads all of them.
const OLD: Duration = Duration::from_secs(2 * 24 * 60 * 60);
/// Longest time that a call waits for the word whether this instance may try it.
const CLAIM: Duration = Duration::from_millis(400);

/// The call that a record of the store is about, if it is about one.
pub(crate) fn call_of(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key.strip_prefix(PREFIX)?, 16).ok()
}

/// Key of a call's record.
pub(crate) fn key(call: Fingerprint) -> String {
    format!("{PREFIX}{}", text(call))
}

/// A call's record.
pub(crate) fn value(call: Fingerprint, entry: &Entry, instance: &Instance) -> Vec<u8> {
    let suspect = frame::told_suspect(call, entry, suspects::now(instance));
    let written = Suspect {
        written_unix_ms: unix_ms(instance.clock.wall_time()),
        ..suspect
    };
    written.encode_to_vec()
}

/// Milliseconds since the epoch.
pub(crate) fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Takes in a record of the store, if it is about a call. Says whether it is.
pub(crate) fn take(instance: &Instance, record: &KeyedRecord) -> bool {
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
            if age > OLD {
                instance.suspects.note_old(call);
                return true;
            }
            let aged = frame::aged(suspect, now);
            instance
                .suspects
                .merge(&aged, "store", suspects::now(instance));
        }
        Err(error) => {
            log::error!(key = record.key.as_str(), error:% = error; "the record of a held call cannot be read");
        }
    }
    true
}

/// Writes what this instance saw of calls that end engines, and forgets those whose time is over, until the process ends.
pub(crate) async fn run(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    loop {
        sleep(LOOK).await;
        instance.suspects.expire(suspects::now(&instance));
        if instance
            .peers
            .borrow()
            .before(instance.order(), instance.now())
            == 0
        {
            delete_old(&instance, &mut store).await;
        }
        for (call, entry) in instance.suspects.unwritten() {
            let value = value(call, &entry, &instance);
            match store
                .append(INSTANCES_TOPIC, &key(call), &value, None)
                .await
            {
                Ok(_) => {
                    instance.suspects.written(call, &entry);
                    log::info!(fingerprint = text(call), ended = entry.uncleared_crashes(); "the store knows of a call that ends engines");
                }
                Err(trouble) => {
                    log::info!(fingerprint = text(call), trouble:% = trouble; "a held call could not be written yet");
                    break;
                }
            }
        }
    }
}

/// Deletes records of calls that nobody holds any more, unless the call is known by now.
async fn delete_old(instance: &Instance, store: &mut Store) {
    while let Some(call) = instance.suspects.take_old() {
        if instance.suspects.get(call).is_some() {
            continue;
        }
        match store.append(INSTANCES_TOPIC, &key(call), &[], None).await {
            Ok(_) => {
                log::info!(fingerprint = text(call); "an old record of a held call is deleted");
            }
            Err(trouble) => {
                log::info!(fingerprint = text(call), trouble:% = trouble; "an old record could not be deleted yet");
                instance.suspects.note_old(call);
                return;
            }
        }
    }
}

/// Claims the trial of a held call for this instance. Says whether it may send the call.
///
/// Instances that tried it each by itself would end as many engines as there are of them. The claim is an append that the store
/// carries out only if nobody has written since this instance read, so that of two claims one fails. Without the store
/// nobody tries.
pub(crate) async fn claim(instance: &Instance, asked: &Request) -> bool {
    match timeout(CLAIM, claim_at_store(instance, asked.fingerprint())).await {
        Ok(Ok(is_claimed)) => is_claimed,
        Ok(Err(trouble)) => {
            log::info!(id = asked.call.id.as_str(), trouble:% = trouble; "no trial of a held call without the store");
            false
        }
        Err(_) => {
            log::info!(id = asked.call.id.as_str(); "no trial of a held call, the store takes too long");
            false
        }
    }
}

async fn claim_at_store(instance: &Instance, call: Fingerprint) -> Result<bool, StoreError> {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let newest = store.newest(INSTANCES_TOPIC).await?;
    for record in &newest.records {
        take(instance, record);
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
            instance.suspects.begun_trial(call, &entry, now);
            Ok(true)
        }
        Err(StoreError::EndMismatch(_)) => Ok(false),
        Err(trouble) => Err(trouble),
    }
}
