//! Handles the outputs of a process's state machines.

use std::sync::Arc;

use authority::OrderId;
use authority::change;
use authority::lease;
use authority::planner::{self, Input};
use claims::{CallId, Decision, Executed, Output};
use clock::Moment;
use fleet::upstream::{self, State};

use super::{Process, Source};
use crate::{Line, Name};

/// A call that a process will make to an engine.
#[derive(Clone, Debug)]
pub(crate) enum EngineCall {
    /// A request of a planned change.
    Change(Name, OrderId, change::Output),
    /// A check of an idle engine's state.
    Check(Name, OrderId),
}

impl Process {
    /// Advances the lease and the planner to the current time.
    pub(crate) fn tick_control(&mut self, now: Moment) -> Vec<Line> {
        let outputs = self.lease.step(now, &lease::Input::Tick);
        let mut lines = self.handle_lease(outputs);
        lines.extend(self.release_if_leaving(now));
        let senders = self.members.senders();
        let active: Vec<(Name, OrderId)> = self
            .planner
            .active_changes()
            .map(|active| (active.upstream.clone(), active.order))
            .collect();
        let serving = self
            .upstreams
            .iter()
            .filter(|upstream| matches!(upstream.state, State::Live | State::Closed))
            .map(|upstream| upstream.id.clone())
            .collect();
        lines.extend(self.step_planner(now, Input::Serving(serving)));
        for (upstream, order) in active {
            if self.listing.read_at().is_some() && self.listing.get(&upstream).is_none() {
                lines.extend(self.step_planner(now, Input::Change(order, change::Input::Absent)));
                continue;
            }
            let blockers = self
                .drain
                .blockers(now, order, &senders)
                .unwrap_or_default();
            let blockers = blockers.iter().map(ToString::to_string).collect();
            let input = Input::Change(order, change::Input::Blockers(blockers));
            lines.extend(self.step_planner(now, input));
        }
        lines.extend(self.step_planner(now, Input::Tick));
        lines
    }

    /// Passes an input to the planner.
    pub(crate) fn step_planner(&mut self, now: Moment, input: Input) -> Vec<Line> {
        let grant = self.lease.grant();
        let outputs = self.planner.step(now, &self.authority, grant, input);
        let mut lines = Vec::new();
        for output in outputs {
            match output {
                planner::Output::Append { nonce, body } => self.queue(Source::Planner, nonce, body),
                planner::Output::Change {
                    upstream,
                    order,
                    output,
                } => self
                    .engine_calls
                    .push_back(EngineCall::Change(upstream, order, output)),
                planner::Output::Check { upstream, settled } => {
                    self.engine_calls
                        .push_back(EngineCall::Check(upstream, settled));
                }
                planner::Output::Mismatch { upstream, .. } => {
                    lines.push(self.line(format!("{upstream} is not as it was settled")));
                }
                planner::Output::Concluded {
                    upstream,
                    order,
                    verdict,
                } => lines.push(self.line(format!("order {order} of {upstream}: {verdict:?}"))),
            }
        }
        lines
    }

    pub(crate) fn handle_lease(&mut self, outputs: lease::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            match output {
                lease::Output::Append { nonce, body } => self.queue(Source::Lease, nonce, body),
                lease::Output::Acquired { fence } => {
                    lines.push(self.line(format!("holds the scope by claim {fence}")));
                }
                lease::Output::Lost { to: Some(to) } => {
                    lines.push(self.line(format!("lost the scope to {}", to.instance)));
                }
                lease::Output::Lost { to: None } => lines.push(self.line("released the scope")),
            }
        }
        lines
    }

    pub(crate) fn handle_claims(&mut self, outputs: claims::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            match output {
                Output::Append { nonce, body } => self.queue(Source::Claims, nonce, body),
                Output::Decide(call, decision) => {
                    lines.push(self.handle_decision(call, &decision));
                }
                Output::Contested { call, holder } => {
                    let holder = &holder.instance;
                    lines.push(self.line(format!("call {call} is contested by {holder}")));
                }
            }
        }
        lines
    }

    fn handle_decision(&mut self, call: CallId, decision: &Decision) -> Line {
        let key = self.calls.get(&call).map(|info| info.key.clone());
        let key = key.unwrap_or_default();
        let instance = |holder: &Arc<claims::Holder>| holder.instance.clone();
        let text = match decision {
            Decision::Run { claim } => {
                self.ready_calls.push(call);
                format!("runs by claim {claim}")
            }
            Decision::RunUnclaimed => {
                self.ready_calls.push(call);
                "runs unclaimed".to_owned()
            }
            Decision::InProgress { holder, .. } => format!("in progress at {}", instance(holder)),
            Decision::Answered { holder, .. } => format!("answered at {}", instance(holder)),
            Decision::Conflict => "conflict".to_owned(),
            Decision::Refused {
                executed: Executed::No,
            } => {
                self.reported_not_run.push((call, key.clone()));
                "refused, not run".to_owned()
            }
            Decision::Refused {
                executed: Executed::Unknown,
            } => "refused, unknown".to_owned(),
            Decision::AttemptRequired => "refused, attempt required".to_owned(),
        };
        self.line(format!("call {call} of {key}: {text}"))
    }

    pub(super) fn handle_upstreams(&mut self, outputs: upstream::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            if let upstream::Output::Changed { id, state, .. } = output {
                lines.push(self.line(format!("{id} is {state:?}")));
            }
        }
        lines
    }
}
