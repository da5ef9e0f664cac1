//! Status of an entry for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Offset;
use crate::view::Reason;

/// Status of the control of an entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Status {
    /// Instance id.
    pub instance: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Uptime of the process in seconds.
    pub up_s: u64,
    /// Listen address of the mesh; empty without a mesh.
    pub peer_address: String,
    /// Whether the entry takes new work.
    pub ready: bool,
    /// Reasons for refusing new work or for a catalogue that is not updated.
    pub reasons: Vec<Reason>,
    /// The log.
    pub log: Log,
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The instance list.
    pub instances: Instances,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Other entries.
    pub peers: Vec<Peer>,
    /// Control of the pools.
    pub scopes: Vec<Scope>,
    /// Unresolved orders.
    pub orders: Vec<Order>,
    /// Number of times an engine was not in the state of its last order, since the start.
    pub mismatches: u64,
    /// Closings in force: unresolved orders and operators' drains.
    pub drains: Vec<Drain>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Traffic between entries by kind of message.
    pub traffic: Vec<Traffic>,
    /// Totals of the mesh.
    pub udp: Udp,
}

/// State of the log as seen by this entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Log {
    /// Whether it is available.
    pub up: bool,
    /// Seconds since it last answered; 0 while it is up.
    pub down_s: u64,
    /// Highest folded offset.
    pub folded: Offset,
    /// Number of known records that are not folded.
    pub behind: u64,
    /// First retained offset.
    pub first: Offset,
    /// Last offset covered by the newest snapshot.
    pub snapshot: Offset,
    /// Snapshots of other entries that match the own state.
    pub snapshots_same: u64,
    /// Snapshots of other entries that differ from it.
    pub snapshots_different: u64,
    /// Appends since the start.
    pub appends: u64,
    /// Bytes appended since the start.
    pub appended_bytes: u64,
    /// Bytes read since the start.
    pub read_bytes: u64,
}

/// The catalogue in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Catalogue {
    /// Revision in force.
    pub revision: Offset,
    /// Version of the acceptance rules in force.
    pub rules: u32,
    /// Number of entities in force.
    pub entities: usize,
}

/// The instance list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Instances {
    /// Version of the reading in force.
    pub version: u64,
    /// Seconds since a reading was last accepted; `None` before the first.
    pub age_s: Option<u64>,
    /// Readings that were rejected.
    pub doubted: u64,
}

/// Claims of idempotency keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Claims {
    /// Claims in force of all entries.
    pub in_force: usize,
    /// Open calls of this entry.
    pub held: usize,
    /// Calls that may have run twice, because a caller sent two first attempts.
    pub contested: u64,
}

/// Another entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Peer {
    /// Instance id.
    pub id: String,
    /// Its state in the membership.
    pub state: String,
    /// Whether it receives the heartbeats of this entry.
    pub hearing: String,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
    /// Its highest folded offset.
    pub folded: Offset,
    /// Its revision in force.
    pub revision: Offset,
    /// Newest rules version that it supports.
    pub rules: u32,
    /// Smoothed round-trip time in microseconds; 0 without a connection.
    pub round_trip_us: u64,
}

/// Control of a pool.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Scope {
    /// The pool.
    pub scope: String,
    /// Instance id of the holder; empty if there is none.
    pub holder: String,
    /// Fencing token of the claim in force.
    pub fence: Offset,
    /// Whether the holder has released it.
    pub released: bool,
    /// Whether this entry holds it.
    pub own: bool,
    /// Remaining milliseconds of the lease of this entry; 0 if it may not act.
    pub lease_ms: u64,
}

/// An unresolved or recently concluded order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Order {
    /// Id of the order; 0 for a requested change that is not in the log yet.
    pub order: Offset,
    /// The pool.
    pub scope: String,
    /// The engine.
    pub upstream: String,
    /// The change.
    pub what: String,
    /// Instance id of the holder that carries it out.
    pub holder: String,
    /// Current step or verdict; `elsewhere` if another entry carries it out.
    pub step: String,
    /// What it waits for, why it was requested, or how it ended.
    pub waits: String,
}

/// A closing of an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Drain {
    /// Offset of the intent, or revision of the operator's drain.
    pub order: Offset,
    /// The upstream.
    pub upstream: String,
    /// Seconds since this entry learned of it.
    pub for_s: u64,
    /// Entries that have confirmed, with their numbers of open requests.
    pub confirmed: String,
    /// What the drain waits for; empty once the upstream is drained.
    pub waits: String,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Upstream {
    /// Instance id.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// State, which determines whether it gets new work.
    pub state: String,
    /// Role of an engine.
    pub role: String,
    /// Open requests of this entry at the upstream.
    pub open: u32,
    /// Its share of work relative to a healthy upstream, from 0 to 1.
    pub weight: f64,
    /// Age of its load report in milliseconds; `None` without a report.
    pub report_ms: Option<u64>,
}

/// Traffic of one kind of message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Traffic {
    /// Kind of message.
    pub kind: String,
    /// Messages sent.
    pub sent: u64,
    /// Bytes of these messages.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes of these messages.
    pub received_bytes: u64,
}

/// Totals of the mesh.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Udp {
    /// UDP payload sent.
    pub sent_bytes: u64,
    /// UDP payload received.
    pub received_bytes: u64,
    /// Frames that were not sent.
    pub unsent: u64,
    /// Received frames that were refused.
    pub refused: u64,
    /// Handshakes that failed.
    pub failed_handshakes: u64,
}

/// Unresolved and recent orders.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Orders {
    /// Unresolved orders and requested changes.
    pub unresolved: Vec<Order>,
    /// Recently concluded orders, newest first.
    pub recent: Vec<Order>,
}

/// An entity of the catalogue, as `GET /admin/v1/catalogue` lists it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Entity {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Revision of the edit that set it.
    pub revision: Offset,
    /// Operator of that edit.
    pub operator: String,
    /// Its fields.
    pub value: serde_json::Value,
}

/// The catalogue in force.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Entities {
    /// Revision in force.
    pub revision: Offset,
    /// All entities by kind and name.
    pub entities: Vec<Entity>,
}

/// Burn counters by instance.
pub type Burn = BTreeMap<String, Vec<wire::peer::Bucket>>;
