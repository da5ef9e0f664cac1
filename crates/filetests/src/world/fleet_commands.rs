//! Commands for the instance list, the engines and their streams.

use authority::order::{Model, Order, Role};
use authority::planner::{Input, Reason};
use fleet::list::{Instance, Kind, Mark};

use super::{ListAnswer, World};
use crate::Name;
use crate::command::{Command, CommandError};
use crate::engine::Engine;
use crate::process::SCOPE;

impl World {
    /// Adds instances to the list (`as=engine`, `service` or `entry`), marks them (`mark=leaving`),
    /// removes them (`mark=off`), or sets whether the list itself is available (`list up`, `list
    /// out`).
    pub(super) fn change_list(&mut self, command: &Command) -> Result<(), CommandError> {
        if command.names.contains("up") || command.names.contains("out") {
            self.list_up = command.names.contains("up");
            return Ok(());
        }
        if let Some(answer) = command.arg("answers") {
            return self.change_answer(answer);
        }
        for name in &command.names {
            match command.arg("mark") {
                Some("off") => {
                    self.list.remove(name);
                }
                Some("leaving") => {
                    let line = self
                        .list
                        .get_mut(name)
                        .ok_or("the instance is not listed")?;
                    line.mark = Mark::Leaving;
                }
                _ => {
                    let line = instance(name, command.required("as")?)?;
                    self.list.insert(name.clone(), line);
                }
            }
        }
        self.list_version += 1;
        Ok(())
    }

    /// Saves a copy of the list (`answers=keep`), or makes the list return that copy (`kept`), no
    /// instances (`empty`) or its current contents (`now`).
    fn change_answer(&mut self, answer: &str) -> Result<(), CommandError> {
        self.list_answer = match answer {
            "keep" => {
                self.saved_list = Some(self.listing());
                ListAnswer::Current
            }
            "kept" => ListAnswer::Saved,
            "empty" => ListAnswer::Empty,
            "now" => ListAnswer::Current,
            other => return Err(format!("unknown answer `{other}`")),
        };
        Ok(())
    }

    /// Creates engines and lists them; `fences=ignored` makes them ignore fences, and `restart=1`
    /// restarts existing ones.
    pub(super) fn change_engine(&mut self, command: &Command) -> Result<(), CommandError> {
        for name in &command.names {
            if command.arg("restart").is_some() {
                self.engines
                    .get_mut(name)
                    .ok_or("no such engine")?
                    .restart();
                continue;
            }
            let checks_fence = command.arg("fences") != Some("ignored");
            self.engines.insert(name.clone(), Engine::new(checks_fence));
            self.list.insert(name.clone(), instance(name, "engine")?);
            self.list_version += 1;
        }
        Ok(())
    }

    /// Requests a planned change: `want at=a engine-1 role=decode` or `load=model.version`; without
    /// `at=` at all entries that are not paused.
    pub(super) fn want(&mut self, command: &Command) -> Result<(), CommandError> {
        let upstream = command.name()?.to_owned();
        let action = match (command.arg("role"), command.arg("load")) {
            (Some(role), None) => Order::SetRole(self::role(role)?),
            (None, Some(load)) => Order::LoadModel(model(load)?),
            _ => return Err("`want` needs `role=` or `load=`".to_owned()),
        };
        let request = Input::Request {
            upstream,
            action,
            reason: Reason::Plan,
        };
        let names: Vec<Name> = match command.arg("at") {
            Some(at) => vec![at.to_owned()],
            None => self.processes.keys().cloned().collect(),
        };
        for name in names {
            if self.process(&name)?.paused {
                continue;
            }
            let request = request.clone();
            self.drive(&name, |process, now| process.step_planner(now, request));
        }
        Ok(())
    }

    /// Opens a stream at an upstream, if the entry sends new work there.
    pub(super) fn open(&mut self, command: &Command) -> Result<(), CommandError> {
        let upstream = command.name()?.to_owned();
        let at = command.required("at")?.to_owned();
        let now = self.now;
        let process = self.process(&at)?;
        if process.paused {
            return Err(format!("{at} is paused"));
        }
        process.may_serve |= process.members.may_serve(now);
        if process.leaving || !process.view_is_current || !process.may_serve {
            self.report(format!("{at}: takes no work"));
            return Ok(());
        }
        let found = process.upstreams.get(&upstream);
        if !found.is_some_and(fleet::upstream::Upstream::takes_work) {
            let state = found.map(|found| found.state);
            let text = state.map_or("is unknown".to_owned(), |state| format!("is {state:?}"));
            self.report(format!("{at}: sends nothing, {upstream} {text}"));
            return Ok(());
        }
        *process.open_streams.entry(upstream.clone()).or_default() += 1;
        if let Some(engine) = self.engines.get_mut(&upstream) {
            *engine.streams.entry(at.clone()).or_default() += 1;
        }
        self.report(format!("{at}: opens a stream at {upstream}"));
        Ok(())
    }

    /// Ends a stream after its complete answer.
    pub(super) fn close(&mut self, command: &Command) -> Result<(), CommandError> {
        let upstream = command.name()?.to_owned();
        let at = command.required("at")?.to_owned();
        let process = self.process(&at)?;
        if let Some(open) = process.open_streams.get_mut(&upstream) {
            *open = open.saturating_sub(1);
        }
        let engine = self.engines.get_mut(&upstream);
        if let Some(open) = engine.and_then(|engine| engine.streams.get_mut(&at)) {
            *open = open.saturating_sub(1);
        }
        Ok(())
    }
}

fn instance(name: &str, kind: &str) -> Result<Instance, CommandError> {
    let kind = match kind {
        "engine" => Kind::Engine,
        "service" => Kind::Service,
        "entry" => Kind::Entry,
        other => return Err(format!("unknown kind of instance `{other}`")),
    };
    Ok(Instance {
        id: name.to_owned(),
        kind,
        pool: SCOPE.to_owned(),
        data_centre: String::new(),
        address: format!("{name}:1"),
        mark: Mark::Live,
    })
}

fn role(word: &str) -> Result<Role, CommandError> {
    Ok(match word {
        "mixed" => Role::Mixed,
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        other => return Err(format!("unknown role `{other}`")),
    })
}

fn model(text: &str) -> Result<Model, CommandError> {
    let (model, version) = text
        .split_once('.')
        .ok_or_else(|| format!("`{text}` is not of the form `model.version`"))?;
    Ok(Model {
        model: model.to_owned(),
        adapter: String::new(),
        version: version.to_owned(),
    })
}
