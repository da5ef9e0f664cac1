//! Builds the claim of a request from its `Idempotency-Key` and `Idempotency-Attempt` headers.

use actix_http::header::HeaderMap;
use catalogue::{Entry, Outage};
use claims::{Executed, OutagePolicy};
use control::Claim;

use crate::front::headers;
use crate::front::problem::{Kind, Problem};
use crate::proxied_request::ProxiedRequest;

/// Longest `Idempotency-Key` that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The claim of a request; `None` if it has no key.
///
/// # Errors
///
/// A header is invalid, or the entry requires a key and the request has none.
pub fn claim(proxied: &ProxiedRequest, entry: &Entry) -> Result<Option<Claim>, Problem> {
    let Some(key) = proxied.headers.get(headers::IDEMPOTENCY_KEY) else {
        return match entry.require_key {
            true => Err(Problem::not_run(
                Kind::KeyRequired,
                format!("calls of {} need an Idempotency-Key", entry.name),
            )),
            false => Ok(None),
        };
    };
    let key = key
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| {
            let detail = format!("Idempotency-Key must be text of up to {MAX_KEY_BYTES} bytes");
            Problem::not_run(Kind::BadRequest, detail)
        })?;
    Ok(Some(Claim {
        key: claims::key_digest(&proxied.owner, &entry.name, key),
        fingerprint: claims::fingerprint(proxied.method.as_str(), &proxied.target, &proxied.body),
        request: proxied.record.request().to_string(),
        attempt: attempt_number(&proxied.headers)?,
        policy: match entry.outage {
            Outage::Refuse => OutagePolicy::Refuse,
            Outage::FirstAttempt => OutagePolicy::FirstAttempt,
        },
        deadline: proxied.deadline,
    }))
}

fn attempt_number(map: &HeaderMap) -> Result<Option<u32>, Problem> {
    let Some(value) = map.get(headers::IDEMPOTENCY_ATTEMPT) else {
        return Ok(None);
    };
    let attempt: Option<u32> = value.to_str().ok().and_then(|text| text.parse().ok());
    match attempt {
        Some(attempt) if attempt > 0 => Ok(Some(attempt)),
        _ => Err(Problem::not_run(
            Kind::BadRequest,
            "Idempotency-Attempt must be a whole number above 0",
        )),
    }
}

/// What is certain about a key when a call is refused before its claim. This call did not run, but
/// an earlier attempt may have, unless the caller declares this one to be the first.
pub fn execution_before_claim(claim: &Claim) -> Executed {
    match claim.attempt {
        Some(1) => Executed::No,
        _ => Executed::Unknown,
    }
}

/// A refusal that states what is certain about the key.
pub fn refusal(kind: Kind, detail: &str, ran: Executed) -> Problem {
    match ran {
        Executed::No => Problem::not_run(kind, detail),
        Executed::Unknown => Problem::unknown(kind, detail),
    }
}
