//! Registered engines, from records that are written, change and lapse.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, Record, State};
use crate::log_growth::LogGrowth;
use crate::watch::TopicState;
use crate::{EngineId, Fleet, hash};

/// Silence of the store after which lapsed records are doubted.
const OUTAGE_SILENCE: Duration = Duration::from_millis(1_200);
/// Time after the store's return within which engines that are alive have registered again.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Time after the store was restored from an older copy during which its records may be outdated:
/// engines renew theirs within it, and those of engines that have ended lapse.
const ROLLBACK_GRACE: Duration = Duration::from_secs(5);
/// Time for which a removed record is remembered. A restored copy is some seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Applies records to the fleet.
///
/// While the store is away, engines cannot renew their records, and all of them may lapse. An
/// instance that believed this when the store returns would refuse every call for lack of engines
/// for a second after the outage. So lapses within two seconds of a return are doubted, and their
/// engines stay until that time is over. Engines that had announced that they leave are removed at
/// once, and so are all missing ones if the store was silent to instances only: if the others
/// renewed their records meanwhile, a missing one has left.
#[derive(Debug, Default)]
pub struct Registry {
    store_heard_at: Moment,
    growth: LogGrowth,
    doubt_until: Moment,
    doubted: BTreeMap<EngineId, Moment>,
    /// Digests of the current records, by name.
    digests: BTreeMap<Name, u64>,
    /// All of [`Self::digests`] combined.
    digest: u64,
    offsets: BTreeMap<Name, u64>,
    /// Position up to which all records have been read at once. Of a name that was not among them,
    /// older records are outdated.
    replaced_upto: u64,
    /// Offset of the newest record that changed something.
    upto: u64,
    /// The last incarnation of each name, also after its record is gone.
    incarnations: BTreeMap<Name, Incarnation>,
    /// Names whose newest entry cannot be read.
    unreadable: BTreeSet<Name>,
    /// Engines whose records are gone, and since when.
    removed: BTreeMap<EngineId, Moment>,
    /// Until when records may be outdated because the store was restored from an older copy.
    stale_until: Moment,
}

/// Name of an engine on the platform.
pub type Name = Rc<str>;

/// One start of an engine.
#[derive(Clone, Debug)]
struct Incarnation {
    id: EngineId,
    started_ms: Option<u64>,
}

/// A time in which no instance heard of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// How long it lasted.
    pub duration: Duration,
    /// Whether engines renewed their records meanwhile. If not, missing records are doubted.
    pub engines_renewed: bool,
}

/// An engine that did not come back while its absence was doubted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// Its name.
    pub name: Name,
    /// Position up to which its records are known.
    pub offset: Option<u64>,
}

/// The effect of a record on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No relevant change.
    None,
    /// An engine was added or changed.
    Put,
    /// An engine was removed.
    Removed,
    /// A record lapsed, but its engine stays for a while.
    Doubted,
}

impl Registry {
    /// Records that the store answered this instance, or another instance that says so. Returns
    /// the silence before, if it was long enough for records to lapse.
    pub fn store_answered(&mut self, now: Moment) -> Option<Silence> {
        self.on_answer(now, false)
    }

    /// As [`Registry::store_answered`], for an answer that shows that the log of engine records
    /// ended at the position `end`.
    pub fn store_read(&mut self, end: u64, now: Moment) -> Option<Silence> {
        let renewed = self.growth.was_steady(end, now);
        self.growth.observe(end, now);
        self.on_answer(now, renewed)
    }

    fn on_answer(&mut self, now: Moment, engines_renewed: bool) -> Option<Silence> {
        if now <= self.store_heard_at {
            return None;
        }
        let duration = now.saturating_sub(self.store_heard_at);
        let is_long = duration > OUTAGE_SILENCE && !self.store_heard_at.is_zero();
        if is_long && !engines_renewed {
            self.doubt_until = now + RECOVERY_GRACE;
        }
        self.store_heard_at = now;
        is_long.then_some(Silence {
            duration,
            engines_renewed,
        })
    }

