//! Several gateways of one data centre: two place calls, the others ask them.

mod harness;

use platform_standin::Engine;
use harness::{Gateway, wait_until};

/// Three gateways on one store, of which the third is the last in the common order, with an engine of plain calls and one
/// that generates.
async fn three() -> ([Gateway; 3], [Engine; 2]) {
    let (first, app, pool) = Gateway::start().await;
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    second.wait_until_ready(true).await;
    third.wait_until_ready(true).await;
    ([first, second, third], [app, pool])
}

/// What a gateway's page says of a counter of questions.
async fn questions(gateway: &Gateway, answer: &str) -> u64 {
    let page = gateway.metrics_page().await;
    let name = format!("tarragon_placement_questions_total{{answer=\"{answer}\"}}");
    let line = page.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.trim().parse().expect("a count"))
}

/// Sends calls to the last one until it asks for their places.
async fn until_it_asks(asking: &Gateway) {
    wait_until(async || {
        let id = asking.fresh_id();
        assert_eq!(asking.generate("/stream/", &id).await.status, 200);
        questions(asking, "placed").await > 0
    })
    .await;
}

#[actix_rt::test]
async fn one_of_three_asks_and_is_served() {
    let ([_first, _second, asking], _engines) = three().await;
    until_it_asks(&asking).await;
    for _ in 0..20 {
        let id = asking.fresh_id();
        assert_eq!(asking.generate("/resume/", &id).await.status, 200);
        let id = asking.fresh_id();
        assert_eq!(asking.call("/once/", &id, &[]).await.status, 200);
    }
}

/// Symptom: calls of one data centre fail while its engines are idle. Sequence: the instances that place its calls are paused
/// at once. Cause: whoever asked them waited for their answer.
#[actix_rt::test]
async fn calls_are_served_while_those_that_place_them_are_silent() {
    let ([first, second, asking], _engines) = three().await;
    until_it_asks(&asking).await;
    first.signal("-STOP");
    second.signal("-STOP");
    for _ in 0..10 {
        let id = asking.fresh_id();
        assert_eq!(asking.generate("/stream/", &id).await.status, 200);
    }
    first.signal("-CONT");
    second.signal("-CONT");
}

/// Symptom: a restart of hundreds of instances takes the store's whole rate, and each waits for its turn. Sequence: instances
/// start beside others that know all. Cause: each read the configuration and all engines for itself.
#[actix_rt::test]
async fn instances_that_start_are_told_what_the_store_holds() {
    let ([first, _second, _third], _engines) = three().await;
    // One that is told late, on a busy machine, reads by itself, and rightly so.
    wait_until(async || {
        let last = first.start_another_on_slow_link();
        last.wait_until_ready(true).await;
        let told = last.count_log_lines("all engines known, from another instance") == 1;
        told && last.count_log_lines("source=instance") == 1
            && last.count_log_lines("all engines read") == 0
    })
    .await;
}
