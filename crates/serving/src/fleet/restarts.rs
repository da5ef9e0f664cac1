//! Engines that start again under their names.

use std::time::Duration;

use super::Fleet;
use crate::EngineId;
use crate::engine::Record;
use crate::origin::Software;
use crate::usage::UnixTime;

/// An engine that has started again under its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Its former incarnation.
    pub engine: EngineId,
    /// Version of the software that it has now.
    pub software: Software,
    /// When it started.
    pub started: UnixTime,
}

impl Fleet {
    /// Records that an engine has started again.
    pub(crate) fn on_restart(&mut self, engine: EngineId, record: &Record) {
        if let Some(started) = record.started_ms {
            self.restarts.push(Restart {
                engine,
                software: record.software.clone().unwrap_or_default(),
                started: Duration::from_millis(started),
            });
        }
    }

    /// Engines that have started again since the last call.
    pub fn take_restarts(&mut self) -> Vec<Restart> {
        std::mem::take(&mut self.restarts)
    }
}
