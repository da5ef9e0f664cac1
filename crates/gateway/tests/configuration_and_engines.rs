//! Which configuration and engines a real gateway process uses while the store fails, and how the
//! process shuts down.

mod harness;

use std::time::Duration;

use assert_matches::assert_matches;
use harness::{Gateway, generation, send_call, wait_until};
use platform_standin::Engine;
use platform_standin::engine::Behaviour;
use platform_standin::store::Fault;
use serde_json::json;

/// Sends a plain call and returns its status.
async fn status(gateway: &Gateway, path: &str) -> u16 {
    gateway.call(path, "w", &[]).await.status
}

#[actix_rt::test]
async fn a_newer_configuration_is_applied_and_an_older_one_ignored() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("new-1").await;
    other.register(&gateway.store, "new", "ready", None);
    gateway.configure(5, "new");
    wait_until(async || {
        gateway.call("/safe/a", "w", &[]).await;
        other.run_count("w") > 0
    })
    .await;
    gateway.configure(4, "app");
    gateway.store.compact("keyed.op");
    gateway.configure(3, "app");
    let before = app.received().len();
    for _ in 0..20 {
        assert_eq!(status(&gateway, "/safe/a").await, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(app.received().len(), before);
}

#[actix_rt::test]
async fn a_draining_engine_gets_no_new_calls_and_finishes_open_ones() {
    let (gateway, _app, pool) = Gateway::start().await;
    let other = Engine::start("pool-2").await;
    pool.set_stream(30, Duration::from_millis(50));
    other.set_stream(30, Duration::from_millis(50));
    let mut caller = gateway.connect().await;
    let headers = generation();
    let streaming = send_call(&mut caller, "/stream/a", "long", &headers);
    let leaving = async {
        wait_until(async || pool.run_count("long") == 1).await;
        other.register(&gateway.store, "pool", "ready", Some("decode"));
        pool.register(&gateway.store, "pool", "draining", Some("decode"));
        other.set_stream(1, Duration::ZERO);
        // From some call on, calls go to the new engine.
        wait_until(async || {
            let id = gateway.fresh_id();
            gateway.generate("/stream/a", &id).await;
            other.run_count(&id) == 1
        })
        .await;
        let before = pool.received().len();
        for n in 0..10 {
            gateway.generate("/stream/a", &format!("n{n}")).await;
        }
        assert_eq!(pool.received().len(), before);
    };
    let (answer, ()) = tokio::join!(streaming, leaving);
    assert_eq!(answer.text().matches("data: ").count(), 30);
}

#[actix_rt::test]
async fn an_engine_without_a_record_gets_no_calls() {
    let (gateway, app, _pool) = Gateway::start().await;
    gateway.store.put("keyed.servers", &app.id, None);
    wait_until(async || status(&gateway, "/safe/a").await == 503).await;
    app.register(&gateway.store, "app", "ready", None);
    wait_until(async || status(&gateway, "/safe/a").await == 200).await;
}

/// A restarted engine listens at its old address under a new incarnation, while the old record
/// stands for seconds. Trusting the address, or counting its refusal as a lack of capacity, made
/// the service refuse calls or charge one twice.
#[actix_rt::test]
async fn an_address_taken_by_another_engine_is_not_used_for_the_old_one() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    app.set_behaviour(Behaviour::WrongInstance);
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || status(&gateway, "/once/a").await == 200).await;
    let before = app.received().len();
    for _ in 0..5 {
        assert_eq!(status(&gateway, "/once/a").await, 200);
    }
    assert!(app.received().len() <= before + 1);
    assert_eq!(app.run_count("w"), 0);
}

#[actix_rt::test]
async fn calls_are_served_while_the_store_is_down() {
    let (gateway, _app, _pool) = Gateway::start().await;
    for fault in [Fault::Busy, Fault::Reset, Fault::Silent] {
        gateway.store.fault(fault);
        for _ in 0..10 {
            assert_eq!(status(&gateway, "/once/a").await, 200);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        gateway.store.fault(Fault::None);
    }
    let other = Engine::start("new-1").await;
    other.register(&gateway.store, "new", "ready", None);
    gateway.configure(9, "new");
    wait_until(async || {
        gateway.call("/safe/a", "w", &[]).await;
        other.run_count("w") > 0
    })
    .await;
}

#[actix_rt::test]
async fn compacted_history_is_recovered_from_the_newest_records() {
    let (gateway, app, _pool) = Gateway::start().await;
    gateway.store.fault(Fault::Busy);
    let other = Engine::start("new-1").await;
    other.register(&gateway.store, "new", "ready", None);
    gateway.configure(6, "new");
    gateway.store.put("keyed.servers", &app.id, None);
    gateway.store.compact("keyed.op");
    gateway.store.compact("keyed.servers");
    gateway.store.fault(Fault::None);
    wait_until(async || {
        gateway.call("/safe/a", "w", &[]).await;
        other.run_count("w") > 0
    })
    .await;
}

/// A planned restart must not cut streams: an instance that ended at once when asked to end, or
/// closed its connections first, did.
#[actix_rt::test]
async fn an_instance_that_is_asked_to_end_finishes_open_streams() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(40, Duration::from_millis(50));
    let mut caller = gateway.connect().await;
    let headers = generation();
    let streaming = send_call(&mut caller, "/stream/a", "long", &headers);
    let ending = async {
        wait_until(async || pool.run_count("long") == 1).await;
        gateway.signal("-TERM");
        gateway.wait_until_ready(false).await;
    };
    let (answer, ()) = tokio::join!(streaming, ending);
    assert_eq!(answer.text().matches("data: ").count(), 40);
    assert!(gateway.wait_until_ended().await);
}

