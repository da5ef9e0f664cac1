//! The deadline of a request.

use std::time::Duration;

use actix_http::header::HeaderMap;
use clock::Moment;

use crate::front::headers;
use crate::front::problem::{Kind, Problem};

/// The deadline of a request: the caller's `x-deadline-ms`, capped by the entry's contract and by
/// the settings.
///
/// # Errors
///
/// The header is not a whole number of milliseconds above zero. It is not ignored, because the
/// caller relies on the deadline.
pub fn resolve(
    headers: &HeaderMap,
    now: Moment,
    contract: Duration,
    cap: Duration,
) -> Result<Moment, Problem> {
    let limit = contract.min(cap);
    let Some(value) = headers.get(headers::DEADLINE) else {
        return Ok(now + limit);
    };
    let stated: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match stated {
        Some(millis) if millis > 0 => Ok(now + limit.min(Duration::from_millis(millis))),
        _ => Err(Problem::not_run(
            Kind::BadRequest,
            "x-deadline-ms must be a whole number of milliseconds above 0",
        )),
    }
}
