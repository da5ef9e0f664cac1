//! An upstream as the entry shows it to the decisions.

use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{load::Load, request::Model};

/// Instance id of an upstream; cheap to clone.
pub type Id = Arc<str>;

/// What an engine does in its batches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Prefill and decode in the same batches.
    #[default]
    Mixed,
    /// Prefill; the KV cache is exported.
    Prefill,
    /// Decode; prefill in small chunks where there is room.
    Decode,
}

impl Role {
    /// All roles in their order.
    pub const ALL: [Self; 3] = [Self::Mixed, Self::Prefill, Self::Decode];
}

/// Whether an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    #[default]
    Up,
    /// It failed lately; it is used only when nothing better is left.
    Suspect,
    /// It does not answer.
    Down,
}

/// What the entry knows of an upstream from the instance list, the catalogue and its connections.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Instance id.
    pub id: Id,
    /// One-way network time from this entry.
    pub one_way_latency: Duration,
    /// Current role; [`Role::Mixed`] for plain services.
    pub role: Role,
    /// Loaded models; empty means that the upstream takes any (plain services).
    pub models: SmallVec<[Model; 4]>,
    /// False while it drains, leaves, or an order is in work: no new work goes there.
    pub open: bool,
    /// Whether it answers.
    pub health: Health,
    /// Moment since which it has been up; new upstreams get their full share only gradually.
    pub up_since: Moment,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Moment at which the report was true, on this entry's clock: the time of arrival less the age
    /// that the report states.
    pub at: Moment,
    /// Work of all entries at that moment.
    pub load: Load,
    /// Requests of these that the engine has not begun.
    pub waiting: u32,
    /// KV cache in use, 0 to 1.
    pub kv_used: f64,
    /// Prompt tokens a second that the engine processes in its role when it does nothing else; 0 if
    /// it does not tell.
    pub prefill_rate: f64,
    /// Requests that it runs at once in its role; 0 if it does not tell.
    pub decode_slots: u32,
    /// The engine itself takes no new work.
    pub draining: bool,
}
