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

use crate::appends::{Appends, Ended, Source};
use crate::census::Census;
use crate::engines::Engines;

/// What this process does for one scope.
pub(crate) struct Scope {
    pub(crate) lease: Lease,
    pub(crate) planner: Planner,
}

/// What the outside of the scopes looks like at one step.
pub(crate) struct Around<'a> {
    pub(crate) now: Moment,
    pub(crate) state: &'a State,
    pub(crate) census: &'a Census,
    pub(crate) appends: &'a Appends,
    pub(crate) engines: &'a Engines,
}

/// All scopes.
pub(crate) struct Scopes {
    me: Author,
    term: Term,
    pace: Timing,
    scopes: BTreeMap<String, Scope>,
    seed: Box<dyn FnMut() -> u64>,
    /// The newest renewal of each scope with the moment at which it was seen first.
    renewed: BTreeMap<String, (Offset, Moment)>,
    /// The planners were told who serves as of this count of changes.
    served: Option<u64>,
    leaving: bool,
    mismatches: u64,
}

impl Scopes {
    pub(crate) fn new(me: Author, term: Term, pace: Timing, seed: Box<dyn FnMut() -> u64>) -> Self {
        Self {
            me,
            term,
            pace,
            scopes: BTreeMap::new(),
            seed,
            renewed: BTreeMap::new(),
            served: None,
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
    pub(crate) fn is_released(&self) -> bool {
        !self.scopes.values().any(|scope| scope.lease.holds())
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.scopes.values().all(|scope| scope.planner.is_idle())
    }

    /// Follows the catalogue: a scope for each pool of engines. A pool that was removed keeps its
    /// scope while an order of it is unresolved; nobody else would resolve it.
    pub(crate) fn follow(&mut self, now: Moment, catalogue: &catalogue::View, state: &State) {
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
            let mut lease = Lease::new(scope.clone(), self.me.clone(), self.term, (self.seed)());
            lease.restore(now, state);
            let planner = Planner::new(scope.clone(), Bounds::default(), self.pace, (self.seed)());
            self.scopes.insert(scope, Scope { lease, planner });
            self.served = None;
        }
    }

    /// Shows a folded record to the leases.
    pub(crate) fn apply(&mut self, now: Moment, offset: Offset, record: &Record, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.apply(now, offset, record, state) {
                tell(name, &output);
            }
        }
    }

    /// Shows a state that came from a snapshot to the leases.
    pub(crate) fn restore(&mut self, now: Moment, state: &State) {
        for (name, scope) in &mut self.scopes {
            for output in scope.lease.restore(now, state) {
                tell(name, &output);
            }
        }
    }

    /// A read that was sent at `asked` reached the end of the log.
    pub(crate) fn read(&mut self, around: &Around<'_>, asked: Moment) {
        for (name, scope) in &mut self.scopes {
            let outputs = scope
                .lease
                .step(around.now, &lease::Input::Read { sent_at: asked });
            carry_out(name, outputs, around);
        }
    }

    pub(crate) fn appended(&mut self, around: &Around<'_>, name: &str, ended: &Ended) {
        let Some(scope) = self.scopes.get_mut(name) else {
            return;
        };
        let input = match ended.result {
            Ok(_) => lease::Input::AppendAcknowledged(ended.nonce),
            Err(platform::AppendError::Refused { .. }) => lease::Input::AppendFailed(ended.nonce),
            Err(platform::AppendError::Unknown) => lease::Input::AppendUnknown(ended.nonce),
        };
        let outputs = scope.lease.step(around.now, &input);
        carry_out(name, outputs, around);
    }

    /// Gives all scopes up.
    pub(crate) fn leave(&mut self, around: &Around<'_>) {
        self.leaving = true;
        for (name, scope) in &mut self.scopes {
            let outputs = scope.lease.step(around.now, &lease::Input::Leave);
            carry_out(name, outputs, around);
        }
    }

