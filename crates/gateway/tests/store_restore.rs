//! A store that is restored from a copy some seconds old: later writes are lost, and their offsets
//! are assigned again.

mod harness;

use std::net::SocketAddr;

use harness::{Gateway, wait_until};
use serde_json::json;

const RESTORED: &str = "the store has come back from an older copy";

/// A version is accepted and in force when the store is restored from an earlier copy; the operator
/// then writes another version, at an offset that was used before. When the copy's version counted
/// as newer by its offset, or the next one was skipped because of it, requests were handled by a
/// version that had been replaced.
#[actix_rt::test]
async fn a_configuration_survives_a_store_restore_and_the_next_one_is_applied() {
    let (gateway, _app, _pool) = Gateway::start().await;
    let copy = gateway.store.backup();
    let second = platform_standin::Engine::start("second-1").await;
    second.register(&gateway.store, "second", "ready", None);
    gateway.configure(2, "second");
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await.status == 200 && second.run_count(&id) == 1
    })
    .await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(RESTORED) == 1).await;
    second.register(&gateway.store, "second", "ready", None);
    for _ in 0..20 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.call("/safe/a", &id, &[]).await.status, 200);
        assert_eq!(second.run_count(&id), 1);
    }
    // The operator writes the lost version again, and then the next one.
    gateway.configure(2, "second");
    gateway.configure(3, "app");
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await.status == 200 && second.run_count(&id) == 0
    })
    .await;
}

/// A record is written at an offset that another record of its key had before the restore. When it
/// counted as old, an engine that started after the restore got no calls.
#[actix_rt::test]
async fn records_at_reused_offsets_are_applied() {
    let (gateway, app, _pool) = Gateway::start().await;
    let copy = gateway.store.backup();
    for _ in 0..5 {
        app.register(&gateway.store, "app", "ready", None);
    }
    let leaving = platform_standin::Engine::start("app-2").await;
    leaving.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 3")).await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(RESTORED) == 1).await;
    let third = platform_standin::Engine::start("app-3").await;
    third.register(&gateway.store, "app", "ready", None);
    leaving.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 4")).await;
}

/// An engine announces that it leaves, and the store is restored from a copy in which it is ready.
/// When the copy was trusted, calls went to the engine seconds after its announcement.
#[actix_rt::test]
async fn a_draining_engine_gets_no_calls_after_a_store_restore() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = platform_standin::Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 3")).await;
    let copy = gateway.store.backup();
    app.register(&gateway.store, "app", "draining", None);
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 2")).await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines(RESTORED) == 1).await;
    let before = app.received().len();
    for _ in 0..40 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.call("/safe/a", &id, &[]).await.status, 200);
    }
    assert_eq!(app.received().len(), before);
}

/// Instances register, and the store is restored from an earlier copy. When nobody registered
/// again, an instance that started later knew only some of the others.
#[actix_rt::test]
async fn instances_register_again_after_a_store_restore() {
    let gateway = Gateway::start_unconfigured().await;
    let empty = gateway.store.backup();
    gateway.configure(1, "app");
    let app = platform_standin::Engine::start("app-1").await;
    app.register(&gateway.store, "app", "ready", None);
    gateway.wait_until_ready(true).await;
    let registered = async || {
        let keys = gateway.store.newest("keyed.instances");
        keys.iter().any(|key| key.parse::<SocketAddr>().is_ok())
    };
    wait_until(registered).await;
    gateway.store.restore(empty);
    assert!(gateway.store.newest("keyed.instances").is_empty());
    app.register(&gateway.store, "app", "ready", None);
    gateway.configure(2, "app");
    wait_until(registered).await;
    assert_eq!(gateway.count_log_lines(RESTORED), 1);
}

/// A call is held, the store is restored from an earlier copy, and all instances are replaced. When
/// the record was written only once, a call that crashes engines ran again.
#[actix_rt::test]
async fn held_calls_are_written_again_after_a_store_restore() {
    let (gateway, _app, pool) = Gateway::start().await;
    let copy = gateway.store.backup();
    let held = async || {
        let keys = gateway.store.newest("keyed.instances");
        keys.iter().any(|key| key.starts_with("held/"))
    };
    pool.end_on_path("/resume/fatal");
    let mut engines = Vec::new();
    for n in 0..4 {
        let engine = platform_standin::Engine::start(&format!("more-{n}")).await;
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engine.end_on_path("/resume/fatal");
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
