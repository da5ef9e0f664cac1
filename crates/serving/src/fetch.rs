//! Chooses where an engine may fetch the beginning of a prompt from. In peaks, engines that cache a
//! shared part have long queues, while links transfer it in a fraction of the time that reading it
//! takes. See `docs/design/placement.md`, "Fetching".

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Engine;
use crate::place::{Demand, Generation};
use crate::route::Model;
use crate::speed::{self, Speed};
use crate::{EngineId, Fleet};

/// Fixed overhead of a transfer.
const FETCH_SETUP: Duration = Duration::from_millis(10);

/// An engine that caches the beginning of the prompt, the longest one cached in its data centre.
pub(crate) struct Source<'a> {
    engine: &'a Engine,
    cached_tokens: u32,
}

pub(crate) type Sources<'a> = SmallVec<[Source<'a>; 4]>;

/// How an engine obtains the prompt's KV cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillPlan {
    /// The engine that parts are fetched from.
    pub fetch_from: Option<EngineId>,
    /// Tokens to read.
    pub prefill_tokens: u32,
    /// Tokens to fetch.
    pub fetched_tokens: u32,
    /// Duration of the transfer, in milliseconds.
    pub transfer_ms: f64,
}

/// Finds the engine of each data centre that caches the most of a prompt.
pub(crate) fn sources<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    generation: &Generation,
    now: Moment,
) -> Sources<'a> {
    let mut sources = Sources::new();
    for engine in fleet.ready(demand.service) {
        let cached_tokens = fleet
            .parts
            .cached_tokens(&engine.record.id, generation.prompt);
        if cached_tokens == 0 || !engine.is_available(now) {
            continue;
        }
        let same_zone = |source: &&mut Source| source.engine.record.zone == engine.record.zone;
        match sources.iter_mut().find(same_zone) {
            Some(source) if source.cached_tokens >= cached_tokens => {}
            Some(source) => {
                *source = Source {
                    engine,
                    cached_tokens,
                }
            }
            None => sources.push(Source {
                engine,
                cached_tokens,
            }),
        }
    }
    sources
}

/// The quickest way for an engine to obtain a prompt: it reads all that it does not cache, or
/// fetches some of it.
pub(crate) fn quickest_prefill(
    fleet: &Fleet,
    engine: &Engine,
    generation: &Generation,
    sources: &Sources,
    speed: &Speed,
    slowdown: f64,
) -> PrefillPlan {
    let cached_tokens = fleet
        .parts
        .cached_tokens(&engine.record.id, generation.prompt);
    let cached_tokens = cached_tokens.min(generation.tokens);
    let without_fetch = PrefillPlan {
        fetch_from: None,
        prefill_tokens: generation.tokens - cached_tokens,
        fetched_tokens: 0,
        transfer_ms: 0.0,
    };
    let total_ms = |plan: &PrefillPlan| {
        let work = speed::work(plan.prefill_tokens, generation.tokens);
        plan.transfer_ms + speed.millis(u64::from(work)) * slowdown
    };
    let plans = sources
        .iter()
        .filter_map(|source| fetch_plan(source, engine, generation, cached_tokens));
    plans
        .chain([without_fetch])
        .min_by(|a, b| total_ms(a).total_cmp(&total_ms(b)))
        .unwrap_or_default()
}

/// The plan for fetching from a source, if the source caches more than the engine does.
fn fetch_plan(
    source: &Source,
    engine: &Engine,
    generation: &Generation,
    cached_tokens: u32,
) -> Option<PrefillPlan> {
    let available = source.cached_tokens.min(generation.tokens);
    let tokens = available
        .checked_sub(cached_tokens)
        .filter(|&tokens| tokens > 0)?;
    let one_way_ms = transfer_ms(generation.model, tokens);
    let is_far = source.engine.record.zone != engine.record.zone;
    let path_ms = if is_far { 2.0 * one_way_ms } else { one_way_ms };
    Some(PrefillPlan {
        fetch_from: Some(source.engine.record.id.clone()),
        prefill_tokens: generation.tokens - available,
        fetched_tokens: tokens,
        transfer_ms: path_ms + FETCH_SETUP.as_secs_f64() * 1_000.0,
    })
}

/// Time to transfer the KV cache of some tokens over the link, in milliseconds.
pub(crate) fn transfer_ms(model: &Model, tokens: u32) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bits = f64::from(tokens) * model.kv_bytes_per_token as f64 * 8.0;
    bits / (model.link_mbps.max(1.0) * 1_000.0)
}
