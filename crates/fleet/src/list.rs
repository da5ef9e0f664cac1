//! The platform's instance list, guarded against answers that would empty the fleet.
//!
//! The list lags and its service has outages. [`View`] keeps the last reading that could be
//! true, so that a frozen, empty or outdated answer never takes an upstream or an entry away.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use crate::Id;

/// What an instance is for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// One of our own.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// How the platform marks an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Mark {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Instance {
    /// Unique name of the instance.
    pub id: Id,
    /// What it is for.
    pub kind: Kind,
    /// Pool that it serves; empty for an entry.
    pub pool: String,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// `ip:port`; of an entry its peer address (UDP).
    pub address: String,
    /// How the platform marks it.
    pub mark: Mark,
}

/// One answer of the instance list.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Listing {
    /// Grows with each change of the list.
    pub version: u64,
    /// All instances that are not gone.
    pub instances: Vec<Instance>,
}

/// What became of a reading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// It is the view now.
    Taken,
    /// It is what the view holds already.
    Same,
    /// Its version is lower than the one known: a lagging copy of the list answered.
    Outdated,
    /// It is empty, or would take away more than half at once; the view stays as it was.
    Doubted,
}

/// Bounds of the guard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// For how long a doubted or outdated reading must be repeated until it is believed. An empty
    /// list is never believed.
    pub accept_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            accept_after: Duration::from_secs(30),
        }
    }
}

/// The last reading that could be true.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct View {
    settings: Settings,
    version: u64,
    instances: BTreeMap<Id, Instance>,
    read_at: Option<Moment>,
    doubted_since: Option<Moment>,
}

impl View {
    /// A view that has read nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            version: 0,
            instances: BTreeMap::new(),
            read_at: None,
            doubted_since: None,
        }
    }

    /// Takes an answer of the list in, if it can be true.
    ///
    /// Symptom without the guard: after an outage the list's service restarts empty, every
    /// upstream is taken for gone and all callers are refused while all engines run.
    pub fn read(&mut self, now: Moment, listing: Listing) -> ReadOutcome {
        let verdict = self.judge(&listing);
        if matches!(verdict, ReadOutcome::Outdated | ReadOutcome::Doubted) {
            let since = *self.doubted_since.get_or_insert(now);
            let believed =
                !listing.instances.is_empty() && now >= since + self.settings.accept_after;
            if !believed {
                return verdict;
            }
        }
        self.doubted_since = None;
        self.read_at = Some(now);
        if verdict == ReadOutcome::Same {
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

    /// Version of the reading that is in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a reading was last believed; [`None`] before the first. Operators see its age, which
    /// is how a frozen list is noticed.
    pub fn read_at(&self) -> Option<Moment> {
        self.read_at
    }

    /// The instance with this id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// All instances in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    fn judge(&self, listing: &Listing) -> ReadOutcome {
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
