//! The log of a model. It stores the folded state after each record, since that state depends only
//! on the prefix of the log; a process therefore stores only the offset up to which it has read.

use authority::author::Author;
use authority::nonce::Nonce;
use authority::state::State;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use wire::Message;
use wire::record::{Record, record::Body};

/// A record with its encoding, which is used for comparison and hashing.
#[derive(Clone)]
pub struct EncodedRecord {
    record: Rc<Record>,
    bytes: Rc<[u8]>,
}

impl EncodedRecord {
    /// A record by `author`.
    pub fn new(author: &Author, nonce: Nonce, body: Body) -> Self {
        Self::from(Record {
            nonce: nonce.to_vec(),
            rules: 1,
            author: Some(author.into()),
            body: Some(body),
        })
    }

    /// The record without its encoding.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Text for the kind of record, used in traces.
    pub fn kind(&self) -> &'static str {
        match &self.record.body {
            Some(Body::KeyClaims(_)) => "a claim",
            Some(Body::KeyOutcomes(_)) => "an outcome",
            _ => "a record",
        }
    }
}

impl From<Record> for EncodedRecord {
    fn from(record: Record) -> Self {
        let bytes = record.encode_to_vec().into();
        let record = Rc::new(record);
        Self { record, bytes }
    }
}

impl PartialEq for EncodedRecord {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for EncodedRecord {}

impl PartialOrd for EncodedRecord {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for EncodedRecord {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.bytes.cmp(&other.bytes)
    }
}

impl Hash for EncodedRecord {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.bytes.hash(hasher);
    }
}

impl fmt::Debug for EncodedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let author = self.record.author.as_ref();
        let author = author.map_or("nobody", |author| &author.instance);
        match &self.record.body {
            Some(Body::ScopeClaim(claim)) => write!(
                f,
                "{author}'s claim replacing {} seen {}",
                claim.replaces, claim.seen
            ),
            Some(Body::Renewal(renewal)) => write!(f, "{author}'s renewal of {}", renewal.fence),
            Some(Body::Release(release)) => write!(f, "{author}'s release of {}", release.fence),
            Some(Body::Intent(intent)) => write!(f, "{author}'s intent under {}", intent.fence),
            Some(Body::Outcome(outcome)) => write!(
                f,
                "{author}'s outcome {} of order {}",
                outcome.verdict, outcome.order
            ),
            _ => write!(f, "{author}'s record"),
        }
    }
}

#[derive(Debug)]
struct LoggedRecord {
    encoded: EncodedRecord,
    state: State,
}

/// The appended records.
#[derive(Clone, Debug, Default)]
pub struct Log {
    records: Vec<Rc<LoggedRecord>>,
    empty: Rc<State>,
}

impl Log {
    /// An empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// The offset of the last record; 0 if the log is empty.
    pub fn end(&self) -> usize {
        self.records.len()
    }

    /// The state after `offset` records.
    pub fn state(&self, offset: usize) -> &State {
        match offset
            .checked_sub(1)
            .and_then(|last| self.records.get(last))
        {
            Some(logged) => &logged.state,
            None => &self.empty,
        }
    }

    /// The state after all records.
    pub fn latest_state(&self) -> &State {
        self.state(self.end())
    }

    /// The record at `offset`.
    pub fn record(&self, offset: usize) -> Option<&Record> {
        let logged = self.records.get(offset.checked_sub(1)?)?;
        Some(logged.encoded.record())
    }

    /// Adds a record at the end.
    pub fn commit(&mut self, encoded: EncodedRecord) {
        let mut state = self.latest_state().clone();
        state.apply(self.end() as u64 + 1, encoded.record());
        self.records.push(Rc::new(LoggedRecord { encoded, state }));
    }
}

impl PartialEq for Log {
    fn eq(&self, other: &Self) -> bool {
        let same = |(one, two): (&Rc<LoggedRecord>, &Rc<LoggedRecord>)| {
            Rc::ptr_eq(one, two) || one.encoded == two.encoded
        };
        self.end() == other.end() && self.records.iter().zip(&other.records).all(same)
    }
}

impl Eq for Log {}

impl Hash for Log {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for logged in &self.records {
            logged.encoded.hash(hasher);
        }
    }
}
