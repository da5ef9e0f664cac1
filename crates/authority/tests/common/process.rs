//! Leases of several instances on one log. The tests inject the faults.

use crate::common::{SCOPE, author};
use authority::author::Author;
use authority::lease::term::TermConfig;
use authority::lease::{Input, Lease, Output, Term};
use authority::nonce::Nonce;
use authority::state::State;
use clock::Moment;
use std::time::Duration;
use wire::record::{Record, record::Body};

pub(crate) fn term_config() -> TermConfig {
    TermConfig {
        lease: Duration::from_secs(9),
        margin: Duration::from_secs(1),
        drift_ppm: 0,
        stagger: Duration::ZERO,
        retry: Duration::from_secs(1),
    }
}

/// One instance with its lease and folded state.
pub(crate) struct Process {
    pub(crate) lease: Lease,
    pub(crate) state: State,
    author: Author,
}

impl Process {
    pub(crate) fn new(instance: &str, config: TermConfig) -> Self {
        Self::with_incarnation(instance, 1, config)
    }

    pub(crate) fn with_incarnation(instance: &str, incarnation: u64, config: TermConfig) -> Self {
        let mut author = author(instance);
        author.incarnation = incarnation;
        let term = Term::try_from(config).expect("a valid configuration");
        let seed = instance.bytes().map(u64::from).sum::<u64>() + 1000 * incarnation;
        Self {
            lease: Lease::new(SCOPE.to_owned(), author.clone(), term, seed),
            state: State::new(),
            author,
        }
    }

    /// Advances to `now` and returns the appends.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<Record> {
        self.step(now, &Input::Tick)
    }

    pub(crate) fn step(&mut self, now: Moment, input: &Input<'_>) -> Vec<Record> {
        let outputs = self.lease.step(now, input);
        let records = outputs.into_iter().filter_map(|output| match output {
            Output::Append { nonce, body } => Some(self.record(nonce, body)),
            _ => None,
        });
        records.collect()
    }

    fn record(&self, nonce: Nonce, body: Body) -> Record {
        Record {
            nonce: nonce.to_vec(),
            rules: 1,
            author: Some((&self.author).into()),
            body: Some(body),
        }
    }

    /// Reads the log up to and including offset `upto`.
    pub(crate) fn read_upto(&mut self, now: Moment, log: &[Record], upto: usize) -> Vec<Output> {
        let mut outputs = Vec::new();
        let folded = self.state.folded();
        let unread = log.iter().zip(1..).take(upto).skip(folded as usize);
        for (record, offset) in unread {
            self.state.apply(offset, record);
            outputs.extend(self.lease.apply(now, offset, record, &self.state));
        }
        outputs
    }

    /// Reads to the end of the log and returns the outputs.
    pub(crate) fn read(&mut self, now: Moment, log: &[Record]) -> Vec<Output> {
        let mut outputs = self.read_upto(now, log, log.len());
        let read = Input::Read { sent_at: now };
        outputs.extend(self.lease.step(now, &read));
        outputs
    }
}

pub(crate) fn secs(secs: u64) -> Moment {
    Duration::from_secs(secs)
}
