//! What a process does with the outputs of its state machines.

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

/// Something that a process wants to ask or tell an engine.
#[derive(Clone, Debug)]
pub(crate) enum EngineCall {
    /// For a planned change.
    Change(Name, OrderId, change::Output),
    /// A reading of an idle engine.
    Check(Name, OrderId),
}

impl Process {
    /// Lets the lease and the planner notice the time.
    pub(crate) fn tick_control(&mut self, now: Moment) -> Vec<Line> {
        let outputs = self.lease.step(now, &lease::Input::Tick);
        let mut lines = self.take_lease(outputs);
        lines.extend(self.leave(now));
        let senders = self.members.senders();
        let underway: Vec<(Name, OrderId)> = self
            .planner
            .active_changes()
            .map(|one| (one.upstream.clone(), one.order))
            .collect();
        let serving = self
            .upstreams
            .iter()
            .filter(|one| matches!(one.state, State::Live | State::Closed))
            .map(|one| one.id.clone())
            .collect();
        lines.extend(self.plan(now, Input::Serving(serving)));
        for (upstream, order) in underway {
            if self.listing.read_at().is_some() && self.listing.get(&upstream).is_none() {
                lines.extend(self.plan(now, Input::Change(order, change::Input::Absent)));
                continue;
            }
            let waits = self
                .drain
                .blockers(now, order, &senders)
                .unwrap_or_default();
            let waits = waits.iter().map(ToString::to_string).collect();
            let waiting = Input::Change(order, change::Input::Blockers(waits));
            lines.extend(self.plan(now, waiting));
        }
        lines.extend(self.plan(now, Input::Tick));
        lines
    }

    /// Gives the planner an input.
    pub(crate) fn plan(&mut self, now: Moment, input: Input) -> Vec<Line> {
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
                    lines.push(self.say(format!("{upstream} is not as it was settled")));
                }
                planner::Output::Concluded {
                    upstream,
                    order,
                    verdict,
                } => lines.push(self.say(format!("order {order} of {upstream}: {verdict:?}"))),
            }
        }
        lines
    }

    pub(crate) fn take_lease(&mut self, outputs: lease::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            match output {
                lease::Output::Append { nonce, body } => self.queue(Source::Lease, nonce, body),
                lease::Output::Acquired { fence } => {
                    lines.push(self.say(format!("holds the scope by claim {fence}")));
                }
                lease::Output::Lost { to: Some(to) } => {
                    lines.push(self.say(format!("lost the scope to {}", to.instance)));
                }
                lease::Output::Lost { to: None } => lines.push(self.say("released the scope")),
            }
        }
        lines
    }

    pub(crate) fn take_claims(&mut self, outputs: claims::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            match output {
                Output::Append { nonce, body } => self.queue(Source::Claims, nonce, body),
                Output::Decide(ticket, decision) => {
                    lines.push(self.decided(ticket, &decision));
                }
                Output::Contested {
                    call: ticket,
                    holder,
                } => {
                    let holder = &holder.instance;
                    lines.push(self.say(format!("call {ticket} is contested by {holder}")));
                }
            }
        }
        lines
    }

    fn decided(&mut self, ticket: CallId, decision: &Decision) -> Line {
        let key = self.asked.get(&ticket).map(|asked| asked.key.clone());
        let key = key.unwrap_or_default();
        let at = |holder: &Arc<claims::Holder>| holder.instance.clone();
        let text = match decision {
            Decision::Run { claim } => {
                self.sending.push(ticket);
                format!("runs by claim {claim}")
            }
            Decision::RunUnclaimed => {
                self.sending.push(ticket);
                "runs unclaimed".to_owned()
            }
            Decision::InProgress { holder, .. } => format!("in progress at {}", at(holder)),
            Decision::Answered { holder, .. } => format!("answered at {}", at(holder)),
            Decision::Conflict => "conflict".to_owned(),
            Decision::Refused {
                executed: Executed::No,
            } => {
                self.told_not_run.push((ticket, key.clone()));
                "refused, not run".to_owned()
            }
            Decision::Refused {
                executed: Executed::Unknown,
            } => "refused, unknown".to_owned(),
            Decision::AttemptRequired => "refused, attempt required".to_owned(),
        };
        self.say(format!("call {ticket} of {key}: {text}"))
    }

    pub(super) fn take_upstreams(&mut self, outputs: upstream::Outputs) -> Vec<Line> {
        let mut lines = Vec::new();
        for output in outputs {
            if let upstream::Output::Changed { id, state, .. } = output {
                lines.push(self.say(format!("{id} is {state:?}")));
            }
        }
        lines
    }
}
