//! Operators' edits: appended once, found again by their nonce, and told as the fold judged them.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use catalogue::{Refusal, Revision, Verdict, Version};
use clock::Moment;
use platform::AppendError;
use tokio::sync::oneshot;

use crate::appends::{Ended, Nonce};

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
pub(crate) type Answer = Result<Revision, EditError>;

struct Waiting {
    reply: oneshot::Sender<Answer>,
    until: Moment,
}

/// Edits of this process that were not read back.
#[derive(Default)]
pub(crate) struct Edits {
    waiting: BTreeMap<Nonce, Waiting>,
}

impl Edits {
    pub(crate) fn wait(&mut self, nonce: Nonce, until: Moment, reply: oneshot::Sender<Answer>) {
        self.waiting.insert(nonce, Waiting { reply, until });
    }

    /// An offset tells that the record stands, not that it is accepted; an unknown end is resolved
    /// by reading on. Only a refusal of the log ends the wait.
    pub(crate) fn appended(&mut self, ended: &Ended) {
        if let Err(AppendError::Refused { .. }) = ended.result {
            self.answer(&ended.nonce, Err(EditError::Unavailable));
        }
    }

    pub(crate) fn judged(&mut self, nonce: &[u8], verdict: &Verdict) {
        let Ok(nonce) = Nonce::try_from(nonce) else {
            return;
        };
        let answer = match verdict {
            Verdict::Accepted { revision } => Ok(*revision),
            Verdict::Refused(refusal) => Err(EditError::Refused(refusal.clone())),
            Verdict::Undecided { rules } => Err(EditError::Undecided(*rules)),
        };
        self.answer(&nonce, answer);
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        let overdue = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.until <= now);
        let overdue: Vec<Nonce> = overdue.map(|(nonce, _)| *nonce).collect();
        for nonce in overdue {
            self.answer(&nonce, Err(EditError::Unknown));
        }
    }

    fn answer(&mut self, nonce: &Nonce, answer: Answer) {
        if let Some(waiting) = self.waiting.remove(nonce) {
            // An operator who went away reads the history.
            let _gone = waiting.reply.send(answer);
        }
    }
}
