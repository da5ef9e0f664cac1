//! Which software versions the engines of each service have had lately.
//!
//! The list of engines shows the versions of now. Whether a stream may have begun at another one depends on the
//! past, which an instance that has just started has not seen. So the versions of each service are recorded in
//! the platform's store when they change, and an instance believes the list of its start only if the record
//! agrees with it. Where that is missing it concludes nothing until all streams from before its start have
//! ended. See `docs/design/stream-versions.md`.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::ServiceName;
use crate::claim::Era;
use crate::origin::Software;
use crate::usage::UnixTime;

/// Time for which streams of a version that has gone may still be resumed. It covers clocks that differ by
/// some seconds, since the time of a change is recorded for other instances.
pub const RETENTION: Duration = Duration::from_secs(30);

/// Longest time since the list of engines was as new as the store's, and between two such moments. In a longer
/// one another version may have come, begun streams and gone.
const MAX_GAP: Duration = Duration::from_secs(2);
/// Time after the store was restored from a copy within which engines and instances have written again what the
/// copy lacks.
const RESTORE_GRACE: Duration = Duration::from_millis(2_200);
/// Interval between reads of the records that a gap makes necessary.
const RECORDS_INTERVAL: Duration = Duration::from_secs(1);

/// Software versions of a service's engines, in order.
pub type Versions = SmallVec<[Software; 2]>;

/// The versions of a service, as the store keeps them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The service.
    pub service: ServiceName,
    /// Its versions. At least one.
    pub versions: Versions,
    /// When the service came to have these; zero if it had none before.
    pub changed: UnixTime,
    /// The store's era in which this was written.
    pub era: Era,
}

#[derive(Clone, Debug)]
struct Service {
    /// Versions when engines were listed last.
    listed: Versions,
    changed: UnixTime,
    /// Until when streams of several versions may be resumed.
    several_until: Moment,
    /// Until when this instance cannot tell.
    unknown_until: Moment,
    /// Whether it could tell before the gap.
    was_known: bool,
    /// Whether it cannot tell because of a gap, and the store's records from after it do not name the service.
    lacks_record: bool,
    /// Whether streams may have begun of which the holders were told nothing.
    has_unannounced: bool,
}

/// The versions of all services, as far as this instance knows.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceName, Service>,
    /// What the store holds, as far as this instance has read or written it.
    recorded: HashMap<ServiceName, Record>,
    /// The store's era.
    era: Era,
    /// Whether no stream can have begun before this instance started.
    is_first: bool,
    has_listed_instances: bool,
    /// Whether the store has held records, of whatever era.
    has_found_records: bool,
    /// When engines were listed first.
    watching_since: Option<Moment>,
    /// Last moment at which the list of engines was as new as the store's.
    listed_as_of: Option<Moment>,
    /// Up to when the store's records were read last.
    recorded_as_of: Option<Moment>,
    /// End of a gap before which versions may have come and gone, until the store's records from after it are
    /// known.
    gap_end: Option<Moment>,
    /// When the records were last said to be due.
    records_requested: Option<Moment>,
    /// Until when the list of engines may lack what a restored store has lost.
    restored_until: Moment,
}

impl VersionHistory {
    /// The history at the start of an instance. `is_first` tells that the whole system starts for the first
    /// time.
    pub fn new(is_first: bool) -> Self {
        Self {
            is_first,
            ..Self::default()
        }
    }

    /// Applies the list of instances, when it is first read. If it names none and no record was beside it, this
    /// one is the first of all. Those that wrote the records may have left the list.
    pub fn on_instances_listed(&mut self, is_empty: bool, now: Moment) {
        let is_listed = std::mem::replace(&mut self.has_listed_instances, true);
        if is_listed || !is_empty || self.has_found_records {
            return;
        }
        self.is_first = true;
        for service in self.services.values_mut() {
            service.unknown_until = service.unknown_until.min(now);
        }
    }

    /// Applies what the store holds of a service, unless it was written in an earlier era. Such a record may
    /// come from the copy from which the store was restored, like the list of engines: both may lack the same
    /// versions, and agree with each other.
    pub fn on_record(&mut self, record: Record, now: Moment, unix: UnixTime) {
        self.has_found_records = true;
        if record.era < self.era {
            return;
        }
        // A record that was read before a gap says nothing of it.
        if self.gap_end.is_none()
            && let Some(known) = self.services.get_mut(&record.service)
        {
            known.apply(&record, now, unix);
        }
        self.recorded.insert(record.service.clone(), record);
    }

