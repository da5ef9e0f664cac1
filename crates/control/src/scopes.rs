//! Scopes: a lease and a planner for each pool of engines.

use std::collections::{BTreeMap, BTreeSet};

use authority::author::Author;
use authority::change::{Blocker, Input as ChangeInput, Timing};
use authority::lease::term::Term;
use authority::lease::{self, Grant, Lease};
use authority::order::Order;
use authority::planner::{self, Bounds, Planner, Reason};
use authority::state::State;
use authority::{Offset, OrderId, UpstreamId};
use catalogue::{Kind, PoolKind};
use clock::Moment;
use smallvec::SmallVec;
use wire::record::Record;

use crate::appends::{Appends, CompletedAppend, Source};
use crate::engines::Engines;
use crate::fleet_state::FleetState;

/// Lease and planner of this process for one scope.
pub(crate) struct Scope {
    pub(crate) lease: Lease,
    pub(crate) planner: Planner,
}

/// What leases and planners need for a step.
pub(crate) struct Context<'a> {
    pub(crate) now: Moment,
    pub(crate) state: &'a State,
    pub(crate) fleet: &'a FleetState,
    pub(crate) appends: &'a Appends,
    pub(crate) engines: &'a Engines,
}

/// All scopes.
pub(crate) struct Scopes {
    local: Author,
    term: Term,
    change_timing: Timing,
    scopes: BTreeMap<String, Scope>,
    seed: Box<dyn FnMut() -> u64>,
    /// The newest renewal of each scope, and when it was first seen.
    last_renewals: BTreeMap<String, (Offset, Moment)>,
    /// The count of state changes at which the planners last received the serving upstreams.
    serving_as_of: Option<u64>,
    leaving: bool,
    mismatches: u64,
}

impl Scopes {
    pub(crate) fn new(
        local: Author,
        term: Term,
        change_timing: Timing,
        seed: Box<dyn FnMut() -> u64>,
    ) -> Self {
        Self {
            local,
            term,
            change_timing,
            scopes: BTreeMap::new(),
            seed,
            last_renewals: BTreeMap::new(),
            serving_as_of: None,
            leaving: false,
            mismatches: 0,
        }
    }

    pub(crate) fn get(&self, scope: &str) -> Option<&Scope> {
        self.scopes.get(scope)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&String, &Scope)> {
        self.scopes.iter()
    }

    pub(crate) fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Whether this process holds no lease that a successor would wait for.
    pub(crate) fn holds_none(&self) -> bool {
        !self.scopes.values().any(|scope| scope.lease.holds())
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.scopes.values().all(|scope| scope.planner.is_idle())
    }

    /// Creates a scope for each pool of engines in the catalogue. A removed pool keeps its scope
    /// while it has an unresolved order, since only a holder of the scope resolves it.
    pub(crate) fn follow_catalogue(
        &mut self,
        now: Moment,
        catalogue: &catalogue::View,
        state: &State,
    ) {
        let pools = catalogue.names(Kind::Pool);
        let engines = pools.filter(|name| {
            let pool = catalogue.pool(name);
            pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
        });
        let mut wanted: BTreeSet<String> = engines.map(str::to_owned).collect();
        wanted.extend(
            state
                .pending_orders()
                .map(|(_, pending)| pending.scope.clone()),
        );
        self.scopes.retain(|scope, _| wanted.contains(scope));
        for scope in wanted {
            if self.scopes.contains_key(&scope) {
                continue;
            }
            let mut lease = Lease::new(scope.clone(), self.local.clone(), self.term, (self.seed)());
            lease.restore(now, state);
            let planner = Planner::new(
                scope.clone(),
                Bounds::default(),
                self.change_timing,
                (self.seed)(),
            );
            self.scopes.insert(scope, Scope { lease, planner });
            self.serving_as_of = None;
        }
    }