    /// Something for a planner.
    pub(crate) fn plan(&mut self, around: &Around<'_>, name: &str, input: planner::Input) {
        if let Some(scope) = self.scopes.get_mut(name) {
            let grant = scope.lease.grant();
            let outputs = scope.planner.step(around.now, around.state, grant, input);
            self.mismatches += plan_out(name, outputs, around);
        }
    }

    /// A planned change is wanted. It is taken by the holder only.
    pub(crate) fn want(
        &mut self,
        around: &Around<'_>,
        name: &str,
        (upstream, what): (UpstreamId, Order),
        reason: Reason,
    ) -> bool {
        let holds = self.scopes.get(name).is_some_and(|scope| {
            let may_act = scope
                .lease
                .grant()
                .is_some_and(|grant| grant.may_act(around.now, std::time::Duration::ZERO));
            may_act && !self.leaving
        });
        if holds {
            let want = planner::Input::Request {
                upstream,
                action: what,
                reason,
            };
            self.plan(around, name, want);
        }
        holds
    }

    /// Lets time pass, and shows leases and planners how the fleet stands.
    pub(crate) fn tick(&mut self, around: &Around<'_>) {
        let alive = around.census.alive();
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
                let outputs = scope.lease.step(around.now, input);
                carry_out(name, outputs, around);
            }
        }
        let changes = around.census.changes();
        let changed = self.served.replace(changes) != Some(changes);
        let names: Vec<String> = self.scopes.keys().cloned().collect();
        for name in names {
            let input = match changed {
                true => planner::Input::Serving(around.census.serving(&name)),
                false => planner::Input::Tick,
            };
            self.plan(around, &name, input);
            self.show_waits(around, &name);
        }
    }

    /// Tells each change under way what its closing waits for.
    fn show_waits(&mut self, around: &Around<'_>, name: &str) {
        let Some(scope) = self.scopes.get(name) else {
            return;
        };
        let underway = scope.planner.active_changes();
        let underway: Vec<(OrderId, UpstreamId)> = underway
            .map(|change| (change.order, change.upstream.clone()))
            .collect();
        let senders = around.census.senders();
        for (order, upstream) in underway {
            let input = if around.census.is_absent(&upstream) {
                Some(ChangeInput::Absent)
            } else {
                let waits = around.census.drain.blockers(around.now, order, &senders);
                waits.map(|waits| ChangeInput::Blockers(described(&waits)))
            };
            if let Some(input) = input {
                self.plan(around, name, planner::Input::Change(order, input));
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
            let newest = self.renewed.entry(name.clone()).or_insert((0, now));
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

fn described(waits: &[fleet::drain::Blocker]) -> SmallVec<[Blocker; 4]> {
    waits.iter().map(ToString::to_string).collect()
}

fn tell(scope: &str, output: &lease::Output) {
    match output {
        lease::Output::Acquired { fence } => log::info!(scope, fence; "control acquired"),
        lease::Output::Lost { to: Some(to) } => {
            log::warn!(scope, to = to.instance.as_str(); "control lost");
        }
        lease::Output::Lost { to: None } => log::info!(scope; "control released"),
        lease::Output::Append { .. } => (),
    }
}

fn carry_out(scope: &str, outputs: lease::Outputs, around: &Around<'_>) {
    for output in outputs {
        tell(scope, &output);
        if let lease::Output::Append { nonce, body } = output {
            around
                .appends
                .send(Source::Lease(scope.to_owned()), nonce, body);
        }
    }
}

/// Carries out what a planner wants; gives how many engines were found in a wrong state.
fn plan_out(scope: &str, outputs: planner::Outputs, around: &Around<'_>) -> u64 {
    let mut mismatches = 0;
    let address = |upstream: &str| {
        let known = around.census.upstreams.get(upstream);
        known.map(|known| known.address.clone())
    };
    for output in outputs {
        match output {
            planner::Output::Append { nonce, body } => {
                around.appends.send(Source::Planner, nonce, body);
            }
            planner::Output::Change {
                upstream,
                order,
                output,
            } => around
                .engines
                .change(scope, order, address(&upstream), output),
            planner::Output::Check { upstream, settled } => {
                if let Some(address) = address(&upstream) {
                    around.engines.check(scope, upstream, settled, address);
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
