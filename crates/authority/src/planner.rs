//! All planned changes of one scope, while this process holds it: which wanted change is begun
//! when, so that enough upstreams stay open and the weight store's limit is kept; which changes a
//! former holder left; which engines differ from what was settled. See `docs/design/orders.md`.

use crate::change::{self, Change, Origin, Permit, Timing};
use crate::lease::Grant;
use crate::nonce::NonceSource;
use crate::order::Order;
use crate::state::State;
use crate::{OrderId, ScopeId, UpstreamId};
use clock::Moment;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use wire::record::{self, record::Body};

pub use bounds::Bounds;
pub use message::{Input, Output, Reason};

mod begin;
pub mod bounds;
pub mod message;
mod reconcile;

/// What a step asks of the owner.
pub type Outputs = SmallVec<[Output; 4]>;

/// A change that is wanted and whose intent was not folded yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Wish {
    what: Order,
    reason: Reason,
    /// Whether an intent was sent, which may land at any later time.
    sent: bool,
    /// When the intent may be sent, or sent again.
    next: Moment,
}

/// What is known of a change that is under way.
#[derive(Clone, Copy, Debug)]
pub struct ActiveChange<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// The order.
    pub order: OrderId,
    /// The change.
    pub change: &'a Change,
}

/// The aggregate.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Planner {
    scope: ScopeId,
    bounds: Bounds,
    pace: Timing,
    nonces: NonceSource,
    serving: BTreeSet<UpstreamId>,
    wishes: BTreeMap<UpstreamId, Wish>,
    changes: BTreeMap<OrderId, (UpstreamId, Change)>,
    checks: BTreeMap<UpstreamId, Moment>,
    mismatches: u64,
}

impl Planner {
    /// A planner without wishes. `seed` is drawn at random for each planner.
    pub fn new(scope: ScopeId, bounds: Bounds, pace: Timing, seed: u64) -> Self {
        Self {
            scope,
            bounds,
            pace,
            nonces: NonceSource::new(seed),
            serving: BTreeSet::new(),
            wishes: BTreeMap::new(),
            changes: BTreeMap::new(),
            checks: BTreeMap::new(),
            mismatches: 0,
        }
    }

    /// Takes new bounds, from a new revision of the catalogue.
    pub fn set_bounds(&mut self, bounds: Bounds, pace: Timing) {
        self.bounds = bounds;
        self.pace = pace;
    }

