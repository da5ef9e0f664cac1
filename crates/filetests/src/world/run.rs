//! How time passes.

use claims::{Input, LogStatus};
use fleet::upstream;

use super::{STEP, World};
use crate::Name;
use crate::command::{Command, Fault};
use crate::process::Process;

impl World {
    /// Starts processes; `knows=2` gives them newer software.
    pub(super) fn start(&mut self, command: &Command) -> Result<(), Fault> {
        let newest = command.arg("knows").unwrap_or("1") == "2";
        for name in &command.names {
            if self.processes.contains_key(name) {
                return Err(format!("{name} runs already"));
            }
            let start = self.starts.entry(name.clone()).or_default();
            *start += 1;
            let mut process = Process::new(name, *start, self.now);
            if newest {
                process.catalogue = ::catalogue::State::new(super::catalogue::newer_rules());
            }
            self.processes.insert(name.clone(), process);
        }
        Ok(())
    }

    pub(super) fn kill(&mut self, command: &Command) -> Result<(), Fault> {
        for name in &command.names {
            if self.processes.remove(name).is_none() {
                return Err(format!("no process {name} runs"));
            }
            for engine in self.engines.values_mut() {
                engine.streams.remove(name);
            }
        }
        Ok(())
    }

    pub(super) fn pause(&mut self, command: &Command, paused: bool) -> Result<(), Fault> {
        for name in &command.names {
            self.process(name)?.paused = paused;
        }
        Ok(())
    }

    /// Begins a graceful shutdown.
    pub(super) fn leave(&mut self, command: &Command) -> Result<(), Fault> {
        self.process(command.name()?)?.leaving = true;
        Ok(())
    }

    pub(super) fn run(&mut self, command: &Command) -> Result<(), Fault> {
        let until = self.now + command.span("for", STEP)?;
        while self.now < until {
            self.now += STEP;
            for engine in self.engines.values_mut() {
                engine.pass(self.now);
            }
            self.arrive_due();
            let names: Vec<Name> = self.processes.keys().cloned().collect();
            for name in names {
                self.step(&name);
            }
        }
        Ok(())
    }

    /// What a process decided before comes first: it may have been paused between the decision
    /// and the act.
    fn step(&mut self, name: &Name) {
        if self
            .processes
            .get(name)
            .is_none_or(|process| process.paused)
        {
            return;
        }
        self.run_engine_calls(name);
        self.send_calls(name);
        self.notice_log(name);
        if self.list_up && self.reaches(name, "list") {
            let listing = self.listing();
            self.drive(name, |process, now| process.read_list(now, listing));
        }
        self.read_log(name);
        self.drive(name, |process, now| {
            process.serves |= process.members.may_serve(now);
            process.tick_control(now)
        });
        self.drive(name, |process, now| {
            let outputs = process.batcher.step(now, Input::Tick);
            process.take_claims(outputs)
        });
        self.drive(name, |process, now| {
            process.upstreams.step(now, upstream::Input::Tick);
            Vec::new()
        });
        self.exchange_frames(name);
        self.deliver(name);
    }

    pub(super) fn drive(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Process, clock::Moment) -> Vec<crate::Line>,
    ) {
        let now = self.now;
        if let Some(process) = self.processes.get_mut(name) {
            let lines = act(process, now);
            self.say_all(lines);
            self.judge_decisions(name);
        }
    }

    fn notice_log(&mut self, name: &str) {
        let reach = if self.reaches_log(name) {
            LogStatus::Up
        } else {
            LogStatus::Down
        };
        self.drive(name, |process, now| {
            if process.reach == reach {
                return Vec::new();
            }
            process.reach = reach;
            let outputs = process.batcher.step(now, Input::Log(reach));
            process.take_claims(outputs)
        });
    }

    fn read_log(&mut self, name: &str) {
        if !self.reaches_log(name) {
            return;
        }
        let now = self.now;
        if let Some(process) = self.processes.get_mut(name) {
            let lines = process.read(now, &self.log);
            self.say_all(lines);
            self.judge_decisions(name);
            self.judge_catalogue(name);
        }
    }

    fn exchange_frames(&mut self, name: &str) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        let (lines, frames) = process.tick_members(now);
        self.say_all(lines);
        for (to, frame) in frames {
            let hears = self.processes.get(&to).is_some_and(|peer| !peer.paused);
            if hears && self.reaches(name, &to) {
                self.drive(&to, |peer, now| peer.hear(now, &frame));
            }
        }
    }
}
