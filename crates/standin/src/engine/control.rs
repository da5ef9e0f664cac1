//! Control interface of an engine: orders, state, load reports and cache events.

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

/// Real time between checks for new cache events while a reader waits.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Upper bound of `wait_ms` of a read of cache events.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(60);

/// Real time between attempts to fetch weights.
const WEIGHTS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Handles a submitted order.
pub(super) async fn submit_order(engine: &Arc<Engine>, request: &HttpRequest) -> HttpResponse {
    let order: Order = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let delay = engine.faults.get().order_delay_ms;
    if delay > 0 {
        // Spawned, so that the order takes effect even if its sender disconnects meanwhile.
        let late = actix_rt::spawn({
            let engine = engine.clone();
            async move {
                sleep(Duration::from_millis(delay)).await;
                decide(&engine, order)
            }
        });
        return late.await.unwrap_or_else(|_| response::drop_connection());
    }
    decide(engine, order)
}

fn decide(engine: &Arc<Engine>, order: Order) -> HttpResponse {
    let id = order.order;
    let decision = lock(&engine.orders).submit(id, order.fence);
    if decision == Decision::Begin {
        log::info!(order = id, fence = order.fence; "order begins");
        actix_rt::spawn(execute(engine.clone(), order));
    }
    if engine
        .faults
        .update(|switches| take_fault(&mut switches.lose_order_answers))
    {
        return response::drop_connection();
    }
    match decision {
        Decision::Begin => order_state(StatusCode::ACCEPTED, id, State::Running),
        Decision::Known(State::Cancelled) => {
            order_state(StatusCode::CONFLICT, id, State::Cancelled)
        }
        Decision::Known(state) => order_state(StatusCode::ACCEPTED, id, state),
        rejected => conflict(rejected),
    }
}

#[derive(Deserialize)]
struct CancelOrder {
    order: OrderId,
    fence: FencingToken,
}