    /// Records that the store was restored from an older copy.
    ///
    /// All that engines registered after that copy was made is missing until they register it
    /// again: an engine that leaves is listed as ready, one that has ended is listed again, and one
    /// that has just started is missing. An instance that believed the copy would send calls to the
    /// first two and none to the third.
    pub fn store_rolled_back(&mut self, now: Moment) {
        self.doubt_until = now + RECOVERY_GRACE;
        self.stale_until = now + ROLLBACK_GRACE;
    }

    /// Whether a record may be older than what is known.
    fn may_be_stale(&self) -> bool {
        self.store_heard_at < self.stale_until
    }

    /// Whether a record's offset is newer than the known one. The same record arrives from the
    /// store and from several instances, in any order.
    pub fn is_newer(&mut self, name: &str, offset: u64) -> bool {
        match self.offsets.get_mut(name) {
            Some(known) if *known >= offset => false,
            Some(known) => {
                *known = offset;
                true
            }
            None if offset < self.replaced_upto => false,
            None => {
                self.offsets.insert(Name::from(name), offset);
                true
            }
        }
    }

    /// Records that all records up to the position `end` have been read at once; those whose names
    /// are not among them are gone. To be followed by [`Registry::replace`].
    pub fn read_all_up_to(&mut self, end: u64) {
        self.replaced_upto = self.replaced_upto.max(end);
    }

    /// How far the records are known. Two instances that know the same records have the same
    /// digest.
    pub fn topic_state(&self) -> TopicState {
        TopicState {
            upto: self.upto,
            digest: self.digest,
        }
    }

    /// Number of engines with a record.
    pub fn count(&self) -> usize {
        self.digests.len()
    }

    /// Sets the digest of a name's current record; `None` if it has none.
    fn set_digest(&mut self, name: &str, digest: Option<u64>) {
        let before = match (digest, self.digests.get_mut(name)) {
            (Some(digest), Some(known)) => std::mem::replace(known, digest),
            (Some(digest), None) => self.digests.insert(Name::from(name), digest).unwrap_or(0),
            (None, _) => self.digests.remove(name).unwrap_or(0),
        };
        self.digest ^= before ^ digest.unwrap_or(0);
    }

    /// Drops all that is known of a name, as if its record had never been read.
    pub fn forget(&mut self, fleet: &mut Fleet, name: &str) {
        self.set_digest(name, None);
        self.offsets.remove(name);
        self.unreadable.remove(name);
        if let Some(known) = self.incarnations.remove(name) {
            self.doubted.remove(&known.id);
            fleet.remove(&known.id);
        }
    }

    /// Records that the record at an offset changed something, or that all records up to there have
    /// been read.
    pub fn advance_to(&mut self, offset: u64) {
        self.upto = self.upto.max(offset);
    }

    /// Applies a record.
    ///
    /// An engine that starts again under its name caches and runs nothing, so the parts, calls and
    /// health of its previous start must not count for it; otherwise calls to the new engine would
    /// wait for work that nobody does. The previous start is therefore a different engine, which is
    /// gone, and a late record of it is ignored.
    pub fn put(&mut self, fleet: &mut Fleet, mut record: Record) -> Change {
        self.unreadable.remove(&record.name);
        if self.may_be_stale() {
            if self.removed.contains_key(&record.id) {
                return Change::None;
            }
            let is_leaving = |engine: &Engine| engine.leaving;
            if fleet.get(&record.id).is_some_and(is_leaving) {
                record.state = State::Draining;
            }
        }
        if let Some(known) = self.incarnations.get(&record.name)
            && known.id != record.id
        {
            if known.started_ms > record.started_ms {
                return Change::None;
            }
            self.doubted.remove(&known.id);
            fleet.remove(&known.id);
            fleet.on_restart(known.id.clone(), &record);
        }
        let incarnation = Incarnation {
            id: record.id.clone(),
            started_ms: record.started_ms,
        };
        self.incarnations.insert(record.name.clone(), incarnation);
        self.set_digest(&record.name, Some(digest(&record)));
        self.doubted.remove(&record.id);
        if fleet.put(record) {
            Change::Put
        } else {
            Change::None
        }
    }

