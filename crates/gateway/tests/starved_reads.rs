//! Reads of the engines that streams ask for, at an instance that has not read the store for the others before.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{Gateway, generation, wait_until};
use platform_standin::Engine;
use tokio::time::sleep;

/// Guards against an instance that never takes the place of readers that have ended while streams are taken up: each
/// read that one of them asks for puts off the check whether this one has to read.
#[actix_rt::test]
async fn an_instance_reads_for_the_others_though_streams_ask_for_reads_all_the_time() {
    let (first, _app, pool) = Gateway::start().await;
    pool.set_stream(4, Duration::from_millis(10));
    let second = first.start_another();
    second.wait_until_ready(true).await;
    // One that starts beside records need not wait until all streams from before have ended.
    wait_until(async || {
        let keys = first.store.newest("keyed.instances");
        keys.iter()
            .filter(|key| key.starts_with("versions/"))
            .count()
            == 2
    })
    .await;
    let third = first.start_another_on_slow_link();
    third.wait_until_ready(true).await;
    let line = "the store knows the software versions of a service";
    let take_up = async |id: String| {
        let mut headers = vec![("resumes", id.as_str()), ("last-event-id", "2")];
        headers.extend(generation());
        third
            .call("/resume/a", &format!("u{id}"), &headers)
            .await
            .status
    };
    // Its reads at its start are long over.
    sleep(Duration::from_secs(5)).await;
    first.signal("-KILL");
    second.signal("-KILL");
    let before = third.count_log_lines(line);
    let new = Engine::start("app-2").await;
    new.set_software("v2");
    new.register(&third.store, "app", "ready", None);
    for round in 0..240 {
        let streams = (0..4).map(|number| take_up(format!("{round}-{number}")));
        join_all(streams).await;
        if third.count_log_lines(line) > before {
            return;
        }
    }
    // Control: without streams that are taken up, it does.
    wait_until(async || third.count_log_lines(line) > before).await;
    panic!("the second version is recorded only once no streams are taken up");
}
