//! The append-only log as pure state: offsets from 1, retention by age and count, a bounded rate
//! of appends. Time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

/// Position of a record; the first is 1.
pub type Offset = u64;

/// Time since the start of the process.
pub type Moment = Duration;

/// The rate of appends is judged over this time: a burst of as many appends as fit in is taken.
const BURST: Duration = Duration::from_millis(250);

/// What the log keeps and takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Age at which a record is dropped.
    pub max_age: Duration,
    /// Most records kept; 0 sets no bound.
    pub max_records: usize,
    /// Appends a second; 0 sets no bound.
    pub append_rate: f64,
}

/// A record with its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// What was appended.
    pub data: Bytes,
}

/// The outcome of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Page {
    /// The records at and after the offset asked for, possibly none.
    Records(Vec<Record>),
    /// The offset is before the first one retained.
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
            tokens: burst(limits.append_rate),
            refilled: Moment::ZERO,
        }
    }

    /// The first offset that is retained.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// The offset of the next append.
    pub fn next(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Appends a record, unless the rate is used up.
    pub fn append(&mut self, now: Moment, data: Bytes) -> Option<Offset> {
        if !self.admit(now) {
            return None;
        }
        let offset = self.next();
        self.records.push_back((now, data));
        self.expire(now);
        Some(offset)
    }

    /// The records from an offset on, at most so many.
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
        self.tokens =
            (self.tokens + passed * self.limits.append_rate).min(burst(self.limits.append_rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn expire(&mut self, now: Moment) {
        while let Some((written, _)) = self.records.front() {
            let aged = now.saturating_sub(*written) > self.limits.max_age;
            let crowded =
                self.limits.max_records > 0 && self.records.len() > self.limits.max_records;
            if !aged && !crowded {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}
