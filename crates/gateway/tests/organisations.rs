//! Keys of organisations at real gateway processes.

mod harness;

use std::time::Duration;

use platform_standin::Engine;
use platform_standin::engine::ReceivedRequest;
use harness::{Gateway, configuration, generation, wait_until};
use serde_json::{Value, json};

const KEY: &str = "key-of-a-7f3c";

fn configured(version: u64, organisations: &Value) -> Value {
    let mut configuration = configuration(version, "app");
    configuration["tenants"] = organisations.clone();
    configuration["routes"][0]["public"] = json!(true);
    configuration
}

fn put(gateway: &Gateway, version: u64, organisations: &Value) {
    let configuration = configured(version, organisations);
    gateway
        .store
        .put("keyed.op", "config", Some(&configuration));
}

async fn start() -> (Gateway, Engine, Engine) {
    let gateway = Gateway::start_unconfigured().await;
    put(&gateway, 1, &json!([{ "name": "a", "api_keys": [KEY] }]));
    let app = Engine::start("app-1").await;
    let pool = Engine::start("pool-1").await;
    app.register(&gateway.store, "app", "ready", None);
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.wait_until_ready(true).await;
    (gateway, app, pool)
}

fn of_id(engine: &Engine, id: &str) -> Vec<ReceivedRequest> {
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

/// Symptom: an engine learns a caller's secret, and does not know on whose behalf it works. Sequence: a caller sends its key, and the
/// name of another organisation. Cause: headers were forwarded as they came.
#[actix_rt::test]
async fn engines_are_told_whose_call_it_is_and_no_key() {
    let (gateway, app, pool) = start().await;
    let forged = [("key", KEY), ("tenant-id", "b")];
    assert_eq!(gateway.call("/once/a", "plain", &forged).await.status, 200);
    let sizes = generation();
    let headers = [&forged[..], &sizes[..]].concat();
    assert_eq!(
        gateway.call("/resume/a", "stream", &headers).await.status,
        200
    );
    let all = [of_id(&app, "plain"), of_id(&pool, "stream")].concat();
    assert_eq!(all.len(), 2);
    for got in all {
        assert_eq!(got.header("tenant-id"), Some("a"));
        assert_eq!(got.header("key"), None);
    }
    // The secret stands in no line of the log.
    assert_eq!(gateway.count_log_lines(KEY), 0);
}

#[actix_rt::test]
async fn a_call_without_a_known_key_runs_nowhere_but_on_public_routes() {
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
    let got = of_id(&app, "open");
    assert_eq!(got[0].header("tenant-id"), None);
    assert_eq!(got[0].header("key"), None);
}

/// Symptom: a key that was taken away works on. Sequence: versions follow each other, the last one without the key; an
/// older version comes late. Cause: whichever came last was in force.
#[actix_rt::test]
async fn keys_come_and_go_by_versions_and_do_not_come_back() {
    let (gateway, _app, _pool) = start().await;
    put(
        &gateway,
        2,
        &json!([{ "name": "a", "api_keys": [KEY, "second"] }]),
    );
    wait_until(async || status(&gateway, "/once/a", Some("second")).await == 200).await;
    for version in 3..8 {
        put(
            &gateway,
            version,
            &json!([{ "name": "a", "api_keys": ["second"] }]),
        );
    }
    wait_until(async || status(&gateway, "/once/a", Some(KEY)).await == 401).await;
    put(&gateway, 2, &json!([{ "name": "a", "api_keys": [KEY] }]));
    wait_until(async || gateway.count_log_lines("configuration in force") > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 401);
    assert_eq!(status(&gateway, "/once/a", Some("second")).await, 200);
}

/// Symptom: all callers of two organisations are mixed up, or all are shut out. Sequence: an operator gives one key to two
/// organisations. Cause: the configuration went into force as far as it could be read.
#[actix_rt::test]
async fn a_configuration_with_a_shared_key_changes_nothing() {
    let (gateway, _app, _pool) = start().await;
    put(
        &gateway,
        2,
        &json!([{ "name": "a", "api_keys": [KEY] }, { "name": "b", "api_keys": [KEY] }]),
    );
    wait_until(async || gateway.count_log_lines("hold the same key") == 1).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 200);
}

/// Symptom: a caller with a new key is refused for ever by an instance that is behind, and served by all others. Sequence: the store
/// turns the instance away; meanwhile a key is given out. Cause: what it did not know was taken for unknown to all.
#[actix_rt::test]
async fn an_instance_that_is_behind_sends_unknown_keys_elsewhere() {
    let (gateway, app, _pool) = start().await;
    gateway.store.fault(platform_standin::store::Fault::Busy);
    wait_until(async || status(&gateway, "/once/a", Some("new")).await == 503).await;
    assert_eq!(status(&gateway, "/once/a", Some(KEY)).await, 200);
    assert_eq!(app.received().len(), 1);
    gateway.store.fault(platform_standin::store::Fault::None);
    wait_until(async || status(&gateway, "/once/a", Some("new")).await == 401).await;
}

/// Symptom: a second instance, which is told the configuration by the first, serves nobody. Sequence: one instance reads the store and tells the
/// other. Cause: digests of keys could not be used where they were not made.
#[actix_rt::test]
async fn an_instance_that_is_told_the_configuration_knows_the_keys() {
    let (gateway, _app, _pool) = start().await;
    let other = gateway.start_another_on_slow_link();
    other.wait_until_ready(true).await;
    assert_eq!(status(&other, "/once/a", Some(KEY)).await, 200);
    assert_eq!(status(&other, "/once/a", Some("unknown")).await, 401);
}
