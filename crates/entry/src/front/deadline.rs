//! The time that a request has.

use std::time::Duration;

use actix_http::header::HeaderMap;
use clock::Moment;

use crate::front::headers;
use crate::front::problem::{Kind, Problem};

/// The moment by which an answer is owed: what the caller states, capped by the contract of its
/// entry and by the settings.
///
/// # Errors
///
/// The caller's statement is no whole number of milliseconds above zero. A caller that misspells
/// it must learn so, since it relies on the deadline.
pub fn resolve(
    headers: &HeaderMap,
    now: Moment,
    contract: Duration,
    cap: Duration,
) -> Result<Moment, Problem> {
    let owed = contract.min(cap);
    let Some(value) = headers.get(headers::DEADLINE) else {
        return Ok(now + owed);
    };
    let stated: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match stated {
        Some(millis) if millis > 0 => Ok(now + owed.min(Duration::from_millis(millis))),
        _ => Err(Problem::not_run(
            Kind::BadRequest,
            "x-deadline-ms must be a whole number of milliseconds above 0",
        )),
    }
}