/// Cancels an order, unless it has begun.
pub(super) fn cancel_order(engine: &Engine, request: &HttpRequest) -> HttpResponse {
    let cancel: CancelOrder = match serde_json::from_slice(&request.body) {
        Ok(cancel) => cancel,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let decision = lock(&engine.orders).cancel(cancel.order, cancel.fence);
    match decision {
        Decision::Known(state) => order_state(StatusCode::OK, cancel.order, state),
        rejected => conflict(rejected),
    }
}

/// Returns the current state of the engine, without lag.
pub(super) fn state(engine: &Engine) -> HttpResponse {
    let load = engine.load();
    let role = lock(&engine.batch_state).role;
    let models = lock(&engine.models).clone();
    let order_table = lock(&engine.orders);
    response::ok(&json!({
        "engine": engine.options.engine,
        "incarnation": engine.incarnation,
        "role": role,
        "models": models,
        "order": order_table.last(),
        "fence": order_table.fence(),
        "checks_fence": order_table.checks_fence(),
        "open": load.running + load.waiting,
    }))
}

/// Returns the orders and the work since the start of the process, for the checks of tests.
pub(super) fn orders(engine: &Engine) -> HttpResponse {
    let order_table = lock(&engine.orders);
    let begun: Vec<_> = order_table.begun().collect();
    response::ok(&json!({
        "begun": begun,
        "refused": order_table.rejected(),
        "judged": order_table.submitted(),
        "cut": engine.streams_cut.load(Ordering::Relaxed),
        "jobs": engine.jobs_created(),
    }))
}

/// Returns the load report, delayed by the lag.
pub(super) async fn report(engine: &Engine) -> HttpResponse {
    let switches = engine.faults.get();
    if let Some(out) = switches.report.response().await {
        return out;
    }
    let lag = switches
        .report_lag_ms
        .unwrap_or(engine.options.report_lag_ms);
    let now = engine.clock.now();
    let (mut age, mut load) = lock(&engine.batch_state)
        .reports
        .lagged(now, Duration::from_millis(lag));
    let mut frozen = lock(&engine.frozen_report);
    if switches.freeze_report {
        let (sampled, kept) = *frozen.get_or_insert((now.saturating_sub(age), load));
        (age, load) = (now.saturating_sub(sampled), kept);
    } else {
        *frozen = None;
    }
    response::ok(&report_value(engine, engine.clock.real_duration(age), load))
}

fn report_value(engine: &Engine, age: Duration, load: Load) -> serde_json::Value {
    let role = lock(&engine.batch_state).role;
    let settings = engine.options.settings();
    let order = lock(&engine.orders)
        .running()
        .map_or(0, |status| status.order);
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

/// Returns the visible cache events from a number on.
pub(super) async fn events(engine: &Engine, request: &HttpRequest) -> HttpResponse {
    if let Some(out) = engine.faults.get().events.response().await {
        return out;
    }
    let from = request.query_number("from").unwrap_or(1);
    let wait =
        Duration::from_millis(request.query_number("wait_ms").unwrap_or(0)).min(MAX_EVENT_WAIT);
    let read = || {
        lock(&engine.batch_state)
            .events
            .read(engine.clock.now(), from)
    };
    let arrival = async {
        while read().1.is_empty() {
            sleep(EVENT_POLL_INTERVAL).await;
        }
    };
    // On timeout as well, respond with what is visible now.
    let _ = timeout(wait, arrival).await;
    let (next, events) = read();
    response::ok(&json!({ "next": next, "events": events }))
}

/// Executes an order that has begun. Open streams are cut.
async fn execute(engine: Arc<Engine>, order: Order) {
    let role = lock(&engine.batch_state).role;
    engine.reset(role);
    let options = &engine.options;
    let (duration, weights) = match &order.kind {
        Kind::SetRole { .. } => (options.role_change_ms, None),
        Kind::LoadModel(model) => (options.load_ms, Some(model)),
        Kind::UnloadModel(_) => (options.load_ms, None),
    };
    let duration = Duration::from_millis(duration);
    engine.clock.sleep(duration / 2).await;
    if engine
        .faults
        .update(|switches| take_fault(&mut switches.exit_orders))
    {
        fault::exit("partway through an order");
    }
    if engine
        .faults
        .update(|switches| take_fault(&mut switches.stuck_orders))
    {
        return;
    }
    if let Some(model) = weights {
        load_weights(&engine, model).await;
    }
    engine.clock.sleep(duration / 2).await;
    if engine
        .faults
        .update(|switches| take_fault(&mut switches.fail_orders))
    {
        return finish(&engine, order.order, State::Failed);
    }
    apply(&engine, order.kind);
    finish(&engine, order.order, State::Done);
}

fn apply(engine: &Engine, kind: Kind) {
    match kind {
        Kind::SetRole { role } => engine.reset(role),
        Kind::LoadModel(model) => {
            let mut models = lock(&engine.models);
            models.retain(|loaded| *loaded != model);
            models.push(model);
        }
        Kind::UnloadModel(model) => lock(&engine.models).retain(|loaded| *loaded != model),
    }
}

fn finish(engine: &Engine, order: OrderId, state: State) {
    log::info!(order, state:?; "order ends");
    lock(&engine.orders).finish(order, state);
}

/// Fetches the weights of a model from the weight store, with retries until it succeeds.
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
        log::info!(url, error:?; "fetching model weights failed, retrying");
        sleep(WEIGHTS_RETRY_DELAY).await;
    }
}

fn order_state(status: StatusCode, order: OrderId, state: State) -> HttpResponse {
    response::json(status, &json!({ "order": order, "state": state }))
}

fn conflict(decision: Decision) -> HttpResponse {
    let value = match decision {
        Decision::OldFence(fence) => json!({ "fence": fence }),
        Decision::Busy(order) => json!({ "order": order }),
        Decision::Begin | Decision::Known(_) => json!({}),
    };
    response::json(StatusCode::CONFLICT, &value)
}
