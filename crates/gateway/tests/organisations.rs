//! Organisations' keys at real gateway processes.

mod harness;

use std::rc::Rc;
use std::time::Duration;

use harness::{Gateway, SLOW_LINK_MBPS, configuration, generation, send_call, wait_until};
use platform_standin::engine::{Behaviour, ReceivedRequest};
use platform_standin::store::Fault;
use platform_standin::{Engine, Store};
use serde_json::{Value, json};

const KEY: &str = "key-of-a-7f3c";
/// Slots of an engine.
const SLOTS: usize = 8;

fn configuration_with(version: u64, organisations: &Value) -> Value {
    let mut configuration = configuration(version, "app");
    configuration["tenants"] = organisations.clone();
    configuration["routes"][0]["public"] = json!(true);
    configuration
}

fn configure(gateway: &Gateway, version: u64, organisations: &Value) {
    let configuration = configuration_with(version, organisations);
    gateway
        .store
        .put("keyed.op", "config", Some(&configuration));
}

async fn start() -> (Gateway, Engine, Engine) {
    add_engines(Gateway::start_unconfigured().await).await
}

async fn add_engines(gateway: Gateway) -> (Gateway, Engine, Engine) {
    configure(&gateway, 1, &json!([{ "name": "a", "api_keys": [KEY] }]));
    let app = Engine::start("app-1").await;
    let pool = Engine::start("pool-1").await;
    app.register(&gateway.store, "app", "ready", None);
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.wait_until_ready(true).await;
    (gateway, app, pool)
}

fn requests_with_id(engine: &Engine, id: &str) -> Vec<ReceivedRequest> {
    let mut got = engine.received();
    got.retain(|got| got.id == id);
    got
}

async fn status(gateway: &Gateway, path: &str, key: Option<&str>) -> u16 {
    let id = gateway.fresh_id();
    let key = key.map(|key| ("key", key));
    let headers: Vec<_> = key.into_iter().collect();
    gateway.call(path, &id, &headers).await.status
}

/// A caller sends its key and the name of another organisation. When headers were forwarded as
/// received, an engine learned the caller's secret, and not for whom it works.
#[actix_rt::test]
async fn engines_receive_the_organisation_and_no_key() {
    let (gateway, app, pool) = start().await;
    let forged = [("key", KEY), ("tenant-id", "b")];
    assert_eq!(gateway.call("/once/a", "plain", &forged).await.status, 200);
    let sizes = generation();
    let headers = [&forged[..], &sizes[..]].concat();
    assert_eq!(
        gateway.call("/resume/a", "stream", &headers).await.status,
        200
    );
    let all = [
        requests_with_id(&app, "plain"),
        requests_with_id(&pool, "stream"),
    ]
    .concat();
    assert_eq!(all.len(), 2);
    for got in all {
        assert_eq!(got.header("tenant-id"), Some("a"));
        assert_eq!(got.header("key"), None);
    }
    // The log must not contain the secret.
    assert_eq!(gateway.count_log_lines(KEY), 0);
}

#[actix_rt::test]
async fn a_call_without_a_known_key_runs_only_on_public_routes() {
    let (gateway, app, _pool) = start().await;
    assert_eq!(status(&gateway, "/once/a", None).await, 401);
    assert_eq!(status(&gateway, "/once/a", Some("key-of-a-7f3")).await, 401);
    assert_eq!(app.received().len(), 0);
    assert_eq!(
        gateway
            .call("/safe/a", "open", &[("key", "unknown")])
            .await
            .status,
        200
    );
    let got = requests_with_id(&app, "open");
    assert_eq!(got[0].header("tenant-id"), None);
    assert_eq!(got[0].header("key"), None);
}

/// Versions follow each other, the last one without the key, and an older version arrives late.
/// When the last to arrive was in force, a revoked key worked again.
#[actix_rt::test]
async fn a_revoked_key_stays_revoked_when_an_older_version_arrives() {
    let (gateway, _app, _pool) = start().await;
    configure(
        &gateway,
        2,
        &json!([{ "name": "a", "api_keys": [KEY, "second"] }]),
    );
    wait_until(async || status(&gateway, "/once/a", Some("second")).await == 200).await;
    for version in 3..8 {
        configure(
            &gateway,
            version,
            &json!([{ "name": "a", "api_keys": ["second"] }]),
        );
    }
    wait_until(async || status(&gateway, "/once/a", Some(KEY)).await == 401).await;
    configure(&gateway, 2, &json!([{ "name": "a", "api_keys": [KEY] }]));
    wait_until(async || gateway.count_log_lines("configuration in force") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 401);
    assert_eq!(status(&gateway, "/once/a", Some("second")).await, 200);
}

