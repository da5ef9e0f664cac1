//! Records of engines at an instance that does not hold all of them; [`serving::replication`] decides
//! which instances do.
//!
//! Placers send the records of the engines that they choose along with their answers. Such a record
//! is used by its call at once; for calls that no placer answers it is used only for a part of the
//! time within which a leaving engine must get no more requests, since this instance may miss that
//! the engine leaves.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use adapter::store::KeyedRecord;
use clock::Moment;
use serving::registry::Name;
use serving::{EngineId, placer};
use wire::gateway::{News, answer};

use crate::engine_records;
use crate::instance::Instance;
use crate::metrics::EngineSource;
use crate::peers::Topic;

/// Time for which an engine's record is kept after a placer last chose it, so that connections to it
/// can be reused.
const RETENTION: Duration = Duration::from_secs(30);

/// When placers last chose each engine, by name.
#[derive(Default)]
pub(crate) struct EngineCache(RefCell<HashMap<Name, Moment>>);

/// Applies the record of an engine that a placer chose, which arrived at `arrived`.
pub(crate) fn on_chosen(instance: &Instance, record: &KeyedRecord, arrived: Moment) {
    let mut registry = instance.registry.borrow_mut();
    engine_records::apply_engine(instance, &mut registry, record, EngineSource::Instance);
    let mut chosen = instance.engine_cache.0.borrow_mut();
    let at = chosen.entry(Name::from(record.key.as_str())).or_default();
    *at = arrived.max(*at);
}

/// Engines that no placer has chosen lately, which may have left since.
pub(crate) fn unconfirmed(instance: &Instance) -> Vec<EngineId> {
    if !instance.is_caching.get() {
        return Vec::new();
    }
    let now = instance.now();
    let drain = instance.settings.borrow().bounds.drain;
    let chosen = instance.engine_cache.0.borrow();
    let is_usable = |name: &Name| {
        let at = chosen.get(name);
        at.is_some_and(|at| placer::is_current(*at, drain, now))
    };
    let fleet = instance.fleet.borrow();
    let unusable = fleet.all().filter(|engine| !is_usable(&engine.record.name));
    unusable.map(|engine| engine.record.id.clone()).collect()
}

/// Forgets engines without calls that were not chosen lately, and all of these once an instance that
/// has read all records need not hold them any more.
pub(crate) fn sweep(instance: &Instance) {
    if instance.engines_known.get() {
        if !instance.may_drop_engines() {
            return;
        }
        instance.engines_known.set(false);
        instance.snapshot.borrow_mut().clear_engines();
        instance.update_engine_scope();
    }
    if !instance.is_caching.get() || instance.wants_engines.get() {
        return;
    }
    let now = instance.now();
    let mut chosen = instance.engine_cache.0.borrow_mut();
    chosen.retain(|_, at| now.saturating_sub(*at) < RETENTION);
    let mut fleet = instance.fleet.borrow_mut();
    let unused = fleet
        .all()
        .filter(|engine| !engine.has_own_calls() && !chosen.contains_key(&engine.record.name));
    let unused: Vec<Name> = unused.map(|engine| engine.record.name.clone()).collect();
    let mut registry = instance.registry.borrow_mut();
    for name in unused {
        registry.forget(&mut fleet, &name);
    }
}

/// Records of the engines of a placement, for an instance that may lack them.
pub(crate) fn records_of(instance: &Instance, choice: Option<&answer::Choice>) -> Vec<News> {
    let hashes = match choice {
        Some(answer::Choice::Direct(target)) => [target.engine, target.fetch, 0],
        Some(answer::Choice::Split(split)) => {
            let prefill = split.prefill.as_ref();
            [
                prefill.map_or(0, |target| target.engine),
                prefill.map_or(0, |target| target.fetch),
                split.reserved,
            ]
        }
        Some(answer::Choice::Refusal(_)) | None => return Vec::new(),
    };
    let fleet = instance.fleet.borrow();
    let snapshot = instance.snapshot.borrow();
    let names = hashes
        .into_iter()
        .filter(|hash| *hash != 0)
        .filter_map(|hash| {
            let id = fleet.by_hash(hash)?;
            Some(fleet.get(&id)?.record.name.clone())
        });
    names.filter_map(|name| snapshot.engine(&name)).collect()
}

/// Whether a record that another instance announces is of use here.
pub(crate) fn accepts(instance: &Instance, topic: Topic, record: &KeyedRecord) -> bool {
    let is_cached = || {
        let registry = instance.registry.borrow();
        registry.incarnation(&record.key).is_some()
    };
    topic != Topic::Engines
        || !instance.is_caching.get()
        || instance.wants_engines.get()
        || is_cached()
}
