//! The records that concern authority, checked: everything that can be judged without the state.

use crate::author::Author;
use crate::order::{Order, Verdict};
use crate::{Fence, Offset, OrderId, ScopeId, UpstreamId};
use wire::record::{self, Record, record::Body};

/// A record that does not say what it must; it has no effect anywhere.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Malformed {
    /// Path of the field that is missing or has no known value.
    pub field: &'static str,
}

/// What an author says of one scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AuthorityRecord {
    /// The author.
    pub author: Author,
    /// The scope that it is about.
    pub scope: ScopeId,
    /// What it says.
    pub kind: RecordKind,
}

/// The kinds of statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RecordKind {
    /// The author takes the scope.
    Claim {
        /// The claim that it takes it from; 0 for none.
        replaces: Fence,
        /// The newest renewal of that claim that it has read, or the claim itself; 0 for none.
        seen: Offset,
    },
    /// The holder is alive.
    Renewal {
        /// Its claim.
        fence: Fence,
    },
    /// The holder gives the scope up and sends nothing any more.
    Release {
        /// Its claim.
        fence: Fence,
    },
    /// The holder is about to tell an engine something.
    Intent {
        /// Its claim.
        fence: Fence,
        /// The engine.
        upstream: UpstreamId,
        /// What it will be told.
        order: Order,
        /// The engine's newest concluded order; 0 for none.
        previous: OrderId,
    },
    /// The holder has found out how an order ended.
    Outcome {
        /// Its claim, which may be a later one than that of the intent.
        fence: Fence,
        /// The order.
        order: OrderId,
        /// How it ended.
        verdict: Verdict,
        /// Said to operators.
        detail: String,
    },
}

impl AuthorityRecord {
    /// The statement in a record; `None` if the record is of another matter.
    ///
    /// # Errors
    ///
    /// [`Malformed`] names the first field that cannot be used.
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
