//! State of an upstream as supplied by the entry.

use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{load::Load, request::Model};

/// Instance id of an upstream.
pub type Id = Arc<str>;

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Runs prefill and decode in the same batches.
    #[default]
    Mixed,
    /// Runs prefill and exports the KV cache.
    Prefill,
    /// Runs decode, and prefill in small chunks where there is room.
    Decode,
}

impl Role {
    /// All roles, in the order of the variants.
    pub const ALL: [Self; 3] = [Self::Mixed, Self::Prefill, Self::Decode];
}

/// Health of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It responds.
    #[default]
    Up,
    /// It failed recently and is used only when nothing better is left.
    Suspect,
    /// It does not respond.
    Down,
}

/// An upstream as known from the instance list, the catalogue and the entry's connections.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Instance id.
    pub id: Id,
    /// One-way network latency from this entry.
    pub one_way_latency: Duration,
    /// Current role; [`Role::Mixed`] for plain services.
    pub role: Role,
    /// Loaded models; an empty list accepts any model (plain services).
    pub models: SmallVec<[Model; 4]>,
    /// Whether new work may be sent; false while it drains, leaves, or carries out an order.
    pub open: bool,
    /// Health.
    pub health: Health,
    /// Time since which it has been up; the start of its slow start.
    pub up_since: Moment,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Time at which the report was accurate, on this entry's clock: its arrival less the age that
    /// it states.
    pub at: Moment,
    /// Outstanding work of all entries at that time.
    pub load: Load,
    /// Requests among these that the engine has not started.
    pub waiting: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub kv_used: f64,
    /// Prompt tokens per second that the engine processes in its role when idle otherwise; 0 if
    /// not reported.
    pub prefill_rate: f64,
    /// Requests that it runs concurrently in its role; 0 if not reported.
    pub decode_slots: u32,
    /// Whether the engine itself refuses new work.
    pub draining: bool,
}
