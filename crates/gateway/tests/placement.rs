//! Several gateways of one data centre: two place calls, the others ask them.

mod harness;

use std::time::Duration;

use harness::{Gateway, SLOW_LINK_MBPS, wait_until};
use platform_standin::Engine;
use platform_standin::configuration::Route;
use platform_standin::store::Fault;
use serde_json::json;

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
        wait_until(async || last.count_log_lines("all engines") == 1).await;
        let told = last.count_log_lines("all engines known, from another instance") == 1;
        told && last.count_log_lines("source=instance") == 1
            && last.count_log_lines("all engines read") == 0
    })
    .await;
}

/// More engines than an instance with a link of 1 Mbit/s holds.
const MANY_ENGINES: usize = 400;

/// Guards against state that grows with the engines at every instance: the records of ten thousand
/// engines took the memory and the links of small machines.
#[actix_rt::test]
async fn an_instance_on_a_slow_link_serves_calls_without_the_records_of_all_engines() {
    let ([first, second, _third], [app, pool]) = three_gateways().await;
    for number in 0..MANY_ENGINES {
        first.register_ended_engine(&format!("idle-{number}"), "idle");
    }
    wait_until(async || first.count_log_lines("engine changed engine=idle-399") > 0).await;
    let small = first.start_another_at(first.store.address, 1);
    small.wait_until_ready(true).await;
    // Longer than the number of engines takes to settle and all records to arrive.
    for _ in 0..120 {
        let id = small.fresh_id();
        assert_eq!(small.generate("/stream/", &id).await.status, 200);
        let id = small.fresh_id();
        assert_eq!(small.call("/once/", &id, &[]).await.status, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(small.count_log_lines("all engines known"), 0);
    assert_eq!(small.count_log_lines("all engines read"), 0);
    assert_eq!(small.count_log_lines("engine=idle-"), 0);
    // An engine that leaves gets no further calls.
    let other = Engine::start("pool-2").await;
    other.register(&first.store, "pool", "ready", Some("decode"));
    // A leaving overtakes the news of an engine that starts.
    for placer in [&first, &second] {
        wait_until(async || placer.count_log_lines("engine changed engine=pool-2") > 0).await;
    }
    pool.register(&first.store, "pool", "draining", Some("decode"));
    wait_until(async || {
        let id = small.fresh_id();
        small.generate("/stream/", &id).await;
        other.run_count(&id) == 1
    })
    .await;
    let before = pool.received().len();
    for _ in 0..10 {
        let id = small.fresh_id();
        assert_eq!(small.generate("/stream/", &id).await.status, 200);
    }
    assert_eq!(pool.received().len(), before);
    drop(app);
}

/// Guards against a thousand reads of a large configuration at once: one that exceeded a datagram was
/// read from the store by each instance.
#[actix_rt::test]
async fn a_configuration_with_hundreds_of_routes_is_received_from_peers() {
    let ([first, _second, _third], _engines) = three_gateways().await;
    // Any instance reads the store while it knows of too few readers, as one that starts may for a moment.
    let link = first.store.open_link().await;
    let last = first.start_another_at(link.address, SLOW_LINK_MBPS);
    last.wait_until_ready(true).await;
    // The others know it once they place its calls.
    send_until_it_requests(&last).await;
    link.fault(Fault::Silent);
    let prefixes: Vec<String> = (0..400)
        .map(|n| format!("/prefix{n}x{}/", n * 7_919))
        .collect();
    let routes = prefixes.iter().map(|prefix| Route {
        prefix,
        kind: "safe",
        service: "app",
        attempts: 2,
        resumable: false,
    });
    let routes: Vec<Route> = routes.collect();
    let large = platform_standin::configuration::configuration(7, &routes, &["app"]);
    assert!(json!(large).to_string().len() > 60_000);
    first.store.put("keyed.op", "config", Some(&large));
    wait_until(async || last.call(&prefixes[399], "w", &[]).await.status == 200).await;
    let source = "version=7 before=1 source=instance";
    assert_eq!(last.count_log_lines(source), 1);
}
