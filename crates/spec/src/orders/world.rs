//! The state of the order model.

use super::config::{Config, DELAY, Mutant, TICK};
use super::engine::Engine;
use crate::log::{Log, Parcel};
use authority::author::Author;
use authority::change::{Input as Told, Output as Act, RequestId, Step, Timing};
use authority::lease::term::TermConfig;
use authority::lease::{self, Grant, Lease, Term};
use authority::nonce::Nonce;
use authority::order::{Order, Role};
use authority::planner::{Bounds, Input, Output, Planner, Reason};
use authority::{Fence, OrderId};
use clock::Moment;
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::record::record::Body;

pub(super) const SCOPE: &str = "p";
pub(super) const ENGINE: &str = "e";

/// A process that may hold the scope.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Process {
    pub(super) author: Author,
    pub(super) lease: Lease,
    pub(super) planner: Planner,
    pub(super) folded: usize,
    /// Answers of the engine that were not taken in yet.
    pub(super) inbox: SmallVec<[(OrderId, RequestId, Answer); 1]>,
}

/// An answer to a send or a cancellation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Answer {
    pub(super) cancel: bool,
    pub(super) taken: bool,
    pub(super) busy: bool,
}

/// Something on its way to the engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) ticket: RequestId,
    pub(super) order: OrderId,
    pub(super) fence: Fence,
    /// `None` for a cancellation.
    pub(super) what: Option<Order>,
    /// When the sender decided to send.
    pub(super) decided: u32,
    /// When it left the sender, which may be paused between the two.
    pub(super) left: Option<u32>,
}

/// An entry that sends streams to the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    pub(super) folded: usize,
    pub(super) open: bool,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) now: u32,
    pub(super) log: Log,
    /// Shared with the states before, as long as nothing changes them.
    pub(super) processes: Vec<Rc<Process>>,
    pub(super) entry: Entry,
    pub(super) engine: Engine,
    /// Sorted.
    pub(super) appends: Vec<(usize, Parcel)>,
    /// Sorted.
    pub(super) messages: Vec<Message>,
    pub(super) streams: u32,
    pub(super) faults: u32,
    /// Whether the engine does not know its cancellations any more.
    pub(super) forgot: bool,
    /// Whether the engine has restarted.
    pub(super) restarted: bool,
    /// Whether an order began later than the procedure for engines that ignore fences assumes.
    pub(super) late: bool,
    pub(super) broken: Option<&'static str>,
}

fn pace() -> Timing {
    Timing {
        poll_interval: TICK,
        request_timeout: TICK,
        close_timeout: TICK * 100,
        max_order_delay: TICK * DELAY,
        max_sends: 1,
    }
}

fn bounds() -> Bounds {
    Bounds {
        max_concurrent: 1,
        min_open: 0,
        max_loads: 1,
        reconcile_interval: TICK * 1000,
    }
}

pub(super) fn process(config: &Config, which: usize, incarnation: u64) -> Process {
    let author = Author {
        instance: ["a", "b"][which].to_owned(),
        incarnation,
    };
    let term = Term::try_from(TermConfig {
        lease: TICK * config.lease(),
        margin: Duration::ZERO,
        drift_ppm: 0,
        stagger: Duration::ZERO,
        retry: TICK / 2,
    });
    let term = term.expect("the figures are within their bounds");
    let seed = which as u64 * 16 + incarnation;
    let scope = SCOPE.to_owned();
    let lease = Lease::new(scope.clone(), author.clone(), term, seed);
    let mut planner = Planner::new(scope, bounds(), pace(), seed + 8);
    let state = authority::state::State::new();
    let serving = Input::Serving(BTreeSet::from([ENGINE.to_owned()]));
    planner.step(Moment::ZERO, &state, None, serving);
    // The successor concludes what it finds; a wish of its own would only lengthen the traces.
    if which == 0 {
        planner.step(Moment::ZERO, &state, None, want(Role::Decode));
    }
    Process {
        author,
        lease,
        planner,
        folded: 0,
        inbox: SmallVec::new(),
    }
}

fn want(role: Role) -> Input {
    Input::Request {
        upstream: ENGINE.to_owned(),
        action: Order::SetRole(role),
        reason: Reason::Plan,
    }
}

impl World {
    pub(super) fn time(&self) -> Moment {
        TICK * self.now
    }

    /// What the guards that ask the lease are given.
    fn grant(&self, config: &Config, which: usize) -> Option<Grant> {
        let mut grant = self.processes[which].lease.grant()?;
        match config.mutant {
            Some(Mutant::NoQuarantine) => grant.quarantine_until = Moment::ZERO,
            Some(Mutant::NoLease) => grant.until = TICK * 1000,
            _ => (),
        }
        Some(grant)
    }

    fn append(&mut self, which: usize, nonce: Nonce, body: Body) {
        let parcel = Parcel::new(&self.processes[which].author, nonce, body);
        self.appends.push((which, parcel));
    }

    /// The first process claims or renews.
    pub(super) fn lead(&mut self) {
        let asked = self.time();
        let input = lease::Input::Read { sent_at: asked };
        let lease = &mut Rc::make_mut(&mut self.processes[0]).lease;
        for output in lease.step(asked, &input) {
            if let lease::Output::Append { nonce, body } = output {
                self.append(0, nonce, body);
            }
        }
    }

