//! Counts the streams, by engine, that were started at another entry and resumed here. The router
//! has no attempt for them, but planned changes must wait for them as well.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Number of open streams by engine. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ResumedStreams(Arc<Mutex<BTreeMap<Box<str>, u32>>>);

impl ResumedStreams {
    /// Counts a stream until the returned value is dropped.
    pub fn open(&self, engine: &str) -> OpenStream {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(engine.into()).or_default() += 1;
        OpenStream {
            streams: self.clone(),
            engine: engine.into(),
        }
    }

    /// Number of open streams at an engine.
    pub fn count(&self, engine: &str) -> u32 {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(engine).copied().unwrap_or(0)
    }
}

/// Counts an open stream while it exists.
#[derive(Debug)]
pub struct OpenStream {
    streams: ResumedStreams,
    engine: Box<str>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let counts = &self.streams.0;
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.engine) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.engine);
            }
        }
    }
}
