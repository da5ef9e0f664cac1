//! The instance list, the engines and the streams on them.

use authority::order::{Model, Order, Role};
use authority::planner::{Input, Reason};
use fleet::list::{Instance, Kind, Mark};

use super::{ListAnswer, World};
use crate::Name;
use crate::command::{Command, Fault};
use crate::engine::Engine;
use crate::process::SCOPE;

impl World {
    /// Puts names on the list (`as=engine`, `service` or `entry`), marks them (`mark=leaving`),
    /// takes them off (`mark=off`), or switches the list itself (`list up`, `list out`).
    pub(super) fn change_list(&mut self, command: &Command) -> Result<(), Fault> {
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
                    let line = self.list.get_mut(name).ok_or("it is not listed")?;
                    line.mark = Mark::Leaving;
                }
                _ => {
                    let line = instance(name, command.need("as")?)?;
                    self.list.insert(name.clone(), line);
                }
            }
        }
        self.list_version += 1;
        Ok(())
    }

    /// Keeps an answer of the list (`answers=keep`), and answers with it (`kept`), with nothing
    /// (`empty`) or with the truth (`now`).
    fn change_answer(&mut self, answer: &str) -> Result<(), Fault> {
        self.list_answer = match answer {
            "keep" => {
                self.kept_list = Some(self.listing());
                ListAnswer::Now
            }
            "kept" => ListAnswer::Kept,
            "empty" => ListAnswer::Empty,
            "now" => ListAnswer::Now,
            other => return Err(format!("`{other}` is no answer")),
        };
        Ok(())
    }

    /// Makes engines, which are listed at once; `fences=ignored` for those that ignore fences;
    /// `restart=1` restarts them.
    pub(super) fn change_engine(&mut self, command: &Command) -> Result<(), Fault> {
        for name in &command.names {
            if command.arg("restart").is_some() {
                self.engines
                    .get_mut(name)
                    .ok_or("no such engine")?
                    .restart();
                continue;
            }
            let checks = command.arg("fences") != Some("ignored");
            self.engines.insert(name.clone(), Engine::new(checks));
            self.list.insert(name.clone(), instance(name, "engine")?);
            self.list_version += 1;
        }
        Ok(())
    }

    /// A planned change is wanted: `want at=a engine-1 role=decode` or `load=model.version`; without
    /// `at=` by all entries.
    pub(super) fn want(&mut self, command: &Command) -> Result<(), Fault> {
        let upstream = command.name()?.to_owned();
        let what = match (command.arg("role"), command.arg("load")) {
            (Some(role), None) => Order::SetRole(self::role(role)?),
            (None, Some(load)) => Order::LoadModel(model(load)?),
            _ => return Err("`want` needs `role=` or `load=`".to_owned()),
        };
        let want = Input::Request {
            upstream,
            action: what,
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
            let want = want.clone();
            self.drive(&name, |process, now| process.plan(now, want));
        }
        Ok(())
    }

    /// A stream at an upstream, if the entry sends new work there.
    pub(super) fn open(&mut self, command: &Command) -> Result<(), Fault> {
        let upstream = command.name()?.to_owned();
        let at = command.need("at")?.to_owned();
        let now = self.now;
        let process = self.process(&at)?;
        if process.paused {
            return Err(format!("{at} is paused"));
        }
        process.serves |= process.members.may_serve(now);
        if process.leaving || !process.current || !process.serves {
            self.say(format!("{at}: takes no work"));
            return Ok(());
        }
        let known = process.upstreams.get(&upstream);
        if !known.is_some_and(fleet::upstream::Upstream::takes_work) {
            let state = known.map(|known| known.state);
            let text = state.map_or("is unknown".to_owned(), |state| format!("is {state:?}"));
            self.say(format!("{at}: sends nothing, {upstream} {text}"));
            return Ok(());
        }
        *process.open.entry(upstream.clone()).or_default() += 1;
        if let Some(engine) = self.engines.get_mut(&upstream) {
            *engine.streams.entry(at.clone()).or_default() += 1;
        }
        self.say(format!("{at}: opens a stream at {upstream}"));
        Ok(())
    }

    /// The stream ends with its whole answer.
    pub(super) fn close(&mut self, command: &Command) -> Result<(), Fault> {
        let upstream = command.name()?.to_owned();
        let at = command.need("at")?.to_owned();
        let process = self.process(&at)?;
        if let Some(open) = process.open.get_mut(&upstream) {
            *open = open.saturating_sub(1);
        }
        let engine = self.engines.get_mut(&upstream);
        if let Some(open) = engine.and_then(|engine| engine.streams.get_mut(&at)) {
            *open = open.saturating_sub(1);
        }
        Ok(())
    }
}

fn instance(name: &str, kind: &str) -> Result<Instance, Fault> {
    let kind = match kind {
        "engine" => Kind::Engine,
        "service" => Kind::Service,
        "entry" => Kind::Entry,
        other => return Err(format!("`{other}` is no kind of instance")),
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

fn role(word: &str) -> Result<Role, Fault> {
    Ok(match word {
        "mixed" => Role::Mixed,
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        other => return Err(format!("`{other}` is no role")),
    })
}

fn model(text: &str) -> Result<Model, Fault> {
    let (model, version) = text
        .split_once('.')
        .ok_or_else(|| format!("`{text}` is no model.version"))?;
    Ok(Model {
        model: model.to_owned(),
        adapter: String::new(),
        version: version.to_owned(),
    })
}
