//! The platform's log with injected faults.

use std::collections::VecDeque;

use wire::record::Record;

use crate::Offset;

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is appended and the append is answered.
    Answered,
    /// The record is appended, but the answer is lost.
    AnswerLost,
    /// The record is lost, and there is no answer.
    AppendLost,
    /// The record is appended twice, and the answer is lost.
    Twice,
    /// The record stays in transit until it is released by a command; there is no answer.
    Held,
}

impl AppendOutcome {
    pub(crate) fn parse(word: &str) -> Option<Self> {
        Some(match word {
            "answered" => Self::Answered,
            "lost-after" => Self::AnswerLost,
            "lost-before" => Self::AppendLost,
            "twice" => Self::Twice,
            "held" => Self::Held,
            _ => return None,
        })
    }
}

/// The log and the appends that are in transit to it.
#[derive(Debug)]
pub(crate) struct Log {
    /// All records ever appended; those before `first` can no longer be read.
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

    /// Appends the held records; returns them with their offsets.
    pub(crate) fn release_held(&mut self) -> Vec<(Offset, Record)> {
        let held = std::mem::take(&mut self.held);
        held.into_iter()
            .map(|record| (self.append(record.clone()), record))
            .collect()
    }

    /// First retained offset.
    pub(crate) fn first(&self) -> Offset {
        self.first
    }

    /// Offset of the next append.
    pub(crate) fn next(&self) -> Offset {
        self.records.len() as Offset + 1
    }

    pub(crate) fn truncate_before(&mut self, first: Offset) {
        self.first = self.first.max(first).min(self.next());
    }

    /// The retained records from offset `from`.
    pub(crate) fn read(&self, from: Offset) -> impl Iterator<Item = (Offset, &Record)> {
        let from = from.max(self.first);
        (1..).zip(&self.records).skip(from as usize - 1)
    }
}
