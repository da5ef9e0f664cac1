//! Claims of `Idempotency-Key`s, as the data plane asks for them.

use std::sync::atomic::{AtomicU64, Ordering};

use actix_http::header::HeaderMap;
use catalogue::{Entry, Outage};
use claims::{Call, Decision, Digest, End, Holder, Policy, Ran, Ticket};
use clock::Moment;
use tokio::sync::{mpsc, oneshot};

use crate::front::headers;
use crate::front::problem::{Kind, Problem};
use crate::hold::Answer;
use crate::work::Work;

/// Longest `Idempotency-Key` that is taken, in bytes.
const LONGEST_KEY: usize = 255;

/// What is asked of the claims.
#[derive(Debug)]
pub enum Question {
    /// May this call run?
    Claim(Call, oneshot::Sender<Decision>),
    /// A call that was told to run has ended.
    Ended(Ticket, End),
    /// The answer that a process holds under a key.
    Held(Holder, Digest, oneshot::Sender<Option<Answer>>),
}

/// Asks for claims. Clones share the way.
#[derive(Clone, Debug)]
pub struct Keys {
    sender: mpsc::UnboundedSender<Question>,
    next: std::sync::Arc<AtomicU64>,
}

impl Keys {
    /// The data plane's end and the end that answers.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Question>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let keys = Self {
            sender,
            next: std::sync::Arc::default(),
        };
        (keys, receiver)
    }

    /// Asks whether a call may run, and waits until the log has decided.
    pub async fn claim(&self, call: Call) -> Decision {
        let ran = call.ran();
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Question::Claim(call, sender));
        // Nobody answers only while the process stops; then nothing new may run.
        receiver.await.unwrap_or(Decision::Refused { ran })
    }

    /// Tells how a call ended that was told to run.
    pub fn ended(&self, ticket: Ticket, end: End) {
        let _ = self.sender.send(Question::Ended(ticket, end));
    }

    /// The answer that another process holds.
    pub async fn held(&self, holder: Holder, key: Digest) -> Option<Answer> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(Question::Held(holder, key, sender));
        receiver.await.ok().flatten()
    }

    /// A ticket that was not used before.
    pub fn ticket(&self) -> Ticket {
        self.next.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// The call that a request with an `Idempotency-Key` makes; `None` without a key.
///
/// # Errors
///
/// The headers are not good, or the entry requires a key.
pub fn call(work: &Work, entry: &Entry) -> Result<Option<Call>, Problem> {
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
    Ok(Some(Call {
        ticket: work.worker.shared.keys.ticket(),
        key: claims::key(&work.owner, &entry.name, key),
        fingerprint: claims::fingerprint(work.method.as_str(), &work.target, &work.body),
        request: work.account.request().to_string(),
        attempt: attempt(&work.headers)?,
        policy: match entry.outage {
            Outage::Refuse => Policy::Refuse,
            Outage::FirstAttempt => Policy::FirstAttempt,
        },
        give_up: give_up(work),
    }))
}

fn give_up(work: &Work) -> Moment {
    work.deadline
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

/// A refusal with what may be said of the key.
pub fn refusal(kind: Kind, detail: &str, ran: Ran) -> Problem {
    match ran {
        Ran::No => Problem::not_run(kind, detail),
        Ran::Unknown => Problem::unknown(kind, detail),
    }
}
