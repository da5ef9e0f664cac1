//! Streams where an engine starts again under its name with another software version.

mod harness;

use std::time::{Duration, SystemTime};

use futures_util::future::join_all;
use harness::streams::{add_engine, resume, round, stream};
use harness::{Gateway, wait_until};
use platform_standin::engine::{Behaviour, EarlyEnd};
use platform_standin::store::Fault;
use platform_standin::{Ending, Engine};

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// A gateway with two engines of the first version that tell when they started.
async fn start() -> (Gateway, [Engine; 2]) {
    let (gateway, _app, other) = Gateway::start().await;
    gateway.store.put("keyed.servers", "pool-1", None);
    other.stop();
    let mut engines = Vec::new();
    for id in ["pool-2", "pool-3"] {
        let engine = Engine::start_with_timestamp(id, unix_ms() - 60_000).await;
        engine.set_stream(4, Duration::from_millis(30));
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engines.push(engine);
    }
    let [first, second] = <[Engine; 2]>::try_from(engines).expect("two were started");
    wait_until(async || {
        round(&gateway, &gateway.fresh_id(), usize::MAX).await;
        let has_run = |engine: &Engine| engine.request_count("/resume") > 0;
        has_run(&first) && has_run(&second)
    })
    .await;
    (gateway, [first, second])
}

/// Guards against resuming a broken stream at an engine that has started again with another version since its
/// record was read, within one answer.
#[actix_rt::test]
async fn a_broken_stream_does_not_resume_at_an_engine_that_restarted_at_another_version() {
    let (gateway, [first, second]) = start().await;
    let third = add_engine(&gateway, "pool-4", "v1").await;
    wait_until(async || {
        round(&gateway, &gateway.fresh_id(), usize::MAX).await;
        third.request_count("/resume") > 0
    })
    .await;
    first.set_behaviour(Behaviour::EndEarly(EarlyEnd {
        events: 2,
        within_event: true,
        ending: Ending::Reset,
    }));
    second.restart("v2", unix_ms());
    // Streams that begin need no answer to this question.
    for engine in [&first, &second, &third] {
        assert_eq!(engine.report_count(), 0);
    }
    let streams = round(&gateway, "s", usize::MAX).await;
    let broken = streams.iter().filter(|(id, _)| first.run_count(id) > 0);
    assert!(broken.clone().count() > 0);
    for (_, received) in broken {
        assert!(received.is_complete, "{received:?}");
        assert_eq!(received.versions, ["v1"; 4]);
    }
}

/// Guards against resuming a stream at the version of the record that was read last where its engine had started
/// again with another one, which wrote the events.
#[actix_rt::test]
async fn a_stream_of_a_restarted_engine_does_not_resume_at_the_version_of_its_former_record() {
    let (first, [restarted, other]) = start().await;
    let second = first.start_another();
    second.wait_until_ready(true).await;
    let before = round(&first, "a", 2).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let born = unix_ms();
    restarted.restart("v2", born);
    let began = round(&first, "b", 2).await;
    let is_new = |received: &&(String, _)| restarted.run_count(&received.0) > 0;
    assert!(began.iter().filter(is_new).count() > 0);
    restarted.register(&first.store, "pool", "ready", Some("decode"));
    for gateway in [&first, &second] {
        let field = format!("born={born}");
        wait_until(async || gateway.count_log_lines_with("engine changed", &field) > 0).await;
    }
    let resumed = before.iter().map(async |(id, _)| {
        let received = resume(&second, &format!("r{id}"), id).await;
        assert!(received.is_complete, "{received:?}");
        assert_eq!(received.versions, ["v1"; 2]);
    });
    join_all(resumed).await;
    for gateway in [&second, &first] {
        let resumed = began.iter().map(async |(id, began)| {
            let again = format!("r{id}{}", gateway.front.port());
            let received = resume(gateway, &again, id).await;
            for version in &received.versions {
                assert_eq!(*version, began.versions[0]);
            }
            let runs = other.run_count(&again) + restarted.run_count(&again);
            assert!(received.status == 503 && runs == 0 || received.is_complete);
        });
        join_all(resumed).await;
    }
}

/// Guards against noting streams under the version of a record that was read long ago, where the engine has started
/// again with another one.
#[actix_rt::test]
async fn a_stream_does_not_begin_at_a_restarted_engine_while_the_store_is_away() {
    let (gateway, [restarted, other]) = start().await;
    gateway.store.fault(Fault::Silent);
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    restarted.restart("v2", unix_ms());
    for (id, received) in round(&gateway, "s", usize::MAX).await {
        assert!(received.is_complete, "{received:?}");
        assert_eq!(received.versions, ["v1"; 4]);
        assert_eq!(restarted.run_count(&id), 0);
    }
    // A connection is asked once.
    let asked = other.report_count();
    assert!(asked > 0);
    for number in 0..4 {
        stream(&gateway, &format!("t{number}"), &[], usize::MAX).await;
    }
    assert_eq!(other.report_count(), asked);
}
