//! Service-level burn: counts of good and bad outcomes for each catalogue entry, and how fast
//! they use up the error budget. The `entry` crate records outcomes, `control` merges the counters
//! of all entries, and `tarragonctl report burn` shows the result; see `docs/BURN.md`.
//!
//! Nothing here reads a clock or does I/O: wall-clock time comes in as seconds since the Unix
//! epoch and only names buckets.

mod bucket;
mod counters;
mod html;
mod objective;
mod plot;
mod report;
mod text;

pub use bucket::{Counts, Outcome};
pub use counters::Counters;
pub use objective::{InvalidObjective, Objective};
pub use report::{Line, Pair, Point, Report, Speed, Window};

/// Name of a catalogue entry.
pub type Entry = String;

/// Seconds since the Unix epoch.
pub type Epoch = u64;
