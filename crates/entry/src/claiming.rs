//! Drives the claims of `Idempotency-Key`s over the log.

use std::collections::HashMap;

use bytes::Bytes;
use claims::{Batcher, Decision, Holder, Input, Nonce, Output, Outputs, Pace, Reach, Ticket};
use clock::Moment;
use platform::{AppendError, Log, Offset};
use prost::Message as _;
use tokio::sync::{mpsc, oneshot};
use wire::record::{Author, Record};

use crate::keys::Question;

/// How an append ended.
#[derive(Debug)]
pub struct Landed {
    nonce: Nonce,
    result: Result<Offset, AppendError>,
}

/// The claims of this process with the calls that wait for them.
#[derive(Debug)]
pub struct Claiming {
    batcher: Batcher,
    holder: Holder,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    landed: mpsc::UnboundedSender<Landed>,
}

impl Claiming {
    /// No claims yet; appends tell their end through `landed`.
    pub fn new(holder: Holder, seed: u64, landed: mpsc::UnboundedSender<Landed>) -> Self {
        Self {
            batcher: Batcher::new(holder.clone(), seed, Pace::default()),
            holder,
            waiting: HashMap::new(),
            landed,
        }
    }

    /// When [`Self::step`] with [`Input::Tick`] is wanted.
    pub fn next_wake(&self) -> Option<Moment> {
        self.batcher.next_wake()
    }

    /// Forgets claims that the log no longer retains.
    pub fn forget(&mut self, first: Offset) {
        self.batcher.forget(first);
    }

    /// Folds a record of the log.
    pub fn fold(&mut self, now: Moment, log: &Log, offset: Offset, record: &Record) {
        let outputs = self.batcher.fold(now, offset, record);
        self.carry_out(log, outputs);
    }

    /// Takes an input.
    pub fn step(&mut self, now: Moment, log: &Log, input: Input) {
        let outputs = self.batcher.step(now, input);
        self.carry_out(log, outputs);
    }

    /// Takes a question of the data plane.
    pub fn ask(&mut self, now: Moment, log: &Log, question: Question) {
        match question {
            Question::Claim(call, sender) => {
                self.waiting.insert(call.ticket, sender);
                self.step(now, log, Input::Call(call));
            }
            Question::Ended(ticket, end) => self.step(now, log, Input::Ended(ticket, end)),
            Question::Held(_, _, sender) => {
                let _ = sender.send(None);
            }
        }
    }

    /// Takes the end of an append.
    pub fn landed(&mut self, now: Moment, log: &Log, landed: &Landed) {
        let nonce = landed.nonce;
        let input = match landed.result {
            Ok(offset) => Input::Appended(nonce, offset),
            Err(AppendError::Refused { .. }) => Input::Rejected(nonce),
            Err(AppendError::Unknown) => Input::Lost(nonce),
        };
        self.step(now, log, input);
    }

    /// Says whether the log answers.
    pub fn reach(&mut self, now: Moment, log: &Log, reach: Reach) {
        self.step(now, log, Input::Log(reach));
    }

    fn carry_out(&mut self, log: &Log, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Append { nonce, body } => {
                    let record = Record {
                        nonce: nonce.to_vec(),
                        rules: 1,
                        author: Some(Author::from(&self.holder)),
                        body: Some(body),
                    };
                    self.append(log, nonce, record.encode_to_vec().into());
                }
                Output::Decide(ticket, decision) => {
                    if let Some(sender) = self.waiting.remove(&ticket) {
                        let _ = sender.send(decision);
                    }
                }
                Output::Contested { ticket, holder } => {
                    log::error!(ticket, holder:? = holder; "two first attempts under one key may have run");
                }
            }
        }
    }

    fn append(&self, log: &Log, nonce: Nonce, data: Bytes) {
        let (log, landed) = (log.clone(), self.landed.clone());
        actix_rt::spawn(async move {
            let result = log
                .append(data)
                .await
                .map_err(|report| *report.current_context());
            let _ = landed.send(Landed { nonce, result });
        });
    }
}
