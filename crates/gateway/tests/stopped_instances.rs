//! Instances that were stopped, or had no processor, for a time.

mod harness;

use std::time::Duration;

use harness::{Gateway, generation, wait_until};
use platform_standin::Engine;
use tokio::time::sleep;

/// Longer than an engine may take for a call that may be repeated, by the route's latency target.
const LONG_STOP: Duration = Duration::from_millis(4_600);

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
