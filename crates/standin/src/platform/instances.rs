//! The instance list without I/O: a history of versions, of which readers get the one that was
//! current one lag ago. Time is passed in.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::log::Moment;

/// Id of an instance.
pub type Id = String;

/// Kind of an instance.
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

/// Whether an instance is about to be removed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    #[default]
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique id.
    pub id: Id,
    /// Kind of instance.
    pub kind: Kind,
    /// Pool; empty for a `tarragon-entry`.
    #[serde(default)]
    pub pool: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Address on which it listens.
    pub address: String,
    /// Whether it is about to be removed.
    #[serde(default)]
    pub state: State,
}

/// One version of the instance list.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct ListVersion {
    /// Version number; each change adds one.
    pub version: u64,
    /// All instances, sorted by id.
    pub instances: Vec<Instance>,
}

/// The instance list with the versions that lagging readers may still get.
#[derive(Debug)]
pub struct List {
    current: BTreeMap<Id, Instance>,
    history: VecDeque<(Moment, ListVersion)>,
    frozen: Option<ListVersion>,
}

/// Versions kept for lagging readers.
const MAX_VERSIONS: usize = 4096;

impl List {
    /// Creates an empty list, version 0.
    pub fn new() -> Self {
        Self {
            current: BTreeMap::new(),
            history: VecDeque::from([(Moment::ZERO, ListVersion::default())]),
            frozen: None,
        }
    }

    /// Adds or replaces an instance.
    pub fn register(&mut self, now: Moment, instance: Instance) {
        self.current.insert(instance.id.clone(), instance);
        self.commit(now);
    }

    /// Marks an instance as leaving; returns false if it is unknown.
    pub fn leave(&mut self, now: Moment, id: &str) -> bool {
        let Some(instance) = self.current.get_mut(id) else {
            return false;
        };
        instance.state = State::Leaving;
        self.commit(now);
        true
    }

    /// Removes an instance; returns false if it is unknown.
    pub fn remove(&mut self, now: Moment, id: &str) -> bool {
        let known = self.current.remove(id).is_some();
        if known {
            self.commit(now);
        }
        known
    }

    /// Returns the version that was current `lag` ago. While `freeze` is set, returns the version
    /// that the first read with `freeze` got.
    pub fn lagged(&mut self, now: Moment, lag: Duration, freeze: bool) -> ListVersion {
        if !freeze {
            self.frozen = None;
        } else if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let read_at = now.saturating_sub(lag);
        let visible = self.history.iter().rev().find(|(at, _)| *at <= read_at);
        let visible = visible
            .map(|(_, version)| version.clone())
            .unwrap_or_default();
        if freeze {
            self.frozen = Some(visible.clone());
        }
        visible
    }

    fn commit(&mut self, now: Moment) {
        let version = self.history.back().map_or(0, |(_, last)| last.version) + 1;
        let instances = self.current.values().cloned().collect();
        let next = ListVersion { version, instances };
        self.history.push_back((now, next));
        if self.history.len() > MAX_VERSIONS {
            self.history.pop_front();
        }
    }
}

impl Default for List {
    fn default() -> Self {
        Self::new()
    }
}
