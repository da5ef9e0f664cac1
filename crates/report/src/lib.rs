//! Service-level burn: counts of good and bad outcomes for each catalogue entry, and the rate at
//! which they consume the error budget. The `entry` crate records outcomes, `control` merges the
//! counters of all entries, and `tarragonctl report burn` shows the result; see `docs/BURN.md`.
//!
//! This crate reads no clock and does no I/O: callers pass wall-clock time as seconds since the
//! Unix epoch, and it only selects buckets.

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
