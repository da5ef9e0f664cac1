//! State of the model of orders.

use super::config::{Config, MAX_DELAY_TICKS, Mutant, TICK};
use super::engine::Engine;
use crate::log::{EncodedRecord, Log};
use authority::author::Author;
use authority::change::{Input, Output, RequestId, Step, Timing};
use authority::lease::term::TermConfig;
use authority::lease::{self, Grant, Lease, Term};
use authority::nonce::Nonce;
use authority::order::{Order, Role};
use authority::planner::{Bounds, Input as PlannerInput, Output as PlannerOutput, Planner, Reason};
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
    /// Answers of the engine that have not been handled yet.
    pub(super) inbox: SmallVec<[(OrderId, RequestId, Answer); 1]>,
}

/// The engine's answer to an order or a cancellation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Answer {
    pub(super) cancel: bool,
    pub(super) accepted: bool,
    pub(super) busy: bool,
}

/// A message in flight to the engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Message {
    pub(super) from: usize,
    pub(super) request: RequestId,
    pub(super) order: OrderId,
    pub(super) fence: Fence,
    /// `None` for a cancellation.
    pub(super) action: Option<Order>,
    /// When the sender decided to send.
    pub(super) decided_at: u32,
    /// When it was sent; the sender may pause between the decision and the send.
    pub(super) sent_at: Option<u32>,
}

/// An entry that opens streams at the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    pub(super) folded: usize,
    pub(super) stream_open: bool,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) now: u32,
    pub(super) log: Log,
    /// Shared with earlier states until they are modified.
    pub(super) processes: Vec<Rc<Process>>,
    pub(super) entry: Entry,
    pub(super) engine: Engine,
    /// Sorted.
    pub(super) appends: Vec<(usize, EncodedRecord)>,
    /// Sorted.
    pub(super) messages: Vec<Message>,
    pub(super) remaining_streams: u32,
    pub(super) remaining_faults: u32,
    /// Whether the engine has lost its cancellations.
    pub(super) cancellations_lost: bool,
    /// Whether the engine has restarted.
    pub(super) engine_restarted: bool,
    /// Whether an order began later than the procedure for engines that ignore fences assumes.
    pub(super) began_late: bool,
    pub(super) violation: Option<&'static str>,
}

fn timing() -> Timing {
    Timing {
        poll_interval: TICK,
        request_timeout: TICK,
        close_timeout: TICK * 100,
        max_order_delay: TICK * MAX_DELAY_TICKS,
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
        lease: TICK * config.lease_ticks(),
        margin: Duration::ZERO,
        drift_ppm: 0,
        stagger: Duration::ZERO,
        retry: TICK / 2,
    });
    let term = term.expect("the settings are within their bounds");
    let seed = which as u64 * 16 + incarnation;
    let scope = SCOPE.to_owned();
    let lease = Lease::new(scope.clone(), author.clone(), term, seed);
    let mut planner = Planner::new(scope, bounds(), timing(), seed + 8);
    let state = authority::state::State::new();
    let serving = PlannerInput::Serving(BTreeSet::from([ENGINE.to_owned()]));
    planner.step(Moment::ZERO, &state, None, serving);
    // The successor only concludes what it finds; a request of its own would lengthen the traces.
    if which == 0 {
        planner.step(Moment::ZERO, &state, None, role_request(Role::Decode));
    }
    Process {
        author,
        lease,
        planner,
        folded: 0,
        inbox: SmallVec::new(),
    }
}

fn role_request(role: Role) -> PlannerInput {
    PlannerInput::Request {
        upstream: ENGINE.to_owned(),
        action: Order::SetRole(role),
        reason: Reason::Plan,
    }
}

impl World {
    pub(super) fn time(&self) -> Moment {
        TICK * self.now
    }

