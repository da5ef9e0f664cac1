//! Calls that must not run twice, and the service that runs them.

use std::collections::BTreeMap;
use std::time::Duration;

use claims::{Call, CallEnd, CallId, Input, OutagePolicy};
use clock::Moment;

use super::World;
use crate::command::{Command, CommandError};
use crate::process::CallInfo;
use crate::service::Answer;
use crate::{Line, Name};

/// Calls and what was reported to callers, to check that "not run" is true.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// Global number of each call, in the order of arrival.
    numbers: BTreeMap<(Name, u64, CallId), u64>,
    last_number: u64,
    /// For each key the number of the newest call that was reported as "not run". The report covers
    /// that attempt and all before it; an attempt made by the caller meanwhile has its own answer.
    not_run: BTreeMap<String, u64>,
    /// For each key the number of attempts that may have run, as counted by its caller.
    attempts: BTreeMap<String, u32>,
    /// For each key the numbers of the calls that ran.
    ran: BTreeMap<String, Vec<u64>>,
}

impl Calls {
    /// The attempt number that a caller with a correct count declares.
    fn next_attempt(&mut self, key: &str) -> u32 {
        let attempts = self.attempts.entry(key.to_owned()).or_default();
        *attempts += 1;
        *attempts
    }
}

impl World {
    pub(super) fn call(&mut self, command: &Command) -> Result<(), CommandError> {
        let deadline = self.now + command.duration("deadline", Duration::from_secs(3))?;
        let key = command.required("key")?.to_owned();
        let policy = match command.arg("policy").unwrap_or("refuse") {
            "refuse" => OutagePolicy::Refuse,
            "first-attempt" => OutagePolicy::FirstAttempt,
            other => return Err(format!("unknown policy `{other}`")),
        };
        let attempt = match command.arg("attempt") {
            None => None,
            Some("next") => Some(self.calls.next_attempt(&key)),
            Some(_) => command.number("attempt")?.try_into().ok(),
        };
        let body = command.arg("body").unwrap_or("body").to_owned();
        let name = command.name()?.to_owned();
        let process = self.process(&name)?;
        process.last_call += 1;
        let (id, incarnation) = (process.last_call, process.incarnation);
        let info = CallInfo {
            key: key.clone(),
            deadline,
        };
        process.calls.insert(id, info);
        let call = Call {
            id,
            key: claims::key_digest("owner", "entry", &key),
            fingerprint: claims::fingerprint("POST", "/", body.as_bytes()),
            request: format!("{name}-{id}"),
            attempt,
            policy,
            deadline,
        };
        self.calls.last_number += 1;
        let number = self.calls.last_number;
        self.calls
            .numbers
            .insert((name.clone(), incarnation, id), number);
        self.step_claims(&name, Input::Call(call));
        Ok(())
    }

    /// The caller of a call disconnects.
    pub(super) fn caller_gone(&mut self, command: &Command) -> Result<(), CommandError> {
        let (name, call) = (command.name()?.to_owned(), command.number("call")?);
        self.step_claims(&name, Input::CallerGone(call));
        Ok(())
    }

    pub(super) fn set_service(&mut self, command: &Command) -> Result<(), CommandError> {
        self.service.answer = match command.name()? {
            "good" => Answer::Delivered,
            "lost" => Answer::Lost,
            "unreachable" => Answer::Unreachable,
            other => return Err(format!("unknown answer `{other}`")),
        };
        Ok(())
    }

    /// Sends the calls of a process that are cleared to run.
    pub(super) fn send_calls(&mut self, name: &Name) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for call in std::mem::take(&mut process.ready_calls) {
            let info = self
                .processes
                .get(name)
                .and_then(|process| process.calls.get(&call));
            let Some(CallInfo { key, deadline }) = info.cloned() else {
                continue;
            };
            let end = self.send_call(name, call, &key, deadline, now);
            self.step_claims(name, Input::Ended(call, end));
        }
    }

    /// Sends a call. The deadline is checked again right before the first byte, since the process
    /// may have been paused after the call was cleared to run.
    fn send_call(
        &mut self,
        name: &Name,
        call: CallId,
        key: &str,
        deadline: Moment,
        now: Moment,
    ) -> CallEnd {
        if now >= deadline || self.service.answer == Answer::Unreachable {
            self.report(format!("{name}: call {call} of {key}: not sent, not run"));
            self.record_not_run(name, call, key);
            return CallEnd::NotRun;
        }
        let times = self.service.execute(key);
        self.report(format!("service: {key} runs, from {name}"));
        if times > 1 {
            self.report(format!("VIOLATION {key} ran {times} times"));
        }
        let number = self.number(name, call);
        self.calls
            .ran
            .entry(key.to_owned())
            .or_default()
            .push(number);
        if self
            .calls
            .not_run
            .get(key)
            .is_some_and(|reported| number <= *reported)
        {
            self.report(format!(
                "VIOLATION {key} ran after a caller was told that it did not"
            ));
        }
        match self.service.answer {
            Answer::Lost => CallEnd::Unknown,
            Answer::Delivered | Answer::Unreachable => CallEnd::Answered,
        }
    }

    fn number(&self, name: &str, call: CallId) -> u64 {
        let incarnation = self
            .processes
            .get(name)
            .map_or(0, |process| process.incarnation);
        let call = (name.to_owned(), incarnation, call);
        self.calls.numbers.get(&call).copied().unwrap_or(0)
    }

    fn record_not_run(&mut self, name: &str, call: CallId, key: &str) {
        let number = self.number(name, call);
        let ran = self.calls.ran.get(key);
        if ran.is_some_and(|ran| ran.iter().any(|ran| *ran <= number)) {
            self.report(format!(
                "VIOLATION {key} ran, and a caller is told that it did not"
            ));
        }
        if let Some(attempts) = self.calls.attempts.get_mut(key) {
            *attempts = attempts.saturating_sub(1);
        }
        let reported = self.calls.not_run.entry(key.to_owned()).or_default();
        *reported = number.max(*reported);
    }

    /// Checks the "not run" answers that a process gave since the last check.
    pub(super) fn check_decisions(&mut self, name: &str) {
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for (call, key) in std::mem::take(&mut process.reported_not_run) {
            self.record_not_run(name, call, &key);
        }
    }

    fn step_claims(&mut self, name: &str, input: Input) {
        self.drive(name, |process, now| -> Vec<Line> {
            let outputs = process.batcher.step(now, input);
            process.handle_claims(outputs)
        });
    }
}
