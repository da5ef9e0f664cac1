//! An account of a stretch of time from the logs of all gateway instances: how many calls of each route were on time,
//! late and why, refused or failed, by second, and how far forecasts were off. It stands behind the daemons and reads
//! what they write ([`line`]); [`call`] puts a call's lines together, [`tally`] counts, [`text`] and [`plot`] show.
//! See `docs/OPERATIONS.md`.

pub mod call;
pub mod line;
pub mod plot;
pub mod tally;
pub mod text;
