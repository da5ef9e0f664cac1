//! Calls that may not be repeated, and the service that runs them.

use std::collections::BTreeMap;
use std::time::Duration;

use claims::{Call, CallEnd, CallId, Input, OutagePolicy};
use clock::Moment;

use super::World;
use crate::command::{Command, Fault};
use crate::process::Asked;
use crate::service::Answer;
use crate::{Line, Name};

/// What callers were told, by which "not run" is judged.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// Number of each call over all processes, in the order in which they came.
    numbers: BTreeMap<(Name, u64, CallId), u64>,
    last: u64,
    /// For each key the number of the newest call that was told "not run". It is said of that
    /// attempt and of all before it; an attempt that the caller made meanwhile has its own answer.
    not_run: BTreeMap<String, u64>,
    /// For each key the attempts that its caller has to count: those that may have run.
    counted: BTreeMap<String, u32>,
    /// For each key the numbers of the calls that ran.
    ran: BTreeMap<String, Vec<u64>>,
}

impl Calls {
    /// The number that a caller declares who counts the attempts that may have run.
    fn next_attempt(&mut self, key: &str) -> u32 {
        let counted = self.counted.entry(key.to_owned()).or_default();
        *counted += 1;
        *counted
    }
}

impl World {
    pub(super) fn call(&mut self, command: &Command) -> Result<(), Fault> {
        let deadline = self.now + command.span("deadline", Duration::from_secs(3))?;
        let key = command.need("key")?.to_owned();
        let policy = match command.arg("policy").unwrap_or("refuse") {
            "refuse" => OutagePolicy::Refuse,
            "first-attempt" => OutagePolicy::FirstAttempt,
            other => return Err(format!("`{other}` is no policy")),
        };
        let attempt = match command.arg("attempt") {
            None => None,
            Some("next") => Some(self.calls.next_attempt(&key)),
            Some(_) => command.number("attempt")?.try_into().ok(),
        };
        let body = command.arg("body").unwrap_or("body").to_owned();
        let name = command.name()?.to_owned();
        let process = self.process(&name)?;
        process.tickets += 1;
        let (ticket, incarnation) = (process.tickets, process.incarnation);
        let asked = Asked {
            key: key.clone(),
            deadline,
        };
        process.asked.insert(ticket, asked);
        let call = Call {
            id: ticket,
            key: claims::key_digest("owner", "entry", &key),
            fingerprint: claims::fingerprint("POST", "/", body.as_bytes()),
            request: format!("{name}-{ticket}"),
            attempt,
            policy,
            deadline,
        };
        self.calls.last += 1;
        let number = self.calls.last;
        self.calls
            .numbers
            .insert((name.clone(), incarnation, ticket), number);
        self.claims(&name, Input::Call(call));
        Ok(())
    }

    /// The caller of a call goes.
    pub(super) fn gone(&mut self, command: &Command) -> Result<(), Fault> {
        let (name, ticket) = (command.name()?.to_owned(), command.number("call")?);
        self.claims(&name, Input::CallerGone(ticket));
        Ok(())
    }

    pub(super) fn set_service(&mut self, command: &Command) -> Result<(), Fault> {
        self.service.answer = match command.name()? {
            "good" => Answer::Good,
            "lost" => Answer::Lost,
            "unreachable" => Answer::Unreachable,
            other => return Err(format!("`{other}` is no answer")),
        };
        Ok(())
    }

    /// Sends the calls that a process was told to run.
    pub(super) fn send_calls(&mut self, name: &Name) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for ticket in std::mem::take(&mut process.sending) {
            let asked = self
                .processes
                .get(name)
                .and_then(|one| one.asked.get(&ticket));
            let Some(Asked { key, deadline }) = asked.cloned() else {
                continue;
            };
            let end = self.send(name, ticket, &key, deadline, now);
            self.claims(name, Input::Ended(ticket, end));
        }
    }

    /// The deadline is looked at once more right before the first byte: the process may have been
    /// paused since it was told to run.
    fn send(
        &mut self,
        name: &Name,
        ticket: CallId,
        key: &str,
        deadline: Moment,
        now: Moment,
    ) -> CallEnd {
        if now >= deadline || self.service.answer == Answer::Unreachable {
            self.say(format!("{name}: call {ticket} of {key}: not sent, not run"));
            self.tell_not_run(name, ticket, key);
            return CallEnd::NotRun;
        }
        let times = self.service.execute(key);
        self.say(format!("service: {key} runs, from {name}"));
        if times > 1 {
            self.say(format!("VIOLATION {key} ran {times} times"));
        }
        let number = self.number(name, ticket);
        self.calls
            .ran
            .entry(key.to_owned())
            .or_default()
            .push(number);
        if self
            .calls
            .not_run
            .get(key)
            .is_some_and(|told| number <= *told)
        {
            self.say(format!(
                "VIOLATION {key} ran after a caller was told that it did not"
            ));
        }
        match self.service.answer {
            Answer::Lost => CallEnd::Unknown,
            Answer::Good | Answer::Unreachable => CallEnd::Answered,
        }
    }

    fn number(&self, name: &str, ticket: CallId) -> u64 {
        let incarnation = self.processes.get(name).map_or(0, |one| one.incarnation);
        let call = (name.to_owned(), incarnation, ticket);
        self.calls.numbers.get(&call).copied().unwrap_or(0)
    }

    fn tell_not_run(&mut self, name: &str, ticket: CallId, key: &str) {
        let number = self.number(name, ticket);
        let ran = self.calls.ran.get(key);
        if ran.is_some_and(|ran| ran.iter().any(|ran| *ran <= number)) {
            self.say(format!(
                "VIOLATION {key} ran, and a caller is told that it did not"
            ));
        }
        if let Some(counted) = self.calls.counted.get_mut(key) {
            *counted = counted.saturating_sub(1);
        }
        let told = self.calls.not_run.entry(key.to_owned()).or_default();
        *told = number.max(*told);
    }

    /// Judges what was told to callers in the newest lines of a process.
    pub(super) fn judge_decisions(&mut self, name: &str) {
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        for (ticket, key) in std::mem::take(&mut process.told_not_run) {
            self.tell_not_run(name, ticket, &key);
        }
    }

    fn claims(&mut self, name: &str, input: Input) {
        self.drive(name, |process, now| -> Vec<Line> {
            let outputs = process.batcher.step(now, input);
            process.take_claims(outputs)
        });
    }
}
