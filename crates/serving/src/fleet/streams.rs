//! Streams at engines, and what reading beside them costs them.

use std::time::Duration;

use clock::Moment;

use super::Fleet;
use crate::EngineId;
use crate::engine::Engine;
use crate::pauses::{self, PauseModel, StreamMark};

impl Fleet {
    /// Where a stream at an engine is now.
    pub fn stream_mark(&self, id: &EngineId, now: Moment) -> Option<StreamMark> {
        let engine = self.engines.get(id)?;
        let read = engine.reading.total(now);
        Some(StreamMark { at: now, read })
    }

    /// Takes in that an event of a stream came, which may pause for `longest`. Gives the time since the last one in which
    /// the engine had prompts to read.
    pub fn record_stream_event(
        &mut self,
        id: &EngineId,
        last: &mut StreamMark,
        longest: Duration,
        now: Moment,
    ) -> Duration {
        let Some(engine) = self.engines.get(id) else {
            return Duration::ZERO;
        };
        let read = engine.reading.total(now);
        let part = |time: Duration| time.as_secs_f64() / longest.as_secs_f64().max(1e-3);
        let pauses = self.pauses.entry(engine.record.service.clone());
        let pause = part(now.saturating_sub(last.at));
        pauses
            .or_default()
            .observe(part(read.saturating_sub(last.read)), pause);
        let beside = read.saturating_sub(last.read);
        *last = StreamMark { at: now, read };
        beside
    }

    /// What each millisecond of reading costs each stream at an engine, in milliseconds.
    pub(crate) fn stream_delay_per_ms(&self, engine: &Engine) -> f64 {
        let pauses = self.pauses.get(&engine.record.service);
        let beside = pauses.and_then(PauseModel::pause_while_reading);
        beside.map_or(0.0, |beside| {
            pauses::stream_delay(beside * engine.slowdown.max(1.0))
        })
    }
}
