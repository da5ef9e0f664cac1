//! Sends each append once. The sender chooses a nonce and recognises the record by it when it is
//! read back; the answer to the append alone decides nothing.

use platform::{AppendError, LogClient};
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Author, Record};

use crate::Offset;
use crate::message::{Message, Sender, send};

/// Identifies an append in the log.
pub(crate) type Nonce = [u8; 16];

/// The part of the control that sent an append and handles its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The lease of this scope.
    Lease(String),
    /// A planner, which goes by the log and ignores the answer.
    Planner,
    /// Claims of idempotency keys.
    Calls,
    /// An operator's edit.
    Edit,
    /// A snapshot.
    Snapshot,
}

/// An append with its result.
#[derive(Debug)]
pub(crate) struct CompletedAppend {
    pub(crate) source: Source,
    pub(crate) nonce: Nonce,
    pub(crate) result: Result<Offset, AppendError>,
}

/// Sends appends.
pub(crate) struct Appends {
    log: LogClient,
    author: Author,
    rules: u32,
    sender: Sender,
}

impl Appends {
    pub(crate) fn new(log: LogClient, author: Author, rules: u32, sender: Sender) -> Self {
        Self {
            log,
            author,
            rules,
            sender,
        }
    }

    pub(crate) fn log(&self) -> &LogClient {
        &self.log
    }

    /// Appends a record and sends the result as a message.
    pub(crate) fn send(&self, source: Source, nonce: Nonce, body: Body) {
        let record = Record {
            nonce: nonce.to_vec(),
            rules: self.rules,
            author: Some(self.author.clone()),
            body: Some(body),
        };
        let (log, sender) = (self.log.clone(), self.sender.clone());
        actix_rt::spawn(async move {
            let result = log.append(record.encode_to_vec().into()).await;
            if let Err(report) = &result {
                log::debug!(source:?, error:? = report; "append failed or its answer was lost");
            }
            let result = result.map_err(|report| *report.current_context());
            let ended = CompletedAppend {
                source,
                nonce,
                result,
            };
            send(&sender, Message::Appended(ended));
        });
    }
}
