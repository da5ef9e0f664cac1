//! Wire types of the engines' state, load reports and orders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// A loaded model, or an adapter on one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Model {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    #[serde(default)]
    pub version: String,
    /// Name of the adapter; empty for the base model.
    #[serde(default, deserialize_with = "or_empty")]
    pub adapter: String,
}

/// State of the order that an engine accepted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Being executed.
    Running,
    /// Completed.
    Done,
    /// Could not be executed.
    Failed,
    /// Cancelled before it started.
    Cancelled,
}

/// The order that an engine accepted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LastOrder {
    /// Id of the order.
    pub order: u64,
    /// State of its execution.
    pub state: Progress,
}

/// The state of an engine at the time of its response; unlike a load report it is never stale.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineState {
    /// Differs after each start of the engine.
    pub incarnation: u64,
    /// Current role.
    pub role: Role,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The order accepted last.
    #[serde(default)]
    pub order: Option<LastOrder>,
    /// The greatest fencing token seen.
    #[serde(default)]
    pub fence: u64,
    /// Whether the engine refuses orders with smaller fencing tokens.
    #[serde(default)]
    pub checks_fence: bool,
    /// Open streams.
    pub open: u32,
}

/// A load report, which was `age_ms` old when the engine sent it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct EngineReport {
    /// Age when the engine sent it, in milliseconds.
    pub age_ms: u64,
    /// Current role.
    pub role: Role,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Requests in the running batches.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Prompt tokens of the queued requests.
    pub prefill_tokens_waiting: u64,
    /// Output tokens still to be generated.
    pub decode_tokens_left: u64,
    /// KV cache in use, in the same unit as `kv_total`.
    pub kv_used: u64,
    /// Capacity of the KV cache.
    pub kv_total: u64,
    /// Prompt tokens per second while the engine runs prefill only.
    pub prefill_rate: f64,
    /// Requests that can be decoded concurrently.
    pub decode_slots: u32,
    /// Whether the engine accepts no new work.
    #[serde(default)]
    pub draining: bool,
    /// Id of the order being executed; 0 for none.
    #[serde(default)]
    pub order: u64,
}

impl EngineReport {
    /// Age when the engine sent it.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// The change that an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Action {
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Load a model.
    LoadModel(Model),
    /// Unload a model.
    UnloadModel(Model),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// Id of the order.
    pub order: u64,
    /// Fencing token of the sender.
    pub fence: u64,
    /// The requested change.
    #[serde(flatten)]
    pub action: Action,
}

fn or_empty<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(Option::<String>::deserialize(deserializer)?.unwrap_or_default())
}
