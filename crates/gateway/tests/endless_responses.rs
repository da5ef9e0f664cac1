//! Engines whose responses have no end, beside sound ones that others call.

mod harness;

use futures_util::future::join_all;
use harness::{Gateway, wait_until};
use platform_standin::Engine;
use platform_standin::engine::{Behaviour, BodyFraming};

/// Bodies that hold no whole event, however long they are.
const BODIES: [&str; 3] = ["x", "data: x\n", ": comment\n"];

/// Calls of others while an engine floods.
const OTHER_CALLS: usize = 5;

/// Calls an engine that floods on a streaming route, and another one meanwhile. Panics if the other calls
/// are not served, or if the stream does not end as a broken one.
async fn flood(gateway: &Gateway, pool: &Engine, body: &'static str, framing: BodyFraming) {
    pool.set_framing(framing);
    pool.set_behaviour(Behaviour::Flood(body));
    let others = async {
        for _ in 0..OTHER_CALLS {
            let answer = gateway.call("/safe/a", &gateway.fresh_id(), &[]).await;
            assert_eq!(answer.status, 200, "beside {body:?} {framing:?}");
        }
    };
    let id = gateway.fresh_id();
    let (answer, ()) = tokio::join!(gateway.generate("/stream/a", &id), others);
    assert_eq!(answer.status, 502, "{body:?} {framing:?}");
}

/// Panics unless a gateway broke off so many streams for the size of an event.
async fn assert_broken_off(gateway: &Gateway, streams: usize) {
    let line = "an event is larger than allowed";
    // A thread writes the lines, possibly after the responses.
    wait_until(async || gateway.count_log_lines(line) >= streams).await;
    assert_eq!(gateway.count_log_lines(line), streams);
}

/// Guards against keeping the bytes of an event without end, and searching them again with each piece, until
/// nobody else is served.
#[actix_rt::test]
async fn others_are_served_beside_an_event_without_end() {
    let (gateway, _app, pool) = Gateway::start().await;
    for framing in [BodyFraming::Delimited, BodyFraming::UntilClose] {
        for body in BODIES {
            flood(&gateway, &pool, body, framing).await;
        }
    }
    assert_broken_off(&gateway, 2 * BODIES.len()).await;
}

/// Guards against the same where the bytes come through another instance.
#[actix_rt::test]
async fn others_are_served_beside_an_event_without_end_from_another_instance() {
    let (isolated, other, pool) = Gateway::start_with_forwarding().await;
    flood(&isolated, &pool, "data: x\n", BodyFraming::Delimited).await;
    let answer = other.call("/safe/a", &other.fresh_id(), &[]).await;
    assert_eq!(answer.status, 200);
    assert_broken_off(&isolated, 1).await;
}

/// Calls that engines flood at the same time, and the memory of a small instance.
const FLOODED_CALLS: usize = 20;
const MEMORY_MIB: u64 = 260;

/// Guards against an instance that ends for lack of memory because many of its engines' responses have no
/// end.
#[actix_rt::test]
async fn many_responses_without_end_fit_into_memory() {
    let (gateway, app, pool) = Gateway::start().await;
    for engine in [&app, &pool] {
        engine.set_behaviour(Behaviour::Flood("data: x\n"));
    }
    for path in ["/stream/a", "/once/a"] {
        let calls = (0..FLOODED_CALLS).map(|_| async {
            let answer = gateway.generate(path, &gateway.fresh_id()).await;
            assert_eq!(answer.status, 502, "{path}");
        });
        join_all(calls).await;
        let peak = gateway.peak_memory_mib();
        assert!(peak <= MEMORY_MIB, "{path}: {peak} MiB");
    }
}

/// Guards against breaking off a stream that is long but has whole events.
#[actix_rt::test]
async fn a_long_stream_of_whole_events_is_passed_on() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(3_000, std::time::Duration::ZERO);
    pool.set_line_end("\r\n");
    let answer = gateway.generate("/stream/a", &gateway.fresh_id()).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text().matches("id: ").count(), 3_000);
}
