//! What a request with an `Idempotency-Key` asks of the claims.

use actix_http::header::HeaderMap;
use catalogue::{Entry, Outage};
use claims::{Executed, OutagePolicy};
use control::Claim;

use crate::front::headers;
use crate::front::problem::{Kind, Problem};
use crate::proxied_request::ProxiedRequest;

/// Longest `Idempotency-Key` that is taken, in bytes.
const LONGEST_KEY: usize = 255;

/// The claim that a request makes; `None` without a key.
///
/// # Errors
///
/// The headers are not good, or the entry requires a key.
pub fn claim(work: &ProxiedRequest, entry: &Entry) -> Result<Option<Claim>, Problem> {
    let Some(key) = work.headers.get(headers::IDEMPOTENCY_KEY) else {
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
        .filter(|key| !key.is_empty() && key.len() <= LONGEST_KEY)
        .ok_or_else(|| {
            let detail = format!("Idempotency-Key must be text of up to {LONGEST_KEY} bytes");
            Problem::not_run(Kind::BadRequest, detail)
        })?;
    Ok(Some(Claim {
        key: claims::key_digest(&work.owner, &entry.name, key),
        fingerprint: claims::fingerprint(work.method.as_str(), &work.target, &work.body),
        request: work.record.request().to_string(),
        attempt: attempt(&work.headers)?,
        policy: match entry.outage {
            Outage::Refuse => OutagePolicy::Refuse,
            Outage::FirstAttempt => OutagePolicy::FirstAttempt,
        },
        deadline: work.deadline,
    }))
}

fn attempt(map: &HeaderMap) -> Result<Option<u32>, Problem> {
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

/// What may be said of the key when a call is refused before it has a claim. This call did not run,
/// but one before it may have; only a declared first attempt has none before it.
pub fn execution_before_claim(claim: &Claim) -> Executed {
    match claim.attempt {
        Some(1) => Executed::No,
        _ => Executed::Unknown,
    }
}

/// A refusal with what may be said of the key.
pub fn refusal(kind: Kind, detail: &str, ran: Executed) -> Problem {
    match ran {
        Executed::No => Problem::not_run(kind, detail),
        Executed::Unknown => Problem::unknown(kind, detail),
    }
}
