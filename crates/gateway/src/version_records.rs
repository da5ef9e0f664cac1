//! Records in the platform's store which software versions the engines of services have, for instances that
//! start after all others have ended. [`serving::version_history`] decides what they conclude from it.

use std::rc::Rc;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::{KeyedRecord, Store};
use clock::Moment;
use serving::hash;
use serving::origin::Software;
use serving::usage::UnixTime;
use serving::version_history::{Record, VersionHistory};
use tokio::time::sleep;
use wire::Message as _;
use wire::gateway::ServiceVersions;

/// Key prefix of the records. They lie beside the registered instances, which every starting instance reads
/// before it reads the engines.
const KEY_PREFIX: &str = "versions/";
/// Interval between checks for changes, and pause after a failed write. An engine that leaves serves for
/// longer, so that the list still shows what could not be written.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Applies a record of the store if it is about versions. Returns whether it is.
pub(crate) fn apply(
    history: &mut VersionHistory,
    record: &KeyedRecord,
    now: Moment,
    unix: UnixTime,
) -> bool {
    if !record.key.starts_with(KEY_PREFIX) {
        return false;
    }
    let Some(value) = &record.value else {
        return true;
    };
    match ServiceVersions::decode(&value[..]) {
        Ok(versions) => history.on_record(decode(versions), now, unix),
        Err(error) => {
            log::error!(key = record.key.as_str(), error:% = error; "the record of a service's versions cannot be read");
        }
    }
    true
}

/// Writes the records that `unrecorded` returns, until the process ends. `on_written` gets those that the store
/// has accepted.
pub(crate) async fn run(
    mut store: Store,
    unrecorded: impl Fn() -> Vec<Record>,
    on_written: impl Fn(Record),
) {
    loop {
        sleep(POLL_INTERVAL).await;
        let records = unrecorded();
        if records.is_empty() {
            continue;
        }
        let encoded: Vec<(String, Vec<u8>)> = records.iter().map(encode).collect();
        let entries = encoded
            .iter()
            .map(|(key, value)| (key.as_str(), &value[..]));
        match store.append_all(INSTANCES_TOPIC, entries).await {
            Ok(_) => {
                for record in records {
                    log::info!(service = &*record.service, versions:? = record.versions; "the store knows the software versions of a service");
                    on_written(record);
                }
            }
            Err(trouble) => {
                log::info!(services = records.len(), trouble:% = trouble; "software versions could not be written yet");
            }
        }
    }
}

/// Key and value of a record. Services have names of any length, keys do not.
fn encode(record: &Record) -> (String, Vec<u8>) {
    let key = format!("{KEY_PREFIX}{:016x}", hash::hash64(&record.service));
    let versions = ServiceVersions {
        service: record.service.to_string(),
        versions: record.versions.iter().map(ToString::to_string).collect(),
        changed_unix_ms: u64::try_from(record.changed.as_millis()).unwrap_or(u64::MAX),
        era: record.era,
    };
    (key, versions.encode_to_vec())
}

fn decode(versions: ServiceVersions) -> Record {
    let names = versions.versions.iter();
    Record {
        service: Rc::from(versions.service),
        versions: names.map(|name| Software::from(name.as_str())).collect(),
        changed: UnixTime::from_millis(versions.changed_unix_ms),
        era: versions.era,
    }
}
