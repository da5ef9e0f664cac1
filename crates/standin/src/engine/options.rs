//! Command line of `standin-engine`. All durations are emulated, unless said otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;

use super::batch::{Role, Settings};
use super::orders::Model;
use crate::http::Listen;

/// An emulated model engine, for trials and tests.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "standin-engine", version)]
pub struct Options {
    /// Where to listen.
    #[command(flatten)]
    pub listen: Listen,

    /// Name told in the state.
    #[arg(long, default_value = "engine")]
    pub engine: String,

    /// Role at the start.
    #[arg(long, value_enum, default_value_t = Role::Mixed)]
    pub role: Role,

    /// Model loaded at the start, as NAME, NAME@VERSION or NAME@VERSION+ADAPTER; may be repeated.
    /// Without any the engine answers for every model.
    #[arg(long = "model", value_parser = parse_model)]
    pub models: Vec<Model>,

    /// Emulated seconds that pass in a real one.
    #[arg(long, default_value_t = 1.0)]
    pub time_scale: f64,

    /// Answer at once, without batching, to measure what stands before the engine.
    #[arg(long)]
    pub instant: bool,

    /// Microseconds of an iteration without any token.
    #[arg(long, default_value_t = 8000)]
    pub base_us: u64,

    /// Microseconds for each prefilled token.
    #[arg(long, default_value_t = 50)]
    pub prefill_token_us: u64,

    /// Microseconds for each sequence that decodes in an iteration.
    #[arg(long, default_value_t = 100)]
    pub sequence_us: u64,

    /// Tokens of an iteration in role mixed, prefilled and decoded together.
    #[arg(long, default_value_t = 512)]
    pub token_budget: u32,

    /// Sequences that run at once.
    #[arg(long, default_value_t = 64)]
    pub max_running: usize,

    /// Tokens that the KV memory holds.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u32,

    /// Tokens that the prefix cache holds.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u32,

    /// Tokens of a block of the prefix cache.
    #[arg(long, default_value_t = 16)]
    pub block_tokens: u32,

    /// Let waiting jobs push back running ones of lower priority.
    #[arg(long)]
    pub preempt: bool,

    /// Milliseconds by which load reports lag.
    #[arg(long, default_value_t = 1000)]
    pub report_lag_ms: u64,

    /// Milliseconds by which cache events are late.
    #[arg(long, default_value_t = 500)]
    pub event_delay_ms: u64,

    /// Fraction of cache events that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub event_gap: f64,

    /// Milliseconds that a role change takes.
    #[arg(long, default_value_t = 5000)]
    pub role_change_ms: u64,

    /// Milliseconds that loading or unloading a model takes, beside the transfer of its weights.
    #[arg(long, default_value_t = 2000)]
    pub load_ms: u64,

    /// Address of the weight store that loads take their weights from.
    #[arg(long)]
    pub weights: Option<SocketAddr>,

    /// Carry out orders with an old fence as well.
    #[arg(long)]
    pub ignore_fence: bool,

    /// Real milliseconds that a finished stream can still be resumed.
    #[arg(long, default_value_t = 30_000)]
    pub keep_ms: u64,

    /// Bytes of KV cache for each token.
    #[arg(long, default_value_t = 131_072)]
    pub kv_token_bytes: u64,

    /// Bytes a second at which KV is imported.
    #[arg(long, default_value_t = 12_500_000_000)]
    pub kv_bandwidth: u64,

    /// Most events that are written to a stream at once.
    #[arg(long, default_value_t = 64)]
    pub write_events: u32,

    /// Seed of the faults that are given as a fraction.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Options {
    /// The settings of the batch.
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
