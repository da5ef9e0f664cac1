//! The world of a scenario: processes, platform, upstreams and the faults between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use authority::change;
use clock::Moment;
use fleet::list::{Instance, Listing};

use crate::command::{Command, Fault};
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
const STEP: Duration = Duration::from_millis(250);

/// An order or a cancellation that is on its way to an engine.
#[derive(Clone, Debug)]
struct Travelling {
    from: Name,
    to: Name,
    output: change::Output,
    /// When it arrives at the latest.
    until: Moment,
}

/// What the instance list answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListAnswer {
    /// Its contents.
    Now,
    /// A copy that was kept.
    Kept,
    /// Nothing at all, as after a start from nothing.
    Empty,
}

/// The world.
pub struct World {
    now: Moment,
    log: Log,
    /// The fold of the whole log, by which acts are judged.
    truth: authority::state::State,
    processes: BTreeMap<Name, Process>,
    starts: BTreeMap<Name, u64>,
    list: BTreeMap<Name, Instance>,
    list_version: u64,
    list_up: bool,
    engines: BTreeMap<Name, Engine>,
    service: Service,
    /// Directed pairs that do not reach each other.
    cuts: BTreeSet<(Name, Name)>,
    /// Pairs of entry and engine whose answers get lost.
    deaf: BTreeSet<(Name, Name)>,
    /// Pairs of entry and engine whose orders are slow.
    slow: BTreeSet<(Name, Name)>,
    travelling: Vec<Travelling>,
    /// Engines to which orders may take longer than the protocol reckons with.
    beyond: BTreeSet<Name>,
    /// An answer of the list that was kept, and whether it is what the list answers with.
    kept_list: Option<Listing>,
    list_answer: ListAnswer,
    calls: calls::Calls,
    /// Digest of the catalogue by the offset up to which it was folded, as the first process had
    /// it there.
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
    /// A world with a log, an empty instance list and nobody in it.
    pub fn new() -> Self {
        Self {
            now: Duration::from_secs(100),
            log: Log::new(),
            truth: authority::state::State::new(),
            processes: BTreeMap::new(),
            starts: BTreeMap::new(),
            list: BTreeMap::new(),
            list_version: 0,
            list_up: true,
            engines: BTreeMap::new(),
            service: Service::new(),
            cuts: BTreeSet::new(),
            deaf: BTreeSet::new(),
            slow: BTreeSet::new(),
            travelling: Vec::new(),
            beyond: BTreeSet::new(),
            kept_list: None,
            list_answer: ListAnswer::Now,
            calls: calls::Calls::default(),
            catalogues: BTreeMap::new(),
            lines: Vec::new(),
            violations: 0,
        }
    }

    /// How often a promise was broken so far.
    pub fn violations(&self) -> usize {
        self.violations
    }

    /// Carries a command out and gives what happened, a line each.
    pub fn execute(&mut self, command: &Command) -> String {
        if let Err(fault) = self.dispatch(command) {
            self.lines.push(format!("error: {fault}"));
        }
        let lines = std::mem::take(&mut self.lines);
        let broken = lines.iter().filter(|line| line.contains("VIOLATION"));
        self.violations += broken.count();
        lines.into_iter().map(|line| line + "\n").collect()
    }

    fn dispatch(&mut self, command: &Command) -> Result<(), Fault> {
        match command.word.as_str() {
            "start" => self.start(command),
            "kill" => self.kill(command),
            "pause" => self.pause(command, true),
            "resume" => self.pause(command, false),
            "leave" => self.leave(command),
            "run" => self.run(command),
            "log" => self.switch_log(command),
            "next" => self.next_fate(command),
            "let-go" => self.let_go(),
            "forget" => self.forget(command),
            "cut" => self.cut(command, true),
            "heal" => self.cut(command, false),
            "slow" => self.slow(command),
            "deaf" => self.deaf(command),
            "arrive" => self.arrive(),
            "edit" => self.edit(command),
            "raise" => self.raise(command),
            "snapshot" => self.snapshot(command),
            "adopt" => self.adopt(command),
            "call" => self.call(command),
            "gone" => self.gone(command),
            "service" => self.set_service(command),
            "want" => self.want(command),
            "list" => self.change_list(command),
            "engine" => self.change_engine(command),
            "open" => self.open(command),
            "close" => self.close(command),
            "show" => self.show(command),
            word => Err(format!("`{word}` is no command")),
        }
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, Fault> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| format!("no process {name} runs"))
    }

    fn say(&mut self, line: impl AsRef<str>) {
        let elapsed = self.now - Duration::from_secs(100);
        let seconds = elapsed.as_millis() as f64 / 1_000.0;
        self.lines.push(format!("{seconds:.2} {}", line.as_ref()));
    }

    fn say_all(&mut self, lines: Vec<Line>) {
        for line in lines {
            self.say(line);
        }
    }

    /// Whether `from` reaches `to`, which may be a process, an upstream, `log` or `list`.
    fn reaches(&self, from: &str, to: &str) -> bool {
        !self.cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    fn reaches_log(&self, name: &str) -> bool {
        self.log.up && self.reaches(name, "log")
    }

    fn listing(&self) -> Listing {
        let now = Listing {
            version: self.list_version,
            instances: self.list.values().cloned().collect(),
        };
        match self.list_answer {
            ListAnswer::Now => now,
            ListAnswer::Kept => self.kept_list.clone().unwrap_or(now),
            ListAnswer::Empty => Listing {
                version: 1,
                instances: Vec::new(),
            },
        }
    }
}
