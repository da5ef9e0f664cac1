//! The planner of one holder with its log and engines. The tests control time and faults.
#![allow(dead_code)]

use crate::common::{SCOPE, claim, record};
use crate::engine::Engine;
use authority::change::{self, Output as ChangeOutput, RequestId, SendResult, Step, Timing};
use authority::lease::Grant;
use authority::order::{Order, Role, Verdict};
use authority::planner::{Bounds, Input, Output, Planner, Reason};
use authority::state::State;
use authority::{Fence, Offset, OrderId};
use clock::Moment;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) const TIMING: Timing = Timing {
    poll_interval: Duration::from_secs(1),
    request_timeout: Duration::from_secs(2),
    close_timeout: Duration::from_secs(60),
    max_order_delay: Duration::from_secs(5),
    max_sends: 2,
};

pub(crate) const BOUNDS: Bounds = Bounds {
    max_concurrent: 2,
    min_open: 1,
    max_loads: 1,
    reconcile_interval: Duration::from_secs(1000),
};

/// How the harness treats requests to the engines.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Link {
    Delivers,
    /// The request is lost, and the process does not know.
    DropsRequests,
    /// The request arrives, and its answer is lost.
    DropsAnswers,
}

pub(crate) struct Harness {
    pub(crate) now: Moment,
    pub(crate) state: State,
    pub(crate) planner: Planner,
    pub(crate) grant: Option<Grant>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) link: Link,
    pub(crate) sends: Vec<(String, OrderId, Fence)>,
    pub(crate) cancels: Vec<OrderId>,
    pub(crate) concluded: Vec<(OrderId, Verdict)>,
    pub(crate) mismatches: usize,
    instance: String,
}

impl Harness {
    /// Instance "a" holds the scope by claim 1; three engines serve.
    pub(crate) fn new(checks_fence: bool) -> Self {
        let names = ["engine-1", "engine-2", "engine-3"].map(str::to_owned);
        let engines = names.iter().cloned();
        let mut harness = Self {
            now: Duration::ZERO,
            state: State::new(),
            planner: Planner::new(SCOPE.to_owned(), BOUNDS, TIMING, 7),
            grant: None,
            engines: engines
                .map(|name| (name, Engine::new(checks_fence)))
                .collect(),
            link: Link::Delivers,
            sends: Vec::new(),
            cancels: Vec::new(),
            concluded: Vec::new(),
            mismatches: 0,
            instance: "a".to_owned(),
        };
        harness.take_over("a", 0);
        harness.step(Input::Serving(BTreeSet::from(names)));
        harness
    }

    /// `instance` takes over the scope with a new planner.
    pub(crate) fn take_over(&mut self, instance: &str, quarantine_secs: u64) {
        let current = self.state.current_claim(SCOPE);
        let (fence, seen) = current.map_or((0, 0), |claim| (claim.fence, claim.renewed));
        self.fold(&claim(instance, fence, seen));
        self.instance = instance.to_owned();
        let mut planner = Planner::new(SCOPE.to_owned(), BOUNDS, TIMING, 8);
        std::mem::swap(&mut planner, &mut self.planner);
        self.grant = Some(Grant {
            fence: self.state.folded(),
            until: Duration::from_secs(100_000),
            held_since: self.now,
            quarantine_until: self.now + Duration::from_secs(quarantine_secs),
        });
        let serving = self.engines.keys().cloned().collect();
        self.step(Input::Serving(serving));
    }

    pub(crate) fn fold(&mut self, record: &wire::record::Record) {
        let offset: Offset = self.state.folded() + 1;
        self.state.apply(offset, record);
    }

    pub(crate) fn request(&mut self, upstream: &str, action: Order) {
        self.step(Input::Request {
            upstream: upstream.to_owned(),
            action,
            reason: Reason::Plan,
        });
    }

    pub(crate) fn request_role(&mut self, upstream: &str) {
        self.request(upstream, Order::SetRole(Role::Decode));
    }

    /// Passes an input to the planner and executes all outputs that follow.
    pub(crate) fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.planner.step(self.now, &self.state, self.grant, input);
            for output in outputs {
                inputs.extend(self.execute(output));
            }
        }
    }

    /// Advances time second by second.
    pub(crate) fn advance(&mut self, secs: u64) {
        for _ in 0..secs {
            self.now += Duration::from_secs(1);
            self.step(Input::Tick);
        }
    }

    /// Sets what the change of an upstream waits for.
    pub(crate) fn set_blockers(&mut self, upstream: &str, entries: &[&str]) {
        let order = self
            .state
            .pending_order(upstream)
            .expect("a pending order")
            .order;
        let blockers: SmallVec<_> = entries.iter().map(|entry| (*entry).to_owned()).collect();
        self.step(Input::Change(order, change::Input::Blockers(blockers)));
    }

    pub(crate) fn step_of(&self, upstream: &str) -> Option<Step> {
        let mut changes = self.planner.active_changes();
        let found = changes.find(|change| change.upstream == upstream);
        found.map(|change| change.change.current_step())
    }

    pub(crate) fn engine(&mut self, upstream: &str) -> &mut Engine {
        self.engines.get_mut(upstream).expect("a known engine")
    }

    fn execute(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Append { body, .. } => {
                let instance = self.instance.clone();
                self.fold(&record(&instance, body));
                Some(Input::Tick)
            }
            Output::Change {
                upstream,
                order,
                output,
            } => {
                let answer = self.call_engine(&upstream, output);
                Some(Input::Change(order, answer))
            }
            Output::Check { upstream, settled } => {
                let reading = self.engine(&upstream).reading.clone();
                Some(Input::Checked {
                    upstream,
                    settled,
                    reading,
                })
            }
            Output::Mismatch { .. } => {
                self.mismatches += 1;
                None
            }
            Output::Concluded { order, verdict, .. } => {
                self.concluded.push((order, verdict));
                None
            }
        }
    }

    fn call_engine(&mut self, upstream: &str, output: ChangeOutput) -> change::Input {
        let link = self.link;
        match output {
            ChangeOutput::Read { request } => {
                change::Input::Reading(request, self.engine(upstream).reading.clone())
            }
            ChangeOutput::Send {
                request,
                order,
                fence,
                action,
                ..
            } => {
                self.sends.push((upstream.to_owned(), order, fence));
                let engine = self.engine(upstream);
                deliver(link, request, change::Input::Sent, || {
                    engine.order(order, fence, &action)
                })
            }
            ChangeOutput::Cancel {
                request,
                order,
                fence,
                ..
            } => {
                self.cancels.push(order);
                let engine = self.engine(upstream);
                deliver(link, request, change::Input::Cancelled, || {
                    engine.cancel(order, fence)
                })
            }
            ChangeOutput::Conclude { .. } => unreachable!("the planner turns it into an append"),
        }
    }
}

fn deliver(
    link: Link,
    request: RequestId,
    answer: fn(RequestId, SendResult) -> change::Input,
    send: impl FnOnce() -> SendResult,
) -> change::Input {
    let result = match link {
        Link::Delivers => send(),
        Link::DropsRequests => SendResult::Unknown,
        Link::DropsAnswers => {
            send();
            SendResult::Unknown
        }
    };
    answer(request, result)
}
