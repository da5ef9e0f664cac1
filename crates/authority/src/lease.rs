//! The lease of one process on one scope: when the process claims, renews and may act. All times
//! are of its own monotonic clock. The only assumption on clocks is a bound on their rate drift.
//! See `docs/design/authority.md`.

use crate::author::Author;
use crate::nonce::{Nonce, NonceSource};
use crate::state::State;
use crate::{Fence, Offset, ScopeId};
use clock::Moment;
use smallvec::SmallVec;
use std::time::Duration;
use wire::record::{self, Record, record::Body};

pub use grant::Grant;
pub use message::{Input, Output};
pub use term::Term;

pub mod grant;
pub mod message;
pub mod rank;
pub mod term;

/// Limit on appends that are not read back. A dropped one no longer extends the lease when it is
/// read back, which can only shorten the lease.
pub const MAX_PENDING_APPENDS: usize = 8;

/// The outputs of one step.
pub type Outputs = SmallVec<[Output; 2]>;

/// An append that has not been read back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PendingAppend {
    nonce: Nonce,
    /// A moment before the append was sent.
    sent_at: Moment,
}

/// The claim in force as read by this process.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct ClaimView {
    fence: Fence,
    renewed: Offset,
    released: bool,
    own: bool,
    /// When the newest claim, renewal or release was read.
    read_at: Moment,
}

/// The state machine of one process and one scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    scope: ScopeId,
    author: Author,
    term: Term,
    nonces: NonceSource,
    rank: u32,
    other_scopes: u32,
    view: ClaimView,
    /// When the first read to reach the end of the log was folded.
    first_read: Option<Moment>,
    /// When the newest read to reach the end of the log was sent.
    last_read: Option<Moment>,
    pending_appends: SmallVec<[PendingAppend; MAX_PENDING_APPENDS]>,
    /// A moment before the newest claim or renewal that was read back as valid was sent.
    lease_start: Option<Moment>,
    /// When this process read back its claim.
    held_since: Moment,
    /// Earliest time of the next append.
    due: Moment,
    leaving: bool,
}

impl Lease {
    /// Creates a lease that has read nothing. `seed` is drawn at random for each process.
    pub fn new(scope: ScopeId, author: Author, term: Term, seed: u64) -> Self {
        Self {
            scope,
            author,
            term,
            nonces: NonceSource::new(seed),
            rank: 0,
            other_scopes: 0,
            view: ClaimView::default(),
            first_read: None,
            last_read: None,
            pending_appends: SmallVec::new(),
            lease_start: None,
            held_since: Moment::ZERO,
            due: Moment::ZERO,
            leaving: false,
        }
    }

    /// The scope.
    pub fn scope(&self) -> &ScopeId {
        &self.scope
    }

    /// Whether the claim of this process is in force. Its lease may have expired.
    pub fn holds(&self) -> bool {
        self.view.own && !self.view.released
    }

    /// The authority of this process over the scope. `None` unless its claim is in force and one of
    /// its appends was read back. The lease may have expired: check [`Grant::may_act`].
    pub fn grant(&self) -> Option<Grant> {
        let start = self.lease_start.filter(|_| self.holds() && !self.leaving)?;
        Some(Grant {
            fence: self.view.fence,
            until: start + self.term.lease(),
            held_since: self.held_since,
            quarantine_until: self.held_since + self.term.challenge_wait(),
        })
    }

    /// Whether the lease covers an action that takes effect within `duration`.
    pub fn may_act(&self, now: Moment, duration: Duration) -> bool {
        self.grant()
            .is_some_and(|grant| grant.may_act(now, duration))
    }

    /// Applies a record that `state` has folded at `offset`. For a state from a snapshot, use
    /// [`Lease::restore`].
    pub fn apply(
        &mut self,
        now: Moment,
        offset: Offset,
        record: &Record,
        state: &State,
    ) -> Outputs {
        let sent_at = self.take_pending_append(record);
        let outputs = self.restore(now, state);
        if let Some(sent_at) = sent_at
            && self.holds()
            && self.view.renewed == offset
        {
            // Records are read back in the order of the log, which may differ from that of sending.
            self.lease_start = self.lease_start.max(Some(sent_at));
            if !self.leaving {
                self.due = self.due.max(sent_at + self.term.renewal_interval());
            }
        }
        outputs
    }

