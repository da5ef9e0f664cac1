//! Open-loop load for trials of tarragonswitch: it stands outside at the callers' end of the
//! pipeline, sends what a plan says whatever becomes of earlier requests, and judges every answer
//! by its content. See [`docs/OPERATORS.md`](../../../docs/OPERATORS.md), "Load for trials".

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
