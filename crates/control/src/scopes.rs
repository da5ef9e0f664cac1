//! The scopes: one lease and one planner a pool of engines.

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

/// What this process does for one scope.
pub(crate) struct Scope {
    pub(crate) lease: Lease,
    pub(crate) planner: Planner,
}

/// What the outside of the scopes looks like at one step.
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
    /// The newest renewal of each scope with the moment at which it was seen first.
    last_renewals: BTreeMap<String, (Offset, Moment)>,
    /// The planners were told who serves as of this count of changes.
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

    /// Whether this process holds nothing that a successor waits for.
    pub(crate) fn holds_none(&self) -> bool {
        !self.scopes.values().any(|scope| scope.lease.holds())
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.scopes.values().all(|scope| scope.planner.is_idle())
    }

    /// Follows the catalogue: a scope for each pool of engines. A pool that was removed keeps its
    /// scope while an order of it is unresolved; nobody else would resolve it.
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

    /// Shows a folded record to the leases.
    pub(crate) fn apply(&mut self, now: Moment, offset: Offset, record: &Record, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.apply(now, offset, record, state) {
                log_output(name, &output);
            }
        }
    }

    /// Shows a state that came from a snapshot to the leases.
    pub(crate) fn restore(&mut self, now: Moment, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.restore(now, state) {
                log_output(name, &output);
            }
        }
    }

    /// A read that was sent at `asked` reached the end of the log.
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

    /// Gives all scopes up.
    pub(crate) fn release_all(&mut self, context: &Context<'_>) {
        self.leaving = true;
        for (name, scope) in &mut self.scopes {
            let outputs = scope.lease.step(context.now, &lease::Input::Leave);
            carry_out(name, outputs, context);
        }
    }

    /// Something for a planner.
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

    /// A planned change is wanted. It is taken by the holder only.
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

    /// Lets time pass, and shows leases and planners how the fleet stands.
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

    /// Tells each change under way what its closing waits for.
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

    /// Whether a scope's holder has been silent for the wait of a challenger, so that this process
    /// claims it as soon as a read that is sent now finds nothing newer.
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

    /// What this process may do in a scope.
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

/// Carries out what a planner wants; gives how many engines were found in a wrong state.
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
