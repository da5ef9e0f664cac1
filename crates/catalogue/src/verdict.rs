//! What becomes of an edit.

use std::fmt;

use serde::Serialize;

use crate::{Findings, Key, Offset, Revision, Version};

/// An entity of a refused edit that somebody else changed after the edit's base revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Conflict {
    /// The entity.
    pub entity: Key,
    /// Whose edit won.
    pub operator: String,
    /// The revision of the edit that won.
    pub revision: Revision,
}

/// Why an edit was refused. Every process refuses it for the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Others changed entities that it touches; they are told all together.
    Conflict(Vec<Conflict>),
    /// Its base is so old that conflicts can no longer be ruled out.
    Stale {
        /// The oldest base that is still judged.
        horizon: Revision,
    },
    /// The catalogue would not be valid with it.
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

/// What this process makes of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force from here on.
    Accepted {
        /// The new revision, which is the edit's offset.
        revision: Revision,
    },
    /// Without effect.
    Refused(Refusal),
    /// This process does not know the rules in force and must not guess; others decide.
    Undecided {
        /// The version in force.
        rules: Version,
    },
}

/// A verdict with the edit that it is on, for the history that operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct DecidedEdit {
    /// Offset of the edit.
    pub offset: Offset,
    /// Who made it.
    pub operator: String,
    /// What the operator noted.
    pub note: String,
    /// The revision that it was based on.
    pub base_revision: Revision,
    /// The entities that it touches, as it names them.
    pub touched: Vec<String>,
    /// What became of it.
    pub verdict: Verdict,
}
