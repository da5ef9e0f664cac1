//! The append-only log without I/O: offsets from 1, retention by age and count, rate-limited
//! appends. Time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

/// Position of a record; the first is 1.
pub type Offset = u64;

/// Time since the start of the process.
pub type Moment = Duration;

/// The token bucket of the append rate holds the appends of this time span.
const BURST_WINDOW: Duration = Duration::from_millis(250);

/// Retention and append rate of the log.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Age above which a record is dropped.
    pub max_age: Duration,
    /// Maximum number of records kept; 0 for no limit.
    pub max_records: usize,
    /// Appends per second; 0 for no limit.
    pub append_rate: f64,
}

/// A record with its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Offset of the record.
    pub offset: Offset,
    /// The appended bytes.
    pub data: Bytes,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Page {
    /// The records from the requested offset on, possibly none.
    Records(Vec<Record>),
    /// The requested offset is no longer retained.
    Gone,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    limits: Limits,
    first: Offset,
    records: VecDeque<(Moment, Bytes)>,
    tokens: f64,
    refilled: Moment,
}

impl Log {
    /// An empty log.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            first: 1,
            records: VecDeque::new(),
            tokens: burst_size(limits.append_rate),
            refilled: Moment::ZERO,
        }
    }

    /// Returns the first retained offset.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Returns the offset of the next append.
    pub fn next(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Appends a record; returns `None` if the rate limit is exceeded.
    pub fn append(&mut self, now: Moment, data: Bytes) -> Option<Offset> {
        if !self.admit(now) {
            return None;
        }
        let offset = self.next();
        self.records.push_back((now, data));
        self.expire(now);
        Some(offset)
    }

    /// Reads at most `max` records from the offset `from` on.
    pub fn read(&mut self, now: Moment, from: Offset, max: usize) -> Page {
        self.expire(now);
        if from < self.first {
            return Page::Gone;
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max);
        let page = records.zip(from..).map(|((_, data), offset)| Record {
            offset,
            data: data.clone(),
        });
        Page::Records(page.collect())
    }

    fn admit(&mut self, now: Moment) -> bool {
        if self.limits.append_rate <= 0.0 {
            return true;
        }
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + passed * self.limits.append_rate)
            .min(burst_size(self.limits.append_rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn expire(&mut self, now: Moment) {
        while let Some((written, _)) = self.records.front() {
            let expired = now.saturating_sub(*written) > self.limits.max_age;
            let over_count =
                self.limits.max_records > 0 && self.records.len() > self.limits.max_records;
            if !expired && !over_count {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }
}

fn burst_size(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}
