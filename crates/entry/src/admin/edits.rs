//! Catalogue edits and planned changes submitted by operators.

use catalogue::{Document, Findings, Refusal};
use control::order::{ChangeRequest, OrderError};
use control::{EditError, Handle};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::admin::answer::Answer;
use crate::front::problem::{Kind, Problem};

/// Operator's name for planned changes that give none.
const UNNAMED_OPERATOR: &str = "unnamed";

/// `POST /admin/v1/catalogue/check`.
pub async fn check(control: &Handle, body: &str) -> Answer {
    match Document::parse(body) {
        Ok(document) => Answer::value(&json!({ "findings": control.check(&document).await })),
        Err(findings) => Answer::value(&json!({ "findings": findings })),
    }
}

/// `POST /admin/v1/catalogue/edits`.
pub async fn submit(control: &Handle, body: &str) -> Answer {
    let document = match Document::parse(body) {
        Ok(document) => document,
        Err(findings) => return invalid(Kind::BadRequest, &findings),
    };
    if document.operator.trim().is_empty() {
        return Problem::not_run(Kind::BadRequest, "the edit names no operator").into();
    }
    match control.submit_edit(&document).await {
        Ok(revision) => Answer::value(&json!({ "revision": revision })),
        Err(EditError::Refused(refusal)) => refused(&refusal),
        Err(error @ (EditError::Unknown | EditError::Undecided(_))) => {
            Problem::unknown(Kind::Unavailable, error.to_string()).into()
        }
        Err(error @ EditError::Unavailable) => {
            Problem::not_run(Kind::Unavailable, error.to_string()).into()
        }
    }
}

fn refused(refusal: &Refusal) -> Answer {
    match refusal {
        Refusal::Invalid(findings) => invalid(Kind::Invalid, findings),
        Refusal::Conflict(conflicts) => Answer::Problem(
            Problem::not_run(Kind::Conflict, refusal.to_string()),
            vec![("conflicts", json!(conflicts))],
        ),
        Refusal::Stale { horizon } => Answer::Problem(
            Problem::not_run(Kind::Conflict, refusal.to_string()),
            vec![("horizon", json!(horizon))],
        ),
    }
}

fn invalid(kind: Kind, findings: &Findings) -> Answer {
    Answer::Problem(
        Problem::not_run(kind, findings.to_string()),
        vec![("findings", json!(findings))],
    )
}

#[derive(Deserialize)]
struct OrderRequest {
    operator: Option<String>,
    #[serde(flatten)]
    wish: ChangeRequest,
}

/// `POST /admin/v1/orders`.
pub async fn order(control: &Handle, body: &str) -> Answer {
    let request: OrderRequest = match serde_json::from_str(body) {
        Ok(asked) => asked,
        Err(error) => return Problem::not_run(Kind::BadRequest, error.to_string()).into(),
    };
    let operator = request.operator.as_deref().unwrap_or(UNNAMED_OPERATOR);
    match control.submit_order(&request.wish, operator).await {
        Ok(()) => Answer::Value(json!({ "taken": true })),
        Err(error) => {
            let kind = match error {
                OrderError::UnknownEngine => Kind::NotFound,
                OrderError::Refused(_) => Kind::Invalid,
                OrderError::NoHolder | OrderError::HolderAway(_) | OrderError::Stopped => {
                    Kind::Unavailable
                }
            };
            let problem = Problem::not_run(kind, error.to_string());
            Answer::Problem(problem, vec![("order", error_value(&error))])
        }
    }
}

fn error_value(error: &OrderError) -> Value {
    serde_json::to_value(error).unwrap_or(Value::Null)
}
