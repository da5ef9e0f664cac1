//! The platform's log, with its faults.

use std::collections::VecDeque;

use wire::record::Record;

use crate::Offset;

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It stands and is answered.
    Answered,
    /// It stands and the answer is lost.
    LostAfter,
    /// It does not stand and no answer comes.
    LostBefore,
    /// It stands twice and the answer is lost.
    Twice,
    /// It is on its way and stands once it is let go; no answer comes.
    Held,
}

impl Fate {
    pub(crate) fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "answered" => Self::Answered,
            "lost-after" => Self::LostAfter,
            "lost-before" => Self::LostBefore,
            "twice" => Self::Twice,
            "held" => Self::Held,
            _ => return None,
        })
    }
}

/// The log.
#[derive(Debug)]
pub(crate) struct Log {
    /// All records ever; those before `first` can no longer be read.
    records: Vec<Record>,
    first: Offset,
    pub(crate) up: bool,
    held: VecDeque<Record>,
}

impl Log {
    pub(crate) fn new() -> Self {
        Self {
            records: Vec::new(),
            first: 1,
            up: true,
            held: VecDeque::new(),
        }
    }

    pub(crate) fn append(&mut self, record: Record) -> Offset {
        self.records.push(record);
        self.records.len() as Offset
    }

    pub(crate) fn hold(&mut self, record: Record) {
        self.held.push_back(record);
    }

    /// Appends that were held now stand; gives them with their offsets.
    pub(crate) fn let_go(&mut self) -> Vec<(Offset, Record)> {
        let held = std::mem::take(&mut self.held);
        held.into_iter()
            .map(|record| (self.append(record.clone()), record))
            .collect()
    }

    /// First retained offset.
    pub(crate) fn first(&self) -> Offset {
        self.first
    }

    /// Offset that the next append gets.
    pub(crate) fn next(&self) -> Offset {
        self.records.len() as Offset + 1
    }

    pub(crate) fn forget_before(&mut self, first: Offset) {
        self.first = self.first.max(first).min(self.next());
    }

    /// The retained records from an offset on.
    pub(crate) fn read(&self, from: Offset) -> impl Iterator<Item = (Offset, &Record)> {
        let from = from.max(self.first);
        (1..).zip(&self.records).skip(from as usize - 1)
    }
}
