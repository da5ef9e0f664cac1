//! The catalogue: owners, pools, models, entries and drains, folded from the edits in the
//! platform's log. The log reader of `control` feeds it; the data plane looks up entries and
//! owners in it, and the planner reads the pools. Whether an edit is accepted is a pure function
//! of the state, the offset and the edit, so that all processes arrive at the same catalogue; see
//! `docs/design/catalogue.md`.

mod document;
mod drain;
mod entity;
mod entry;
mod fields;
mod finding;
mod index;
mod owner;
mod pool;
mod rules;
mod serving;
mod snapshot;
mod state;
mod table;
mod verdict;

pub use document::{Change, Document};
pub use drain::Drain;
pub use entity::{Entity, Key, Kind};
pub use entry::{Class, Contract, Entry, Method, Outage, Target};
pub use finding::{Finding, Findings};
pub use owner::{Limits, Owner};
pub use pool::{Choice, Model, Planner, Pool, PoolKind, Role, RoleChange, RoleRange};
pub use rules::{RawEntity, RuleSet, Rules};
pub use serving::{PathMatch, digest};
pub use snapshot::{SnapshotError, seal, verify};
pub use state::{Applied, Frozen, State, check};
pub use table::{Slot, View};
pub use verdict::{Conflict, DecidedEdit, Refusal, Verdict};

/// Offset of a record in the platform's log. Offsets start at 1; 0 means "none yet".
pub type Offset = u64;
/// Revision of the catalogue: the offset of the newest accepted edit.
pub type Revision = Offset;
/// Version of the acceptance rules.
pub type Version = u32;
