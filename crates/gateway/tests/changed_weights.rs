//! Streams during which the weights of their model change.

mod harness;

use std::time::Duration;

use harness::streams::{add_engine, round};
use harness::{Gateway, wait_until};
use platform_standin::Ending;
use platform_standin::engine::{Behaviour, EarlyEnd};

/// Guards against resuming a stream at the weights that began it after an event has named later ones.
#[actix_rt::test]
async fn a_broken_stream_resumes_at_the_weights_that_its_last_event_named() {
    let (gateway, _app, changed) = Gateway::start().await;
    changed.set_stream(4, Duration::from_millis(30));
    let new = add_engine(&gateway, "pool-2", "v1").await;
    let old = add_engine(&gateway, "pool-3", "v1").await;
    wait_until(async || {
        round(&gateway, &gateway.fresh_id(), usize::MAX).await;
        let engines = [&changed, &new, &old];
        engines.iter().all(|e| e.request_count("/resume") > 0)
    })
    .await;
    changed.set_weights(&[(1, 1), (2, 2)]);
    new.set_weights(&[(1, 2)]);
    old.set_weights(&[(1, 1)]);
    changed.set_behaviour(Behaviour::EndEarly(EarlyEnd {
        events: 2,
        within_event: true,
        ending: Ending::Reset,
    }));
    let streams = round(&gateway, "s", usize::MAX).await;
    let broken = streams.iter().filter(|(id, _)| changed.run_count(id) > 0);
    assert!(broken.clone().count() > 0);
    for (id, received) in broken {
        assert_eq!((old.run_count(id), new.run_count(id)), (0, 1));
        assert!(received.is_complete, "{received:?}");
    }
}
