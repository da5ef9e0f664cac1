//! Speed and capacity of an engine, and the limits of its role.

use std::time::Duration;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Iterations mix prefill and decode.
    #[default]
    Mixed,
    /// Long iterations for prefill. Decodes too, but slowly and few sequences at once.
    Prefill,
    /// Short iterations for decode. Prefills too, in small chunks.
    Decode,
}

/// Cost of an iteration and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Fixed time of an iteration.
    pub iteration_base: Duration,
    /// Time per prefilled token.
    pub prefill_token: Duration,
    /// Time per sequence that decodes a token.
    pub decode_sequence: Duration,
    /// Token budget of an iteration in role `mixed`, for prefill and decode together.
    pub token_budget: u32,
    /// Maximum number of running sequences.
    pub max_running: usize,
    /// Capacity of the KV memory, in tokens.
    pub kv_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Block size of the prefix cache, in tokens.
    pub block_tokens: u32,
    /// Whether a waiting job may preempt a running one of lower priority.
    pub preempt: bool,
}

/// Limits of an iteration in a role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Token budget of an iteration.
    pub token_budget: u32,
    /// Maximum number of running sequences.
    pub max_running: usize,
}

/// Factor by which a prefill engine has a larger token budget and fewer sequences.
const PREFILL_BUDGET_FACTOR: u32 = 8;

/// A decode engine adds this fraction (1/n) of the budget for prefill to its sequences.
const DECODE_PREFILL_DIVISOR: u32 = 4;

impl Settings {
    /// Returns the limits for a role.
    pub fn limits(&self, role: Role) -> Limits {
        let sequences = u32::try_from(self.max_running).unwrap_or(u32::MAX);
        match role {
            Role::Mixed => Limits {
                token_budget: self.token_budget,
                max_running: self.max_running,
            },
            Role::Prefill => Limits {
                token_budget: self.token_budget.saturating_mul(PREFILL_BUDGET_FACTOR),
                max_running: (self.max_running / PREFILL_BUDGET_FACTOR as usize).max(1),
            },
            Role::Decode => Limits {
                token_budget: sequences.saturating_add(self.token_budget / DECODE_PREFILL_DIVISOR),
                max_running: self.max_running,
            },
        }
    }

    /// Returns the tokens per second that an engine prefills when it does nothing else.
    pub fn prefill_rate(&self, role: Role) -> f64 {
        let budget = self.limits(role).token_budget;
        f64::from(budget) / self.iteration_duration(budget, 0).as_secs_f64()
    }

    /// Returns the time of an iteration that prefills `prefilled` tokens and decodes one token for
    /// each of `decoding` sequences.
    pub fn iteration_duration(&self, prefilled: u32, decoding: u32) -> Duration {
        self.iteration_base + self.prefill_token * prefilled + self.decode_sequence * decoding
    }
}
