//! Edits of operators: each is appended once, recognised by its nonce when read back, and answered
//! with the verdict of the fold.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use catalogue::{Refusal, Revision, Verdict, Version};
use clock::Moment;
use platform::AppendError;
use tokio::sync::oneshot;

use crate::appends::{CompletedAppend, Nonce};

/// Why an edit is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// It was refused; a conflict names the edits that won.
    Refused(Refusal),
    /// The rules in force are newer than this software. Another entry may know the verdict.
    Undecided(Version),
    /// The log refused the append. The edit may be repeated.
    Unavailable,
    /// It was not read back in time and may still come into force; the history shows the verdict.
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

/// The answer to an operator.
pub(crate) type EditResult = Result<Revision, EditError>;

struct PendingEdit {
    reply: oneshot::Sender<EditResult>,
    deadline: Moment,
}

/// Edits of this process that have not been read back.
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

    /// An offset means that the record is in the log, not that the edit is accepted, and a lost
    /// answer is resolved by reading the log. So only a refused append ends the wait.
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
            // An operator who has disconnected can read the history.
            let _gone = waiting.reply.send(answer);
        }
    }
}
