//! Functions of the data plane that the control calls.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use control::Hooks;
use wire::peer::{Answer, Demand, Header, Outstanding};

use crate::held_answers::{self, Lookup};
use crate::shared::Shared;

/// Creates the hooks.
pub fn hooks(shared: &Arc<Shared>) -> Hooks {
    let share = |shared: &Arc<Shared>| Arc::clone(shared);
    Hooks {
        open_requests: Box::new({
            let shared = share(shared);
            move |upstream| open(&shared, upstream)
        }),
        oldest_applied_view: Box::new({
            let shared = share(shared);
            move || shared.applied.load(Ordering::Acquire)
        }),
        held_answer: Box::new({
            let shared = share(shared);
            move |key| held_answer(&shared, key)
        }),
        outstanding: Box::new({
            let shared = share(shared);
            move || outstanding(&shared)
        }),
        demand: Box::new({
            let shared = share(shared);
            move || demand(&shared)
        }),
        burn: Box::new({
            let shared = share(shared);
            move || shared.burn().burn().buckets
        }),
    }
}

/// Number of calls that a planned change at the upstream would interrupt: attempts of the router
/// and streams that were resumed here.
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
    let loads = shared
        .dispatcher
        .with_router(|_, router| router.outstanding());
    loads
        .into_iter()
        .map(|item| Outstanding {
            upstream: item.upstream.to_string(),
            requests: item.load.requests.round() as u32,
            prefill_tokens: item.load.prefill.round() as u64,
            decode_tokens: item.load.decode.round() as u64,
        })
        .collect()
}

fn demand(shared: &Shared) -> Vec<Demand> {
    let demand = shared
        .dispatcher
        .with_router(|now, router| router.demand(now));
    demand
        .into_iter()
        .map(|item| Demand {
            owner: item.subject.to_string(),
            requests: item.requests as f32,
            tokens: item.tokens as f32,
            open: item.in_flight,
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
            headers: headers.map(|header| (header.name, header.value)).collect(),
            body: answer.body.into(),
        })
    }
}
