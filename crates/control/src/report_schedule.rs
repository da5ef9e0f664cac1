//! When to read which engine's load report.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

/// Paces the readings: one an engine and period, spread over the period, never two of one engine at
/// once, so that an engine that hangs costs one connection.
#[derive(Clone, Debug)]
pub(crate) struct ReportSchedule {
    period: Duration,
    next_reads: BTreeMap<String, NextRead>,
}

#[derive(Clone, Copy, Debug)]
struct NextRead {
    at: Moment,
    in_flight: bool,
}

impl ReportSchedule {
    pub(crate) fn new(period: Duration) -> Self {
        Self {
            period,
            next_reads: BTreeMap::new(),
        }
    }

    /// The engines to be read now, of those that there are.
    pub(crate) fn take_due<'a>(
        &mut self,
        now: Moment,
        engines: impl Iterator<Item = &'a str>,
    ) -> Vec<String> {
        let mut known = std::mem::take(&mut self.next_reads);
        let mut due = Vec::new();
        for id in engines {
            let mut next = known.remove(id).unwrap_or(NextRead {
                at: now,
                in_flight: false,
            });
            if now >= next.at && !next.in_flight {
                next.in_flight = true;
                next.at = now + self.period;
                due.push(id.to_owned());
            }
            self.next_reads.insert(id.to_owned(), next);
        }
        due
    }

    /// An engine answered, or did not in time.
    pub(crate) fn read_ended(&mut self, id: &str) {
        if let Some(due) = self.next_reads.get_mut(id) {
            due.in_flight = false;
        }
    }
}
