//! Planned shutdowns interrupt no calls.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use fleet::{Fleet, LIMA, eventually};
use standin::engine::expected_text;

/// Number of tokens of a stream that takes longer than the wait for the balancer.
const TOKENS: u32 = 4_000;
/// How long an entry accepts calls after it has reported that it is no longer ready.
const BALANCER_WAIT: Duration = Duration::from_millis(1_500);

/// Whether nothing listened at the address.
fn is_refused(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(ConnectError::Io(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// An entry gets SIGTERM while streams and calls are in progress and new ones arrive. If it stopped
/// listening before the balancer noticed, or exited before its work was done, callers would see
/// refused connections or truncated streams.
#[actix_rt::test]
async fn sigterm_under_load_interrupts_nothing() {
    for signal in ["TERM", "INT"] {
        let mut fleet = Fleet::start(2, 1, 0).await;
        let balancer_wait = format!("shutdown.balancer={}ms", BALANCER_WAIT.as_millis());
        fleet.settings = vec![balancer_wait];
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
        // Acts as a balancer: sends new calls as long as the entry reports that it is ready. A call
        // is owed an answer if its connection is attempted within the wait after the last probe was
        // sent; on a busy machine the caller itself may take longer than that.
        let calls = actix_rt::spawn({
            let caller = caller.clone();
            async move {
                let mut sent = 0;
                loop {
                    let probed_at = Instant::now();
                    if !caller.get("/readyz").await.is_ok_and(|a| a.status == 200) {
                        return sent;
                    }
                    let body = format!("charge {sent}");
                    match caller.post("/kiosk/pay", body).await {
                        Ok(answer) => assert_eq!(answer.status, 200),
                        Err(error) => {
                            let elapsed = probed_at.elapsed();
                            assert!(
                                elapsed >= BALANCER_WAIT && is_refused(&error),
                                "the call was interrupted {elapsed:?} after the probe: {error:?}"
                            );
                            return sent;
                        }
                    }
                    sent += 1;
                }
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
