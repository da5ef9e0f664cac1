//! Open-loop load generator for tarragonswitch: sends requests through the callers' end of the
//! system at the times that a plan gives, independent of earlier answers, and verifies the content
//! of every answer. See [`docs/OPERATORS.md`](../../../docs/OPERATORS.md), "Load for trials".

pub mod admin;
pub mod answer;
pub mod args;
pub mod arrival;
pub mod attempt;
pub mod audit;
pub mod bench;
pub mod caller;
pub mod command;
pub mod compare;
pub mod engine_monitor;
pub mod error;
pub mod event;
pub mod experiment;
pub mod finding;
pub mod plan;
pub mod plot;
pub mod process;
pub mod request;
pub mod run;
pub mod summary;
pub mod swing;
pub mod tally;
pub mod target;
pub mod verdict;
pub mod worker;
