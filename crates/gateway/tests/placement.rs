//! Several gateways of one data centre: two place calls, the others ask them.

mod harness;

use harness::{Gateway, wait_until};
use platform_standin::Engine;

/// Three gateways on one store, the third last in the read order, with an engine for plain calls
/// and a decode engine.
async fn three_gateways() -> ([Gateway; 3], [Engine; 2]) {
    let (first, app, pool) = Gateway::start().await;
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    second.wait_until_ready(true).await;
    third.wait_until_ready(true).await;
    ([first, second, third], [app, pool])
}

/// Value of a gateway's counter of placement requests.
async fn placement_requests(gateway: &Gateway, answer: &str) -> u64 {
    let page = gateway.metrics_page().await;
    let name = format!("tarragon_placement_questions_total{{answer=\"{answer}\"}}");
    let line = page.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.trim().parse().expect("a count"))
}

/// Sends calls to the last gateway until it requests placements.
async fn send_until_it_requests(requester: &Gateway) {
    wait_until(async || {
        let id = requester.fresh_id();
        assert_eq!(requester.generate("/stream/", &id).await.status, 200);
        placement_requests(requester, "placed").await > 0
    })
    .await;
}

#[actix_rt::test]
async fn a_gateway_that_requests_placements_serves_calls() {
    let ([_first, _second, requester], _engines) = three_gateways().await;
    send_until_it_requests(&requester).await;
    for _ in 0..20 {
        let id = requester.fresh_id();
        assert_eq!(requester.generate("/resume/", &id).await.status, 200);
        let id = requester.fresh_id();
        assert_eq!(requester.call("/once/", &id, &[]).await.status, 200);
    }
}

/// The placers of a data centre are paused at once. When requesters waited for their answers, the
/// data centre's calls failed while its engines were idle.
#[actix_rt::test]
async fn calls_are_served_while_all_placers_are_paused() {
    let ([first, second, requester], _engines) = three_gateways().await;
    send_until_it_requests(&requester).await;
    first.signal("-STOP");
    second.signal("-STOP");
    for _ in 0..10 {
        let id = requester.fresh_id();
        assert_eq!(requester.generate("/stream/", &id).await.status, 200);
    }
    first.signal("-CONT");
    second.signal("-CONT");
}

/// Instances start beside others that know everything. When each read the configuration and all
/// engines itself, a restart of hundreds used up the store's rate, and each waited for its turn.
#[actix_rt::test]
async fn starting_instances_receive_state_from_peers() {
    let ([first, _second, _third], _engines) = three_gateways().await;
    // On a busy machine an instance may get the state late and read it itself, which is correct.
    wait_until(async || {
        let last = first.start_another_on_slow_link();
        last.wait_until_ready(true).await;
        let told = last.count_log_lines("all engines known, from another instance") == 1;
        told && last.count_log_lines("source=instance") == 1
            && last.count_log_lines("all engines read") == 0
    })
    .await;
}
