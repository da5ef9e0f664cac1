//! A store that comes back from a copy some seconds old: what was written since is gone, and its offsets are given out again.

mod world;

use serde_json::json;
use world::{World, until};

const WENT_BACK: &str = "the store has come back from an older copy";

/// Symptom: requests are handled by a version that was replaced seconds ago. Sequence: a version is accepted and in force; the store comes back
/// from a copy of before; the operator writes another version, at an offset that was given out before. Cause: the copy's version was
/// newer by its place, or the next one was passed over for it.
#[actix_rt::test]
async fn a_configuration_in_force_does_not_go_back_and_the_next_one_is_read() {
    let (world, _app, _pool) = World::start().await;
    let copy = world.store.backup();
    let second = platform_standin::Engine::start("second-1").await;
    second.register(&world.store, "second", "ready", None);
    world.configure(2, "second");
    until(async || {
        let id = world.fresh_id();
        world.call("/safe/a", &id, &[]).await.status == 200 && second.run_count(&id) == 1
    })
    .await;
    world.store.restore(copy);
    until(async || world.log_lines(WENT_BACK) == 1).await;
    second.register(&world.store, "second", "ready", None);
    for _ in 0..20 {
        let id = world.fresh_id();
        assert_eq!(world.call("/safe/a", &id, &[]).await.status, 200);
        assert_eq!(second.run_count(&id), 1);
    }
    // What the operator wrote is written again, and so is what comes after it.
    world.configure(2, "second");
    world.configure(3, "app");
    until(async || {
        let id = world.fresh_id();
        world.call("/safe/a", &id, &[]).await.status == 200 && second.run_count(&id) == 0
    })
    .await;
}

/// Symptom: an engine that starts after the store came back gets no calls. Sequence: its record stands at an offset that another record of its name had
/// before. Cause: it was taken for old news.
#[actix_rt::test]
async fn records_at_offsets_that_are_given_out_again_are_news() {
    let (world, app, _pool) = World::start().await;
    let copy = world.store.backup();
    for _ in 0..5 {
        app.register(&world.store, "app", "ready", None);
    }
    let leaving = platform_standin::Engine::start("app-2").await;
    leaving.register(&world.store, "app", "ready", None);
    until(async || world.page().await.contains("tarragon_engines 3")).await;
    world.store.restore(copy);
    until(async || world.log_lines(WENT_BACK) == 1).await;
    let third = platform_standin::Engine::start("app-3").await;
    third.register(&world.store, "app", "ready", None);
    leaving.register(&world.store, "app", "ready", None);
    until(async || world.page().await.contains("tarragon_engines 4")).await;
}

/// Symptom: calls go to an engine seconds after it said that it leaves. Sequence: it says so; the store comes back from a copy in which it is
/// ready. Cause: the copy was believed.
#[actix_rt::test]
async fn an_engine_that_said_it_leaves_gets_no_calls_when_the_store_forgets_it() {
    let (world, app, _pool) = World::start().await;
    let other = platform_standin::Engine::start("app-2").await;
    other.register(&world.store, "app", "ready", None);
    until(async || world.page().await.contains("tarragon_engines 3")).await;
    let copy = world.store.backup();
    app.register(&world.store, "app", "draining", None);
    until(async || world.page().await.contains("tarragon_engines 2")).await;
    world.store.restore(copy);
    until(async || world.log_lines(WENT_BACK) == 1).await;
    let before = app.received().len();
    for _ in 0..40 {
        let id = world.fresh_id();
        assert_eq!(world.call("/safe/a", &id, &[]).await.status, 200);
    }
    assert_eq!(app.received().len(), before);
}

/// Symptom: an instance that starts later knows some of the others only. Sequence: instances register; the store comes back from a copy of before.
/// Cause: nobody registered twice.
#[actix_rt::test]
async fn instances_register_again() {
    let world = World::bare().await;
    let empty = world.store.backup();
    world.configure(1, "app");
    let app = platform_standin::Engine::start("app-1").await;
    app.register(&world.store, "app", "ready", None);
    world.until_ready(true).await;
    let registered = async || !world.store.newest("keyed.instances").is_empty();
    until(registered).await;
    world.store.restore(empty);
    assert!(world.store.newest("keyed.instances").is_empty());
    app.register(&world.store, "app", "ready", None);
    world.configure(2, "app");
    until(registered).await;
    assert_eq!(world.log_lines(WENT_BACK), 1);
}

/// Symptom: a call that ends engines runs again after all instances were replaced. Sequence: it is held; the store comes back from a copy of before;
/// all instances start anew. Cause: the store had forgotten it, and those that knew wrote it only once.
#[actix_rt::test]
async fn held_calls_are_written_again() {
    let (world, _app, pool) = World::start().await;
    let copy = world.store.backup();
    let held = async || {
        let keys = world.store.newest("keyed.instances");
        keys.iter().any(|key| key.starts_with("held/"))
    };
    pool.end_on_path("/resume/fatal");
    let mut engines = Vec::new();
    for n in 0..4 {
        let engine = platform_standin::Engine::start(&format!("more-{n}")).await;
        engine.register(&world.store, "pool", "ready", Some("decode"));
        engine.end_on_path("/resume/fatal");
        engines.push(engine);
    }
    until(async || world.page().await.contains("tarragon_engines 6")).await;
    until(async || {
        let id = world.fresh_id();
        world.generate_same("/resume/fatal", &id).await;
        held().await
    })
    .await;
    world.store.restore(copy);
    assert!(!held().await);
    world.store.put("keyed.op", "other", Some(&json!({})));
    until(held).await;
}
