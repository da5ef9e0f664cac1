//! When to read which engine's load report.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

/// Paces the readings: one an engine and period, spread over the period, never two of one engine at
/// once, so that an engine that hangs costs one connection.
#[derive(Clone, Debug)]
pub(crate) struct Reports {
    period: Duration,
    due: BTreeMap<String, Due>,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    at: Moment,
    asked: bool,
}

impl Reports {
    pub(crate) fn new(period: Duration) -> Self {
        Self {
            period,
            due: BTreeMap::new(),
        }
    }

    /// The engines to be read now, of those that there are.
    pub(crate) fn due<'a>(
        &mut self,
        now: Moment,
        engines: impl Iterator<Item = &'a str>,
    ) -> Vec<String> {
        let mut known = std::mem::take(&mut self.due);
        let mut wanted = Vec::new();
        for id in engines {
            let mut due = known.remove(id).unwrap_or(Due {
                at: now,
                asked: false,
            });
            if now >= due.at && !due.asked {
                due.asked = true;
                due.at = now + self.period;
                wanted.push(id.to_owned());
            }
            self.due.insert(id.to_owned(), due);
        }
        wanted
    }

    /// An engine answered, or did not in time.
    pub(crate) fn answered(&mut self, id: &str) {
        if let Some(due) = self.due.get_mut(id) {
            due.asked = false;
        }
    }
}
