//! Summarises the logs of all gateway instances: how many calls of each route were on time, late
//! and why, refused or failed, by second, and the error of the forecasts. It works offline on the
//! log lines of the gateways ([`line`]); [`call`] groups the lines of a call, [`tally`] counts
//! calls, [`text`] and [`plot`] format the counts. See `docs/OPERATIONS.md`.

pub mod call;
pub mod line;
pub mod plot;
pub mod tally;
pub mod text;
