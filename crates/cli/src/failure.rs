//! Why a command did not do what it was asked, and its exit code. The codes are a promise to
//! scripts; see `docs/OPERATORS.md`, "tarragonctl".

use std::fmt;
use std::process::ExitCode;

use serde_json::Value;

/// Why a command failed. Details hang on the report as attachments.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// What was asked is not acceptable; the findings.
    Refused(Vec<String>),
    /// The command line or a file cannot be used.
    Usage(String),
    /// Another operator changed the same entity first.
    Conflict(Vec<Winner>),
    /// No answer, so nobody knows whether an edit was taken.
    Unanswered(String),
    /// The token is missing or wrong.
    Forbidden,
    /// The answer is not what the interface promises.
    Misunderstood(String),
}

/// Whose edit won against ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// The entity, as kind and name.
    pub entity: String,
    /// Who edited it.
    pub operator: String,
    /// The revision that the edit made.
    pub revision: u64,
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unanswered(_) => 4,
            Self::Forbidden => 5,
            Self::Misunderstood(_) => 6,
        }
    }

    /// The failure that an error answer tells.
    pub fn from_answer(status: u16, body: &Value) -> Self {
        match status {
            401 | 403 => Self::Forbidden,
            409 if !winners(body).is_empty() => Self::Conflict(winners(body)),
            400..=499 => Self::Refused(findings(body)),
            503 => Self::Unanswered(detail(body)),
            _ => Self::Misunderstood(format!("status {status}: {}", detail(body))),
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
            Self::Conflict(winners) => {
                f.write_str("another edit won; read the catalogue again and decide anew")?;
                for winner in winners {
                    write!(
                        f,
                        "\n{}: changed by {} in revision {}",
                        winner.entity, winner.operator, winner.revision
                    )?;
                }
                Ok(())
            }
            Self::Unanswered(detail) => write!(f, "no answer: {detail}"),
            Self::Forbidden => f.write_str("the token is missing or wrong"),
            Self::Misunderstood(detail) => write!(f, "an answer that makes no sense: {detail}"),
        }
    }
}

impl std::error::Error for Failure {}

/// The findings in a problem document, one line each; its detail if it lists none.
pub fn findings(body: &Value) -> Vec<String> {
    let listed: Vec<_> = body["findings"]
        .as_array()
        .into_iter()
        .flatten()
        .map(finding)
        .collect();
    if listed.is_empty() {
        vec![detail(body)]
    } else {
        listed
    }
}

fn finding(finding: &Value) -> String {
    let field = |name| finding[name].as_str().unwrap_or_default();
    let entity = format!("{} {}", field("kind"), field("name"));
    let places = [entity.trim(), field("path"), field("problem")];
    let told: Vec<_> = places
        .into_iter()
        .filter(|place| !place.is_empty())
        .collect();
    if told.is_empty() {
        return finding
            .as_str()
            .map_or_else(|| finding.to_string(), str::to_owned);
    }
    told.join(": ")
}

fn detail(body: &Value) -> String {
    let told = body["detail"].as_str().or(body["title"].as_str());
    told.map_or_else(|| body.to_string(), str::to_owned)
}

/// The winners that a conflict names.
fn winners(body: &Value) -> Vec<Winner> {
    let conflicts = body["conflicts"].as_array().into_iter().flatten();
    conflicts.filter_map(winner).collect()
}

fn winner(conflict: &Value) -> Option<Winner> {
    let entity = match &conflict["entity"] {
        Value::Object(key) => format!(
            "{} {}",
            key.get("kind")?.as_str()?,
            key.get("name")?.as_str()?
        ),
        entity => entity.as_str()?.to_owned(),
    };
    Some(Winner {
        entity,
        operator: conflict["operator"].as_str()?.to_owned(),
        revision: conflict["revision"].as_u64()?,
    })
}
