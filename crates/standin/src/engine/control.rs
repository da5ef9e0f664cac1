//! What those who control engines ask: orders, state, load reports and cache events.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::{sleep, timeout};
use serde::Deserialize;
use serde_json::json;

use super::batch::Load;
use super::orders::{Decision, FencingToken, Kind, Model, Order, OrderId, State};
use super::state::Engine;
use crate::fault::{self, lock, take_fault};
use crate::http::{HttpRequest, HttpResponse};
use crate::{client, response};

/// Real time between looks for new cache events while a reader waits.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Longest wait of a reader of cache events.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Real time before a load asks the weight store again that was busy.
const WEIGHTS_AGAIN: Duration = Duration::from_millis(200);

/// Takes an order.
pub(super) async fn order(engine: &Arc<Engine>, call: &HttpRequest) -> HttpResponse {
    let order: Order = match serde_json::from_slice(&call.body) {
        Ok(order) => order,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let delay = engine.panel.get().order_delay_ms;
    if delay > 0 {
        // It arrives even if its sender is gone by then: what left cannot be called back.
        let late = actix_rt::spawn({
            let engine = engine.clone();
            async move {
                sleep(Duration::from_millis(delay)).await;
                judge(&engine, order)
            }
        });
        return late.await.unwrap_or_else(|_| response::drop_connection());
    }
    judge(engine, order)
}

fn judge(engine: &Arc<Engine>, order: Order) -> HttpResponse {
    let id = order.order;
    let verdict = lock(&engine.book).submit(id, order.fence);
    if verdict == Decision::Begin {
        log::info!(order = id, fence = order.fence; "order begins");
        actix_rt::spawn(carry_out(engine.clone(), order));
    }
    if engine
        .panel
        .update(|switches| take_fault(&mut switches.lose_order_answers))
    {
        return response::drop_connection();
    }
    match verdict {
        Decision::Begin => state_of(StatusCode::ACCEPTED, id, State::Running),
        Decision::Known(State::Cancelled) => state_of(StatusCode::CONFLICT, id, State::Cancelled),
        Decision::Known(state) => state_of(StatusCode::ACCEPTED, id, state),
        refused => conflict(refused),
    }
}

#[derive(Deserialize)]
struct Cancel {
    order: OrderId,
    fence: FencingToken,
}

/// Cancels an order that has not begun.
pub(super) fn cancel_order(engine: &Engine, call: &HttpRequest) -> HttpResponse {
    let cancel: Cancel = match serde_json::from_slice(&call.body) {
        Ok(cancel) => cancel,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let verdict = lock(&engine.book).cancel(cancel.order, cancel.fence);
    match verdict {
        Decision::Known(state) => state_of(StatusCode::OK, cancel.order, state),
        refused => conflict(refused),
    }
}

/// The state of the engine, never stale.
pub(super) fn state(engine: &Engine) -> HttpResponse {
    let load = engine.load();
    let role = lock(&engine.core).role;
    let models = lock(&engine.models).clone();
    let book = lock(&engine.book);
    response::ok(&json!({
        "engine": engine.options.engine,
        "incarnation": engine.incarnation,
        "role": role,
        "models": models,
        "order": book.last(),
        "fence": book.fence(),
        "checks_fence": book.checks_fence(),
        "open": load.running + load.waiting,
    }))
}

/// What orders did and what work came since the start of the process, for tests that judge it.
pub(super) fn orders(engine: &Engine) -> HttpResponse {
    let book = lock(&engine.book);
    let begun: Vec<_> = book.begun().collect();
    response::ok(&json!({
        "begun": begun,
        "refused": book.refused(),
        "judged": book.submitted(),
        "cut": engine.cut.load(Ordering::Relaxed),
        "jobs": engine.jobs(),
    }))
}

/// The load report, as old as the lag makes it.
pub(super) async fn report(engine: &Engine) -> HttpResponse {
    let switches = engine.panel.get();
    if let Some(out) = switches.report.response().await {
        return out;
    }
    let lag = switches
        .report_lag_ms
        .unwrap_or(engine.options.report_lag_ms);
    let now = engine.scale.now();
    let (mut age, mut load) = lock(&engine.core)
        .reports
        .lagged(now, Duration::from_millis(lag));
    let mut frozen = lock(&engine.frozen);
    if switches.freeze_report {
        let (sampled, kept) = *frozen.get_or_insert((now.saturating_sub(age), load));
        (age, load) = (now.saturating_sub(sampled), kept);
    } else {
        *frozen = None;
    }
    response::ok(&report_value(engine, engine.scale.real(age), load))
}

fn report_value(engine: &Engine, age: Duration, load: Load) -> serde_json::Value {
    let role = lock(&engine.core).role;
    let settings = engine.options.settings();
    let order = lock(&engine.book).running().map_or(0, |known| known.order);
    json!({
        "age_ms": age.as_millis() as u64,
        "role": role,
        "models": *lock(&engine.models),
        "running": load.running,
        "waiting": load.waiting,
        "prefill_tokens_waiting": load.prefill_tokens_waiting,
        "decode_tokens_left": load.decode_tokens_left,
        "kv_used": load.kv_used,
        "kv_total": settings.kv_tokens,
        "prefill_rate": settings.prefill_rate(role) * engine.options.time_scale,
        "decode_slots": settings.limits(role).max_running,
        "draining": order != 0,
        "order": order,
    })
}

/// Cache events from a number on.
pub(super) async fn events(engine: &Engine, call: &HttpRequest) -> HttpResponse {
    if let Some(out) = engine.panel.get().events.response().await {
        return out;
    }
    let from = call.query_number("from").unwrap_or(1);
    let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(LONGEST_WAIT);
    let read = || lock(&engine.core).events.read(engine.scale.now(), from);
    let arrival = async {
        while read().1.is_empty() {
            sleep(LOOK_EVERY).await;
        }
    };
    // Whether events came or the wait is over, what can be seen now is the answer.
    let _ = timeout(wait, arrival).await;
    let (next, events) = read();
    response::ok(&json!({ "next": next, "events": events }))
}

/// Carries out an order that has begun. Streams that are still open are cut.
async fn carry_out(engine: Arc<Engine>, order: Order) {
    let role = lock(&engine.core).role;
    engine.reset(role);
    let options = &engine.options;
    let (duration, weights) = match &order.kind {
        Kind::SetRole { .. } => (options.role_change_ms, None),
        Kind::LoadModel(model) => (options.load_ms, Some(model)),
        Kind::UnloadModel(_) => (options.load_ms, None),
    };
    let duration = Duration::from_millis(duration);
    engine.scale.sleep(duration / 2).await;
    if engine
        .panel
        .update(|switches| take_fault(&mut switches.exit_orders))
    {
        fault::exit("partway through an order");
    }
    if engine
        .panel
        .update(|switches| take_fault(&mut switches.stuck_orders))
    {
        return;
    }
    if let Some(model) = weights {
        load_weights(&engine, model).await;
    }
    engine.scale.sleep(duration / 2).await;
    if engine
        .panel
        .update(|switches| take_fault(&mut switches.fail_orders))
    {
        return end(&engine, order.order, State::Failed);
    }
    take_effect(&engine, order.kind);
    end(&engine, order.order, State::Done);
}

fn take_effect(engine: &Engine, kind: Kind) {
    match kind {
        Kind::SetRole { role } => engine.reset(role),
        Kind::LoadModel(model) => {
            let mut models = lock(&engine.models);
            models.retain(|one| *one != model);
            models.push(model);
        }
        Kind::UnloadModel(model) => lock(&engine.models).retain(|one| *one != model),
    }
}

fn end(engine: &Engine, order: OrderId, state: State) {
    log::info!(order, state:?; "order ends");
    lock(&engine.book).finish(order, state);
}

/// Takes the weights of a model from the weight store and asks again until it has them.
async fn load_weights(engine: &Engine, model: &Model) {
    let Some(store) = engine.options.weights else {
        return;
    };
    let version = match model.version.as_str() {
        "" => "0",
        version => version,
    };
    let name = &model.model;
    let url = format!(
        "http://{store}/weights/{name}/{version}?adapter={}",
        model.adapter
    );
    while let Err(error) = client::get(&url).await {
        log::info!(url, error:?; "weights not loaded yet");
        sleep(WEIGHTS_AGAIN).await;
    }
}

fn state_of(status: StatusCode, order: OrderId, state: State) -> HttpResponse {
    response::json(status, &json!({ "order": order, "state": state }))
}

fn conflict(verdict: Decision) -> HttpResponse {
    let value = match verdict {
        Decision::OldFence(fence) => json!({ "fence": fence }),
        Decision::Busy(order) => json!({ "order": order }),
        Decision::Begin | Decision::Known(_) => json!({}),
    };
    response::json(StatusCode::CONFLICT, &value)
}