    /// Applies a state that was not folded record by record.
    pub fn restore(&mut self, now: Moment, state: &State) -> Outputs {
        let mut outputs = Outputs::new();
        let Some(current) = state.current_claim(&self.scope) else {
            return outputs;
        };
        let view = &self.view;
        let previous = (view.fence, view.renewed, view.released);
        if previous == (current.fence, current.renewed, current.released) {
            return outputs;
        }
        let held_before = self.holds();
        self.view = ClaimView {
            fence: current.fence,
            renewed: current.renewed,
            released: current.released,
            own: current.holder == self.author,
            read_at: now,
        };
        match (held_before, self.holds()) {
            (false, true) => {
                self.held_since = now;
                outputs.push(Output::Acquired {
                    fence: self.view.fence,
                });
            }
            (true, false) => {
                self.lease_start = None;
                let to = (!current.released).then(|| current.holder.clone());
                outputs.push(Output::Lost { to });
            }
            (true, true) | (false, false) => (),
        }
        outputs
    }

    /// Applies an input other than a record and returns the append that is due, if any.
    pub fn step(&mut self, now: Moment, input: &Input<'_>) -> Outputs {
        match *input {
            Input::Tick => (),
            Input::Read { sent_at } => {
                self.first_read.get_or_insert(now);
                self.last_read = self.last_read.max(Some(sent_at));
            }
            Input::Members(members) => {
                self.rank = rank::rank(&self.scope, &self.author.instance, members);
            }
            Input::OtherScopes(scopes) => self.other_scopes = scopes,
            // The answer says that the record is in the log, not that it is valid.
            Input::AppendAcknowledged(_) => (),
            Input::AppendFailed(nonce) => {
                self.pending_appends.retain(|append| append.nonce != nonce);
                self.due = self.due.min(now + self.term.retry_delay());
            }
            // Keep the pending append: the record may be in the log or still be logged later.
            Input::AppendUnknown(_) => self.due = self.due.min(now + self.term.retry_delay()),
            Input::Leave if self.leaving => (),
            Input::Leave => {
                self.leaving = true;
                self.due = now;
            }
        }
        let body = self.due_body(now);
        body.into_iter()
            .map(|body| self.append(now, body))
            .collect()
    }

    fn due_body(&self, now: Moment) -> Option<Body> {
        if now < self.due {
            return None;
        }
        if self.holds() {
            return Some(self.renewal_or_release());
        }
        self.may_claim(now).then(|| self.claim_body())
    }

    fn renewal_or_release(&self) -> Body {
        let (scope, fence) = (self.scope.clone(), self.view.fence);
        if self.leaving {
            Body::Release(record::Release { scope, fence })
        } else {
            Body::Renewal(record::Renewal { scope, fence })
        }
    }

    fn claim_body(&self) -> Body {
        Body::ScopeClaim(record::ScopeClaim {
            scope: self.scope.clone(),
            replaces: self.view.fence,
            seen: self.view.renewed,
        })
    }

    /// A challenge is due when the wait is over and a read sent after its end has reached the end
    /// of the log. After an outage of the log or a pause of this process, this read shows the
    /// holder's renewals; without it, every process would challenge based on stale data.
    fn may_claim(&self, now: Moment) -> bool {
        if self.leaving {
            return false;
        }
        let Some(first_read) = self.first_read else {
            return false;
        };
        let vacant = self.view.fence == 0 || self.view.released;
        let wait = if vacant {
            Duration::ZERO
        } else {
            self.term.challenge_wait()
        };
        let due = first_read.max(self.view.read_at) + wait + self.challenge_delay();
        now >= due && self.last_read >= Some(due)
    }

    /// The delay grows with the rank of the challenger and with the number of scopes that it
    /// already holds. Jitter of less than half a step separates processes of equal rank, which
    /// occur when their member lists differ.
    fn challenge_delay(&self) -> Duration {
        let steps = self.rank.saturating_add(self.other_scopes);
        let stagger = self.term.stagger();
        stagger * steps + stagger * self.nonces.jitter_permille() / 2000
    }

    fn append(&mut self, now: Moment, body: Body) -> Output {
        let nonce = self.nonces.next_nonce();
        self.due = match body {
            Body::Renewal(_) => now + self.term.renewal_interval(),
            _ => now + self.term.retry_delay(),
        };
        if self.pending_appends.len() == MAX_PENDING_APPENDS {
            self.pending_appends.remove(0);
        }
        self.pending_appends.push(PendingAppend {
            nonce,
            sent_at: now,
        });
        Output::Append { nonce, body }
    }

    /// Removes the pending append of a record of this process and returns its send time.
    fn take_pending_append(&mut self, record: &Record) -> Option<Moment> {
        let mut appends = self.pending_appends.iter();
        let found = appends.position(|append| record.nonce == append.nonce)?;
        Some(self.pending_appends.remove(found).sent_at)
    }
}
