//! Verdicts on edits.

use std::fmt;

use serde::Serialize;

use crate::{Findings, Key, Offset, Revision, Version};

/// An entity of a refused edit that another edit changed after the base revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Conflict {
    /// The entity.
    pub entity: Key,
    /// Operator of the other edit.
    pub operator: String,
    /// Revision of the other edit.
    pub revision: Revision,
}

/// Reason for refusing an edit, the same in every process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Other edits changed entities that this one touches; all of them are listed.
    Conflict(Vec<Conflict>),
    /// The base revision is so old that conflicts can no longer be ruled out.
    Stale {
        /// Oldest base revision that an edit may have.
        horizon: Revision,
    },
    /// The catalogue would be invalid with the edit.
    Invalid(Findings),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflicts) => {
                for (position, conflict) in conflicts.iter().enumerate() {
                    let Conflict {
                        entity,
                        operator,
                        revision,
                    } = conflict;
                    let comma = if position > 0 { "; " } else { "" };
                    write!(
                        f,
                        "{comma}{entity} was changed by {operator} in revision {revision}"
                    )?;
                }
                Ok(())
            }
            Self::Stale { horizon } => {
                write!(
                    f,
                    "the base is older than {horizon}, read the catalogue again"
                )
            }
            Self::Invalid(findings) => write!(f, "{findings}"),
        }
    }
}

/// Decision of this process on an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The edit is in force.
    Accepted {
        /// New revision, which is the offset of the edit.
        revision: Revision,
    },
    /// The edit has no effect.
    Refused(Refusal),
    /// This process does not know the rules in force and cannot decide; others do.
    Undecided {
        /// Version of the rules in force.
        rules: Version,
    },
}

/// An edit with its verdict, for the history that operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct DecidedEdit {
    /// Offset of the edit.
    pub offset: Offset,
    /// Operator who made the edit.
    pub operator: String,
    /// Note of the operator.
    pub note: String,
    /// Revision that the edit is based on.
    pub base_revision: Revision,
    /// Entities that the edit touches, as written in it.
    pub touched: Vec<String>,
    /// Verdict on the edit.
    pub verdict: Verdict,
}
