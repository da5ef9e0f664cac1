//! Streams that this entry relays without an attempt of its own, by engine: they were begun at
//! another entry. A planned change must wait for them as for any other.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Counts of open streams. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ResumedStreams(Arc<Mutex<BTreeMap<Box<str>, u32>>>);

impl ResumedStreams {
    /// Counts a stream until the value is dropped.
    pub fn open(&self, engine: &str) -> OpenStream {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(engine.into()).or_default() += 1;
        OpenStream {
            resumed: self.clone(),
            engine: engine.into(),
        }
    }

    /// Open streams at an engine.
    pub fn count(&self, engine: &str) -> u32 {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(engine).copied().unwrap_or(0)
    }
}

/// One open stream.
#[derive(Debug)]
pub struct OpenStream {
    resumed: ResumedStreams,
    engine: Box<str>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let counts = &self.resumed.0;
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.engine) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.engine);
            }
        }
    }
}
