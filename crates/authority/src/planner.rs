//! All planned changes of a scope that this process holds. The planner starts requested changes
//! while enough upstreams stay open and the weight store has room, takes over changes of a former
//! holder, and repairs engines that differ from their settled state. See `docs/design/orders.md`.

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

pub mod bounds;
mod intents;
pub mod message;
mod reconcile;

/// The outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;

/// A requested change whose intent is not folded yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RequestedChange {
    action: Order,
    reason: Reason,
    /// Whether an intent was sent. It may be logged at any later time.
    intent_sent: bool,
    /// Earliest time to send the intent, or to send it again.
    next_intent: Moment,
}

/// A change whose order is pending.
#[derive(Clone, Copy, Debug)]
pub struct ActiveChange<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Id of the order.
    pub order: OrderId,
    /// The change.
    pub change: &'a Change,
}

/// The state machine of all changes of one scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Planner {
    scope: ScopeId,
    bounds: Bounds,
    timing: Timing,
    nonces: NonceSource,
    serving: BTreeSet<UpstreamId>,
    requested: BTreeMap<UpstreamId, RequestedChange>,
    changes: BTreeMap<OrderId, (UpstreamId, Change)>,
    next_checks: BTreeMap<UpstreamId, Moment>,
    mismatches: u64,
}

impl Planner {
    /// Creates a planner without changes. `seed` is drawn at random for each planner.
    pub fn new(scope: ScopeId, bounds: Bounds, timing: Timing, seed: u64) -> Self {
        Self {
            scope,
            bounds,
            timing,
            nonces: NonceSource::new(seed),
            serving: BTreeSet::new(),
            requested: BTreeMap::new(),
            changes: BTreeMap::new(),
            next_checks: BTreeMap::new(),
            mismatches: 0,
        }
    }

    /// Sets new bounds and timing, from a new revision of the catalogue.
    pub fn set_bounds(&mut self, bounds: Bounds, timing: Timing) {
        self.bounds = bounds;
        self.timing = timing;
    }

    /// The changes that this process is executing.
    pub fn active_changes(&self) -> impl Iterator<Item = ActiveChange<'_>> {
        self.changes
            .iter()
            .map(|(order, (upstream, change))| ActiveChange {
                upstream,
                order: *order,
                change,
            })
    }

    /// The changes that wait for their intent.
    pub fn requested_changes(&self) -> impl Iterator<Item = (&UpstreamId, &Order, Reason)> {
        self.requested
            .iter()
            .map(|(upstream, request)| (upstream, &request.action, request.reason))
    }

    /// Whether no change is in progress. A process that shuts down may then release the scope
    /// without leaving an unfinished change to its successor.
    pub fn is_idle(&self) -> bool {
        self.changes.is_empty() && !self.requested.values().any(|request| request.intent_sent)
    }

    /// Number of engines found in a state other than their settled state.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Applies an input and returns the outputs that are due. `state` is folded as far as this
    /// process has read the log; `grant` is that of the lease at the same moment.
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
            self.handle_input(now, state, input, &mut outputs);
            return outputs;
        };
        self.sync_changes(now, state, &grant, &mut outputs);
        match input {
            Input::Change(order, input) => {
                self.step_change(now, state, grant, order, input, &mut outputs);
            }
            other => self.handle_input(now, state, other, &mut outputs),
        }
        let orders: SmallVec<[OrderId; 4]> = self.changes.keys().copied().collect();
        for order in orders {
            let tick = change::Input::Tick;
            self.step_change(now, state, grant, order, tick, &mut outputs);
        }
        self.send_intents(now, state, &grant, &mut outputs);
        self.send_checks(now, state, &mut outputs);
        outputs
    }

    /// Drops all changes: the next holder takes over the pending orders. Intents sent under the
    /// lost claim are invalid if they are logged after the new claim.
    fn step_down(&mut self) {
        self.changes.clear();
        self.next_checks.clear();
        for request in self.requested.values_mut() {
            request.intent_sent = false;
        }
    }

    fn handle_input(&mut self, now: Moment, state: &State, input: Input, outputs: &mut Outputs) {
        match input {
            Input::Tick | Input::Change(..) => (),
            Input::Serving(serving) => self.serving = serving,
            Input::Request {
                upstream,
                action,
                reason,
            } => self.request(now, upstream, action, reason),
            Input::Withdraw { upstream } => {
                if self
                    .requested
                    .get(&upstream)
                    .is_some_and(|request| !request.intent_sent)
                {
                    self.requested.remove(&upstream);
                }
            }
            Input::Checked {
                upstream,
                settled,
                reading,
            } => self.compare_reading(now, state, upstream, settled, &reading, outputs),
        }
    }

    fn request(&mut self, now: Moment, upstream: UpstreamId, action: Order, reason: Reason) {
        let queued = self.requested.get(&upstream);
        // A sent intent may still be logged. A second one would be refused or follow it.
        if queued.is_some_and(|request| request.intent_sent || request.reason < reason) {
            return;
        }
        let request = RequestedChange {
            action,
            reason,
            intent_sent: false,
            next_intent: now,
        };
        self.requested.insert(upstream, request);
    }

    /// Keeps one change for each pending order of the scope, and none for other orders.
    fn sync_changes(&mut self, now: Moment, state: &State, grant: &Grant, outputs: &mut Outputs) {
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
            let sent = self
                .requested
                .get(upstream)
                .is_some_and(|request| request.intent_sent);
            if sent {
                self.requested.remove(upstream);
            }
            // Only for intents of this planner under the claim in force is it known what was sent.
            let origin = if sent && pending.fence == grant.fence {
                Origin::Own
            } else {
                Origin::Inherited
            };
            let change = Change::new(now, pending, origin, self.timing);
            self.changes
                .insert(pending.order, (upstream.clone(), change));
        }
    }

    fn step_change(
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
            !pending.action.downloads_weights()
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
