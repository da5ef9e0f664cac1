//! Starts, stops and advances processes.

use claims::{Input, LogStatus};
use fleet::upstream;

use super::{TICK_INTERVAL, World};
use crate::Name;
use crate::command::{Command, CommandError};
use crate::process::Process;

impl World {
    /// Starts processes; `knows=2` gives them newer software.
    pub(super) fn start(&mut self, command: &Command) -> Result<(), CommandError> {
        let newer_software = command.arg("knows").unwrap_or("1") == "2";
        for name in &command.names {
            if self.processes.contains_key(name) {
                return Err(format!("{name} is running already"));
            }
            let incarnation = self.incarnations.entry(name.clone()).or_default();
            *incarnation += 1;
            let mut process = Process::new(name, *incarnation, self.now);
            if newer_software {
                process.catalogue = ::catalogue::State::new(super::catalogue::newer_rules());
            }
            self.processes.insert(name.clone(), process);
        }
        Ok(())
    }

    pub(super) fn kill(&mut self, command: &Command) -> Result<(), CommandError> {
        for name in &command.names {
            if self.processes.remove(name).is_none() {
                return Err(format!("process {name} is not running"));
            }
            for engine in self.engines.values_mut() {
                engine.streams.remove(name);
            }
        }
        Ok(())
    }

    pub(super) fn pause(&mut self, command: &Command, paused: bool) -> Result<(), CommandError> {
        for name in &command.names {
            self.process(name)?.paused = paused;
        }
        Ok(())
    }

    /// Begins a graceful shutdown.
    pub(super) fn leave(&mut self, command: &Command) -> Result<(), CommandError> {
        self.process(command.name()?)?.leaving = true;
        Ok(())
    }

    pub(super) fn run(&mut self, command: &Command) -> Result<(), CommandError> {
        let until = self.now + command.duration("for", TICK_INTERVAL)?;
        while self.now < until {
            self.now += TICK_INTERVAL;
            for engine in self.engines.values_mut() {
                engine.advance(self.now);
            }
            self.deliver_due();
            let names: Vec<Name> = self.processes.keys().cloned().collect();
            for name in names {
                self.step(&name);
            }
        }
        Ok(())
    }

    /// Runs a process for one tick. Effects of earlier decisions come first, since the process may
    /// have been paused between a decision and its effect.
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
            process.may_serve |= process.members.may_serve(now);
            process.tick_control(now)
        });
        self.drive(name, |process, now| {
            let outputs = process.batcher.step(now, Input::Tick);
            process.handle_claims(outputs)
        });
        self.drive(name, |process, now| {
            process.upstreams.step(now, upstream::Input::Tick);
            Vec::new()
        });
        self.exchange_frames(name);
        self.submit_appends(name);
    }

    pub(super) fn drive(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Process, clock::Moment) -> Vec<crate::Line>,
    ) {
        let now = self.now;
        if let Some(process) = self.processes.get_mut(name) {
            let lines = act(process, now);
            self.report_all(lines);
            self.check_decisions(name);
        }
    }

    fn notice_log(&mut self, name: &str) {
        let status = if self.reaches_log(name) {
            LogStatus::Up
        } else {
            LogStatus::Down
        };
        self.drive(name, |process, now| {
            if process.log_status == status {
                return Vec::new();
            }
            process.log_status = status;
            let outputs = process.batcher.step(now, Input::Log(status));
            process.handle_claims(outputs)
        });
    }

    fn read_log(&mut self, name: &str) {
        if !self.reaches_log(name) {
            return;
        }
        let now = self.now;
        if let Some(process) = self.processes.get_mut(name) {
            let lines = process.read(now, &self.log);
            self.report_all(lines);
            self.check_decisions(name);
            self.check_catalogue(name);
        }
    }

    fn exchange_frames(&mut self, name: &str) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        let (lines, frames) = process.tick_members(now);
        self.report_all(lines);
        for (to, frame) in frames {
            let receives = self.processes.get(&to).is_some_and(|peer| !peer.paused);
            if receives && self.reaches(name, &to) {
                self.drive(&to, |peer, now| peer.receive_frame(now, &frame));
            }
        }
    }
}
