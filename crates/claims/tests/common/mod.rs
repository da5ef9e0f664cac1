//! An in-memory log, and entries that read it on request.
#![allow(dead_code, unreachable_pub)]

use std::time::Duration;

use claims::{
    Batcher, Call, CallEnd, CallId, Decision, Executed, Holder, Input, Limits, LogStatus, Nonce,
    Offset, OutagePolicy, Output, Outputs,
};
use clock::Moment;
use wire::record::Record;
use wire::record::record::Body;

pub fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// An append that an entry has sent and the log has not yet accepted.
pub struct Append {
    pub nonce: Nonce,
    pub record: Record,
}

#[derive(Default)]
pub struct Log {
    pub records: Vec<Record>,
}

impl Log {
    pub fn append(&mut self, append: &Append) -> Offset {
        self.records.push(append.record.clone());
        self.records.len() as Offset
    }
}

pub struct Entry {
    pub batcher: Batcher,
    pub appends: Vec<Append>,
    pub decided: Vec<(CallId, Decision)>,
    pub contested: Vec<CallId>,
    pub now: Moment,
    holder: Holder,
    read: usize,
}

impl Entry {
    /// Creates an entry for which the log is up.
    pub fn new(instance: &str, incarnation: u64) -> Self {
        let holder = Holder {
            instance: instance.to_owned(),
            incarnation,
        };
        let seed = instance.bytes().map(u64::from).sum::<u64>() << 32 | incarnation;
        let mut entry = Self {
            batcher: Batcher::new(holder.clone(), seed, Limits::default()),
            appends: Vec::new(),
            decided: Vec::new(),
            contested: Vec::new(),
            now: ms(1_000),
            holder,
            read: 0,
        };
        entry.input(Input::Log(LogStatus::Up));
        entry
    }

    pub fn input(&mut self, input: Input) {
        let outputs = self.batcher.step(self.now, input);
        self.record_outputs(outputs);
    }

    pub fn advance(&mut self, by: u64) {
        self.now += ms(by);
        self.input(Input::Tick);
    }

    /// Reads the log to its end.
    pub fn read(&mut self, log: &Log) {
        for (position, record) in log.records.iter().enumerate().skip(self.read) {
            let outputs = self.batcher.fold(self.now, position as Offset + 1, record);
            self.record_outputs(outputs);
        }
        self.read = log.records.len();
    }

    /// Delivers all appends to the log, which answers at once.
    pub fn append(&mut self, log: &mut Log) {
        for append in std::mem::take(&mut self.appends) {
            let offset = log.append(&append);
            self.input(Input::Appended(append.nonce, offset));
        }
    }

    /// Advances time, appends and reads until no append is left.
    pub fn settle(&mut self, log: &mut Log) {
        for _ in 0..4 {
            self.advance(300);
            self.append(log);
            self.read(log);
        }
    }

    pub fn last_decision(&self) -> Option<&(CallId, Decision)> {
        self.decided.last()
    }

    fn record_outputs(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Append { nonce, body } => self.appends.push(Append {
                    nonce,
                    record: Record {
                        nonce: nonce.to_vec(),
                        author: Some((&self.holder).into()),
                        body: Some(body),
                        ..Record::default()
                    },
                }),
                Output::Decide(id, decision) => self.decided.push((id, decision)),
                Output::Contested { call, .. } => self.contested.push(call),
            }
        }
    }

    pub fn call(&mut self, id: CallId, attempt: Option<u32>, policy: OutagePolicy) {
        let call = Call {
            id,
            key: claims::key_digest("kiosks", "cards", "k"),
            fingerprint: claims::fingerprint("POST", "/cards", b"12.00"),
            request: format!("{}-{id}", self.holder.instance),
            attempt,
            policy,
            deadline: self.now + ms(3_000),
        };
        self.input(Input::Call(call));
    }

    pub fn ended(&mut self, id: CallId, end: CallEnd) {
        self.input(Input::Ended(id, end));
    }
}

/// Number of claims in a record.
pub fn claims_in(record: &Record) -> usize {
    match &record.body {
        Some(Body::KeyClaims(batch)) => batch.claims.len(),
        _ => 0,
    }
}

pub fn not_run() -> Decision {
    Decision::Refused {
        executed: Executed::No,
    }
}

pub fn unknown() -> Decision {
    Decision::Refused {
        executed: Executed::Unknown,
    }
}
