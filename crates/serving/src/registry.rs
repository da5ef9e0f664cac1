//! Which engines are registered, from records that come, change and lapse.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, Record, State};
use crate::watch::TopicState;
use crate::{EngineId, Fleet, hash};

/// Silence of the store after which lapsed records are doubted.
const OUTAGE_SILENCE: Duration = Duration::from_millis(1_200);
/// Time after the store's return within which engines that live are back.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Time after the store has come back from an older copy within which records there may be of before: engines renew theirs
/// within it, and those of engines that have ended lapse.
const ROLLBACK_GRACE: Duration = Duration::from_secs(5);
/// Time for which it is remembered that an engine's record is gone. A copy is some seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Takes records over into the fleet.
///
/// While the store is away, engines cannot renew their records, and all of them may lapse. An
/// instance that believed this at the store's return would refuse every call for want of engines;
/// one would notice it by refusals on all instances in the second after an outage. So records that
/// lapse within two seconds of a return are doubted: their engines stay until the time is over.
/// Engines that had said that they are leaving are believed.
#[derive(Debug, Default)]
pub struct Registry {
    store_heard_at: Moment,
    doubt_until: Moment,
    doubted: BTreeMap<EngineId, Moment>,
    /// Digests of the records that stand, by name.
    digests: BTreeMap<Name, u64>,
    offsets: BTreeMap<Name, u64>,
    /// Offset of the newest record that changed something.
    upto: u64,
    /// The last incarnation of each name, also once its record is gone.
    incarnations: BTreeMap<Name, Incarnation>,
    /// Names whose records cannot be read.
    unreadable: BTreeSet<Name>,
    /// Engines whose records are gone, and since when.
    removed: BTreeMap<EngineId, Moment>,
    /// Until when records may be of before what is known, since the store came back from an older copy.
    stale_until: Moment,
}

/// Name of an engine on the platform.
type Name = Rc<str>;

/// One start of an engine.
#[derive(Clone, Debug)]
struct Incarnation {
    id: EngineId,
    started_ms: Option<u64>,
}

/// What a change of the registry was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// A record came or changed.
    Put,
    /// A record is gone.
    Removed,
    /// A record lapsed and its engine stays for a while.
    Doubted,
}

impl Registry {
    /// Notes that the store answered this instance, or a peer that announces it.
    pub fn store_answered(&mut self, now: Moment) {
        if now <= self.store_heard_at {
            return;
        }
        if now.saturating_sub(self.store_heard_at) > OUTAGE_SILENCE
            && !self.store_heard_at.is_zero()
        {
            self.doubt_until = now + RECOVERY_GRACE;
        }
        self.store_heard_at = now;
    }

    /// Takes in that the store has come back from an older copy.
    ///
    /// What engines said since that copy was made is gone until they say it again: one that leaves stands there as ready, one that has
    /// ended is back, and one that has just started is missing. An instance that believed the copy would send calls to the
    /// first two and none to the third; one would notice it by calls at engines that had said they leave.
    pub fn store_rolled_back(&mut self, now: Moment) {
        self.doubt_until = now + RECOVERY_GRACE;
        self.stale_until = now + ROLLBACK_GRACE;
    }

    /// Whether a record may be of before what is known.
    fn may_be_stale(&self) -> bool {
        self.store_heard_at < self.stale_until
    }

    /// Whether news of a key are newer than what is known. The same record comes from the store
    /// and from several instances, in any order.
    pub fn is_newer(&mut self, name: &str, offset: u64) -> bool {
        match self.offsets.get_mut(name) {
            Some(known) if *known >= offset => false,
            Some(known) => {
                *known = offset;
                true
            }
            None => {
                self.offsets.insert(Name::from(name), offset);
                true
            }
        }
    }

    /// How far the records are known. Two instances share the digest if they know the same ones.
    pub fn topic_state(&self) -> TopicState {
        let records = self.digests.values();
        TopicState {
            upto: self.upto,
            digest: records.fold(0, |digest, record| digest ^ record),
        }
    }

