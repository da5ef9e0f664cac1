//! The simulated system of a scenario: processes, platform, upstreams and the faults between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use authority::change;
use clock::Moment;
use fleet::list::{Instance, Listing};

use crate::command::{Command, CommandError};
use crate::engine::Engine;
use crate::log::Log;
use crate::process::Process;
use crate::service::Service;
use crate::{Line, Name, Offset};

mod appends;
mod calls;
mod catalogue;
mod engine_calls;
mod faults;
mod fleet_commands;
mod run;
mod show;

/// Time between two ticks of each process.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// An order or a cancellation that is in transit to an engine.
#[derive(Clone, Debug)]
struct InTransit {
    from: Name,
    to: Name,
    output: change::Output,
    /// When it arrives, unless delays to the engine are unbounded.
    arrives_by: Moment,
}

/// What the instance list returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListAnswer {
    /// Its current contents.
    Current,
    /// A copy that was saved.
    Saved,
    /// An empty list, as after a restart without data.
    Empty,
}

/// The simulated system.
pub struct World {
    now: Moment,
    log: Log,
    /// The fold of the whole log, against which effects are checked.
    reference: authority::state::State,
    processes: BTreeMap<Name, Process>,
    incarnations: BTreeMap<Name, u64>,
    list: BTreeMap<Name, Instance>,
    list_version: u64,
    list_up: bool,
    engines: BTreeMap<Name, Engine>,
    service: Service,
    /// Pairs of names of which the first does not reach the second.
    partitions: BTreeSet<(Name, Name)>,
    /// Pairs of entry and engine whose answers are lost.
    lost_answers: BTreeSet<(Name, Name)>,
    /// Pairs of entry and engine whose orders are delayed.
    delayed_orders: BTreeSet<(Name, Name)>,
    in_transit: Vec<InTransit>,
    /// Engines to which orders may take longer than the protocol assumes.
    unbounded_delays: BTreeSet<Name>,
    /// A saved copy of the list, for `ListAnswer::Saved`.
    saved_list: Option<Listing>,
    list_answer: ListAnswer,
    calls: calls::Calls,
    /// Digest of the catalogue at each offset, from the first process that reached it.
    catalogues: BTreeMap<Offset, Vec<u8>>,
    lines: Vec<Line>,
    violations: usize,
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

impl World {
    /// A system with an empty log, an empty instance list and no processes.
    pub fn new() -> Self {
        Self {
            now: Duration::from_secs(100),
            log: Log::new(),
            reference: authority::state::State::new(),
            processes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            list: BTreeMap::new(),
            list_version: 0,
            list_up: true,
            engines: BTreeMap::new(),
            service: Service::new(),
            partitions: BTreeSet::new(),
            lost_answers: BTreeSet::new(),
            delayed_orders: BTreeSet::new(),
            in_transit: Vec::new(),
            unbounded_delays: BTreeSet::new(),
            saved_list: None,
            list_answer: ListAnswer::Current,
            calls: calls::Calls::default(),
            catalogues: BTreeMap::new(),
            lines: Vec::new(),
            violations: 0,
        }
    }

    /// Number of violations so far.
    pub fn violations(&self) -> usize {
        self.violations
    }

    /// Executes a command and returns its output.
    pub fn execute(&mut self, command: &Command) -> String {
        if let Err(fault) = self.dispatch(command) {
            self.lines.push(format!("error: {fault}"));
        }
        let lines = std::mem::take(&mut self.lines);
        let violations = lines.iter().filter(|line| line.contains("VIOLATION"));
        self.violations += violations.count();
        lines.into_iter().map(|line| line + "\n").collect()
    }

    fn dispatch(&mut self, command: &Command) -> Result<(), CommandError> {
        match command.word.as_str() {
            "start" => self.start(command),
            "kill" => self.kill(command),
            "pause" => self.pause(command, true),
            "resume" => self.pause(command, false),
            "leave" => self.leave(command),
            "run" => self.run(command),
            "log" => self.switch_log(command),
            "next" => self.set_append_outcome(command),
            "let-go" => self.release_held(),
            "forget" => self.truncate(command),
            "cut" => self.cut(command, true),
            "heal" => self.cut(command, false),
            "slow" => self.slow(command),
            "deaf" => self.deaf(command),
            "arrive" => self.deliver_all(),
            "edit" => self.edit(command),
            "raise" => self.raise(command),
            "snapshot" => self.snapshot(command),
            "adopt" => self.adopt(command),
            "call" => self.call(command),
            "gone" => self.caller_gone(command),
            "service" => self.set_service(command),
            "want" => self.want(command),
            "list" => self.change_list(command),
            "engine" => self.change_engine(command),
            "open" => self.open(command),
            "close" => self.close(command),
            "show" => self.show(command),
            word => Err(format!("unknown command `{word}`")),
        }
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, CommandError> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| format!("process {name} is not running"))
    }

    fn report(&mut self, line: impl AsRef<str>) {
        let elapsed = self.now - Duration::from_secs(100);
        let seconds = elapsed.as_millis() as f64 / 1_000.0;
        self.lines.push(format!("{seconds:.2} {}", line.as_ref()));
    }

    fn report_all(&mut self, lines: Vec<Line>) {
        for line in lines {
            self.report(line);
        }
    }

    /// Whether `from` reaches `to`, which may be a process, an upstream, `log` or `list`.
    fn reaches(&self, from: &str, to: &str) -> bool {
        !self.partitions.contains(&(from.to_owned(), to.to_owned()))
    }

    fn reaches_log(&self, name: &str) -> bool {
        self.log.up && self.reaches(name, "log")
    }

    fn listing(&self) -> Listing {
        let current = Listing {
            version: self.list_version,
            instances: self.list.values().cloned().collect(),
        };
        match self.list_answer {
            ListAnswer::Current => current,
            ListAnswer::Saved => self.saved_list.clone().unwrap_or(current),
            ListAnswer::Empty => Listing {
                version: 1,
                instances: Vec::new(),
            },
        }
    }
}