    /// Notes what the store holds of a service since this instance wrote it.
    pub fn on_recorded(&mut self, record: Record) {
        if record.era < self.era {
            return;
        }
        let known = self.services.get_mut(&record.service);
        if let Some(known) = known.filter(|known| known.lacks_record) {
            known.lacks_record = false;
            known.unknown_until = Moment::ZERO;
            self.end_gap();
        }
        self.recorded.insert(record.service.clone(), record);
    }

    /// Applies the store's era, to be called before records that were read in it. In a new one the records of
    /// earlier ones may be lost, and are to be written again; until then the list of engines may lack versions
    /// that have begun streams.
    pub fn on_store_era(&mut self, era: Era, now: Moment) {
        if era > self.era {
            self.era = era;
            self.recorded.retain(|_, record| record.era >= era);
            if !self.services.is_empty() {
                self.restored_until = now + RESTORE_GRACE;
            }
        }
    }

    /// Applies that the list of engines was as new as the store's at `as_of`. If that is long after the last
    /// such moment, other versions may have come and gone unseen, and nothing is concluded until the store's
    /// records from after it are known.
    pub fn on_list_current(&mut self, as_of: Moment, now: Moment) {
        let latest = self.listed_as_of.max(Some(as_of));
        let before = std::mem::replace(&mut self.listed_as_of, latest);
        // The first list is compared with records that were read before it.
        let before = before.or(self.recorded_as_of);
        if before.is_some_and(|before| as_of.saturating_sub(before) > MAX_GAP) {
            self.begin_gap(as_of, now);
        }
    }

    fn begin_gap(&mut self, end: Moment, now: Moment) {
        let is_first = self.gap_end.is_none();
        self.gap_end = self.gap_end.max(Some(end));
        self.records_requested = None;
        for service in self.services.values_mut() {
            if is_first {
                service.was_known = now >= service.unknown_until;
            }
            service.unknown_until = service.unknown_until.max(now + RETENTION);
            service.lacks_record = false;
        }
    }

    /// Whether nothing is concluded because of a gap, until the store's records from after it are known.
    pub fn has_gap(&self) -> bool {
        self.gap_end.is_some()
    }

    /// Whether the store's records are to be read now because of a gap, `delay` after its end.
    pub fn records_due(&mut self, delay: Duration, now: Moment) -> bool {
        let is_over = self.gap_end.is_some_and(|end| now >= end + delay);
        let is_requested = self
            .records_requested
            .is_some_and(|at| now.saturating_sub(at) < RECORDS_INTERVAL);
        if is_over && !is_requested {
            self.records_requested = Some(now);
            return true;
        }
        false
    }

    /// Applies that the store's records were read up to `as_of`, after [`Self::on_record`] for each of them.
    pub fn on_records_current(&mut self, as_of: Moment, now: Moment, unix: UnixTime) {
        self.recorded_as_of = self.recorded_as_of.max(Some(as_of));
        if self.gap_end.is_none_or(|end| as_of < end) {
            return;
        }
        for (name, known) in &mut self.services {
            match self.recorded.get(name) {
                Some(record) => known.apply(record, now, unix),
                // Nobody has written one in this era: whoever is to write records writes what it knew.
                None => known.lacks_record = known.was_known && now < known.unknown_until,
            }
        }
        self.end_gap();
    }

    fn end_gap(&mut self) {
        if self.services.values().all(|known| !known.lacks_record) {
            self.gap_end = None;
        }
    }

    /// Records that the store lacks, or holds with other versions. None of services of which this instance
    /// does not know how long they have had their versions: others may. If it knew until a gap, and nobody has
    /// written a record after that, it writes what it knew.
    pub fn unrecorded(&self, now: Moment) -> Vec<Record> {
        let is_restored = now >= self.restored_until;
        let may_record =
            |known: &Service| now >= known.unknown_until || (known.lacks_record && is_restored);
        let known = self.services.iter();
        let known = known.filter(|(_, known)| !known.listed.is_empty() && may_record(known));
        let differing = known.filter(|(service, known)| {
            let recorded = self.recorded.get(*service);
            recorded.is_none_or(|recorded| known.differs_from(recorded))
        });
        let records = differing.map(|(service, known)| Record {
            service: service.clone(),
            versions: known.listed.clone(),
            changed: known.changed,
            era: self.era,
        });
        records.collect()
    }

