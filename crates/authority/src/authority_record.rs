//! Decodes the records that concern authority and checks what does not depend on the state.

use crate::author::Author;
use crate::order::{Order, Verdict};
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};
use wire::record::{self, Record, record::Body};

/// A record with a missing or unknown field. It has no effect on any process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Malformed {
    /// Path of the field that is missing or has an unknown value.
    pub field: &'static str,
}

/// A decoded record about one scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AuthorityRecord {
    /// The author.
    pub author: Author,
    /// The scope.
    pub scope: ScopeId,
    /// Kind and content.
    pub kind: RecordKind,
}

/// The kinds of authority record.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RecordKind {
    /// The author claims the scope.
    Claim {
        /// The claim that it replaces; 0 for none.
        replaces: Fence,
        /// The newest renewal of that claim that the author has read, or the claim itself; 0 for
        /// none.
        seen: Offset,
    },
    /// The holder renews its claim.
    Renewal {
        /// The holder's claim.
        fence: Fence,
    },
    /// The holder releases the scope and sends no more orders.
    Release {
        /// The holder's claim.
        fence: Fence,
    },
    /// The holder is about to send an order to an engine.
    Intent {
        /// The holder's claim.
        fence: Fence,
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: Order,
        /// Id of the engine's newest concluded order; 0 for none.
        previous: OrderId,
    },
    /// The holder has determined how an order ended.
    Outcome {
        /// The holder's claim, which may be newer than that of the intent.
        fence: Fence,
        /// Id of the order.
        order: OrderId,
        /// How it ended.
        verdict: Verdict,
        /// Explanation for operators.
        detail: String,
    },
}

impl AuthorityRecord {
    /// Decodes a record. Returns `None` if it does not concern authority.
    ///
    /// # Errors
    ///
    /// [`Malformed`] names the first invalid field.
    pub fn read(raw: &Record) -> Result<Option<Self>, Malformed> {
        let Some((scope, kind)) = read_body(raw)? else {
            return Ok(None);
        };
        if scope.is_empty() {
            return Err(Malformed { field: "scope" });
        }
        Ok(Some(Self {
            author: Author::try_from(raw.author.as_ref())?,
            scope: scope.clone(),
            kind,
        }))
    }
}

fn read_body(raw: &Record) -> Result<Option<(&ScopeId, RecordKind)>, Malformed> {
    let read = match raw.body.as_ref() {
        Some(Body::ScopeClaim(claim)) => {
            let (replaces, seen) = (claim.replaces, claim.seen);
            (&claim.scope, RecordKind::Claim { replaces, seen })
        }
        Some(Body::Renewal(renewal)) => {
            let fence = renewal.fence;
            (&renewal.scope, RecordKind::Renewal { fence })
        }
        Some(Body::Release(release)) => {
            let fence = release.fence;
            (&release.scope, RecordKind::Release { fence })
        }
        Some(Body::Intent(intent)) => (&intent.scope, read_intent(intent)?),
        Some(Body::Outcome(outcome)) => (&outcome.scope, read_outcome(outcome)?),
        _ => return Ok(None),
    };
    Ok(Some(read))
}

fn read_intent(raw: &record::Intent) -> Result<RecordKind, Malformed> {
    if raw.upstream.is_empty() {
        return Err(Malformed { field: "upstream" });
    }
    Ok(RecordKind::Intent {
        fence: raw.fence,
        upstream: raw.upstream.clone(),
        order: Order::try_from(raw.order.as_ref())?,
        previous: raw.previous,
    })
}

fn read_outcome(raw: &record::Outcome) -> Result<RecordKind, Malformed> {
    let verdict = Verdict::from_wire(raw.verdict).ok_or(Malformed { field: "verdict" })?;
    Ok(RecordKind::Outcome {
        fence: raw.fence,
        order: raw.order,
        verdict,
        detail: raw.detail.clone(),
    })
}
