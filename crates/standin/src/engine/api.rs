//! The resources of `standin-engine`.

use std::sync::Arc;

use super::request::Kind;
use super::state::Engine;
use super::{completion, control, kv};
use crate::http::{HttpRequest, HttpResponse};
use crate::response as reply;

/// Answers a request to an engine.
pub async fn handle(engine: Arc<Engine>, call: HttpRequest) -> HttpResponse {
    let segments = call.segments();
    let method = call.method.as_str();
    match (method, segments.as_slice()) {
        (_, ["fault"]) => {
            let answer = engine.panel.handle(&call);
            engine.pace();
            answer
        }
        ("POST", ["engine", "orders"]) => control::order(&engine, &call).await,
        ("POST", ["engine", "cancel-order"]) => control::cancel_order(&engine, &call),
        ("GET", ["standin", "orders"]) => control::orders(&engine),
        ("GET", ["engine", "state"]) => control::state(&engine),
        ("GET", ["engine", "report"]) => control::report(&engine).await,
        ("GET", ["engine", "events"]) => control::events(&engine, &call).await,
        ("DELETE", ["engine", "streams", id]) => completion::cancel(&engine, id),
        (_, ["engine", "kv", ..]) => match engine.panel.get().kv.response().await {
            Some(out) => out,
            None => answer_kv(&engine, &call, &segments[2..]).await,
        },
        _ => match engine.panel.get().out.response().await {
            Some(out) => out,
            None => answer_work(&engine, &call, &segments).await,
        },
    }
}

async fn answer_kv(engine: &Arc<Engine>, call: &HttpRequest, path: &[&str]) -> HttpResponse {
    match (call.method.as_str(), path) {
        ("POST", ["export"]) => kv::export(engine, call).await,
        ("POST", ["import"]) => kv::import(engine, call).await,
        ("GET", [handle]) => kv::fetch(engine, handle),
        _ => reply::not_found(),
    }
}

async fn answer_work(engine: &Arc<Engine>, call: &HttpRequest, path: &[&str]) -> HttpResponse {
    match (call.method.as_str(), path) {
        ("POST", ["v1", "completions"]) => completion::create(engine, Kind::Text, call).await,
        ("POST", ["v1", "chat", "completions"]) => {
            completion::create(engine, Kind::Chat, call).await
        }
        ("GET", ["engine", "streams", id]) => {
            completion::resume(engine, id, call.query_number("from").unwrap_or(0))
        }
        _ => reply::not_found(),
    }
}
