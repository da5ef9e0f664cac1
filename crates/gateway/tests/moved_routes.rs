//! Streams whose route is moved to another service before their callers take them up.

mod harness;

use harness::streams::{EVENT_PAUSE, resume, round};
use harness::{Gateway, configuration, wait_until};
use platform_standin::Engine;
use serde_json::{Value, json};

/// The configuration of the harness, with resumable streams at another service.
fn moved(version: u64) -> Value {
    let mut moved = configuration(version, "app");
    let services = moved["services"]
        .as_array_mut()
        .expect("services are listed");
    let mut spare = services.last().expect("there is a pool").clone();
    spare["name"] = json!("spare");
    services.push(spare);
    let routes = moved["routes"].as_array_mut().expect("routes are listed");
    for route in routes {
        if route["name"] == "/resume/" {
            route["service"] = json!("spare");
        }
    }
    moved
}

/// Guards against sending a stream that its caller takes up to the service to which its route led when it began.
#[actix_rt::test]
async fn a_stream_that_is_taken_up_after_its_route_was_moved_runs_at_the_new_service_only() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    let spare = Engine::start("spare-1").await;
    spare.set_software("v2");
    spare.register(&gateway.store, "spare", "ready", Some("decode"));
    let began = round(&gateway, "s", 2).await;
    gateway.store.put("keyed.op", "config", Some(&moved(2)));
    wait_until(async || {
        round(&gateway, &gateway.fresh_id(), usize::MAX).await;
        spare.request_count("/resume") > 0
    })
    .await;
    for (id, began) in &began {
        let again = format!("r{id}");
        let received = resume(&gateway, &again, id).await;
        assert!(received.is_complete, "{received:?}");
        assert!(began.versions.iter().all(|version| version == "v1"));
        assert_eq!(received.versions, ["v2"; 2]);
        assert_eq!((pool.run_count(&again), spare.run_count(&again)), (0, 1));
    }
}
