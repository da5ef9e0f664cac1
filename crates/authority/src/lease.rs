//! The lease of one process on one scope: when it claims, when it renews, until when it may act.
//! All times are of this process's own monotonic clock; that the rates of clocks differ by no more
//! than a bound is all that is assumed of them. See `docs/design/authority.md`.

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

/// Bound on appends whose fate is not known. A forgotten one can no longer extend the lease when
/// it is read back, which shortens the lease and never lengthens it.
pub const MAX_ATTEMPTS: usize = 8;

/// What a step asks of the owner.
pub type Outputs = SmallVec<[Output; 2]>;

/// An append that has not been read back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    nonce: Nonce,
    /// The moment before it was sent.
    at: Moment,
}

/// The claim in force as this process has read it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct View {
    fence: Fence,
    renewed: Offset,
    released: bool,
    mine: bool,
    /// When the newest valid claim, renewal or release was read.
    read: Moment,
}

/// The state machine of one process and one scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    scope: ScopeId,
    me: Author,
    term: Term,
    nonces: NonceSource,
    rank: u32,
    burden: u32,
    view: View,
    /// When the first read that reached the end of the log was folded.
    first_read: Option<Moment>,
    /// When the newest read that reached the end of the log was sent.
    last_read: Option<Moment>,
    attempts: SmallVec<[Attempt; MAX_ATTEMPTS]>,
    /// The moment before the newest claim or renewal that was read back as valid was sent.
    start: Option<Moment>,
    /// When this process began to hold the scope.
    since: Moment,
    /// When the next append is due at the earliest.
    next: Moment,
    leaving: bool,
}

impl Lease {
    /// A lease that has read nothing. `seed` is drawn at random for each process.
    pub fn new(scope: ScopeId, me: Author, term: Term, seed: u64) -> Self {
        Self {
            scope,
            me,
            term,
            nonces: NonceSource::new(seed),
            rank: 0,
            burden: 0,
            view: View::default(),
            first_read: None,
            last_read: None,
            attempts: SmallVec::new(),
            start: None,
            since: Moment::ZERO,
            next: Moment::ZERO,
            leaving: false,
        }
    }

    /// The scope.
    pub fn scope(&self) -> &ScopeId {
        &self.scope
    }

    /// Whether this process's claim is in force, whatever its lease.
    pub fn holds(&self) -> bool {
        self.view.mine && !self.view.released
    }

    /// What this process may do in the scope; `None` if another process's claim is in force, or
    /// nobody's, or none of this process's appends was read back. The lease may be over: the
    /// caller asks [`Grant::may_act`].
    pub fn grant(&self) -> Option<Grant> {
        let start = self.start.filter(|_| self.holds() && !self.leaving)?;
        Some(Grant {
            fence: self.view.fence,
            until: start + self.term.lease(),
            since: self.since,
            quarantine_until: self.since + self.term.challenge_wait(),
        })
    }

    /// Whether the lease covers an action that may take effect until `need` from now.
    pub fn may_act(&self, now: Moment, need: Duration) -> bool {
        self.grant().is_some_and(|grant| grant.may_act(now, need))
    }

    /// Takes in a record after `state` has folded it at `offset`. One whose state comes from
    /// a snapshot is shown it by [`Lease::restore`].
    pub fn apply(
        &mut self,
        now: Moment,
        offset: Offset,
        record: &Record,
        state: &State,
    ) -> Outputs {
        let sent = self.read_back(record);
        let outputs = self.restore(now, state);
        if let Some(at) = sent
            && self.holds()
            && self.view.renewed == offset
        {
            // Records are read back in the log's order, which may not be the order of sending.
            self.start = self.start.max(Some(at));
            if !self.leaving {
                self.next = self.next.max(at + self.term.renewal_interval());
            }
        }
        outputs
    }

