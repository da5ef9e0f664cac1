//! Failures of commands and their exit codes. Scripts rely on the codes; see
//! `docs/OPERATORS.md`, "tarragonctl".

use std::fmt;
use std::process::ExitCode;

use serde_json::Value;

/// Reason why a command failed. Details are attached to the report.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The request was refused, with findings.
    Refused(Vec<String>),
    /// The command line or a file cannot be used.
    Usage(String),
    /// Other edits changed the same entities first.
    Conflict(Vec<ConflictingEdit>),
    /// There was no answer, so it is unknown whether an edit was accepted.
    NoAnswer(String),
    /// The token is missing or wrong.
    Forbidden,
    /// The answer does not conform to the API.
    UnexpectedAnswer(String),
}

/// An edit that was accepted before this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConflictingEdit {
    /// Kind and name of the entity.
    pub entity: String,
    /// Operator of the edit.
    pub operator: String,
    /// Revision of the edit.
    pub revision: u64,
}

impl Failure {
    /// Exit code of the failure.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::NoAnswer(_) => 4,
            Self::Forbidden => 5,
            Self::UnexpectedAnswer(_) => 6,
        }
    }

    /// Converts an error answer to a failure.
    pub fn from_answer(status: u16, body: &Value) -> Self {
        match status {
            401 | 403 => Self::Forbidden,
            409 if !conflicting_edits(body).is_empty() => Self::Conflict(conflicting_edits(body)),
            400..=499 => Self::Refused(findings(body)),
            503 => Self::NoAnswer(detail(body)),
            _ => Self::UnexpectedAnswer(format!("status {status}: {}", detail(body))),
        }
    }
}

impl From<&Failure> for ExitCode {
    fn from(failure: &Failure) -> Self {
        Self::from(failure.code())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(findings) => write!(f, "refused:\n{}", findings.join("\n")),
            Self::Usage(detail) => f.write_str(detail),
            Self::Conflict(edits) => {
                f.write_str("another edit won; read the catalogue again and decide anew")?;
                for edit in edits {
                    write!(
                        f,
                        "\n{}: changed by {} in revision {}",
                        edit.entity, edit.operator, edit.revision
                    )?;
                }
                Ok(())
            }
            Self::NoAnswer(detail) => write!(f, "no answer: {detail}"),
            Self::Forbidden => f.write_str("the token is missing or wrong"),
            Self::UnexpectedAnswer(detail) => write!(f, "an answer that makes no sense: {detail}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Findings of a problem document, one line each; its detail if it lists none.
pub fn findings(body: &Value) -> Vec<String> {
    let listed: Vec<_> = body["findings"]
        .as_array()
        .into_iter()
        .flatten()
        .map(finding_line)
        .collect();
    if listed.is_empty() {
        vec![detail(body)]
    } else {
        listed
    }
}

fn finding_line(finding: &Value) -> String {
    let field = |name| finding[name].as_str().unwrap_or_default();
    let entity = format!("{} {}", field("kind"), field("name"));
    let places = [entity.trim(), field("path"), field("problem")];
    let parts: Vec<_> = places
        .into_iter()
        .filter(|place| !place.is_empty())
        .collect();
    if parts.is_empty() {
        return finding
            .as_str()
            .map_or_else(|| finding.to_string(), str::to_owned);
    }
    parts.join(": ")
}

fn detail(body: &Value) -> String {
    let text = body["detail"].as_str().or(body["title"].as_str());
    text.map_or_else(|| body.to_string(), str::to_owned)
}

/// Edits that a conflict lists.
fn conflicting_edits(body: &Value) -> Vec<ConflictingEdit> {
    let conflicts = body["conflicts"].as_array().into_iter().flatten();
    conflicts.filter_map(conflicting_edit).collect()
}

fn conflicting_edit(conflict: &Value) -> Option<ConflictingEdit> {
    let entity = match &conflict["entity"] {
        Value::Object(key) => format!(
            "{} {}",
            key.get("kind")?.as_str()?,
            key.get("name")?.as_str()?
        ),
        entity => entity.as_str()?.to_owned(),
    };
    Some(ConflictingEdit {
        entity,
        operator: conflict["operator"].as_str()?.to_owned(),
        revision: conflict["revision"].as_u64()?,
    })
}
