//! Routes requests to the resources of the administration API.

use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::{HttpMessage as _, Method, Request, Response};
use settings::sections::Secret;
use subtle::ConstantTimeEq as _;

use crate::admin::answer::Answer;
use crate::admin::{burn, edits};
use crate::front::body::{self, Bounds};
use crate::front::caller::bearer;
use crate::front::headers;
use crate::front::problem::{Kind, Problem};
use crate::front::request_id::RequestId;
use crate::shared::Shared;

/// Path prefix of the API.
const ROOT: &str = "/admin/v1/";

/// Largest request body in bytes; fits an edit of a whole catalogue of the target size.
const MAX_BODY: usize = 64 << 20;

/// Handles an operator's request.
pub async fn handle(shared: Arc<Shared>, mut request: Request) -> Response<BoxBody> {
    let id = RequestId::from_headers(request.headers())
        .unwrap_or_else(|| shared.id_generator.next_request_id());
    let answer = match authenticate(&shared, &request) {
        Ok(()) => dispatch(&shared, &mut request).await,
        Err(problem) => problem.into(),
    };
    answer.response(&id)
}

fn authenticate(shared: &Shared, request: &Request) -> Result<(), Problem> {
    let given = headers::text(request.headers(), &header::AUTHORIZATION).and_then(bearer);
    let token = shared.settings.admin.token.as_ref();
    match (given, token) {
        (Some(given), Some(token)) if tokens_match(given, token) => Ok(()),
        _ => Err(Problem::not_run(
            Kind::Unauthenticated,
            "the administration API needs its token",
        )),
    }
}

/// Compares digests in constant time, so that timing reveals neither the length nor a common
/// prefix.
fn tokens_match(given: &str, token: &Secret) -> bool {
    let given = blake3::hash(given.as_bytes());
    let token = blake3::hash(token.expose());
    given.as_bytes().ct_eq(token.as_bytes()).into()
}

async fn dispatch(shared: &Arc<Shared>, request: &mut Request) -> Answer {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let Some(resource) = path.strip_prefix(ROOT) else {
        return not_found(&path);
    };
    if method == Method::GET {
        let query = request.uri().query().unwrap_or_default().to_owned();
        return read(shared, resource, &query)
            .await
            .unwrap_or_else(|| not_found(&path));
    }
    if method != Method::POST {
        return Problem::not_run(Kind::MethodNotAllowed, "GET and POST are served").into();
    }
    let body = match read_body(shared, request).await {
        Ok(body) => body,
        Err(problem) => return problem.into(),
    };
    write(shared, resource, &body)
        .await
        .unwrap_or_else(|| not_found(&path))
}

fn not_found(path: &str) -> Answer {
    Problem::not_run(Kind::NotFound, format!("nothing is at {path}")).into()
}

async fn read(shared: &Shared, resource: &str, query: &str) -> Option<Answer> {
    let control = &shared.control;
    let stopped = || {
        Answer::from(Problem::not_run(
            Kind::Unavailable,
            "the control has stopped",
        ))
    };
    Some(match resource {
        "catalogue" => Answer::value(&control.entities().await),
        "catalogue/history" => {
            Answer::value(&serde_json::json!({ "edits": control.history().await }))
        }
        "status" => match control.status().await {
            Some(status) => Answer::value(&status),
            None => stopped(),
        },
        "orders" => match control.orders().await {
            Some(orders) => Answer::value(&orders),
            None => stopped(),
        },
        "burn" => {
            let merged = query.split('&').any(|pair| pair == "merged=1");
            Answer::value(&burn::report(shared, merged).await)
        }
        _ => return None,
    })
}

async fn write(shared: &Shared, resource: &str, body: &str) -> Option<Answer> {
    let control = &shared.control;
    Some(match resource {
        "catalogue/check" => edits::check(control, body).await,
        "catalogue/edits" => edits::submit(control, body).await,
        "orders" => edits::order(control, body).await,
        _ => return None,
    })
}

async fn read_body(shared: &Shared, request: &mut Request) -> Result<String, Problem> {
    let bounds = Bounds {
        max_bytes: MAX_BODY,
        idle_timeout: shared.settings.limits.body_time,
        copies: 1,
    };
    let mut payload = request.take_payload();
    let bytes = body::read(request.headers(), &mut payload, bounds, &shared.memory).await?;
    String::from_utf8(bytes.into())
        .map_err(|error| Problem::not_run(Kind::BadRequest, error.to_string()))
}