    /// The changes that are under way under this process.
    pub fn active_changes(&self) -> impl Iterator<Item = ActiveChange<'_>> {
        self.changes
            .iter()
            .map(|(order, (upstream, change))| ActiveChange {
                upstream,
                order: *order,
                change,
            })
    }

    /// The changes that wait to be begun.
    pub fn requested_changes(&self) -> impl Iterator<Item = (&UpstreamId, &Order, Reason)> {
        self.wishes
            .iter()
            .map(|(upstream, wish)| (upstream, &wish.what, wish.reason))
    }

    /// Whether nothing is under way, so that a process that shuts down may release the scope
    /// without leaving a half-done change to its successor.
    pub fn is_idle(&self) -> bool {
        self.changes.is_empty() && !self.wishes.values().any(|wish| wish.sent)
    }

    /// How many engines were found in another state than the concluded orders settled.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Takes an input in and tells what is due. `state` is folded as far as this process has read
    /// the log, `grant` is the lease's of the same moment.
    pub fn step(
        &mut self,
        now: Moment,
        state: &State,
        grant: Option<Grant>,
        input: Input,
    ) -> Outputs {
        let mut outputs = Outputs::new();
        let Some(grant) = grant else {
            self.step_down();
            self.take(now, state, input, &mut outputs);
            return outputs;
        };
        self.follow(now, state, &grant, &mut outputs);
        match input {
            Input::Change(order, input) => {
                self.drive(now, state, grant, order, input, &mut outputs);
            }
            other => self.take(now, state, other, &mut outputs),
        }
        let orders: SmallVec<[OrderId; 4]> = self.changes.keys().copied().collect();
        for order in orders {
            let tick = change::Input::Tick;
            self.drive(now, state, grant, order, tick, &mut outputs);
        }
        self.begin(now, state, &grant, &mut outputs);
        self.check(now, state, &mut outputs);
        outputs
    }

    /// Another process holds the scope and takes over what is unresolved. Intents that were sent
    /// under the lost claim are invalid if they land after the new one.
    fn step_down(&mut self) {
        self.changes.clear();
        self.checks.clear();
        for wish in self.wishes.values_mut() {
            wish.sent = false;
        }
    }

    fn take(&mut self, now: Moment, state: &State, input: Input, outputs: &mut Outputs) {
        match input {
            Input::Tick | Input::Change(..) => (),
            Input::Serving(serving) => self.serving = serving,
            Input::Request {
                upstream,
                action: what,
                reason,
            } => self.want(now, upstream, what, reason),
            Input::Withdraw { upstream } => {
                if self.wishes.get(&upstream).is_some_and(|wish| !wish.sent) {
                    self.wishes.remove(&upstream);
                }
            }
            Input::Checked {
                upstream,
                settled,
                reading,
            } => self.compare(now, state, upstream, settled, &reading, outputs),
        }
    }

    fn want(&mut self, now: Moment, upstream: UpstreamId, what: Order, reason: Reason) {
        let waiting = self.wishes.get(&upstream);
        // What was sent may land; another intent beside it would be refused, or come second.
        if waiting.is_some_and(|wish| wish.sent || wish.reason < reason) {
            return;
        }
        let wish = Wish {
            what,
            reason,
            sent: false,
            next: now,
        };
        self.wishes.insert(upstream, wish);
    }

    /// Follows the fold: each unresolved order of the scope has its change, and no other has.
    fn follow(&mut self, now: Moment, state: &State, grant: &Grant, outputs: &mut Outputs) {
        let concluded = self.changes.iter();
        let concluded =
            concluded.filter(|(order, (upstream, _))| !is_pending(state, upstream, **order));
        let concluded: SmallVec<[OrderId; 4]> = concluded.map(|(order, _)| *order).collect();
        for order in concluded {
            let Some((upstream, _)) = self.changes.remove(&order) else {
                continue;
            };
            let ends = state
                .recent_orders()
                .filter(|end| end.intent.order == order);
            let ends = ends.map(|end| Output::Concluded {
                upstream: upstream.clone(),
                order,
                verdict: end.verdict,
            });
            outputs.extend(ends);
        }
        for (upstream, pending) in state.pending_orders() {
            if pending.scope != self.scope || self.changes.contains_key(&pending.order) {
                continue;
            }
            let sent = self.wishes.get(upstream).is_some_and(|wish| wish.sent);
            if sent {
                self.wishes.remove(upstream);
            }
            // Only this planner, under the claim in force, knows for certain what was sent.
            let origin = if sent && pending.fence == grant.fence {
                Origin::Own
            } else {
                Origin::Inherited
            };
            let change = Change::new(now, pending, origin, self.pace);
            self.changes
                .insert(pending.order, (upstream.clone(), change));
        }
    }

    fn drive(
        &mut self,
        now: Moment,
        state: &State,
        grant: Grant,
        order: OrderId,
        input: change::Input,
        outputs: &mut Outputs,
    ) {
        let Some((upstream, change)) = self.changes.get_mut(&order) else {
            return;
        };
        let admitted = state.pending_order(upstream).is_some_and(|pending| {
            !pending.action.uses_weight_store()
                || state.pending_loads_before(order) < self.bounds.max_loads
        });
        let permit = Permit { grant, admitted };
        for output in change.step(now, &permit, input) {
            let output = match output {
                change::Output::Conclude { verdict, detail } => Output::Append {
                    nonce: self.nonces.next_nonce(),
                    body: Body::Outcome(record::Outcome {
                        scope: self.scope.clone(),
                        fence: grant.fence,
                        order,
                        verdict: verdict.to_wire(),
                        detail: detail.to_owned(),
                    }),
                },
                output => Output::Change {
                    upstream: upstream.clone(),
                    order,
                    output,
                },
            };
            outputs.push(output);
        }
    }
}

fn is_pending(state: &State, upstream: &str, order: OrderId) -> bool {
    state
        .pending_order(upstream)
        .is_some_and(|pending| pending.order == order)
}
