//! Types of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The kind of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A service that is not a model engine.
    Service,
}

/// Whether a listed instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// Shutting down; takes no new work.
    Leaving,
}

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id, stable across restarts.
    pub id: String,
    /// The kind of the instance.
    pub kind: Kind,
    /// Pool that it belongs to; empty for an entry.
    pub pool: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// HTTP address; for an entry the UDP address for its peers.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}

/// The instance list as read, possibly some seconds out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Increases with each change of the list.
    pub version: u64,
    /// Instances, sorted by id.
    pub instances: Vec<Instance>,
}

/// The data with which an instance registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Registration {
    /// Id, stable across restarts.
    pub id: String,
    /// The kind of the instance.
    pub kind: Kind,
    /// Pool that it belongs to; empty for an entry.
    pub pool: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Address at which others reach it.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
pub(crate) struct RawListing {
    version: u64,
    instances: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawInstance {
    id: String,
    kind: Kind,
    #[serde(default)]
    pool: String,
    #[serde(default)]
    data_centre: String,
    address: SocketAddr,
    state: State,
}

impl From<RawListing> for Listing {
    /// Skips instances that can't be parsed, for instance of a kind that a later version of the
    /// platform adds: one of them must not make the whole list unreadable.
    fn from(raw: RawListing) -> Self {
        let mut instances: Vec<Instance> = raw
            .instances
            .into_iter()
            .filter_map(parse_instance)
            .collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        instances.dedup_by(|a, b| a.id == b.id);
        Self {
            version: raw.version,
            instances,
        }
    }
}

fn parse_instance(value: serde_json::Value) -> Option<Instance> {
    match serde_json::from_value::<RawInstance>(value) {
        Ok(raw) => Some(Instance {
            id: raw.id,
            kind: raw.kind,
            pool: raw.pool,
            data_centre: raw.data_centre,
            address: raw.address,
            state: raw.state,
        }),
        Err(error) => {
            log::warn!(error:% = error; "a listed instance was left out");
            None
        }
    }
}