    /// A process folds what it has not read, and its lease goes on.
    pub(super) fn read(&mut self, which: usize) {
        let now = self.time();
        while self.processes[which].folded < self.log.end() {
            let offset = self.processes[which].folded + 1;
            let Some(record) = self.log.record(offset) else {
                return;
            };
            let state = self.log.state(offset);
            let process = Rc::make_mut(&mut self.processes[which]);
            process.lease.apply(now, offset as u64, record, state);
            process.folded = offset;
        }
    }

    /// A process does what is due; `read` tells whether it has just read to the end.
    pub(super) fn act(&mut self, config: &Config, which: usize, read: bool) {
        let now = self.time();
        for message in &mut self.messages {
            if message.from == which {
                message.left.get_or_insert(self.now);
            }
        }
        let input = if read {
            lease::Input::Read { sent_at: now }
        } else {
            lease::Input::Tick
        };
        let lease = &mut Rc::make_mut(&mut self.processes[which]).lease;
        for output in lease.step(now, &input) {
            // Renewals are left out: leases end as soon as they can. `crate::lease` has them.
            if let lease::Output::Append { nonce, body } = output
                && !matches!(body, Body::Renewal(_))
            {
                self.append(which, nonce, body);
            }
        }
        let inbox = std::mem::take(&mut Rc::make_mut(&mut self.processes[which]).inbox);
        for (order, ticket, answer) in inbox {
            let told = answer.told(ticket);
            self.plan(config, which, Input::Change(order, told));
        }
        self.tell_waiting(config, which);
        self.plan(config, which, Input::Tick);
        self.tell_waiting(config, which);
        self.appends.sort();
        self.messages.sort();
    }

    fn tell_waiting(&mut self, config: &Config, which: usize) {
        let underway = self.processes[which].planner.active_changes();
        let orders: SmallVec<[OrderId; 1]> = underway.map(|underway| underway.order).collect();
        for order in orders {
            let confirmed = self.entry.folded as u64 >= order && !self.entry.open;
            let mut waits = SmallVec::new();
            if !confirmed && config.mutant != Some(Mutant::NoClosing) {
                waits.push("x".to_owned());
            }
            self.plan(config, which, Input::Change(order, Told::Blockers(waits)));
        }
    }

    fn plan(&mut self, config: &Config, which: usize, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let grant = self.grant(config, which);
            let now = self.time();
            let process = Rc::make_mut(&mut self.processes[which]);
            let state = self.log.state(process.folded);
            let outputs = process.planner.step(now, state, grant, input);
            for output in outputs {
                inputs.extend(self.carry_out(config, which, output));
            }
        }
    }

    fn carry_out(&mut self, config: &Config, which: usize, output: Output) -> Option<Input> {
        match output {
            Output::Append { nonce, body } => {
                self.append(which, nonce, body);
                None
            }
            Output::Change { order, output, .. } => {
                let told = self.tell(config, which, order, output)?;
                Some(Input::Change(order, told))
            }
            Output::Concluded { .. } if which == 0 && config.second => Some(want(Role::Prefill)),
            Output::Check { .. } | Output::Mismatch { .. } | Output::Concluded { .. } => None,
        }
    }

    fn tell(&mut self, config: &Config, which: usize, order: OrderId, act: Act) -> Option<Told> {
        let (ticket, fence, what) = match act {
            Act::Read { request } => return Some(Told::Reading(request, self.reading(config))),
            Act::Send {
                request: ticket,
                fence,
                action: what,
                ..
            } => (ticket, fence, Some(what)),
            Act::Cancel {
                request: ticket, ..
            } if config.mutant == Some(Mutant::NoCancel) => {
                return Some(Told::Cancelled(
                    ticket,
                    authority::change::SendResult::Accepted,
                ));
            }
            Act::Cancel {
                request: ticket,
                fence,
                ..
            } => (ticket, fence, None),
            Act::Conclude { .. } => return None,
        };
        let claim = self.processes[which].lease.grant()?.fence;
        let claim_token = config.mutant == Some(Mutant::ClaimToken);
        self.messages.push(Message {
            from: which,
            ticket,
            order,
            fence: if claim_token { claim } else { fence },
            what,
            decided: self.now,
            left: None,
        });
        None
    }

    fn reading(&self, config: &Config) -> authority::engine::Reading {
        let mut reading = self.engine.reading();
        match config.mutant {
            Some(Mutant::NoDrain) => reading.open_streams = 0,
            Some(Mutant::NoFence) => reading.checks_fence = true,
            Some(Mutant::NoCancel) => reading.fence = u64::MAX,
            _ => (),
        }
        reading
    }

    /// What tells whether a step of a process changed more than the moment of its last read.
    pub(super) fn signature(&self, which: usize) -> impl PartialEq + use<> {
        let process = &self.processes[which];
        let steps = process.planner.active_changes();
        let steps: SmallVec<[(OrderId, Step); 1]> = steps
            .map(|underway| (underway.order, underway.change.current_step()))
            .collect();
        (
            process.folded,
            process.inbox.len(),
            steps,
            self.appends.len(),
            self.messages.len(),
        )
    }
}

impl Answer {
    fn told(self, ticket: RequestId) -> Told {
        use authority::change::SendResult;
        let receipt = match (self.taken, self.busy) {
            (true, _) => SendResult::Accepted,
            (false, true) => SendResult::Busy { order: 0 },
            (false, false) => SendResult::Superseded { fence: 0 },
        };
        if self.cancel {
            Told::Cancelled(ticket, receipt)
        } else {
            Told::Sent(ticket, receipt)
        }
    }
}