    /// Passes a folded record to the leases.
    pub(crate) fn apply(&mut self, now: Moment, offset: Offset, record: &Record, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.apply(now, offset, record, state) {
                log_output(name, &output);
            }
        }
    }

    /// Passes a state restored from a snapshot to the leases.
    pub(crate) fn restore(&mut self, now: Moment, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.restore(now, state) {
                log_output(name, &output);
            }
        }
    }

    /// Records that a read sent at `sent_at` has reached the end of the log.
    pub(crate) fn log_read(&mut self, context: &Context<'_>, sent_at: Moment) {
        for (name, scope) in &mut self.scopes {
            let outputs = scope
                .lease
                .step(context.now, &lease::Input::Read { sent_at });
            carry_out(name, outputs, context);
        }
    }

    pub(crate) fn appended(&mut self, context: &Context<'_>, name: &str, append: &CompletedAppend) {
        let Some(scope) = self.scopes.get_mut(name) else {
            return;
        };
        let input = match append.result {
            Ok(_) => lease::Input::AppendAcknowledged(append.nonce),
            Err(platform::AppendError::Refused { .. }) => lease::Input::AppendFailed(append.nonce),
            Err(platform::AppendError::Unknown) => lease::Input::AppendUnknown(append.nonce),
        };
        let outputs = scope.lease.step(context.now, &input);
        carry_out(name, outputs, context);
    }

    /// Releases all scopes.
    pub(crate) fn release_all(&mut self, context: &Context<'_>) {
        self.leaving = true;
        for (name, scope) in &mut self.scopes {
            let outputs = scope.lease.step(context.now, &lease::Input::Leave);
            carry_out(name, outputs, context);
        }
    }

    /// Passes an input to the planner of a scope.
    pub(crate) fn step_planner(
        &mut self,
        context: &Context<'_>,
        name: &str,
        input: planner::Input,
    ) {
        if let Some(scope) = self.scopes.get_mut(name) {
            let grant = scope.lease.grant();
            let outputs = scope.planner.step(context.now, context.state, grant, input);
            self.mismatches += carry_out_plan(name, outputs, context);
        }
    }

    /// Requests a planned change. Returns `false` if this process may not act for the scope.
    pub(crate) fn request_change(
        &mut self,
        context: &Context<'_>,
        name: &str,
        (upstream, action): (UpstreamId, Order),
        reason: Reason,
    ) -> bool {
        let holds = self.scopes.get(name).is_some_and(|scope| {
            let may_act = scope
                .lease
                .grant()
                .is_some_and(|grant| grant.may_act(context.now, std::time::Duration::ZERO));
            may_act && !self.leaving
        });
        if holds {
            let request = planner::Input::Request {
                upstream,
                action,
                reason,
            };
            self.step_planner(context, name, request);
        }
        holds
    }

    /// Ticks leases and planners, and passes them the state of the fleet.
    pub(crate) fn tick(&mut self, context: &Context<'_>) {
        let alive = context.fleet.alive();
        let held = self.scopes.values().filter(|scope| scope.lease.holds());
        let held = u32::try_from(held.count()).unwrap_or(u32::MAX);
        for (name, scope) in &mut self.scopes {
            let others = held - u32::from(scope.lease.holds());
            let inputs = [
                lease::Input::Members(&alive),
                lease::Input::OtherScopes(others),
                lease::Input::Tick,
            ];
            for input in &inputs {
                let outputs = scope.lease.step(context.now, input);
                carry_out(name, outputs, context);
            }
        }
        let changes = context.fleet.state_changes();
        let changed = self.serving_as_of.replace(changes) != Some(changes);
        let names: Vec<String> = self.scopes.keys().cloned().collect();
        for name in names {
            let input = match changed {
                true => planner::Input::Serving(context.fleet.serving(&name)),
                false => planner::Input::Tick,
            };
            self.step_planner(context, &name, input);
            self.update_blockers(context, &name);
        }
    }

    /// Passes to each active change what its closing waits for.
    fn update_blockers(&mut self, context: &Context<'_>, name: &str) {
        let Some(scope) = self.scopes.get(name) else {
            return;
        };
        let underway = scope.planner.active_changes();
        let underway: Vec<(OrderId, UpstreamId)> = underway
            .map(|change| (change.order, change.upstream.clone()))
            .collect();
        let senders = context.fleet.senders();
        for (order, upstream) in underway {
            let input = if context.fleet.is_absent(&upstream) {
                Some(ChangeInput::Absent)
            } else {
                let waits = context.fleet.drain.blockers(context.now, order, &senders);
                waits.map(|waits| ChangeInput::Blockers(describe_blockers(&waits)))
            };
            if let Some(input) = input {
                self.step_planner(context, name, planner::Input::Change(order, input));
            }
        }
    }

    /// Whether the holder of a scope has been silent for the challenge wait, so that this process
    /// may claim the scope once a read sent from now on finds no renewal.
    pub(crate) fn is_overdue(&mut self, now: Moment, state: &State) -> bool {
        let wait = self.term.challenge_wait();
        let mut overdue = false;
        for (name, scope) in &self.scopes {
            let Some(held) = state.current_claim(name) else {
                continue;
            };
            let newest = self.last_renewals.entry(name.clone()).or_insert((0, now));
            if newest.0 != held.renewed {
                *newest = (held.renewed, now);
            }
            overdue |= !scope.lease.holds() && !held.released && now >= newest.1 + wait;
        }
        overdue
    }

    /// The grant of this process for a scope, if it holds one.
    pub(crate) fn grant(&self, scope: &str) -> Option<Grant> {
        self.scopes.get(scope)?.lease.grant()
    }
}

fn describe_blockers(waits: &[fleet::drain::Blocker]) -> SmallVec<[Blocker; 4]> {
    waits.iter().map(ToString::to_string).collect()
}

fn log_output(scope: &str, output: &lease::Output) {
    match output {
        lease::Output::Acquired { fence } => log::info!(scope, fence; "control acquired"),
        lease::Output::Lost { to: Some(to) } => {
            log::warn!(scope, to = to.instance.as_str(); "control lost");
        }
        lease::Output::Lost { to: None } => log::info!(scope; "control released"),
        lease::Output::Append { .. } => (),
    }
}

fn carry_out(scope: &str, outputs: lease::Outputs, context: &Context<'_>) {
    for output in outputs {
        log_output(scope, &output);
        if let lease::Output::Append { nonce, body } = output {
            context
                .appends
                .send(Source::Lease(scope.to_owned()), nonce, body);
        }
    }
}

/// Carries out the outputs of a planner; returns the number of mismatches among them.
fn carry_out_plan(scope: &str, outputs: planner::Outputs, context: &Context<'_>) -> u64 {
    let mut mismatches = 0;
    let address = |upstream: &str| {
        let known = context.fleet.upstreams.get(upstream);
        known.map(|known| known.address.clone())
    };
    for output in outputs {
        match output {
            planner::Output::Append { nonce, body } => {
                context.appends.send(Source::Planner, nonce, body);
            }
            planner::Output::Change {
                upstream,
                order,
                output,
            } => context
                .engines
                .change(scope, order, address(&upstream), output),
            planner::Output::Check { upstream, settled } => {
                if let Some(address) = address(&upstream) {
                    context.engines.check(scope, upstream, settled, address);
                }
            }
            planner::Output::Mismatch { upstream, repairs } => {
                mismatches += 1;
                log::warn!(scope, upstream, repairs:?; "an engine is not as its orders left it");
            }
            planner::Output::Concluded {
                upstream,
                order,
                verdict,
            } => log::info!(scope, upstream, order, verdict:?; "order concluded"),
        }
    }
    mismatches
}
