//! The log of a model. The folded state after each record is kept beside it, because it is a
//! function of the prefix: a process is described by how far it has read.

use authority::author::Author;
use authority::nonce::Nonce;
use authority::state::State;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use wire::Message;
use wire::record::{Record, record::Body};

/// A record with its encoding, by which it is compared.
#[derive(Clone)]
pub struct Parcel {
    record: Rc<Record>,
    bytes: Rc<[u8]>,
}

impl Parcel {
    /// The record that `author` appends.
    pub fn new(author: &Author, nonce: Nonce, body: Body) -> Self {
        Self::from(Record {
            nonce: nonce.to_vec(),
            rules: 1,
            author: Some(author.into()),
            body: Some(body),
        })
    }

    /// The record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What the record is, in a word.
    pub fn kind(&self) -> &'static str {
        match &self.record.body {
            Some(Body::KeyClaims(_)) => "a claim",
            Some(Body::KeyOutcomes(_)) => "an outcome",
            _ => "a record",
        }
    }
}

impl From<Record> for Parcel {
    fn from(record: Record) -> Self {
        let bytes = record.encode_to_vec().into();
        let record = Rc::new(record);
        Self { record, bytes }
    }
}

impl PartialEq for Parcel {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Parcel {}

impl PartialOrd for Parcel {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Parcel {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.bytes.cmp(&other.bytes)
    }
}

impl Hash for Parcel {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.bytes.hash(hasher);
    }
}

impl fmt::Debug for Parcel {
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
struct Landed {
    parcel: Parcel,
    state: State,
}

/// The records that landed.
#[derive(Clone, Debug, Default)]
pub struct Log {
    landed: Vec<Rc<Landed>>,
    empty: Rc<State>,
}

impl Log {
    /// A log without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// The offset of the last record; 0 for none.
    pub fn end(&self) -> usize {
        self.landed.len()
    }

    /// The state after `offset` records.
    pub fn state(&self, offset: usize) -> &State {
        match offset.checked_sub(1).and_then(|last| self.landed.get(last)) {
            Some(landed) => &landed.state,
            None => &self.empty,
        }
    }

    /// The state after all records.
    pub fn newest(&self) -> &State {
        self.state(self.end())
    }

    /// The record at `offset`.
    pub fn record(&self, offset: usize) -> Option<&Record> {
        let landed = self.landed.get(offset.checked_sub(1)?)?;
        Some(landed.parcel.record())
    }

    /// Appends a record.
    pub fn land(&mut self, parcel: Parcel) {
        let mut state = self.newest().clone();
        state.apply(self.end() as u64 + 1, parcel.record());
        self.landed.push(Rc::new(Landed { parcel, state }));
    }
}

impl PartialEq for Log {
    fn eq(&self, other: &Self) -> bool {
        let same = |(one, two): (&Rc<Landed>, &Rc<Landed>)| {
            Rc::ptr_eq(one, two) || one.parcel == two.parcel
        };
        self.end() == other.end() && self.landed.iter().zip(&other.landed).all(same)
    }
}

impl Eq for Log {}

impl Hash for Log {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for landed in &self.landed {
            landed.parcel.hash(hasher);
        }
    }
}
