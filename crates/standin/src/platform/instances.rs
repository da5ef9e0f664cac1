//! The instance list as pure state: a history of versions, of which readers see one that is old
//! by the lag. Time is passed in.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::log::Moment;

/// Name of an instance.
pub type Id = String;

/// What an instance is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A `tarragon-entry`.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is in use.
    #[default]
    Live,
    /// It will be removed.
    Leaving,
}

/// An instance of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub id: Id,
    /// What it is.
    pub kind: Kind,
    /// Its pool; empty for an entry.
    #[serde(default)]
    pub pool: String,
    /// Where it stands.
    pub data_centre: String,
    /// Where it listens.
    pub address: String,
    /// Whether it stays.
    #[serde(default)]
    pub state: State,
}

/// A version of the list.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct ListVersion {
    /// Grows by one with each change.
    pub version: u64,
    /// All instances by name.
    pub instances: Vec<Instance>,
}

/// The list with as much of its history as a reader may still see.
#[derive(Debug)]
pub struct List {
    present: BTreeMap<Id, Instance>,
    history: VecDeque<(Moment, ListVersion)>,
    frozen: Option<ListVersion>,
}

/// Versions that are kept for readers who lag.
const HISTORY: usize = 4096;

impl List {
    /// An empty list of version 0.
    pub fn new() -> Self {
        Self {
            present: BTreeMap::new(),
            history: VecDeque::from([(Moment::ZERO, ListVersion::default())]),
            frozen: None,
        }
    }

    /// Adds or replaces an instance.
    pub fn register(&mut self, now: Moment, instance: Instance) {
        self.present.insert(instance.id.clone(), instance);
        self.commit(now);
    }

    /// Marks an instance as leaving; false if it is unknown.
    pub fn leave(&mut self, now: Moment, id: &str) -> bool {
        let Some(instance) = self.present.get_mut(id) else {
            return false;
        };
        instance.state = State::Leaving;
        self.commit(now);
        true
    }

    /// Removes an instance; false if it is unknown.
    pub fn remove(&mut self, now: Moment, id: &str) -> bool {
        let known = self.present.remove(id).is_some();
        if known {
            self.commit(now);
        }
        known
    }

    /// What a reader sees with a given lag. While `freeze` holds it is what the first such reader
    /// saw.
    pub fn lagged(&mut self, now: Moment, lag: Duration, freeze: bool) -> ListVersion {
        if !freeze {
            self.frozen = None;
        } else if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let visible = now.saturating_sub(lag);
        let seen = self.history.iter().rev().find(|(at, _)| *at <= visible);
        let seen = seen.map(|(_, version)| version.clone()).unwrap_or_default();
        if freeze {
            self.frozen = Some(seen.clone());
        }
        seen
    }

    fn commit(&mut self, now: Moment) {
        let version = self.history.back().map_or(0, |(_, last)| last.version) + 1;
        let instances = self.present.values().cloned().collect();
        let next = ListVersion { version, instances };
        self.history.push_back((now, next));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}

impl Default for List {
    fn default() -> Self {
        Self::new()
    }
}
