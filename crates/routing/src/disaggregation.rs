//! Whether prefill and decode of a request run on one engine or apart, with the KV cache moved.

use crate::{choice::Pick, pool::Config};

/// Share by which running apart must be faster. Moving a cache loads both engines and can fail, and
/// with equal estimates requests would swing between both ways.
const MAX_TIME_RATIO: f64 = 0.9;

/// Prompts below this are never worth a transfer.
const MIN_PROMPT_TOKENS: u32 = 64;

/// Where a request runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Prefill and decode at one upstream.
    Colocated(Pick),
    /// Prefill at one engine, then decode at another.
    Disaggregated {
        /// Engine that prefills and exports.
        prefill: Pick,
        /// Engine that imports and decodes.
        decode: Pick,
    },
}

impl Placement {
    /// Estimated seconds to the first token.
    pub fn first_token(&self, config: &Config, prompt: u32) -> f64 {
        match self {
            Self::Colocated(pick) => pick.cost.first_token,
            Self::Disaggregated { prefill, decode } => {
                let transfer = config.transfer_s_per_token * f64::from(prompt);
                prefill.cost.first_token + transfer + decode.cost.first_token
            }
        }
    }

    /// Of these, the wait for work that stands before it.
    pub fn wait(&self) -> f64 {
        match self {
            Self::Colocated(pick) => pick.cost.wait,
            Self::Disaggregated { prefill, decode } => prefill.cost.wait + decode.cost.wait,
        }
    }

    /// The pick that answers.
    pub fn answering_pick(&self) -> &Pick {
        match self {
            Self::Colocated(pick) | Self::Disaggregated { decode: pick, .. } => pick,
        }
    }
}

/// Whether it makes sense to look for two engines at all.
pub fn is_eligible(config: &Config, prompt: u32) -> bool {
    config.transfer_s_per_token > 0.0 && prompt >= MIN_PROMPT_TOKENS
}

/// Chooses between one engine and two. `decode` was estimated without prefill.
pub fn choose_placement(
    config: &Config,
    prompt: u32,
    colocated: Option<Pick>,
    disaggregated: Option<(Pick, Pick)>,
) -> Option<Placement> {
    let disaggregated =
        disaggregated.map(|(prefill, decode)| Placement::Disaggregated { prefill, decode });
    let colocated = colocated.map(Placement::Colocated);
    match (colocated, disaggregated) {
        (Some(one), Some(two)) => {
            let faster =
                two.first_token(config, prompt) < MAX_TIME_RATIO * one.first_token(config, prompt);
            Some(if faster { two } else { one })
        }
        (one, two) => one.or(two),
    }
}
