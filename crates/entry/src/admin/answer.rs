//! Responses of the administration API.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use crate::front::problem::{Kind, Problem};
use crate::front::request_id::RequestId;

/// Result of a request to a resource.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A JSON value.
    Value(Value),
    /// An error with additional members of its problem document.
    Problem(Problem, Vec<(&'static str, Value)>),
}

impl Answer {
    /// Serialises a value.
    pub fn value(value: &impl Serialize) -> Self {
        match serde_json::to_value(value) {
            Ok(value) => Self::Value(value),
            Err(error) => Problem::unknown(Kind::Unavailable, error.to_string()).into(),
        }
    }

    /// The HTTP response.
    pub fn response(self, request: &RequestId) -> Response<BoxBody> {
        match self {
            Self::Value(value) => json_response(StatusCode::OK, &value),
            Self::Problem(problem, more) if more.is_empty() => problem.response(request),
            Self::Problem(problem, more) => {
                let mut document: Value =
                    serde_json::from_slice(&problem.body(request)).unwrap_or_else(|_| json!({}));
                for (name, value) in more {
                    document[name] = value;
                }
                let mut response = problem.response(request);
                let body = serde_json::to_vec(&document).unwrap_or_default();
                response = response.set_body(BoxBody::new(body));
                response
            }
        }
    }
}

impl From<Problem> for Answer {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem, Vec::new())
    }
}

fn json_response(status: StatusCode, value: &Value) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
