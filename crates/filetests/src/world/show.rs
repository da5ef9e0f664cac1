//! Output of the `show` command.

use catalogue::{Kind, PathMatch};

use super::World;
use crate::command::{Command, CommandError};
use crate::{Line, Name};

impl World {
    pub(super) fn show(&mut self, command: &Command) -> Result<(), CommandError> {
        let lines = match command.name()? {
            "catalogue" => self.show_catalogue(),
            "holder" => vec![self.show_holder()],
            "orders" => self.show_orders(),
            "engines" => self.show_engines(),
            "executions" => self.show_executions(),
            "path" => self.show_path(command.input.trim()),
            other => return Err(format!("nothing to show for `{other}`")),
        };
        self.lines.extend(lines);
        Ok(())
    }

    fn show_catalogue(&self) -> Vec<Line> {
        let line = |(name, process): (&Name, &crate::process::Process)| {
            let state = &process.catalogue;
            let pools: Vec<&str> = state.view().names(Kind::Pool).collect();
            let frozen = state.frozen().map_or("", |_| ", frozen");
            let (revision, version) = (state.revision(), state.version());
            let pools = pools.join(" ");
            format!("{name}: revision {revision}, rules {version}{frozen}, pools: {pools}")
        };
        self.processes.iter().map(line).collect()
    }

    fn show_holder(&self) -> Line {
        match self.reference.current_claim(crate::process::SCOPE) {
            None => "nobody".to_owned(),
            Some(held) if held.released => format!("released by {}", held.holder.instance),
            Some(held) => format!("{} by claim {}", held.holder.instance, held.fence),
        }
    }

    fn show_orders(&self) -> Vec<Line> {
        let pending = self.reference.pending_orders().map(|(upstream, pending)| {
            format!("{upstream}: order {}, {:?}", pending.order, pending.action)
        });
        let steps = self.processes.iter().flat_map(|(name, process)| {
            process.planner.active_changes().map(move |active| {
                let blockers = active.change.blockers().join(", ");
                let blockers = if blockers.is_empty() {
                    blockers
                } else {
                    format!(", waits: {blockers}")
                };
                format!(
                    "{name}: {} {:?}{blockers}",
                    active.upstream,
                    active.change.current_step()
                )
            })
        });
        pending.chain(steps).collect()
    }

    fn show_engines(&self) -> Vec<Line> {
        let line = |(name, engine): (&Name, &crate::engine::Engine)| {
            let reading = engine.read();
            let models: Vec<String> = reading
                .models
                .iter()
                .map(|model| format!("{}.{}", model.model, model.version))
                .collect();
            let (role, open, models) = (reading.role, reading.open_streams, models.join(" "));
            format!("{name}: {role:?}, {open} open, models: {models}")
        };
        self.engines.iter().map(line).collect()
    }

    fn show_executions(&self) -> Vec<Line> {
        let executions = self.service.executions.iter();
        executions
            .map(|(key, times)| format!("{key}: {times}"))
            .collect()
    }

    fn show_path(&self, path: &str) -> Vec<Line> {
        let line = |(name, process): (&Name, &crate::process::Process)| {
            let entry = match process.catalogue.view().entry_at("POST", path) {
                PathMatch::Entry(entry) => entry.name.clone(),
                PathMatch::MethodNotAllowed => "other method".to_owned(),
                PathMatch::NotFound => "nothing".to_owned(),
            };
            format!("{name}: {entry}")
        };
        self.processes.iter().map(line).collect()
    }
}