    /// Takes in a state that was not folded record by record.
    pub fn restore(&mut self, now: Moment, state: &State) -> Outputs {
        let mut outputs = Outputs::new();
        let Some(held) = state.current_claim(&self.scope) else {
            return outputs;
        };
        let view = &self.view;
        let known = (view.fence, view.renewed, view.released);
        if known == (held.fence, held.renewed, held.released) {
            return outputs;
        }
        let held_before = self.holds();
        self.view = View {
            fence: held.fence,
            renewed: held.renewed,
            released: held.released,
            mine: held.holder == self.me,
            read: now,
        };
        match (held_before, self.holds()) {
            (false, true) => {
                self.since = now;
                outputs.push(Output::Acquired {
                    fence: self.view.fence,
                });
            }
            (true, false) => {
                self.start = None;
                let to = (!held.released).then(|| held.holder.clone());
                outputs.push(Output::Lost { to });
            }
            (true, true) | (false, false) => (),
        }
        outputs
    }

    /// Takes in anything but a record and tells what is due.
    pub fn step(&mut self, now: Moment, input: &Input<'_>) -> Outputs {
        match *input {
            Input::Tick => (),
            Input::Read { sent_at: asked } => {
                self.first_read.get_or_insert(now);
                self.last_read = self.last_read.max(Some(asked));
            }
            Input::Members(members) => {
                self.rank = rank::rank(&self.scope, &self.me.instance, members);
            }
            Input::OtherScopes(scopes) => self.burden = scopes,
            // An answer says that the record stands, not that it is valid.
            Input::AppendAcknowledged(_) => (),
            Input::AppendFailed(nonce) => {
                self.attempts.retain(|attempt| attempt.nonce != nonce);
                self.next = self.next.min(now + self.term.retry_delay());
            }
            // The attempt is kept: it may have landed, or land at any later time.
            Input::AppendUnknown(_) => self.next = self.next.min(now + self.term.retry_delay()),
            Input::Leave if self.leaving => (),
            Input::Leave => {
                self.leaving = true;
                self.next = now;
            }
        }
        let body = self.due(now);
        body.into_iter()
            .map(|body| self.append(now, body))
            .collect()
    }

    fn due(&self, now: Moment) -> Option<Body> {
        if now < self.next {
            return None;
        }
        if self.holds() {
            return Some(self.keep());
        }
        self.may_claim(now).then(|| self.claim())
    }

    fn keep(&self) -> Body {
        let (scope, fence) = (self.scope.clone(), self.view.fence);
        if self.leaving {
            Body::Release(record::Release { scope, fence })
        } else {
            Body::Renewal(record::Renewal { scope, fence })
        }
    }

    fn claim(&self) -> Body {
        Body::ScopeClaim(record::ScopeClaim {
            scope: self.scope.clone(),
            replaces: self.view.fence,
            seen: self.view.renewed,
        })
    }

    /// A challenge is due when the wait is over and a read that was sent after that has reached
    /// the end of the log. After an outage of the log, or a pause of this process, the holder's
    /// renewals are read first; without that read every process would challenge on old news.
    fn may_claim(&self, now: Moment) -> bool {
        if self.leaving {
            return false;
        }
        let Some(first) = self.first_read else {
            return false;
        };
        let vacant = self.view.fence == 0 || self.view.released;
        let wait = if vacant {
            Duration::ZERO
        } else {
            self.term.challenge_wait()
        };
        let due = first.max(self.view.read) + wait + self.delay();
        now >= due && self.last_read >= Some(due)
    }

    /// Challengers differ by their rank and by how much they hold already; the jitter, below half
    /// a step, keeps processes with the same rank apart, which happens when their member lists
    /// differ.
    fn delay(&self) -> Duration {
        let steps = self.rank.saturating_add(self.burden);
        let stagger = self.term.stagger();
        stagger * steps + stagger * self.nonces.jitter_permille() / 2000
    }

    fn append(&mut self, now: Moment, body: Body) -> Output {
        let nonce = self.nonces.next_nonce();
        self.next = match body {
            Body::Renewal(_) => now + self.term.renewal_interval(),
            _ => now + self.term.retry_delay(),
        };
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(Attempt { nonce, at: now });
        Output::Append { nonce, body }
    }

    /// The moment before the record was sent, if it is one of this process's.
    fn read_back(&mut self, record: &Record) -> Option<Moment> {
        let mut attempts = self.attempts.iter();
        let found = attempts.position(|attempt| record.nonce == attempt.nonce)?;
        Some(self.attempts.remove(found).at)
    }
}
