//! A store that comes back from a copy some seconds old: what was written since is gone, and its offsets are given out again.

mod harness;

use harness::{Gateway, wait_until};
use serde_json::json;

const WENT_BACK: &str = "the store has come back from an older copy";

/// Symptom: requests are handled by a version that was replaced seconds ago. Sequence: a version is accepted and in force; the store comes back
/// from a copy of before; the operator writes another version, at an offset that was given out before. Cause: the copy's version was
/// newer by its place, or the next one was passed over for it.
#[actix_rt::test]
async fn a_configuration_in_force_does_not_go_back_and_the_next_one_is_read() {
    let (gateway, _app, _pool) = Gateway::start().await;
    let copy = gateway.store.copy();
    let second = floor::Engine::start("second-1").await;
    second.register(&gateway.store, "second", "ready", None);
    gateway.configure(2, "second");
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await.status == 200 && second.runs(&id) == 1
    })
    .await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(WENT_BACK) == 1).await;
    second.register(&gateway.store, "second", "ready", None);
    for _ in 0..20 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.call("/safe/a", &id, &[]).await.status, 200);
        assert_eq!(second.runs(&id), 1);
    }
    // What the operator wrote is written again, and so is what comes after it.
    gateway.configure(2, "second");
    gateway.configure(3, "app");
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await.status == 200 && second.runs(&id) == 0
    })
    .await;
}

/// Symptom: an engine that starts after the store came back gets no calls. Sequence: its record stands at an offset that another record of its name had
/// before. Cause: it was taken for old news.
#[actix_rt::test]
async fn records_at_offsets_that_are_given_out_again_are_news() {
    let (gateway, app, _pool) = Gateway::start().await;
    let copy = gateway.store.copy();
    for _ in 0..5 {
        app.register(&gateway.store, "app", "ready", None);
    }
    let leaving = floor::Engine::start("app-2").await;
    leaving.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 3")).await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(WENT_BACK) == 1).await;
    let third = floor::Engine::start("app-3").await;
    third.register(&gateway.store, "app", "ready", None);
    leaving.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 4")).await;
}

/// Symptom: calls go to an engine seconds after it said that it leaves. Sequence: it says so; the store comes back from a copy in which it is
/// ready. Cause: the copy was believed.
#[actix_rt::test]
async fn an_engine_that_said_it_leaves_gets_no_calls_when_the_store_forgets_it() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = floor::Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 3")).await;
    let copy = gateway.store.copy();
    app.register(&gateway.store, "app", "draining", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 2")).await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(WENT_BACK) == 1).await;
    let before = app.got().len();
    for _ in 0..40 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.call("/safe/a", &id, &[]).await.status, 200);
    }
    assert_eq!(app.got().len(), before);
}

/// Symptom: an instance that starts later knows some of the others only. Sequence: instances register; the store comes back from a copy of before.
/// Cause: nobody registered twice.
#[actix_rt::test]
async fn instances_register_again() {
    let gateway = Gateway::start_unconfigured().await;
    let empty = gateway.store.copy();
    gateway.configure(1, "app");
    let app = floor::Engine::start("app-1").await;
    app.register(&gateway.store, "app", "ready", None);
    gateway.wait_until_ready(true).await;
    let registered = async || !gateway.store.newest("keyed.instances").is_empty();
    wait_until(registered).await;
    gateway.store.restore(empty);
    assert!(gateway.store.newest("keyed.instances").is_empty());
    app.register(&gateway.store, "app", "ready", None);
    gateway.configure(2, "app");
    wait_until(registered).await;
    assert_eq!(gateway.count_log_lines(WENT_BACK), 1);
}

/// Symptom: a call that ends engines runs again after all instances were replaced. Sequence: it is held; the store comes back from a copy of before;
/// all instances start anew. Cause: the store had forgotten it, and those that knew wrote it only once.
#[actix_rt::test]
async fn held_calls_are_written_again() {
    let (gateway, _app, pool) = Gateway::start().await;
    let copy = gateway.store.copy();
    let held = async || {
        let keys = gateway.store.newest("keyed.instances");
        keys.iter().any(|key| key.starts_with("held/"))
    };
    pool.ends_on("/resume/fatal");
    let mut engines = Vec::new();
    for n in 0..4 {
        let engine = floor::Engine::start(&format!("more-{n}")).await;
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engine.ends_on("/resume/fatal");
        engines.push(engine);
    }
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 6")).await;
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.generate_same_prompt("/resume/fatal", &id).await;
        held().await
    })
    .await;
    gateway.store.restore(copy);
    assert!(!held().await);
    gateway.store.put("keyed.op", "other", Some(&json!({})));
    wait_until(held).await;
}
