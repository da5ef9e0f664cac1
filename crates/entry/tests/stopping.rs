//! Planned stops cut nothing.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::time::Duration;

use fleet::{Fleet, LIMA, eventually};
use standin::engine::expected_text;

/// Tokens of a stream that is in hand when the entry stops; it takes longer than the wait for the
/// balancer.
const TOKENS: u32 = 4_000;

// Symptom: callers see cut streams or refused connections when an entry is replaced.
// Sequence: SIGTERM while streams and calls are in hand and new ones keep coming.
// Cause: the entry stopped listening before the balancer knew, or ended before its work did.
#[actix_rt::test]
async fn sigterm_under_load_cuts_nothing() {
    for signal in ["TERM", "INT"] {
        let mut fleet = Fleet::start(2, 1, 0).await;
        // More than a caller on a busy machine takes from "ready" to its next call.
        fleet.settings = vec!["shutdown.balancer=1500ms".into()];
        fleet.add_entry();
        fleet.ready().await;
        let caller = fleet.caller(0, LIMA);
        let streams: Vec<_> = (0..20)
            .map(|n| {
                let caller = caller.clone();
                actix_rt::spawn(async move {
                    let prompt = format!("stopping {n}");
                    let streamed = caller.stream("kiosk", &prompt, TOKENS, usize::MAX).await;
                    (prompt, streamed)
                })
            })
            .collect();
        // A balancer: new calls as long as the entry says that it is ready.
        let calls = actix_rt::spawn({
            let caller = caller.clone();
            async move {
                let mut sent = 0;
                while caller.get("/readyz").await.is_ok_and(|a| a.status == 200) {
                    let body = format!("charge {sent}");
                    let answer = caller.post("/kiosk/pay", body).await;
                    assert_eq!(answer.expect("a cut call").status, 200);
                    sent += 1;
                }
                sent
            }
        });
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        fleet.entries[0].signal(signal);
        assert!(calls.await.unwrap() > 0);
        for stream in streams {
            let (prompt, streamed) = stream.await.unwrap();
            assert!(streamed.done, "{streamed:?}");
            assert_eq!(streamed.text, expected_text(&prompt, TOKENS));
        }
        let mut ended = None;
        eventually("the entry ends", async || {
            ended = fleet.entries[0].ended();
            ended.is_some()
        })
        .await;
        assert_eq!(ended.unwrap().code(), Some(0));
    }
}

// Symptom: an entry dies, and its callers' streams with it, when an operator asks all daemons to read their settings
// again. Sequence: SIGHUP while a stream is in hand.
// Cause: this daemon does not read settings again and had no handler, and without one SIGHUP ends a process.
#[actix_rt::test]
async fn sighup_ends_nothing() {
    let mut fleet = Fleet::start(2, 1, 0).await;
    fleet.add_entry();
    fleet.ready().await;
    let caller = fleet.caller(0, LIMA);
    fleet.entries[0].signal("HUP");
    let streamed = caller
        .stream("kiosk", "after the signal", 200, usize::MAX)
        .await;
    assert!(streamed.done, "{streamed:?}");
    assert!(fleet.entries[0].ended().is_none());
}