    /// The grant that is passed to the guards, changed for the mutants.
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
        let encoded = EncodedRecord::new(&self.processes[which].author, nonce, body);
        self.appends.push((which, encoded));
    }

    /// The first process claims or renews.
    pub(super) fn claim_or_renew(&mut self) {
        let sent_at = self.time();
        let input = lease::Input::Read { sent_at };
        let lease = &mut Rc::make_mut(&mut self.processes[0]).lease;
        for output in lease.step(sent_at, &input) {
            if let lease::Output::Append { nonce, body } = output {
                self.append(0, nonce, body);
            }
        }
    }

    /// A process reads the log to its end and applies the records to its lease.
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

    /// A process handles what is due; `read` tells whether it has just read the log to its end.
    pub(super) fn handle_due(&mut self, config: &Config, which: usize, read: bool) {
        let now = self.time();
        for message in &mut self.messages {
            if message.from == which {
                message.sent_at.get_or_insert(self.now);
            }
        }
        let input = if read {
            lease::Input::Read { sent_at: now }
        } else {
            lease::Input::Tick
        };
        let lease = &mut Rc::make_mut(&mut self.processes[which]).lease;
        for output in lease.step(now, &input) {
            // Renewals are dropped, so that leases end as early as possible; `crate::lease` covers
            // renewals.
            if let lease::Output::Append { nonce, body } = output
                && !matches!(body, Body::Renewal(_))
            {
                self.append(which, nonce, body);
            }
        }
        let inbox = std::mem::take(&mut Rc::make_mut(&mut self.processes[which]).inbox);
        for (order, request, answer) in inbox {
            let input = answer.into_change_input(request);
            self.step_planner(config, which, PlannerInput::Change(order, input));
        }
        self.report_blockers(config, which);
        self.step_planner(config, which, PlannerInput::Tick);
        self.report_blockers(config, which);
        self.appends.sort();
        self.messages.sort();
    }

    fn report_blockers(&mut self, config: &Config, which: usize) {
        let active = self.processes[which].planner.active_changes();
        let orders: SmallVec<[OrderId; 1]> = active.map(|active| active.order).collect();
        for order in orders {
            let confirmed = self.entry.folded as u64 >= order && !self.entry.stream_open;
            let mut blockers = SmallVec::new();
            if !confirmed && config.mutant != Some(Mutant::NoClosing) {
                blockers.push("x".to_owned());
            }
            self.step_planner(
                config,
                which,
                PlannerInput::Change(order, Input::Blockers(blockers)),
            );
        }
    }

    fn step_planner(&mut self, config: &Config, which: usize, input: PlannerInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let grant = self.grant(config, which);
            let now = self.time();
            let process = Rc::make_mut(&mut self.processes[which]);
            let state = self.log.state(process.folded);
            let outputs = process.planner.step(now, state, grant, input);
            for output in outputs {
                inputs.extend(self.handle_output(config, which, output));
            }
        }
    }

    fn handle_output(
        &mut self,
        config: &Config,
        which: usize,
        output: PlannerOutput,
    ) -> Option<PlannerInput> {
        match output {
            PlannerOutput::Append { nonce, body } => {
                self.append(which, nonce, body);
                None
            }
            PlannerOutput::Change { order, output, .. } => {
                let input = self.handle_change_output(config, which, order, output)?;
                Some(PlannerInput::Change(order, input))
            }
            PlannerOutput::Concluded { .. } if which == 0 && config.second_order => {
                Some(role_request(Role::Prefill))
            }
            PlannerOutput::Check { .. }
            | PlannerOutput::Mismatch { .. }
            | PlannerOutput::Concluded { .. } => None,
        }
    }

    fn handle_change_output(
        &mut self,
        config: &Config,
        which: usize,
        order: OrderId,
        output: Output,
    ) -> Option<Input> {
        let (request, fence, action) = match output {
            Output::Read { request } => return Some(Input::Reading(request, self.reading(config))),
            Output::Send {
                request,
                fence,
                action,
                ..
            } => (request, fence, Some(action)),
            Output::Cancel { request, .. } if config.mutant == Some(Mutant::NoCancel) => {
                return Some(Input::Cancelled(
                    request,
                    authority::change::SendResult::Accepted,
                ));
            }
            Output::Cancel { request, fence, .. } => (request, fence, None),
            Output::Conclude { .. } => return None,
        };
        let claim = self.processes[which].lease.grant()?.fence;
        let claim_token = config.mutant == Some(Mutant::ClaimToken);
        self.messages.push(Message {
            from: which,
            request,
            order,
            fence: if claim_token { claim } else { fence },
            action,
            decided_at: self.now,
            sent_at: None,
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

    /// Values that differ if a step of a process changed more than the time of its last read.
    pub(super) fn signature(&self, which: usize) -> impl PartialEq + use<> {
        let process = &self.processes[which];
        let steps = process.planner.active_changes();
        let steps: SmallVec<[(OrderId, Step); 1]> = steps
            .map(|active| (active.order, active.change.current_step()))
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
    fn into_change_input(self, request: RequestId) -> Input {
        use authority::change::SendResult;
        let result = match (self.accepted, self.busy) {
            (true, _) => SendResult::Accepted,
            (false, true) => SendResult::Busy { order: 0 },
            (false, false) => SendResult::Superseded { fence: 0 },
        };
        if self.cancel {
            Input::Cancelled(request, result)
        } else {
            Input::Sent(request, result)
        }
    }
}