    /// Records the versions of a service's engines, in order, as they are listed now. Returns whether streams
    /// that began before need to be announced: the service was settled until now, and is no more.
    pub fn observe<'a>(
        &mut self,
        service: &ServiceName,
        listed: impl Iterator<Item = &'a Software>,
        now: Moment,
        unix: UnixTime,
    ) -> bool {
        let listed: Versions = listed.cloned().collect();
        if listed.is_empty() {
            return false;
        }
        match self.services.get_mut(service) {
            Some(known) => {
                if known.listed != listed {
                    known.listed = listed;
                    known.changed = unix;
                    known.several_until = now + RETENTION;
                } else if known.listed.len() > 1 {
                    known.several_until = now + RETENTION;
                }
            }
            None => {
                let known = self.first_listed(service, listed, now, unix);
                self.services.insert(service.clone(), known);
            }
        }
        self.take_unannounced(service, now)
    }

    /// Whether streams of a service are to be announced now, which has come to have several versions.
    fn take_unannounced(&mut self, service: &ServiceName, now: Moment) -> bool {
        let is_settled = self.is_settled(service, now);
        let Some(known) = self.services.get_mut(service) else {
            return false;
        };
        known.has_unannounced |= is_settled;
        now < known.several_until && std::mem::take(&mut known.has_unannounced)
    }

    /// Records that another instance sees several versions of a service. Returns the same as
    /// [`Self::observe`].
    pub fn on_several(&mut self, service: &ServiceName, now: Moment) -> bool {
        let is_settled = self.is_settled(service, now);
        let known = self.services.entry(service.clone());
        let known = known.or_insert_with(|| Service::new(Versions::new()));
        known.has_unannounced |= is_settled;
        known.several_until = now + RETENTION;
        self.take_unannounced(service, now)
    }

    /// Whether a service has several versions, or had until lately.
    pub fn has_several(&self, service: &ServiceName, now: Moment) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| now < known.several_until)
    }

    /// Whether all streams of a service that may be resumed began at the version that it has now.
    pub fn is_settled(&self, service: &ServiceName, now: Moment) -> bool {
        let known = self.services.get(service);
        known.is_none_or(|known| now >= known.several_until && now >= known.unknown_until)
    }

    /// The version at which all streams of a service began that may be resumed. None if the list of engines may
    /// be older than another version.
    pub fn sole(&self, service: &ServiceName, now: Moment) -> Option<&Software> {
        let is_old = |as_of: Moment| now.saturating_sub(as_of) > MAX_GAP;
        if now < self.restored_until || self.listed_as_of.is_some_and(is_old) {
            return None;
        }
        let known = self.services.get(service)?;
        known
            .listed
            .first()
            .filter(|_| self.is_settled(service, now))
    }

    fn first_listed(
        &mut self,
        service: &ServiceName,
        listed: Versions,
        now: Moment,
        unix: UnixTime,
    ) -> Service {
        let watching_since = *self.watching_since.get_or_insert(now);
        let mut known = Service::new(listed);
        if known.listed.len() > 1 {
            known.several_until = now + RETENTION;
        }
        // Neither the records nor that nobody came before this instance says anything of the gap.
        if self.gap_end.is_some() {
            known.changed = unix;
            known.unknown_until = now + RETENTION;
            return known;
        }
        if self.is_first {
            return known;
        }
        match self.recorded.get(service) {
            Some(record) => known.apply(record, now, unix),
            // A service whose engines come later had none before.
            None if now >= watching_since + RETENTION => {}
            None => {
                known.changed = unix;
                known.unknown_until = watching_since + RETENTION;
            }
        }
        known
    }
}

impl Service {
    fn new(listed: Versions) -> Self {
        Self {
            listed,
            changed: UnixTime::ZERO,
            several_until: Moment::ZERO,
            unknown_until: Moment::ZERO,
            was_known: false,
            lacks_record: false,
            has_unannounced: true,
        }
    }

    /// Whether a record names other versions, or misses that others came and went.
    fn differs_from(&self, record: &Record) -> bool {
        record.versions != self.listed || self.changed > record.changed + MAX_GAP
    }

    /// Compares the list of engines with the store's record from before.
    fn apply(&mut self, record: &Record, now: Moment, unix: UnixTime) {
        self.unknown_until = now;
        self.lacks_record = false;
        let is_unchanged = record.versions == self.listed;
        self.changed = if is_unchanged { record.changed } else { unix };
        if !self.changed.is_zero() {
            let elapsed = unix.saturating_sub(self.changed);
            let several_until = now + RETENTION.saturating_sub(elapsed);
            self.several_until = self.several_until.max(several_until);
        }
    }
}
