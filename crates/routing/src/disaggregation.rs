//! Whether prefill and decode of a request run on one engine, or on two with a KV cache transfer.

use crate::{choice::Pick, pool::Config};

/// Ratio of the times to the first token below which disaggregation is chosen. A transfer loads
/// both engines and can fail, and with equal estimates requests would alternate between both ways.
const MAX_TIME_RATIO: f64 = 0.9;

/// Prompts shorter than this are never worth a transfer.
const MIN_PROMPT_TOKENS: u32 = 64;

/// Where the phases of a request run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Prefill and decode on one upstream.
    Colocated(Pick),
    /// Prefill on one engine, then decode on another.
    Disaggregated {
        /// Engine that runs the prefill and exports the KV cache.
        prefill: Pick,
        /// Engine that imports the KV cache and runs the decode.
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

    /// Seconds of these spent waiting for earlier work.
    pub fn wait(&self) -> f64 {
        match self {
            Self::Colocated(pick) => pick.cost.wait,
            Self::Disaggregated { prefill, decode } => prefill.cost.wait + decode.cost.wait,
        }
    }

    /// The pick that produces the answer.
    pub fn answering_pick(&self) -> &Pick {
        match self {
            Self::Colocated(pick) | Self::Disaggregated { decode: pick, .. } => pick,
        }
    }
}

/// Whether disaggregation is worth considering for a prompt of this length.
pub fn is_eligible(config: &Config, prompt: u32) -> bool {
    config.transfer_s_per_token > 0.0 && prompt >= MIN_PROMPT_TOKENS
}

/// Chooses between both placements. The decode pick must have been estimated without prefill.
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
