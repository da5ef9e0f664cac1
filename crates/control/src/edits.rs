//! Operators' edits: appended once, found again by their nonce, and told as the fold judged them.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use catalogue::{Refusal, Revision, Verdict, Version};
use clock::Moment;
use platform::AppendError;
use tokio::sync::oneshot;

use crate::appends::{CompletedAppend, Nonce};

/// Why an edit is not in force, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// It was refused; a conflict names who won.
    Refused(Refusal),
    /// The rules in force are newer than this software: ask another entry what became of it.
    Undecided(Version),
    /// The log did not take it. It may be made again.
    Unavailable,
    /// The log may have taken it, and it was not read back in time. It may yet come into force; the
    /// history tells.
    Unknown,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "{refusal}"),
            Self::Undecided(version) => {
                write!(f, "rules version {version} is unknown to this software")
            }
            Self::Unavailable => f.write_str("the log did not take the edit"),
            Self::Unknown => f.write_str("the edit may yet come into force; see the history"),
        }
    }
}

impl Error for EditError {}

/// What an operator is told.
pub(crate) type EditResult = Result<Revision, EditError>;

struct PendingEdit {
    reply: oneshot::Sender<EditResult>,
    deadline: Moment,
}

/// Edits of this process that were not read back.
#[derive(Default)]
pub(crate) struct PendingEdits {
    pending: BTreeMap<Nonce, PendingEdit>,
}

impl PendingEdits {
    pub(crate) fn insert(
        &mut self,
        nonce: Nonce,
        until: Moment,
        reply: oneshot::Sender<EditResult>,
    ) {
        self.pending.insert(
            nonce,
            PendingEdit {
                reply,
                deadline: until,
            },
        );
    }

    /// An offset tells that the record stands, not that it is accepted; an unknown end is resolved
    /// by reading on. Only a refusal of the log ends the wait.
    pub(crate) fn appended(&mut self, append: &CompletedAppend) {
        if let Err(AppendError::Refused { .. }) = append.result {
            self.reply(&append.nonce, Err(EditError::Unavailable));
        }
    }

    pub(crate) fn resolve(&mut self, nonce: &[u8], verdict: &Verdict) {
        let Ok(nonce) = Nonce::try_from(nonce) else {
            return;
        };
        let answer = match verdict {
            Verdict::Accepted { revision } => Ok(*revision),
            Verdict::Refused(refusal) => Err(EditError::Refused(refusal.clone())),
            Verdict::Undecided { rules } => Err(EditError::Undecided(*rules)),
        };
        self.reply(&nonce, answer);
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        let overdue = self
            .pending
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now);
        let overdue: Vec<Nonce> = overdue.map(|(nonce, _)| *nonce).collect();
        for nonce in overdue {
            self.reply(&nonce, Err(EditError::Unknown));
        }
    }

    fn reply(&mut self, nonce: &Nonce, answer: EditResult) {
        if let Some(waiting) = self.pending.remove(nonce) {
            // An operator who went away reads the history.
            let _gone = waiting.reply.send(answer);
        }
    }
}