#[actix_rt::test]
async fn invalid_settings_leave_the_old_ones_in_force() {
    let (gateway, _app, _pool) = Gateway::start().await;
    std::fs::write(gateway.settings.path(), "node = 1").unwrap();
    gateway.signal("-HUP");
    for _ in 0..5 {
        assert_eq!(status(&gateway, "/safe/a").await, 200);
    }
    gateway.wait_until_ready(true).await;
}

#[actix_rt::test]
async fn a_smuggled_request_is_rejected_and_later_calls_are_served() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let (gateway, app, _pool) = Gateway::start().await;
    let smuggled = b"POST /safe/a HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\ncontent-length: 3\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/a HTTP/1.1\r\nhost: h\r\nrequest-id: b\r\n\r\n";
    let mut stream = tokio::net::TcpStream::connect(gateway.front).await.unwrap();
    stream.write_all(smuggled).await.unwrap();
    let mut answer = Vec::new();
    assert_matches!(stream.read_to_end(&mut answer).await, Ok(_));
    assert!(answer.starts_with(b"HTTP/1.1 400"));
    assert_eq!(app.received().len(), 0);
    assert_eq!(status(&gateway, "/safe/a").await, 200);
}

/// A foreign writer replaces an engine's record with one that has a field of the wrong type, and
/// adds entries that are no records. When invalid entries were skipped, the record that they
/// replaced stayed in use, or a value was made up; calls then hung or were lost.
#[actix_rt::test]
async fn invalid_records_remove_only_their_own_engine() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.count_log_lines("engine changed engine=app-2") > 0).await;
    let address = app.address.to_string();
    let broken = json!({"service": "app", "address": address, "zone": "a", "slots": "many", "state": "ready"});
    gateway.store.put("keyed.servers", &app.id, Some(&broken));
    for (key, entry) in [
        ("x-1", json!([1, 2])),
        ("x-2", json!("text")),
        ("x-3", json!({"state": "ready"})),
    ] {
        gateway.store.put("keyed.servers", key, Some(&entry));
    }
    wait_until(async || gateway.count_log_lines("an entry names no engine") == 4).await;
    let before = app.received().len();
    for _ in 0..10 {
        assert_eq!(status(&gateway, "/once/a").await, 200);
    }
    assert_eq!(app.received().len(), before);
    // Read again with all others, it is not logged again.
    gateway.store.compact("keyed.servers");
    gateway.store.put("keyed.servers", &app.id, Some(&broken));
    app.register(&gateway.store, "app", "ready", None);
    wait_until(async || {
        status(&gateway, "/safe/a").await;
        app.received().len() > before
    })
    .await;
    assert_eq!(gateway.count_log_lines("an entry names no engine"), 4);
}

/// An engine restarts under its name at another address while the gateway has connections to the
/// old one. When connections and state were kept by name, the first calls after the restart were
/// lost.
#[actix_rt::test]
async fn an_engine_that_restarts_under_its_name_is_a_new_engine() {
    let (gateway, plain, _pool) = Gateway::start().await;
    gateway.store.put("keyed.servers", &plain.id, None);
    let app = Engine::start_with_timestamp("app-9", 1_000).await;
    app.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.count_log_lines("born=1000") > 0).await;
    assert_eq!(status(&gateway, "/once/a").await, 200);
    let again = Engine::start_with_timestamp(&app.id, 2_000).await;
    again.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.count_log_lines("born=2000") > 0).await;
    let before = app.received().len();
    for _ in 0..5 {
        assert_eq!(status(&gateway, "/once/a").await, 200);
    }
    assert_eq!(app.received().len(), before);
    // A late heartbeat of the previous incarnation.
    app.register(&gateway.store, "app", "ready", None);
    let other = Engine::start("app-3").await;
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || gateway.count_log_lines("engine changed engine=app-3") > 0).await;
    for _ in 0..5 {
        assert_eq!(status(&gateway, "/once/a").await, 200);
    }
    assert_eq!(app.received().len(), before);
}
