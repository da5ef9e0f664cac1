//! How fast and how large an engine is, and what its role makes of that.

use std::time::Duration;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What an engine is set up for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decoding share its iterations.
    #[default]
    Mixed,
    /// Long iterations for prefill. It decodes as well, but slowly and few sequences at once.
    Prefill,
    /// Short iterations for decoding. It prefills as well, in small chunks.
    Decode,
}

/// The price of an iteration and the memory.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time of an iteration without any token.
    pub iteration_base: Duration,
    /// Time for each prefilled token.
    pub prefill_token: Duration,
    /// Time for each sequence that decodes a token.
    pub decode_sequence: Duration,
    /// Tokens of an iteration in role `mixed`, prefilled and decoded together.
    pub token_budget: u32,
    /// Sequences that run at once.
    pub max_running: usize,
    /// Tokens that the KV memory holds.
    pub kv_tokens: u32,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// Tokens of a block of the prefix cache.
    pub block_tokens: u32,
    /// Whether a waiting job may push back a running one of lower priority.
    pub preempt: bool,
}

/// What a role allows in an iteration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Tokens of an iteration.
    pub token_budget: u32,
    /// Sequences that run at once.
    pub max_running: usize,
}

/// A prefill engine takes so many times the tokens into an iteration, and so many times fewer
/// sequences.
const PREFILL_FACTOR: u32 = 8;

/// A decode engine prefills at most one token in so many of the budget, beside its sequences.
const DECODE_SHARE: u32 = 4;

impl Settings {
    /// The limits for a role.
    pub fn limits(&self, role: Role) -> Limits {
        let sequences = u32::try_from(self.max_running).unwrap_or(u32::MAX);
        match role {
            Role::Mixed => Limits {
                token_budget: self.token_budget,
                max_running: self.max_running,
            },
            Role::Prefill => Limits {
                token_budget: self.token_budget.saturating_mul(PREFILL_FACTOR),
                max_running: (self.max_running / PREFILL_FACTOR as usize).max(1),
            },
            Role::Decode => Limits {
                token_budget: sequences.saturating_add(self.token_budget / DECODE_SHARE),
                max_running: self.max_running,
            },
        }
    }

    /// Tokens a second that an engine of a role prefills when it does nothing else.
    pub fn prefill_rate(&self, role: Role) -> f64 {
        let budget = self.limits(role).token_budget;
        f64::from(budget) / self.iteration_duration(budget, 0).as_secs_f64()
    }

    /// The time of an iteration that prefills so many tokens and decodes one for each of so many
    /// sequences.
    pub fn iteration_duration(&self, prefilled: u32, decoding: u32) -> Duration {
        self.iteration_base + self.prefill_token * prefilled + self.decode_sequence * decoding
    }
}
