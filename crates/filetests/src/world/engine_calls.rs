//! What entries ask and tell engines, and the judgement of what engines do then.

use std::time::Duration;

use authority::change::{self, Output, SendResult};
use authority::planner::Input;
use clock::Moment;

use super::{Travelling, World};
use crate::Name;
use crate::command::Fault;
use crate::process::EngineCall;

/// Just below the longest delay of orders in `authority::change::Timing`.
const LONGEST: Duration = Duration::from_millis(4_750);

impl World {
    pub(super) fn run_engine_calls(&mut self, name: &Name) {
        while let Some(call) = self
            .processes
            .get_mut(name)
            .and_then(|process| process.engine_calls.pop_front())
        {
            let input = match call {
                EngineCall::Check(upstream, settled) => self.check(name, upstream, settled),
                EngineCall::Change(upstream, order, output) => {
                    let input = self.tell_engine(name, &upstream, output);
                    input.map(|input| Input::Change(order, input))
                }
            };
            if let Some(input) = input {
                self.drive(name, |process, now| process.plan(now, input));
            }
        }
    }

    fn check(&self, name: &str, upstream: Name, settled: authority::OrderId) -> Option<Input> {
        let engine = self.engines.get(&upstream)?;
        if !self.reaches(name, &upstream) {
            return None;
        }
        let reading = engine.read();
        Some(Input::Checked {
            upstream,
            settled,
            reading,
        })
    }

    fn tell_engine(&mut self, name: &str, engine: &str, output: Output) -> Option<change::Input> {
        let pair = (name.to_owned(), engine.to_owned());
        let reaches = self.reaches(name, engine) && self.engines.contains_key(engine);
        match output {
            Output::Read { request: ticket } => Some(match self.engines.get(engine) {
                Some(found) if reaches => change::Input::Reading(ticket, found.read()),
                _ => change::Input::Unreachable(ticket),
            }),
            Output::Send {
                request: ticket,
                not_after,
                ..
            } => {
                let receipt = self.send_until(&pair, reaches, not_after, output);
                Some(change::Input::Sent(ticket, receipt))
            }
            Output::Cancel {
                request: ticket,
                not_after,
                ..
            } => {
                let receipt = self.send_until(&pair, reaches, not_after, output);
                Some(change::Input::Cancelled(ticket, receipt))
            }
            // The planner makes an append of it.
            Output::Conclude { .. } => None,
        }
    }

    /// Nothing goes out after `not_after`.
    fn send_until(
        &mut self,
        pair: &(Name, Name),
        reaches: bool,
        not_after: Moment,
        output: Output,
    ) -> SendResult {
        if self.now > not_after {
            return SendResult::Failed;
        }
        self.pass_on(pair, reaches, output)
    }

    fn pass_on(&mut self, pair: &(Name, Name), reaches: bool, output: Output) -> SendResult {
        let (from, to) = pair.clone();
        if !reaches {
            return SendResult::Unknown;
        }
        if self.slow.contains(pair) {
            self.say(format!("{from}: {} is on its way to {to}", what(&output)));
            let until = self.now + LONGEST;
            self.travelling.push(Travelling {
                from,
                to,
                output,
                until,
            });
            return SendResult::Unknown;
        }
        let receipt = self.arrived(&from, &to, output);
        if self.deaf.contains(pair) {
            SendResult::Unknown
        } else {
            receipt
        }
    }

    /// What is on its way arrives within the longest delay that the protocol reckons with, but
    /// where a scenario goes beyond it.
    pub(super) fn arrive_due(&mut self) {
        let (now, beyond) = (self.now, &self.beyond);
        let due = |one: &Travelling| now >= one.until && !beyond.contains(&one.to);
        let all = std::mem::take(&mut self.travelling);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(due);
        self.travelling = rest;
        for travelling in due {
            self.arrived(&travelling.from, &travelling.to, travelling.output);
        }
    }

    /// All that is on its way arrives.
    pub(super) fn arrive(&mut self) -> Result<(), Fault> {
        for travelling in std::mem::take(&mut self.travelling) {
            self.arrived(&travelling.from, &travelling.to, travelling.output);
        }
        Ok(())
    }

    fn arrived(&mut self, from: &str, to: &str, output: Output) -> SendResult {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(to) else {
            return SendResult::Unknown;
        };
        let text = what(&output);
        match output {
            Output::Send {
                order,
                fence,
                action: what,
                ..
            } => {
                let running = engine.running();
                let (receipt, begins) = engine.order(now, order, fence, &what);
                if begins {
                    self.say(format!("{to}: begins {text} from {from}"));
                    self.judge_act(to, order, running);
                } else {
                    self.say(format!("{to}: {text} from {from}: {receipt:?}"));
                }
                receipt
            }
            Output::Cancel { order, fence, .. } => {
                let receipt = engine.cancel(order, fence);
                self.say(format!("{to}: {text} from {from}: {receipt:?}"));
                receipt
            }
            Output::Read { .. } | Output::Conclude { .. } => SendResult::Failed,
        }
    }

    /// An engine may act only on the order that the log shows as its unresolved one, and only
    /// while nothing is open there.
    fn judge_act(&mut self, name: &str, order: authority::OrderId, running: Option<u64>) {
        let unresolved = self.truth.pending_order(name).map(|pending| pending.order);
        if unresolved != Some(order) {
            self.say(format!(
                "VIOLATION {name} acts on order {order}, which is not its unresolved one"
            ));
        }
        if let Some(running) = running {
            self.say(format!(
                "VIOLATION {name} has orders {running} and {order} at once"
            ));
        }
        let open = self
            .engines
            .get(name)
            .map_or(0, |engine| engine.read().open_streams);
        if open > 0 {
            self.say(format!("VIOLATION {name} cuts {open} streams"));
        }
    }
}

fn what(output: &Output) -> String {
    match output {
        Output::Read { .. } => "a question".to_owned(),
        Output::Send { order, fence, .. } => format!("order {order} with fence {fence}"),
        Output::Cancel { order, fence, .. } => {
            format!("cancellation of {order} with fence {fence}")
        }
        Output::Conclude { .. } => "an outcome".to_owned(),
    }
}
