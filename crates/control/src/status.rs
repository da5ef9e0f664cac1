//! What operators are shown of one entry.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Offset;
use crate::view::Reason;

/// The state of the control of one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Status {
    /// Instance id.
    pub instance: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Seconds since the start of the process.
    pub up_s: u64,
    /// Address that the mesh listens on; empty without a mesh.
    pub peer_address: String,
    /// Whether new work may be taken.
    pub ready: bool,
    /// Why not, or what stands still.
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
    /// Engines that were found in another state than their orders left them in, since the start.
    pub mismatches: u64,
    /// Closings in force: unresolved orders and operators' drains.
    pub drains: Vec<Drain>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// What goes between entries, by kind of message.
    pub traffic: Vec<Traffic>,
    /// UDP payload of the mesh.
    pub udp: Udp,
}

/// The log as this entry sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Log {
    /// Whether it answers.
    pub up: bool,
    /// For how many seconds it has not.
    pub down_s: u64,
    /// Highest folded offset.
    pub folded: Offset,
    /// Records that are known to stand and are not folded.
    pub behind: u64,
    /// First retained offset.
    pub first: Offset,
    /// What the newest snapshot covers.
    pub snapshot: Offset,
    /// Snapshots of others that agree with the own fold.
    pub snapshots_same: u64,
    /// Snapshots of others that do not.
    pub snapshots_different: u64,
    /// Appends since the start.
    pub appends: u64,
    /// Their bytes.
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
    /// Entities in force.
    pub entities: usize,
}

/// The instance list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Instances {
    /// Version of the reading in force.
    pub version: u64,
    /// Seconds since a reading was last believed; `None` before the first.
    pub age_s: Option<u64>,
    /// Readings that were not believed.
    pub doubted: u64,
}

/// Claims of idempotency keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Claims {
    /// Claims in force, of all entries.
    pub in_force: usize,
    /// Calls of this entry that are not concluded.
    pub held: usize,
    /// Calls that may have run twice because a caller sent two first attempts.
    pub contested: u64,
}

/// Another entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Peer {
    /// Instance id.
    pub id: String,
    /// Its state as this entry sees it.
    pub state: String,
    /// Whether it hears this entry.
    pub hearing: String,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
    /// Highest offset that it has folded.
    pub folded: Offset,
    /// Revision that it has in force.
    pub revision: Offset,
    /// Rules version that it understands.
    pub rules: u32,
    /// Smoothed time there and back in microseconds; 0 without a connection.
    pub round_trip_us: u64,
}

/// Control of one pool.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Scope {
    /// The pool.
    pub scope: String,
    /// Who holds it; empty for nobody.
    pub holder: String,
    /// The claim in force.
    pub fence: Offset,
    /// Whether the holder gave it up.
    pub released: bool,
    /// Whether this entry holds it.
    pub own: bool,
    /// Milliseconds left of this entry's lease; 0 if it may not act.
    pub lease_ms: u64,
}

/// An unresolved or recently concluded order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Order {
    /// Its id; 0 for a change that is wanted and not yet in the log.
    pub order: Offset,
    /// The pool.
    pub scope: String,
    /// The engine.
    pub upstream: String,
    /// What the engine is to do.
    pub what: String,
    /// Who carries it out.
    pub holder: String,
    /// Where it stands; as far as this entry knows, if it does not carry it out.
    pub step: String,
    /// What it waits for.
    pub waits: String,
}

/// A closing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Drain {
    /// Offset of the intent, or revision of the operator's drain.
    pub order: Offset,
    /// The upstream.
    pub upstream: String,
    /// For how many seconds this entry has known of it.
    pub for_s: u64,
    /// Entries that confirmed, with what they have open.
    pub confirmed: String,
    /// What is waited for; empty once the upstream is drained.
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
    /// Why it gets new work or does not.
    pub state: String,
    /// Role of an engine.
    pub role: String,
    /// Requests of this entry that are open there.
    pub open: u32,
    /// Share of work during its slow start, from 0 to 1.
    pub weight: f64,
    /// Age of its load report in milliseconds; `None` without one.
    pub report_ms: Option<u64>,
}

/// Frames of one kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Traffic {
    /// Kind of message.
    pub kind: String,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
}

/// The mesh as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Udp {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Frames that were not sent.
    pub unsent: u64,
    /// Frames that were refused.
    pub refused: u64,
    /// Handshakes that failed.
    pub failed_handshakes: u64,
}

/// Orders as operators see them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Orders {
    /// Unresolved orders and wanted changes.
    pub unresolved: Vec<Order>,
    /// The newest concluded ones, newest first.
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
    /// The edit that put it there.
    pub revision: Offset,
    /// Who made that edit.
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
