//! Turns refusals of the router into error answers.

use routing::decision::{Reason, Refusal};

use crate::front::problem::{Kind, Problem};

/// The error answer for a refusal, with its `Retry-After`.
pub fn problem(refusal: &Refusal) -> Problem {
    let (kind, detail) = match refusal.reason {
        Reason::RequestLimit => (Kind::Limited, "requests a second of the owner".to_owned()),
        Reason::TokenLimit => (Kind::Limited, "tokens a second of the owner".to_owned()),
        Reason::ConcurrencyLimit => (Kind::Limited, "requests at once of the owner".to_owned()),
        Reason::Overload(class) => (Kind::Overloaded, format!("class {class:?} is shed")),
        Reason::Deadline => (
            Kind::Overloaded,
            "the deadline cannot be met any more".to_owned(),
        ),
        Reason::NoUpstream => (
            Kind::Overloaded,
            "no upstream takes new work now".to_owned(),
        ),
        Reason::NoPool => (Kind::Unavailable, "the pool is not known yet".to_owned()),
    };
    Problem::not_run(kind, detail).retry_after(refusal.retry_after)
}