    /// Applies the removal of a record, as read from the store.
    pub fn remove(&mut self, fleet: &mut Fleet, name: &str, now: Moment) -> Change {
        let doubt_until = self.doubt_until;
        self.remove_or_doubt(fleet, name, doubt_until, now)
    }

    /// Applies the removal of a record that another instance read and does not doubt.
    pub fn remove_announced(&mut self, fleet: &mut Fleet, name: &str, now: Moment) -> Change {
        self.remove_or_doubt(fleet, name, Moment::ZERO, now)
    }

    fn remove_or_doubt(
        &mut self,
        fleet: &mut Fleet,
        name: &str,
        doubt_until: Moment,
        now: Moment,
    ) -> Change {
        self.set_digest(name, None);
        self.unreadable.remove(name);
        let Some(id) = self
            .incarnations
            .get(name)
            .map(|incarnation| incarnation.id.clone())
        else {
            return Change::None;
        };
        let id = &*id;
        let is_leaving = fleet.get(id).is_some_and(|engine| engine.leaving);
        if now < doubt_until && !is_leaving && fleet.get(id).is_some() {
            self.doubted
                .entry(EngineId::from(id))
                .or_insert(doubt_until);
            return Change::Doubted;
        }
        self.doubted.remove(id);
        if fleet.remove(id) {
            self.removed.insert(EngineId::from(id), now);
            Change::Removed
        } else {
            Change::None
        }
    }

    /// Records that the newest entry of a name cannot be read. Returns whether this is new.
    ///
    /// The entry may have overwritten the record of an engine that is alive and writes it again
    /// within seconds; until then nothing says that the engine still exists.
    pub fn mark_unreadable(&mut self, fleet: &mut Fleet, name: &str) -> bool {
        self.set_digest(name, None);
        if let Some(known) = self.incarnations.get(name) {
            self.doubted.remove(&known.id);
            fleet.remove(&known.id);
        }
        self.unreadable.insert(Name::from(name))
    }

    /// The last known incarnation of a name.
    pub fn incarnation(&self, name: &str) -> Option<&EngineId> {
        let incarnation = self.incarnations.get(name);
        incarnation.map(|incarnation| &incarnation.id)
    }

    /// Whether the newest entry of a name cannot be read.
    pub fn is_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains(name)
    }

    /// Replaces all records; engines that are not listed are removed. Returns what changed, by
    /// name.
    pub fn replace(
        &mut self,
        fleet: &mut Fleet,
        records: Vec<Record>,
        now: Moment,
    ) -> Vec<(Name, Change)> {
        let listed: BTreeSet<Name> = records.iter().map(|record| record.name.clone()).collect();
        let mut changes = Vec::new();
        for record in records {
            let name = record.name.clone();
            changes.push((name, self.put(fleet, record)));
        }
        let unreadable = &self.unreadable;
        self.offsets
            .retain(|name, _| listed.contains(name) || unreadable.contains(name));
        for name in fleet.names() {
            if !listed.contains(&name) {
                let change = self.remove(fleet, &name, now);
                if change == Change::Doubted {
                    let upto = self.replaced_upto.saturating_sub(1);
                    self.offsets.insert(name.clone(), upto);
                }
                changes.push((name, change));
            }
        }
        // Incarnations of removed names guard against late records, but must not accumulate for
        // ever.
        self.incarnations.retain(|name, incarnation| {
            listed.contains(name) || fleet.get(&incarnation.id).is_some()
        });
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Removes doubted engines whose time is over, and returns them.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<Expired> {
        self.removed
            .retain(|_, since| now.saturating_sub(*since) < REMOVED_RETENTION);
        let expired = self.doubted.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<EngineId> = expired.map(|(id, _)| id.clone()).collect();
        let mut removed = Vec::new();
        for id in expired {
            self.doubted.remove(&id);
            if let Some(engine) = fleet.get(&id) {
                let name = engine.record.name.clone();
                let offset = self.offsets.get(&name).copied();
                removed.push(Expired { name, offset });
            }
            fleet.remove(&id);
        }
        removed
    }
}

fn digest(record: &Record) -> u64 {
    hash::hash64(&format!(
        "{} {} {} {:?} {:?}",
        record.id, record.service, record.address, record.state, record.stage
    ))
}
