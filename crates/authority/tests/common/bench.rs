//! A planner of one holder, its log and its engines. Time and faults are the test's.
#![allow(dead_code)]

use crate::common::{SCOPE, claim, record};
use crate::engine::Engine;
use authority::change::{self, Output as Act, RequestId, SendResult, Step, Timing};
use authority::lease::Grant;
use authority::order::{Order, Role, Verdict};
use authority::planner::{Bounds, Input, Output, Planner, Reason};
use authority::state::State;
use authority::{Fence, Offset, OrderId};
use clock::Moment;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) const PACE: Timing = Timing {
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

/// What the bench does with what goes to the engines.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Path {
    Open,
    /// The engine does not get it, and the process does not know.
    Lost,
    /// The engine gets it, and the answer is lost.
    Deaf,
}

pub(crate) struct Bench {
    pub(crate) now: Moment,
    pub(crate) state: State,
    pub(crate) planner: Planner,
    pub(crate) grant: Option<Grant>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) path: Path,
    pub(crate) sends: Vec<(String, OrderId, Fence)>,
    pub(crate) cancels: Vec<OrderId>,
    pub(crate) concluded: Vec<(OrderId, Verdict)>,
    pub(crate) mismatches: usize,
    instance: String,
}

impl Bench {
    /// Instance "a" holds the scope by claim 1, and three engines serve.
    pub(crate) fn new(checks_fence: bool) -> Self {
        let names = ["engine-1", "engine-2", "engine-3"].map(str::to_owned);
        let engines = names.iter().cloned();
        let mut bench = Self {
            now: Duration::ZERO,
            state: State::new(),
            planner: Planner::new(SCOPE.to_owned(), BOUNDS, PACE, 7),
            grant: None,
            engines: engines
                .map(|name| (name, Engine::new(checks_fence)))
                .collect(),
            path: Path::Open,
            sends: Vec::new(),
            cancels: Vec::new(),
            concluded: Vec::new(),
            mismatches: 0,
            instance: "a".to_owned(),
        };
        bench.hold("a", 0);
        bench.step(Input::Serving(BTreeSet::from(names)));
        bench
    }

    /// `instance` takes the scope over, with a planner that knows nothing.
    pub(crate) fn hold(&mut self, instance: &str, quiet_in: u64) {
        let held = self.state.current_claim(SCOPE);
        let (fence, seen) = held.map_or((0, 0), |held| (held.fence, held.renewed));
        self.fold(&claim(instance, fence, seen));
        self.instance = instance.to_owned();
        let mut planner = Planner::new(SCOPE.to_owned(), BOUNDS, PACE, 8);
        std::mem::swap(&mut planner, &mut self.planner);
        self.grant = Some(Grant {
            fence: self.state.folded(),
            until: Duration::from_secs(100_000),
            held_since: self.now,
            quarantine_until: self.now + Duration::from_secs(quiet_in),
        });
        let serving = self.engines.keys().cloned().collect();
        self.step(Input::Serving(serving));
    }

    pub(crate) fn fold(&mut self, record: &wire::record::Record) {
        let offset: Offset = self.state.folded() + 1;
        self.state.apply(offset, record);
    }

    pub(crate) fn want(&mut self, upstream: &str, what: Order) {
        self.step(Input::Request {
            upstream: upstream.to_owned(),
            action: what,
            reason: Reason::Plan,
        });
    }

    pub(crate) fn want_role(&mut self, upstream: &str) {
        self.want(upstream, Order::SetRole(Role::Decode));
    }

    /// Gives an input and carries out everything that follows from it.
    pub(crate) fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.planner.step(self.now, &self.state, self.grant, input);
            for output in outputs {
                inputs.extend(self.carry_out(output));
            }
        }
    }

    /// Lets time pass in seconds.
    pub(crate) fn pass(&mut self, secs: u64) {
        for _ in 0..secs {
            self.now += Duration::from_secs(1);
            self.step(Input::Tick);
        }
    }

    /// Tells the change of an upstream what it waits for.
    pub(crate) fn waiting(&mut self, upstream: &str, entries: &[&str]) {
        let order = self.state.pending_order(upstream).expect("an order").order;
        let waits: SmallVec<_> = entries.iter().map(|entry| (*entry).to_owned()).collect();
        self.step(Input::Change(order, change::Input::Blockers(waits)));
    }

    pub(crate) fn at(&self, upstream: &str) -> Option<Step> {
        let mut underway = self.planner.active_changes();
        let found = underway.find(|underway| underway.upstream == upstream);
        found.map(|underway| underway.change.current_step())
    }

    pub(crate) fn engine(&mut self, upstream: &str) -> &mut Engine {
        self.engines.get_mut(upstream).expect("an engine")
    }

    fn carry_out(&mut self, output: Output) -> Option<Input> {
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
                let answer = self.tell(&upstream, output);
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

    fn tell(&mut self, upstream: &str, act: Act) -> change::Input {
        let path = self.path;
        match act {
            Act::Read { request: ticket } => {
                change::Input::Reading(ticket, self.engine(upstream).reading.clone())
            }
            Act::Send {
                request: ticket,
                order,
                fence,
                action: what,
                ..
            } => {
                self.sends.push((upstream.to_owned(), order, fence));
                let engine = self.engine(upstream);
                answer(path, ticket, change::Input::Sent, || {
                    engine.order(order, fence, &what)
                })
            }
            Act::Cancel {
                request: ticket,
                order,
                fence,
                ..
            } => {
                self.cancels.push(order);
                let engine = self.engine(upstream);
                answer(path, ticket, change::Input::Cancelled, || {
                    engine.cancel(order, fence)
                })
            }
            Act::Conclude { .. } => unreachable!("the planner turns it into an append"),
        }
    }
}

fn answer(
    path: Path,
    ticket: RequestId,
    kind: fn(RequestId, SendResult) -> change::Input,
    act: impl FnOnce() -> SendResult,
) -> change::Input {
    let receipt = match path {
        Path::Open => act(),
        Path::Lost => SendResult::Unknown,
        Path::Deaf => {
            act();
            SendResult::Unknown
        }
    };
    kind(ticket, receipt)
}
