//! `tarragonctl`, the command-line tool for operators. It uses the administration API of any entry
//! and keeps no state; see [`docs/OPERATORS.md`](../../../docs/OPERATORS.md), "tarragonctl".

pub mod args;
pub mod burn;
pub mod client;
pub mod command;
pub mod difference;
pub mod drain;
pub mod edit;
pub mod entities;
pub mod failure;
pub mod keys;
pub mod order;
pub mod output;
pub mod text;