/// An operator gives one key to two organisations. When the configuration went into force as far as
/// it could be parsed, callers of both were mixed up, or all rejected.
#[actix_rt::test]
async fn a_configuration_with_a_shared_key_is_rejected() {
    let (gateway, _app, _pool) = start().await;
    configure(
        &gateway,
        2,
        &json!([{ "name": "a", "api_keys": [KEY] }, { "name": "b", "api_keys": [KEY] }]),
    );
    wait_until(async || gateway.count_log_lines("hold the same key") == 1).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 200);
}

/// The store rejects an instance's reads while a key is issued. When a key that it did not know
/// counted as unknown to all, it rejected for good a caller that all others served.
#[actix_rt::test]
async fn a_stale_instance_answers_unknown_keys_with_503() {
    let (gateway, app, _pool) = start().await;
    gateway.store.fault(platform_standin::store::Fault::Busy);
    wait_until(async || status(&gateway, "/once/a", Some("new")).await == 503).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 200);
    assert_eq!(app.received().len(), 1);
    gateway.store.fault(platform_standin::store::Fault::None);
    wait_until(async || status(&gateway, "/once/a", Some("new")).await == 401).await;
}

/// One instance reads the store and sends the configuration to another. When key digests were
/// usable only where they were computed, the second instance served nobody.
#[actix_rt::test]
async fn an_instance_that_gets_the_configuration_from_a_peer_knows_the_keys() {
    let (gateway, _app, _pool) = start().await;
    let other = gateway.start_another_on_slow_link();
    other.wait_until_ready(true).await;
    assert_eq!(status(&other, "/once/a", Some(KEY)).await, 200);
    assert_eq!(status(&other, "/once/a", Some("unknown")).await, 401);
}

/// One organisation's calls hold all slots of a service's only engine. When organisations had no
/// shares, its next calls took the places that others needed.
#[actix_rt::test]
async fn a_heavy_organisation_is_refused_as_over_its_share_while_others_are_served() {
    let (gateway, app, _pool) = start().await;
    configure(
        &gateway,
        2,
        &json!([{ "name": "heavy", "api_keys": ["h"] }, { "name": "light", "api_keys": ["l"] }]),
    );
    wait_until(async || status(&gateway, "/once/a", Some("l")).await == 200).await;
    app.set_behaviour(Behaviour::Hang);
    for _ in 0..SLOTS {
        let mut caller = gateway.connect().await;
        let id = gateway.fresh_id();
        actix_rt::spawn(async move {
            send_call(&mut caller, "/once/a", &id, &[("key", "h")]).await;
        });
    }
    wait_until(async || app.received().len() > SLOTS).await;
    app.set_behaviour(Behaviour::Run);
    wait_until(async || {
        assert_eq!(status(&gateway, "/once/a", Some("l")).await, 200);
        status(&gateway, "/once/a", Some("h")).await == 503
    })
    .await;
    let reason = "organisation=heavy why=The organisation uses more than its share";
    // A thread writes the line, possibly after the response.
    wait_until(async || gateway.count_log_lines(reason) > 0).await;
    let page = gateway.metrics_page().await;
    let refusals = r#"tarragon_refusals_over_share_total{service="app"} "#;
    assert!(page.contains(refusals), "{page}");
    assert!(page.contains(r#"tarragon_organisations_over_share{service="app"}"#));
    wait_until(async || gateway.count_log_lines("shares service=app level=") > 0).await;
}

/// Guards against refusing a new key for good at an instance that was stopped, because the store's answer from
/// before waited in its socket and seems to be new.
#[actix_rt::test]
async fn an_answer_that_waited_while_the_instance_was_stopped_is_not_taken_for_new() {
    let store = Rc::new(Store::start().await);
    let link = store.open_link().await;
    let gateway = Gateway::start_unconfigured_at(store, link.address);
    let (gateway, _app, _pool) = add_engines(gateway).await;
    wait_until(async || status(&gateway, "/once/a", Some("unknown")).await == 401).await;
    gateway.signal("-STOP");
    // The read in flight is answered.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    link.fault(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(400)).await;
    gateway.signal("-CONT");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for _ in 0..10 {
        assert_eq!(status(&gateway, "/once/a", Some("unknown")).await, 503);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against refusing a new key for good at an instance that was stopped, because the frames of a peer
/// that has ended since waited in its socket and its reads seem to be new.
#[actix_rt::test]
async fn frames_that_waited_while_the_instance_was_stopped_are_not_taken_for_new() {
    let (reader, _app, _pool) = start().await;
    reader.wait_until_ready(true).await;
    let link = reader.store.open_link().await;
    let gateway = reader.start_another_at(link.address, SLOW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    link.fault(Fault::Silent);
    wait_until(async || gateway.count_log_lines("the store does not answer") > 0).await;
    wait_until(async || status(&gateway, "/once/a", Some("unknown")).await == 401).await;
    gateway.signal("-STOP");
    // States of the peer arrive.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    reader.signal("-KILL");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    gateway.signal("-CONT");
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(status(&gateway, "/once/a", Some("unknown")).await, 503);
    }
}
