//! Schedule for reading the load reports of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

/// Schedules one read of each engine in each period. Reads of one engine never overlap, so that an
/// engine that hangs occupies one connection only.
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

    /// Returns the engines to read now, and forgets those not in `engines`.
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

    /// Records that a read of the engine ended, with or without an answer.
    pub(crate) fn read_ended(&mut self, id: &str) {
        if let Some(due) = self.next_reads.get_mut(id) {
            due.in_flight = false;
        }
    }
}
