//! What engines say of themselves and what they are ordered to do, in wire form.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an engine does in its batches.
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
    /// Its name.
    pub model: String,
    /// Version of its weights.
    #[serde(default)]
    pub version: String,
    /// The adapter; empty for the bare model.
    #[serde(default, deserialize_with = "or_empty")]
    pub adapter: String,
}

/// How far an engine is with the order that it took last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// It is carrying it out.
    Running,
    /// It has carried it out.
    Done,
    /// It could not.
    Failed,
    /// It was told not to begin.
    Cancelled,
}

/// The order that an engine took last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct LastOrder {
    /// Its id.
    pub order: u64,
    /// How far the engine is with it.
    pub state: Progress,
}

/// The state of an engine, never stale when it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineState {
    /// Changes with each start.
    pub incarnation: u64,
    /// Its role.
    pub role: Role,
    /// Its loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The order that it took last.
    #[serde(default)]
    pub order: Option<LastOrder>,
    /// The greatest fencing token that it has seen.
    #[serde(default)]
    pub fence: u64,
    /// Whether it refuses smaller ones.
    #[serde(default)]
    pub checks_fence: bool,
    /// Streams that it has open.
    pub open: u32,
}

/// A load report, as old as it says.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct EngineReport {
    /// Age when the engine answered, in milliseconds.
    pub age_ms: u64,
    /// Its role.
    pub role: Role,
    /// Its loaded models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Requests in its batches.
    pub running: u32,
    /// Requests that it has not begun.
    pub waiting: u32,
    /// Prompt tokens of these.
    pub prefill_tokens_waiting: u64,
    /// Answer tokens still to be generated.
    pub decode_tokens_left: u64,
    /// KV cache in use, in the same unit as `kv_total`.
    pub kv_used: u64,
    /// KV cache that there is.
    pub kv_total: u64,
    /// Prompt tokens a second when it does nothing else.
    pub prefill_rate: f64,
    /// Requests that it decodes at once.
    pub decode_slots: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// The order that it carries out; 0 for none.
    #[serde(default)]
    pub order: u64,
}

impl EngineReport {
    /// Age when the engine answered.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Action {
    /// Take a role.
    SetRole {
        /// The role.
        role: Role,
    },
    /// Load a model.
    LoadModel(Model),
    /// Forget a model.
    UnloadModel(Model),
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// Its id.
    pub order: u64,
    /// Fencing token.
    pub fence: u64,
    /// What it asks for.
    #[serde(flatten)]
    pub action: Action,
}

fn or_empty<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(Option::<String>::deserialize(deserializer)?.unwrap_or_default())
}
