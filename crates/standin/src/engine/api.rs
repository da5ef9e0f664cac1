//! HTTP interface of `standin-engine`.

use std::sync::Arc;

use super::request::Kind;
use super::state::Engine;
use super::{completion, control, kv};
use crate::http::{HttpRequest, HttpResponse};
use crate::response as reply;

/// Handles a request to an engine.
pub async fn handle(engine: Arc<Engine>, request: HttpRequest) -> HttpResponse {
    let segments = request.segments();
    let method = request.method.as_str();
    match (method, segments.as_slice()) {
        (_, ["fault"]) => {
            let response = engine.faults.handle(&request);
            engine.update_slowdown();
            response
        }
        ("POST", ["engine", "orders"]) => control::submit_order(&engine, &request).await,
        ("POST", ["engine", "cancel-order"]) => control::cancel_order(&engine, &request),
        ("GET", ["standin", "orders"]) => control::orders(&engine),
        ("GET", ["engine", "state"]) => control::state(&engine),
        ("GET", ["engine", "report"]) => control::report(&engine).await,
        ("GET", ["engine", "events"]) => control::events(&engine, &request).await,
        ("DELETE", ["engine", "streams", id]) => completion::cancel(&engine, id),
        (_, ["engine", "kv", ..]) => match engine.faults.get().kv.response().await {
            Some(out) => out,
            None => handle_kv(&engine, &request, &segments[2..]).await,
        },
        _ => match engine.faults.get().out.response().await {
            Some(out) => out,
            None => handle_completion(&engine, &request, &segments).await,
        },
    }
}

async fn handle_kv(engine: &Arc<Engine>, request: &HttpRequest, path: &[&str]) -> HttpResponse {
    match (request.method.as_str(), path) {
        ("POST", ["export"]) => kv::export(engine, request).await,
        ("POST", ["import"]) => kv::import(engine, request).await,
        ("GET", [handle]) => kv::fetch(engine, handle),
        _ => reply::not_found(),
    }
}

async fn handle_completion(
    engine: &Arc<Engine>,
    request: &HttpRequest,
    path: &[&str],
) -> HttpResponse {
    match (request.method.as_str(), path) {
        ("POST", ["v1", "completions"]) => completion::complete(engine, Kind::Text, request).await,
        ("POST", ["v1", "chat", "completions"]) => {
            completion::complete(engine, Kind::Chat, request).await
        }
        ("GET", ["engine", "streams", id]) => {
            completion::resume(engine, id, request.query_number("from").unwrap_or(0))
        }
        _ => reply::not_found(),
    }
}
