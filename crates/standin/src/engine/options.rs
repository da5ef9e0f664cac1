//! Command line of `standin-engine`. Durations are emulated time unless stated otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;

use super::batch::{Role, Settings};
use super::orders::Model;
use crate::http::Listen;

/// Emulates a model engine, for tests and measurements.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-engine", version)]
pub struct Options {
    /// Listener options.
    #[command(flatten)]
    pub listen: Listen,

    /// Engine name in the state.
    #[arg(long, default_value = "engine")]
    pub engine: String,

    /// Initial role.
    #[arg(long, value_enum, default_value_t = Role::Mixed)]
    pub role: Role,

    /// Initially loaded model, as NAME, NAME@VERSION or NAME@VERSION+ADAPTER; may be repeated.
    /// Without this option the engine accepts every model.
    #[arg(long = "model", value_parser = parse_model)]
    pub models: Vec<Model>,

    /// Emulated seconds per real second.
    #[arg(long, default_value_t = 1.0)]
    pub time_scale: f64,

    /// Respond at once, without batching, to measure the processes in front of the engine.
    #[arg(long)]
    pub instant: bool,

    /// Fixed microseconds of an iteration.
    #[arg(long, default_value_t = 8000)]
    pub base_us: u64,

    /// Microseconds per prefilled token.
    #[arg(long, default_value_t = 50)]
    pub prefill_token_us: u64,

    /// Microseconds per sequence that decodes in an iteration.
    #[arg(long, default_value_t = 100)]
    pub sequence_us: u64,

    /// Token budget of an iteration in role mixed, for prefill and decode together.
    #[arg(long, default_value_t = 512)]
    pub token_budget: u32,

    /// Maximum number of running sequences.
    #[arg(long, default_value_t = 64)]
    pub max_running: usize,

    /// Capacity of the KV memory, in tokens.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u32,

    /// Capacity of the prefix cache, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u32,

    /// Block size of the prefix cache, in tokens.
    #[arg(long, default_value_t = 16)]
    pub block_tokens: u32,

    /// Let waiting jobs preempt running ones of lower priority.
    #[arg(long)]
    pub preempt: bool,

    /// Lag of load reports, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub report_lag_ms: u64,

    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_delay_ms: u64,

    /// Fraction of cache events that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub event_gap: f64,

    /// Milliseconds that a role change takes.
    #[arg(long, default_value_t = 5000)]
    pub role_change_ms: u64,

    /// Milliseconds that loading or unloading a model takes, without the transfer of its weights.
    #[arg(long, default_value_t = 2000)]
    pub load_ms: u64,

    /// Address of the weight store from which model weights are fetched.
    #[arg(long)]
    pub weights: Option<SocketAddr>,

    /// Execute orders with an outdated fencing token too.
    #[arg(long)]
    pub ignore_fence: bool,

    /// Real milliseconds for which a finished stream can still be resumed.
    #[arg(long, default_value_t = 30_000)]
    pub keep_ms: u64,

    /// Bytes of KV cache per token.
    #[arg(long, default_value_t = 131_072)]
    pub kv_token_bytes: u64,

    /// Bandwidth of KV imports, in bytes per second.
    #[arg(long, default_value_t = 12_500_000_000)]
    pub kv_bandwidth: u64,

    /// Maximum number of events per write to a stream.
    #[arg(long, default_value_t = 64)]
    pub write_events: u32,

    /// Seed for faults given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Options {
    /// Returns the settings of the batch.
    pub fn settings(&self) -> Settings {
        Settings {
            iteration_base: Duration::from_micros(self.base_us),
            prefill_token: Duration::from_micros(self.prefill_token_us),
            decode_sequence: Duration::from_micros(self.sequence_us),
            token_budget: self.token_budget,
            max_running: self.max_running,
            kv_tokens: self.kv_tokens,
            cache_tokens: self.cache_tokens,
            block_tokens: self.block_tokens,
            preempt: self.preempt,
        }
    }
}

fn parse_model(text: &str) -> Result<Model, String> {
    let (text, adapter) = text.split_once('+').unwrap_or((text, ""));
    let (model, version) = text.split_once('@').unwrap_or((text, ""));
    if model.is_empty() {
        return Err("a model needs a name".to_owned());
    }
    Ok(Model {
        model: model.to_owned(),
        version: version.to_owned(),
        adapter: adapter.to_owned(),
    })
}
