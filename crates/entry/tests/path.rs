//! The whole path from a caller through an entry to an engine or a plain service, with the
//! catalogue from the log.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Fleet, LIMA, TEXAS};
use standin::engine::expected_text;

#[actix_rt::test]
async fn completions_reach_an_engine_whole_and_streamed() {
    let fleet = Fleet::start(2, 0, 1).await;
    let caller = fleet.caller(0, LIMA);
    let answer = caller.complete("kiosk", "where is the kiosk", 20).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), expected_text("where is the kiosk", 20));
    let streamed = caller.stream("llm", "where is it", 50, usize::MAX).await;
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, expected_text("where is it", 50));
    let models = caller.get("/v1/models").await.unwrap().json();
    assert_eq!(models["data"][0]["id"], "kiosk");
}

#[actix_rt::test]
async fn plain_calls_reach_a_service_by_path_prefix() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    let answer = caller.post("/kiosk/pay/17?x=1", "sol 5").await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json()["path"], "/kiosk/pay/17");
    assert_eq!(fleet.executions().await.of("sol 5"), 1);
    let foreign = fleet.caller(0, TEXAS).post("/kiosk/pay/17", "sol 6").await;
    let foreign = foreign.unwrap();
    assert_eq!((foreign.status, foreign.ran().as_str()), (403, "no"));
    assert_eq!(fleet.executions().await.of("sol 6"), 0);
}
