//! What the control asks of the data plane.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use control::Hooks;
use wire::peer::{Answer, Demand, Header, Outstanding};

use crate::held_answers::{self, Lookup};
use crate::shared::Shared;

/// The hooks over what all threads share.
pub fn hooks(shared: &Arc<Shared>) -> Hooks {
    let with = |shared: &Arc<Shared>| Arc::clone(shared);
    Hooks {
        open_requests: Box::new({
            let shared = with(shared);
            move |upstream| open(&shared, upstream)
        }),
        oldest_applied_view: Box::new({
            let shared = with(shared);
            move || shared.applied.load(Ordering::Acquire)
        }),
        held_answer: Box::new({
            let shared = with(shared);
            move |key| held_answer(&shared, key)
        }),
        outstanding: Box::new({
            let shared = with(shared);
            move || outstanding(&shared)
        }),
        demand: Box::new({
            let shared = with(shared);
            move || demand(&shared)
        }),
        burn: Box::new({
            let shared = with(shared);
            move || shared.burn().burn().buckets
        }),
    }
}

/// Work that a planned change at the upstream would cut: attempts of the router, and streams that
/// were resumed here for another entry.
fn open(shared: &Shared, upstream: &str) -> u32 {
    let routed = shared
        .dispatcher
        .with_router(|_, router| router.in_flight(upstream));
    routed + shared.resumed.count(upstream)
}

fn held_answer(shared: &Shared, key: &held_answers::Key) -> Option<Answer> {
    let now = shared.dispatcher.now();
    let held = shared
        .held_answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    match held.get(now, key, None)? {
        Lookup::Answer(answer) => Some(Answer::from(&answer)),
        Lookup::OtherRequest => None,
    }
}

fn outstanding(shared: &Shared) -> Vec<Outstanding> {
    let work = shared
        .dispatcher
        .with_router(|_, router| router.outstanding());
    work.into_iter()
        .map(|one| Outstanding {
            upstream: one.upstream.to_string(),
            requests: one.load.requests.round() as u32,
            prefill_tokens: one.load.prefill.round() as u64,
            decode_tokens: one.load.decode.round() as u64,
        })
        .collect()
}

fn demand(shared: &Shared) -> Vec<Demand> {
    let demand = shared
        .dispatcher
        .with_router(|now, router| router.demand(now));
    demand
        .into_iter()
        .map(|one| Demand {
            owner: one.subject.to_string(),
            requests: one.requests as f32,
            tokens: one.tokens as f32,
            open: one.in_flight,
        })
        .collect()
}

impl From<&held_answers::Answer> for Answer {
    fn from(held: &held_answers::Answer) -> Self {
        let header = |(name, value): &(String, Vec<u8>)| Header {
            name: name.clone(),
            value: value.clone(),
        };
        Self {
            status: u32::from(held.status),
            headers: held.headers.iter().map(header).collect(),
            body: held.body.to_vec(),
        }
    }
}

impl TryFrom<Answer> for held_answers::Answer {
    type Error = std::num::TryFromIntError;

    fn try_from(answer: Answer) -> Result<Self, Self::Error> {
        let headers = answer.headers.into_iter();
        Ok(Self {
            status: u16::try_from(answer.status)?,
            headers: headers.map(|one| (one.name, one.value)).collect(),
            body: answer.body.into(),
        })
    }
}
