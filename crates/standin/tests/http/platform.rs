//! Tests of `standin-platform` over HTTP.

use crate::common::{fault, get, platform, post, send};
use actix_http::Method;
use futures_util::future::join;
use serde_json::json;

#[actix_rt::test]
async fn append_with_a_lost_response_takes_effect() {
    // An append whose connection drops between its effect and its response, as in an outage of the
    // platform, looks failed to the caller although its record is stored.
    let log = platform(&[]);
    fault(log, json!({ "lose_answers": 1 })).await;
    let lost = send(Method::POST, log, "/log/append", &[], "one".to_owned()).await;
    assert!(lost.is_err());
    let second = send(Method::POST, log, "/log/append", &[], "two".to_owned()).await;
    assert_eq!(second.unwrap().json(), json!({ "offset": 2 }));
    let page = get(log, "/log/read?from=1").await.json();
    let records = json!([{ "offset": 1, "data": "b25l" }, { "offset": 2, "data": "dHdv" }]);
    assert_eq!(page, json!({ "first": 1, "next": 3, "records": records }));
}

#[actix_rt::test]
async fn appends_and_reads_have_separate_outages() {
    let log = platform(&[]);
    fault(log, json!({ "append": "refuse" })).await;
    assert_eq!(post(log, "/log/append", json!(1)).await.status, 503);
    assert_eq!(get(log, "/log/read?from=1").await.json()["next"], 1);
    fault(log, json!({ "append": "none", "read": "refuse" })).await;
    assert_eq!(post(log, "/log/append", json!(1)).await.status, 200);
    assert_eq!(get(log, "/log/read?from=1").await.status, 503);
}

#[actix_rt::test]
async fn read_waits_for_the_next_record() {
    let log = platform(&[]);
    let read = get(log, "/log/read?from=1&wait_ms=60000");
    let (page, _) = join(read, post(log, "/log/append", json!(1))).await;
    assert_eq!(page.json()["records"][0]["offset"], 1);
}

#[actix_rt::test]
async fn read_before_the_retained_records_returns_gone() {
    let log = platform(&["--retention-count", "2"]);
    for record in 0..4 {
        post(log, "/log/append", json!(record)).await;
    }
    let gone = get(log, "/log/read?from=1").await;
    assert_eq!(
        (gone.status, gone.json()),
        (410, json!({ "first": 3, "next": 5 }))
    );
}

#[actix_rt::test]
async fn appends_above_the_rate_limit_are_rejected() {
    let log = platform(&["--append-rate", "0.001"]);
    assert_eq!(post(log, "/log/append", json!(1)).await.status, 200);
    assert_eq!(post(log, "/log/append", json!(1)).await.status, 429);
    assert_eq!(get(log, "/log/read?from=1").await.json()["next"], 2);
}

#[actix_rt::test]
async fn weight_store_rejects_transfers_above_the_limit() {
    let store = platform(&["--weight-transfers", "1", "--weight-rate", "100000"]);
    let url = format!("http://{store}/weights/m/1?adapter=");
    let running = awc::Client::default().get(&url).send().await.unwrap();
    assert_eq!(running.status(), 200);
    assert_eq!(get(store, "/weights/m/1").await.status, 429);
}

#[actix_rt::test]
async fn request_with_an_unknown_switch_changes_nothing() {
    let log = platform(&[]);
    let refused = post(log, "/fault", json!({ "lose_answers": 1, "typo": 1 })).await;
    assert_eq!(refused.status, 400);
    assert_eq!(get(log, "/fault").await.json()["lose_answers"], 0);
}
