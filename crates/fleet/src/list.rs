//! The platform's instance list, guarded against implausible readings.
//!
//! The list lags and its service has outages. [`View`] keeps the last plausible reading, so that a
//! frozen, empty or outdated one never removes an upstream or an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use crate::Id;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The platform's mark on an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Mark {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// One item of the list.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Instance {
    /// Unique name of the instance.
    pub id: Id,
    /// Kind of the instance.
    pub kind: Kind,
    /// Pool that it serves; empty for an entry.
    pub pool: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// `ip:port`; for an entry, its peer address (UDP).
    pub address: String,
    /// The platform's mark.
    pub mark: Mark,
}

/// One reading of the instance list.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Listing {
    /// Increases with each change of the list.
    pub version: u64,
    /// All instances that are not gone.
    pub instances: Vec<Instance>,
}

/// What became of a reading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// It replaced the view.
    Taken,
    /// The view already has this version.
    Same,
    /// Its version is lower than the view's: a lagging replica answered.
    Outdated,
    /// It is empty, or would remove more than half of the instances at once; the view is kept.
    Doubted,
}

/// Settings of the guard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// How long doubted or outdated readings must persist before one is accepted. An empty list is
    /// never accepted.
    pub accept_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            accept_after: Duration::from_secs(30),
        }
    }
}

/// The last plausible reading.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct View {
    settings: Settings,
    version: u64,
    instances: BTreeMap<Id, Instance>,
    read_at: Option<Moment>,
    rejected_since: Option<Moment>,
}

impl View {
    /// A view before its first reading.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            version: 0,
            instances: BTreeMap::new(),
            read_at: None,
            rejected_since: None,
        }
    }

    /// Applies a reading of the list if it is plausible.
    ///
    /// Without the guard, a list service that restarts empty after an outage would make every
    /// upstream look gone, and all callers would be refused while all engines run.
    pub fn read(&mut self, now: Moment, listing: Listing) -> ReadOutcome {
        let outcome = self.classify(&listing);
        if matches!(outcome, ReadOutcome::Outdated | ReadOutcome::Doubted) {
            let since = *self.rejected_since.get_or_insert(now);
            let accepted =
                !listing.instances.is_empty() && now >= since + self.settings.accept_after;
            if !accepted {
                return outcome;
            }
        }
        self.rejected_since = None;
        self.read_at = Some(now);
        if outcome == ReadOutcome::Same {
            return ReadOutcome::Same;
        }
        self.version = listing.version;
        self.instances = listing
            .instances
            .into_iter()
            .map(|instance| (instance.id.clone(), instance))
            .collect();
        ReadOutcome::Taken
    }

    /// Version of the accepted reading.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a reading was last accepted; [`None`] before the first. Operators see its age, which
    /// reveals a frozen list.
    pub fn read_at(&self) -> Option<Moment> {
        self.read_at
    }

    /// The instance with this id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// All instances, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    fn classify(&self, listing: &Listing) -> ReadOutcome {
        if listing.instances.is_empty() {
            return ReadOutcome::Doubted;
        }
        if listing.version < self.version {
            return ReadOutcome::Outdated;
        }
        if listing.version == self.version && self.read_at.is_some() {
            return ReadOutcome::Same;
        }
        let kept = listing
            .instances
            .iter()
            .filter(|instance| self.instances.contains_key(&instance.id))
            .count();
        if kept * 2 < self.instances.len() {
            return ReadOutcome::Doubted;
        }
        ReadOutcome::Taken
    }
}

impl Default for View {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}
