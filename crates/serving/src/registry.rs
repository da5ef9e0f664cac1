//! Which engines are registered, from records that come, change and lapse.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use crate::engine::{Record, State};
use crate::{EngineId, Fleet, hash};

/// Silence of the store after which lapsed records are doubted.
const OUTAGE: Duration = Duration::from_millis(1_200);
/// Time after the store's return within which engines that live are back.
const RETURN: Duration = Duration::from_millis(2_200);

/// Takes records over into the fleet.
///
/// While the store is away, engines cannot renew their records, and all of them may lapse. An
/// instance that believed this at the store's return would refuse every call for want of engines;
/// one would notice it by refusals on all instances in the second after an outage. So records that
/// lapse within two seconds of a return are doubted: their engines stay until the time is over.
/// Engines that had said that they are leaving are believed.
#[derive(Debug, Default)]
pub struct Registry {
    heard: Moment,
    doubt_until: Moment,
    doubted: BTreeMap<EngineId, Moment>,
    known: BTreeMap<EngineId, u64>,
    offsets: BTreeMap<EngineId, u64>,
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
    /// Takes in that the store answered this instance, or another one that tells of it.
    pub fn heard(&mut self, now: Moment) {
        if now <= self.heard {
            return;
        }
        if now.saturating_sub(self.heard) > OUTAGE && !self.heard.is_zero() {
            self.doubt_until = now + RETURN;
        }
        self.heard = now;
    }

    /// Whether news of a key are newer than what is known. The same record comes from the store
    /// and from several instances, in any order.
    pub fn is_news(&mut self, id: &str, offset: u64) -> bool {
        match self.offsets.get_mut(id) {
            Some(known) if *known >= offset => false,
            Some(known) => {
                *known = offset;
                true
            }
            None => {
                self.offsets.insert(EngineId::from(id), offset);
                true
            }
        }
    }

    /// A number that two instances share if they know the same records.
    pub fn digest(&self) -> u64 {
        self.known
            .values()
            .fold(0, |digest, record| digest ^ record)
    }

    /// Takes in a record.
    pub fn put(&mut self, fleet: &mut Fleet, record: Record) -> Change {
        self.known.insert(record.id.clone(), digest(&record));
        self.doubted.remove(&record.id);
        if fleet.put(record) {
            Change::Put
        } else {
            Change::None
        }
    }

    /// Takes in that a record is gone.
    pub fn remove(&mut self, fleet: &mut Fleet, id: &str, now: Moment) -> Change {
        self.known.remove(id);
        let leaving = fleet
            .get(id)
            .is_some_and(|engine| engine.record.state == State::Draining);
        if now < self.doubt_until && !leaving && fleet.get(id).is_some() {
            self.doubted
                .entry(EngineId::from(id))
                .or_insert(self.doubt_until);
            return Change::Doubted;
        }
        if fleet.remove(id) {
            Change::Removed
        } else {
            Change::None
        }
    }

    /// Takes in all records at once; what is missing is gone.
    pub fn replace(&mut self, fleet: &mut Fleet, records: Vec<Record>, now: Moment) -> usize {
        let listed: Vec<EngineId> = records.iter().map(|record| record.id.clone()).collect();
        let mut changes = 0;
        for record in records {
            changes += usize::from(self.put(fleet, record) != Change::None);
        }
        self.offsets.retain(|id, _| listed.contains(id));
        for id in fleet.ids() {
            if !listed.contains(&id) {
                changes += usize::from(self.remove(fleet, &id, now) != Change::None);
            }
        }
        changes
    }

    /// Removes engines whose time of doubt is over. Gives their ids.
    pub fn expire(&mut self, fleet: &mut Fleet, now: Moment) -> Vec<EngineId> {
        let over: Vec<EngineId> = self
            .doubted
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.doubted.remove(id);
            fleet.remove(id);
        }
        over
    }
}

fn digest(record: &Record) -> u64 {
    hash::number(&format!(
        "{} {} {} {:?} {:?}",
        record.id, record.service, record.address, record.state, record.stage
    ))
}
