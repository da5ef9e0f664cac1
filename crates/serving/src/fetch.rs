//! From where an engine may fetch the beginning of a prompt. The load that this answers: peaks in which the engines
//! that keep a shared part have long lines, while links move it in a fraction of the time that reading it takes. See
//! `docs/design/placement.md`, "Fetching".

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Engine;
use crate::place::{Demand, Generation};
use crate::route::Model;
use crate::speed::{self, Speed};
use crate::{EngineId, Fleet};

/// Fixed time that fetching parts of a prompt takes, besides the bytes.
const FETCH: Duration = Duration::from_millis(10);

/// An engine that keeps the beginning of the prompt, the one that keeps most of its data centre.
pub(crate) struct Source<'a> {
    engine: &'a Engine,
    kept: u32,
}

pub(crate) type Sources<'a> = SmallVec<[Source<'a>; 4]>;

/// How an engine comes to the prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetch {
    /// Engine from which it fetches parts.
    pub from: Option<EngineId>,
    /// Tokens that it reads.
    pub unread: u32,
    /// Tokens that it fetches.
    pub tokens: u32,
    /// Time for the transfer, in milliseconds.
    pub takes: f64,
}

/// Finds the engine of each data centre that keeps the most of a prompt.
pub(crate) fn sources<'a>(
    fleet: &'a Fleet,
    demand: &'a Demand,
    size: &Generation,
    now: Moment,
) -> Sources<'a> {
    let mut sources = Sources::new();
    for engine in fleet.ready(demand.service) {
        let kept = fleet.parts.cached_tokens(&engine.record.id, size.prompt);
        if kept == 0 || !engine.is_available(now) {
            continue;
        }
        let near = |source: &&mut Source| source.engine.record.zone == engine.record.zone;
        match sources.iter_mut().find(near) {
            Some(source) if source.kept >= kept => {}
            Some(source) => *source = Source { engine, kept },
            None => sources.push(Source { engine, kept }),
        }
    }
    sources
}

/// The quickest way for an engine to come to a prompt: it reads all that it does not keep, or fetches some of it.
pub(crate) fn quickest(
    fleet: &Fleet,
    engine: &Engine,
    size: &Generation,
    sources: &Sources,
    speed: &Speed,
) -> Fetch {
    let kept = fleet.parts.cached_tokens(&engine.record.id, size.prompt);
    let kept = kept.min(size.tokens);
    let whole = Fetch {
        from: None,
        unread: size.tokens - kept,
        tokens: 0,
        takes: 0.0,
    };
    let time = |fetch: &Fetch| {
        let work = speed::work(fetch.unread, size.tokens);
        fetch.takes + speed.millis(u64::from(work)) * engine.slowdown
    };
    let fetches = sources
        .iter()
        .filter_map(|source| from(source, engine, size, kept));
    fetches
        .chain([whole])
        .min_by(|a, b| time(a).total_cmp(&time(b)))
        .unwrap_or_default()
}

/// What it takes to fetch from a source, if it keeps more than the engine does.
fn from(source: &Source, engine: &Engine, size: &Generation, kept: u32) -> Option<Fetch> {
    let most = source.kept.min(size.tokens);
    let tokens = most.checked_sub(kept).filter(|&tokens| tokens > 0)?;
    let moved = transfer(size.model, tokens);
    let is_far = source.engine.record.zone != engine.record.zone;
    let way = if is_far { 2.0 * moved } else { moved };
    Some(Fetch {
        from: Some(source.engine.record.id.clone()),
        unread: size.tokens - most,
        tokens,
        takes: way + FETCH.as_secs_f64() * 1_000.0,
    })
}

/// Time that the memory of some tokens takes over the link, in milliseconds.
pub(crate) fn transfer(model: &Model, tokens: u32) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bits = f64::from(tokens) * model.kv_bytes_per_token as f64 * 8.0;
    bits / (model.link_mbps.max(1.0) * 1_000.0)
}
