//! Streams at engines, and how reading prompts delays them.

use std::time::Duration;

use clock::Moment;

use super::Fleet;
use crate::EngineId;
use crate::engine::Engine;
use crate::pauses::{self, PauseModel, StreamMark};

impl Fleet {
    /// The present mark of a stream at an engine.
    pub fn stream_mark(&self, id: &EngineId, now: Moment) -> Option<StreamMark> {
        let engine = self.engines.get(id)?;
        let read = engine.reading.total(now);
        Some(StreamMark { at: now, read })
    }

    /// Records an event of a stream that may pause for `longest`. Returns the time since the last
    /// event in which the engine had prompts to read.
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
        let reading_time = read.saturating_sub(last.read);
        *last = StreamMark { at: now, read };
        reading_time
    }

    /// Delay of each stream at an engine per millisecond of reading, in milliseconds.
    pub(crate) fn stream_delay_per_ms(&self, engine: &Engine, now: Moment) -> f64 {
        let pauses = self.pauses.get(&engine.record.service);
        let pause = pauses.and_then(PauseModel::pause_while_reading);
        pause.map_or(0.0, |pause| {
            pauses::stream_delay(pause * self.slowdown(engine, now).max(1.0))
        })
    }
}
