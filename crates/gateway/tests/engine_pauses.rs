//! Engines that turn a call away and want no more from that instance for a time.

mod harness;

use harness::kinds::{KINDS, RequestKind, Setup};
use harness::wait_until;
use platform_standin::engine::Behaviour;

/// Longer than any test runs.
const PAUSE_S: &str = "600";
/// Requests that an engine may get from an instance during the pause that it asked for.
const TOLERATED_REQUESTS: usize = 2;
/// Calls of each gateway during the pause.
const CALLS_PER_GATEWAY: usize = 10;

const REFUSED: &str = "the engine turned the call away";

/// An engine that asks each gateway for a pause, as it has refused a call of it.
async fn start_paused(kind: RequestKind) -> Setup {
    let setup = Setup::start(kind).await;
    setup.engine.set_behaviour(Behaviour::Full);
    setup.engine.request_pause(Some(PAUSE_S));
    for gateway in &setup.gateways {
        wait_until(async || {
            kind.call(gateway).await;
            gateway.count_log_lines(REFUSED) > 0
        })
        .await;
    }
    setup
}

/// Guards against retries that keep an engine overloaded: its refusals named a time for which it
/// wanted no more requests, and it looked idle to all instances, which tried it again and again by
/// every kind of request.
#[actix_rt::test]
async fn an_engine_that_asked_for_a_pause_gets_no_requests_from_that_instance() {
    let mut broken = Vec::new();
    for kind in KINDS {
        let mut setup = start_paused(kind).await;
        setup.add_others().await;
        for gateway in &setup.gateways {
            let before = setup.engine.received().len();
            for _ in 0..CALLS_PER_GATEWAY {
                kind.call(gateway).await;
            }
            let received = setup.engine.received().len() - before;
            if received > TOLERATED_REQUESTS {
                broken.push((kind, received));
            }
        }
    }
    assert!(broken.is_empty(), "requests during the pause: {broken:?}");
}

/// Guards against callers that wait for an engine which wants no calls, or that come back too soon.
#[actix_rt::test]
async fn calls_are_refused_at_once_while_all_engines_ask_for_a_pause() {
    let setup = start_paused(RequestKind::Plain).await;
    for gateway in &setup.gateways {
        let before = setup.engine.received().len();
        for _ in 0..CALLS_PER_GATEWAY {
            let id = gateway.fresh_id();
            let answer = gateway.call("/once/", &id, &[]).await;
            assert_eq!(answer.status, 503);
            let seconds = answer.retry_after.map(|after| after.parse::<f64>());
            assert!(seconds.is_some_and(|after| after.is_ok_and(|after| after > 1.0)));
        }
        let received = setup.engine.received().len() - before;
        assert!(received <= TOLERATED_REQUESTS, "{received}");
    }
}
