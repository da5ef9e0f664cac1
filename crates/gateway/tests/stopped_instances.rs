//! Instances that were stopped, or had no processor, for a time.

mod harness;

use std::time::Duration;

use harness::{Gateway, generation, wait_until};
use platform_standin::Engine;
use tokio::time::sleep;

/// Longer than an engine may take for a call that may be repeated, by the route's latency target.
const LONG_STOP: Duration = Duration::from_millis(4_600);
/// Longer than the silence after which an instance counts as ended.
const LOST_STOP: Duration = Duration::from_millis(3_300);

/// Guards against taking the instance's own stop for the silence of an engine: the answer was there, and the
/// call was repeated at another engine.
#[actix_rt::test]
async fn an_answer_that_waited_while_the_instance_was_stopped_is_passed_on() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = Engine::start("app-2").await;
    other.register(&gateway.store, "app", "ready", None);
    wait_until(async || {
        gateway
            .metrics_page()
            .await
            .contains("tarragon_engines 3\n")
    })
    .await;
    for engine in [&app, &other] {
        engine.set_prefill_time(Duration::from_millis(500));
    }
    let id = gateway.fresh_id();
    let received = || app.request_count("/safe/") + other.request_count("/safe/");
    let stop = async {
        wait_until(async || received() > 0).await;
        gateway.signal("-STOP");
        sleep(LONG_STOP).await;
        gateway.signal("-CONT");
    };
    let headers = generation();
    let (answer, ()) = tokio::join!(gateway.call("/safe/a", &id, &headers), stop);
    assert_eq!(answer.status, 200);
    assert_eq!(received(), 1);
}

/// Guards against taking the instance's own stop for the silence of all others, and their place with it.
#[actix_rt::test]
async fn an_instance_that_was_stopped_does_not_take_the_place_of_others() {
    let (first, _app, _pool) = Gateway::start().await;
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    for gateway in [&first, &second, &third] {
        gateway.wait_until_ready(true).await;
    }
    let placing = "instances that place calls own=true";
    wait_until(async || third.count_log_lines("instances that place calls own=false others=2") > 0)
        .await;
    let before = third.count_log_lines(placing);
    for n in 0..4 {
        third.signal("-STOP");
        sleep(LOST_STOP + Duration::from_millis(13 * n)).await;
        third.signal("-CONT");
        sleep(Duration::from_millis(800)).await;
    }
    assert_eq!(third.count_log_lines(placing), before);
}
