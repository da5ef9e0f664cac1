//! Planned shutdowns interrupt no calls.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::time::Duration;

use fleet::{Fleet, LIMA, eventually};
use standin::engine::expected_text;

/// Number of tokens of a stream that takes longer than the wait for the balancer.
const TOKENS: u32 = 4_000;

/// An entry gets SIGTERM while streams and calls are in progress and new ones arrive. If it stopped
/// listening before the balancer noticed, or exited before its work was done, callers would see
/// refused connections or truncated streams.
#[actix_rt::test]
async fn sigterm_under_load_interrupts_nothing() {
    for signal in ["TERM", "INT"] {
        let mut fleet = Fleet::start(2, 1, 0).await;
        // Longer than a caller on a busy machine takes from "ready" to its next call.
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
        // Acts as a balancer: sends new calls as long as the entry reports that it is ready.
        let calls = actix_rt::spawn({
            let caller = caller.clone();
            async move {
                let mut sent = 0;
                while caller.get("/readyz").await.is_ok_and(|a| a.status == 200) {
                    let body = format!("charge {sent}");
                    let answer = caller.post("/kiosk/pay", body).await;
                    assert_eq!(answer.expect("the call was interrupted").status, 200);
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

/// An operator sends SIGHUP to all daemons to reload their settings while a stream is in progress.
/// This daemon does not reload settings; without a handler, SIGHUP would end the process and its
/// callers' streams.
#[actix_rt::test]
async fn sighup_does_not_end_the_process() {
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
