//! Applies the records of engines, as read from the store or announced by another instance, and
//! announces engines that take no more calls.

use std::collections::HashMap;

use adapter::records;
use adapter::store::{KeyedRecord, Offset};
use clock::Moment;
use serving::engine::Engine;
use serving::registry::{Change, Registry};
use serving::{Fleet, Record, State, hash};

use crate::instance::Instance;
use crate::metrics::EngineSource;
use crate::peers::{Departure, Topic};
use crate::store_reader::{announce, to_news};

pub(crate) fn apply_batch(instance: &Instance, registry: &mut Registry, records: &[KeyedRecord]) {
    for record in records {
        match apply_engine(instance, registry, record, EngineSource::Log) {
            // Announced once it is believed.
            Change::None | Change::Doubted => {}
            Change::Put | Change::Removed => announce(instance, Topic::Engines, record),
        }
    }
}

/// Records that the store answered at `read`, as seen by this instance itself or as announced, and
/// where the log of engine records ended then, if that is known.
pub(crate) fn on_store_answered(
    registry: &mut Registry,
    end: Option<Offset>,
    read: Moment,
    source: &str,
) {
    let silence = match end {
        Some(end) => registry.store_read(end, read),
        None => registry.store_answered(read),
    };
    if let Some(silence) = silence {
        log::info!(
            silence_ms:% = silence.duration.as_millis(), engines_renewed = silence.engines_renewed, source = source;
            "the store was silent"
        );
    }
}

/// Applies all records, as read at once when the log ended at `end`, and announces the departures
/// among them: an instance reads all records after it has lost the store, and the others may have
/// lost it too. They learn of other changes by comparing states; after an outage many instances read
/// all records, and would send each other hundreds of them.
pub(crate) fn apply_snapshot(
    instance: &Instance,
    registry: &mut Registry,
    records: &[KeyedRecord],
    end: Offset,
) {
    let mut snapshot = instance.snapshot.borrow_mut();
    snapshot.clear_engines();
    for record in records {
        registry.is_newer(&record.key, record.offset);
        registry.advance_to(record.offset);
        snapshot.apply(to_news(Topic::Engines, record));
    }
    drop(snapshot);
    registry.read_all_up_to(end);
    let mut fleet = instance.fleet.borrow_mut();
    let engines: Vec<Record> = records
        .iter()
        .filter_map(|record| decode_engine(&mut fleet, registry, record))
        .collect();
    let count = engines.len();
    let changes = registry.replace(&mut fleet, engines, instance.now());
    drop(fleet);
    let is_first = !instance.engines_known.replace(true);
    instance.update_engine_scope();
    log::info!(engines = count, changes = changes.len(); "all engines read");
    if is_first {
        return;
    }
    let by_name: HashMap<&str, &KeyedRecord> = records
        .iter()
        .map(|record| (record.key.as_str(), record))
        .collect();
    for (name, change) in &changes {
        log_engine_change(instance, registry, name, *change, EngineSource::Snapshot, 0);
        match (change, by_name.get(&**name)) {
            (Change::Put, Some(record)) => announce_departure(instance, record),
            // Older than any record that the name gets after this read.
            (Change::Removed, _) => announce_removal(instance, name, end.saturating_sub(1)),
            _ => {}
        }
    }
}

/// Announces that an engine's record is gone.
pub(crate) fn announce_removal(instance: &Instance, name: &str, offset: Offset) {
    let deletion = KeyedRecord {
        offset,
        key: name.to_owned(),
        value: None,
    };
    announce_departure(instance, &deletion);
}

/// Logs and counts a changed record of an engine, with its offset if that is known.
fn log_engine_change(
    instance: &Instance,
    registry: &Registry,
    name: &str,
    change: Change,
    source: EngineSource,
    offset: Offset,
) {
    instance.metrics.engine_changed(source);
    // While all records are transferred, each would be a line.
    if instance.wants_engines.get() {
        return;
    }
    let fleet = instance.fleet.borrow();
    let engine = registry.incarnation(name).and_then(|id| fleet.get(id));
    match (change, engine) {
        (Change::Put, Some(Engine { record, .. })) => {
            log::info!(
                engine = name, state:? = record.state, stage:? = record.stage,
                born = record.started_ms.unwrap_or_default(), source:? = source, offset = offset;
                "engine changed"
            );
            if record.state == State::Draining {
                let leaves_ms = record.notice.map(|notice| notice.duration().as_millis());
                log::info!(engine = name, reclaimable = record.reclaimable, leaves_ms:? = leaves_ms; "engine leaves");
            }
        }
        _ => {
            log::info!(engine = name, change:? = change, source:? = source, offset = offset; "engine's record is gone");
        }
    }
}

/// Applies an engine's record.
pub(crate) fn apply_engine(
    instance: &Instance,
    registry: &mut Registry,
    record: &KeyedRecord,
    source: EngineSource,
) -> Change {
    if !registry.is_newer(&record.key, record.offset) {
        return Change::None;
    }
    instance
        .snapshot
        .borrow_mut()
        .apply(to_news(Topic::Engines, record));
    let mut fleet = instance.fleet.borrow_mut();
    if record.value.is_none() {
        let now = instance.now();
        let change = match source {
            EngineSource::Instance => registry.remove_announced(&mut fleet, &record.key, now),
            EngineSource::Log | EngineSource::Snapshot => {
                registry.remove(&mut fleet, &record.key, now)
            }
        };
        drop(fleet);
        if change != Change::None {
            registry.advance_to(record.offset);
            log_engine_change(
                instance,
                registry,
                &record.key,
                change,
                source,
                record.offset,
            );
        }
        return change;
    }
    let was_readable = !registry.is_unreadable(&record.key);
    let Some(engine) = decode_engine(&mut fleet, registry, record) else {
        if !was_readable {
            return Change::None;
        }
        registry.advance_to(record.offset);
        return Change::Removed;
    };
    let change = registry.put(&mut fleet, engine);
    drop(fleet);
    if change == Change::Put {
        registry.advance_to(record.offset);
        log_engine_change(
            instance,
            registry,
            &record.key,
            change,
            source,
            record.offset,
        );
    }
    change
}

/// Parses an engine's record. An invalid one is logged once, however often it is read.
fn decode_engine(
    fleet: &mut Fleet,
    registry: &mut Registry,
    record: &KeyedRecord,
) -> Option<Record> {
    let value = record.value.as_ref()?;
    match records::parse_engine(&record.key, value) {
        Ok(engine) => Some(engine),
        Err(error) => {
            if registry.mark_unreadable(fleet, &record.key) {
                log::error!(entry:? = record.key, error:% = error; "an entry names no engine");
            }
            None
        }
    }
}

/// What a record says of an engine that takes no more calls.
fn departure(record: &KeyedRecord) -> Option<Departure> {
    let Some(value) = &record.value else {
        return Some(Departure::Removed(to_news(Topic::Engines, record)));
    };
    let engine = records::parse_engine(&record.key, value).ok()?;
    let is_leaving = engine.state == State::Draining;
    is_leaving.then(|| Departure::Leaving(hash::hash32(&engine.id)))
}

/// Announces at once that an engine takes no more calls, if its record says so.
pub(crate) fn announce_departure(instance: &Instance, record: &KeyedRecord) {
    let Some(departure) = departure(record) else {
        return;
    };
    let now = instance.now();
    instance.peers.borrow_mut().queue_departure(departure, now);
    instance.departure_due.notify_one();
}
