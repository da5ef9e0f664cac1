//! Calls from entries to engines, and the checks of the engines' reactions.

use std::time::Duration;

use authority::change::{self, Output, SendResult};
use authority::planner::Input;
use clock::Moment;

use super::{InTransit, World};
use crate::Name;
use crate::command::CommandError;
use crate::process::EngineCall;

/// Delay of late orders, just below the longest one that `authority::change::Timing` allows for.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(4_750);

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
                    let input = self.call_engine(name, &upstream, output);
                    input.map(|input| Input::Change(order, input))
                }
            };
            if let Some(input) = input {
                self.drive(name, |process, now| process.step_planner(now, input));
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

    fn call_engine(&mut self, name: &str, engine: &str, output: Output) -> Option<change::Input> {
        let pair = (name.to_owned(), engine.to_owned());
        let reaches = self.reaches(name, engine) && self.engines.contains_key(engine);
        match output {
            Output::Read { request } => Some(match self.engines.get(engine) {
                Some(found) if reaches => change::Input::Reading(request, found.read()),
                _ => change::Input::Unreachable(request),
            }),
            Output::Send {
                request, not_after, ..
            } => {
                let result = self.send_until(&pair, reaches, not_after, output);
                Some(change::Input::Sent(request, result))
            }
            Output::Cancel {
                request, not_after, ..
            } => {
                let result = self.send_until(&pair, reaches, not_after, output);
                Some(change::Input::Cancelled(request, result))
            }
            // The planner turns this into an append.
            Output::Conclude { .. } => None,
        }
    }

    /// Sends an order or a cancellation, unless `not_after` has passed.
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
        self.send(pair, reaches, output)
    }

    fn send(&mut self, pair: &(Name, Name), reaches: bool, output: Output) -> SendResult {
        let (from, to) = pair.clone();
        if !reaches {
            return SendResult::Unknown;
        }
        if self.delayed_orders.contains(pair) {
            self.report(format!(
                "{from}: {} is on its way to {to}",
                describe(&output)
            ));
            let until = self.now + LATE_ORDER_DELAY;
            self.in_transit.push(InTransit {
                from,
                to,
                output,
                arrives_by: until,
            });
            return SendResult::Unknown;
        }
        let result = self.deliver_to_engine(&from, &to, output);
        if self.lost_answers.contains(pair) {
            SendResult::Unknown
        } else {
            result
        }
    }

    /// Delivers the messages whose delay has passed, except to engines with unbounded delays.
    pub(super) fn deliver_due(&mut self) {
        let (now, unbounded) = (self.now, &self.unbounded_delays);
        let due =
            |message: &InTransit| now >= message.arrives_by && !unbounded.contains(&message.to);
        let all = std::mem::take(&mut self.in_transit);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(due);
        self.in_transit = rest;
        for message in due {
            self.deliver_to_engine(&message.from, &message.to, message.output);
        }
    }

    /// Delivers all messages in transit.
    pub(super) fn deliver_all(&mut self) -> Result<(), CommandError> {
        for message in std::mem::take(&mut self.in_transit) {
            self.deliver_to_engine(&message.from, &message.to, message.output);
        }
        Ok(())
    }

    fn deliver_to_engine(&mut self, from: &str, to: &str, output: Output) -> SendResult {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(to) else {
            return SendResult::Unknown;
        };
        let text = describe(&output);
        match output {
            Output::Send {
                order,
                fence,
                action,
                ..
            } => {
                let running = engine.running();
                let (result, begins) = engine.take_order(now, order, fence, &action);
                if begins {
                    self.report(format!("{to}: begins {text} from {from}"));
                    self.check_order_start(to, order, running);
                } else {
                    self.report(format!("{to}: {text} from {from}: {result:?}"));
                }
                result
            }
            Output::Cancel { order, fence, .. } => {
                let result = engine.cancel(order, fence);
                self.report(format!("{to}: {text} from {from}: {result:?}"));
                result
            }
            Output::Read { .. } | Output::Conclude { .. } => SendResult::Failed,
        }
    }

    /// Checks that an engine begins only the order that is unresolved in the log, and only while it
    /// has no other order running and no open streams.
    fn check_order_start(&mut self, name: &str, order: authority::OrderId, running: Option<u64>) {
        let pending = self
            .reference
            .pending_order(name)
            .map(|pending| pending.order);
        if pending != Some(order) {
            self.report(format!(
                "VIOLATION {name} acts on order {order}, which is not its unresolved one"
            ));
        }
        if let Some(running) = running {
            self.report(format!(
                "VIOLATION {name} has orders {running} and {order} at once"
            ));
        }
        let open_streams = self
            .engines
            .get(name)
            .map_or(0, |engine| engine.read().open_streams);
        if open_streams > 0 {
            self.report(format!("VIOLATION {name} cuts {open_streams} streams"));
        }
    }
}

fn describe(output: &Output) -> String {
    match output {
        Output::Read { .. } => "a question".to_owned(),
        Output::Send { order, fence, .. } => format!("order {order} with fence {fence}"),
        Output::Cancel { order, fence, .. } => {
            format!("cancellation of {order} with fence {fence}")
        }
        Output::Conclude { .. } => "an outcome".to_owned(),
    }
}