    /// Takes in that the record at an offset changed something, or that all up to there have been read.
    pub fn advance_to(&mut self, offset: u64) {
        self.upto = self.upto.max(offset);
    }

    /// Takes in a record.
    ///
    /// An engine may start again under its name. It holds and runs nothing then, while all that was said of the start
    /// before would still count: handles and parts that are not there, calls that nobody runs, a health of its
    /// own. One notices it by calls to a new engine that wait for work which nobody does. So the start before is another engine,
    /// which is gone, and a record of it that comes late changes nothing.
    pub fn put(&mut self, fleet: &mut Fleet, mut record: Record) -> Change {
        self.unreadable.remove(&record.name);
        if self.may_be_stale() {
            if self.removed.contains_key(&record.id) {
                return Change::None;
            }
            let is_leaving = |engine: &Engine| engine.record.state == State::Draining;
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
        }
        let incarnation = Incarnation {
            id: record.id.clone(),
            started_ms: record.started_ms,
        };
        self.incarnations.insert(record.name.clone(), incarnation);
        self.digests.insert(record.name.clone(), digest(&record));
        self.doubted.remove(&record.id);
        if fleet.put(record) {
            Change::Put
        } else {
            Change::None
        }
    }

    /// Takes in that a record is gone.
    pub fn remove(&mut self, fleet: &mut Fleet, name: &str, now: Moment) -> Change {
        self.digests.remove(name);
        self.unreadable.remove(name);
        let Some(id) = self
            .incarnations
            .get(name)
            .map(|incarnation| incarnation.id.clone())
        else {
            return Change::None;
        };
        let id = &*id;
        let is_leaving = fleet
            .get(id)
            .is_some_and(|engine| engine.record.state == State::Draining);
        if now < self.doubt_until && !is_leaving && fleet.get(id).is_some() {
            self.doubted
                .entry(EngineId::from(id))
                .or_insert(self.doubt_until);
            return Change::Doubted;
        }
        if fleet.remove(id) {
            self.removed.insert(EngineId::from(id), now);
            Change::Removed
        } else {
            Change::None
        }
    }

    /// Takes in that an entry names no engine. Says whether this is new.
    ///
    /// What it overwrote may be the record of an engine that lives, and that writes it again within seconds; until then
    /// nobody says that it is still there.
    pub fn mark_unreadable(&mut self, fleet: &mut Fleet, name: &str) -> bool {
        self.digests.remove(name);
        if let Some(known) = self.incarnations.get(name) {
            self.doubted.remove(&known.id);
            fleet.remove(&known.id);
        }
        self.unreadable.insert(Name::from(name))
    }

    /// Whether the newest entry of a name names no engine.
    pub fn is_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains(name)
    }

    /// Takes in all records at once; what is missing is gone.
    pub fn replace(&mut self, fleet: &mut Fleet, records: Vec<Record>, now: Moment) -> usize {
        let listed: BTreeSet<Name> = records.iter().map(|record| record.name.clone()).collect();
        let mut changes = 0;
        for record in records {
            changes += usize::from(self.put(fleet, record) != Change::None);
        }
        let unreadable = &self.unreadable;
        self.offsets
            .retain(|name, _| listed.contains(name) || unreadable.contains(name));
        for name in fleet.names() {
            if !listed.contains(&name) {
                changes += usize::from(self.remove(fleet, &name, now) != Change::None);
            }
        }
        // What is remembered of names that are gone guards against records that come late, and must not grow for ever.
        self.incarnations.retain(|name, incarnation| {
            listed.contains(name) || fleet.get(&incarnation.id).is_some()
        });
        changes
    }

    /// Removes engines whose time of doubt is over. Gives their ids.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<EngineId> {
        self.removed
            .retain(|_, since| now.saturating_sub(*since) < REMOVED_RETENTION);
        let expired: Vec<EngineId> = self
            .doubted
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.doubted.remove(id);
            fleet.remove(id);
        }
        expired
    }
}

fn digest(record: &Record) -> u64 {
    hash::hash64(&format!(
        "{} {} {} {:?} {:?}",
        record.id, record.service, record.address, record.state, record.stage
    ))
}
