//! Members of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// One of our own.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// About to go; takes no new work.
    Leaving,
}

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name that stays over restarts.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Pool that it belongs to; empty for an entry.
    pub pool: String,
    /// Where it stands.
    pub data_centre: String,
    /// HTTP address; for an entry the UDP address towards peers.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// The list as read, possibly some seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Grows with each change of the list.
    pub version: u64,
    /// Members, sorted by id.
    pub instances: Vec<Instance>,
}

/// What an entry tells the list about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Registration {
    /// Name that stays over restarts.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Pool that it belongs to; empty for an entry.
    pub pool: String,
    /// Where it stands.
    pub data_centre: String,
    /// Address under which it is reached.
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
    /// Leaves out members that can't be understood, for instance of a kind that a later version
    /// of the platform knows: one of them must not hide all others.
    fn from(raw: RawListing) -> Self {
        let mut instances: Vec<Instance> = raw.instances.into_iter().filter_map(instance).collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        instances.dedup_by(|a, b| a.id == b.id);
        Self {
            version: raw.version,
            instances,
        }
    }
}

fn instance(value: serde_json::Value) -> Option<Instance> {
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
