//! Entries that are killed or paused under load, or started while the log is unavailable.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use fleet::caller::{Answer, Streamed};
use fleet::{Caller, Fleet, LIMA, eventually, fault};
use serde_json::json;
use standin::engine::expected_text;

/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// Time without an answer after which a caller switches to another entry.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Number of attempts of a caller, each at another entry.
const MAX_ATTEMPTS: usize = 12;

/// The result of a payment as seen by its caller.
struct Payment {
    body: String,
    answer: Option<Answer>,
}

/// Pays with a unique key, switching between entries, until the payment is served.
async fn pay(callers: &[Caller], body: String) -> Payment {
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        let caller = &callers[(attempt + body.len()) % callers.len()];
        let number = u32::try_from(attempt).unwrap() + 1;
        let call = caller.keyed("/kiosk/pay", &body, Some(number), &body);
        if let Ok(Ok(answer)) = timeout(SILENCE_LIMIT, call).await {
            let served = answer.status == 200;
            last = Some(answer);
            if served {
                break;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    Payment { body, answer: last }
}

/// Streams an answer, switching between entries and resuming after the last event received.
async fn stream(callers: &[Caller], prompt: &str, tokens: u32) -> Streamed {
    let mut all = Streamed::default();
    for attempt in 0..MAX_ATTEMPTS {
        let caller = &callers[(attempt + prompt.len()) % callers.len()];
        let part = match all.ids.last() {
            None => {
                caller
                    .stream_until_silent(prompt, tokens, SILENCE_LIMIT)
                    .await
            }
            Some(last) => caller.resume_until_silent(last, SILENCE_LIMIT).await,
        };
        all.extend(part);
        if all.done || all.error.as_ref().is_some_and(|_| all.status == 200) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    all
}

/// Of three entries, one is killed and restarted and another is stopped for two seconds, while
/// callers pay and stream and switch between entries. No payment may be lost or doubled, no stream
/// may lose or repeat tokens, and "not run" must be true, even if the process that guarantees it
/// crashes or pauses.
#[actix_rt::test]
async fn kill_and_pause_under_load_lose_and_repeat_nothing() {
    let mut fleet = Fleet::meshed(2, 2, 3).await;
    let callers: Vec<Caller> = (0..3).map(|entry| fleet.caller(entry, LIMA)).collect();
    let end = Instant::now() + LOAD_TIME;
    let payers: Vec<_> = (0..6)
        .map(|payer| {
            let callers = callers.clone();
            actix_rt::spawn(async move {
                let mut paid = Vec::new();
                while Instant::now() < end {
                    let body = format!("payer {payer} payment {}", paid.len());
                    paid.push(pay(&callers, body).await);
                }
                paid
            })
        })
        .collect();
    let streamers: Vec<_> = (0..4)
        .map(|streamer| {
            let callers = callers.clone();
            actix_rt::spawn(async move {
                let mut streams = Vec::new();
                while Instant::now() < end {
                    let prompt = format!("streamer {streamer} asks {}", streams.len());
                    let streamed = stream(&callers, &prompt, 300).await;
                    streams.push((prompt, streamed));
                }
                streams
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    fleet.entries[0].signal("KILL");
    fleet.entries[0].wait();
    sleep(Duration::from_millis(700)).await;
    fleet.restart_entry_at_its_address(0);
    fleet.list_entry(0).await;
    fleet.entries[1].stop();
    sleep(Duration::from_secs(2)).await;
    fleet.entries[1].signal("CONT");

    let mut paid = Vec::new();
    for payer in payers {
        paid.extend(payer.await.unwrap());
    }
    let mut streams = Vec::new();
    for streamer in streamers {
        streams.extend(streamer.await.unwrap());
    }
    let executions = fleet.executions().await;
    let (mut served, mut unknown) = (0, 0);
    for payment in &paid {
        let executed = executions.of(&payment.body);
        assert!(executed <= 1, "executed twice: {}", payment.body);
        let answer = payment.answer.as_ref().expect("no entry answered at all");
        match (answer.status, answer.ran().as_str()) {
            (200, _) => {
                assert_eq!(executed, 1, "served but not executed: {}", payment.body);
                let digest = blake3::hash(payment.body.as_bytes()).to_hex();
                assert_eq!(
                    answer.json()["digest"],
                    digest.as_str(),
                    "answer to another call"
                );
                served += 1;
            }
            (_, "no") => assert_eq!(
                executed, 0,
                "reported as not run but executed: {}",
                payment.body
            ),
            (_, ran) => {
                assert_eq!(ran, "unknown", "{answer:?}");
                unknown += 1;
            }
        }
    }
    let mut whole = 0;
    for (prompt, streamed) in &streams {
        let numbers: Vec<u64> = streamed
            .ids
            .iter()
            .map(|id| id.rsplit_once('.').unwrap().1.parse().unwrap())
            .collect();
        assert_eq!(numbers, (0..numbers.len() as u64).collect::<Vec<_>>());
        assert!(
            expected_text(prompt, 300).starts_with(&streamed.text),
            "answer to another call"
        );
        assert!(streamed.done, "{prompt}: {:?}", streamed.error);
        whole += 1;
    }
    println!(
        "payments {served} served, {unknown} unknown of {}; streams {whole}",
        paid.len()
    );
    assert!(served > 50 && whole > 10);
}

/// An entry starts while the log is unavailable. If it asked only the log for the catalogue, it
/// could not serve; if it took an empty catalogue for the accepted one, it would reject all
/// callers.
#[actix_rt::test]
async fn entry_starting_in_an_outage_gets_the_catalogue_from_its_peers() {
    let mut fleet = Fleet::meshed(0, 1, 2).await;
    fault(
        &fleet.platform,
        json!({ "append": "refuse", "read": "refuse" }),
    )
    .await;
    let late = fleet.add_entry();
    let caller = fleet.caller(late, LIMA);
    let early = caller.post("/kiosk/pay", "too early").await.unwrap();
    assert_eq!((early.status, early.ran().as_str()), (503, "no"));
    assert_eq!(caller.get("/readyz").await.unwrap().status, 503);
    assert_eq!(caller.get("/livez").await.unwrap().status, 200);
    fleet.list_entry(late).await;
    eventually("the new entry serves", async || {
        caller.post("/kiosk/status", "ping").await.unwrap().status == 200
    })
    .await;
    let revision = fleet.operator(late).get("/admin/v1/catalogue").await;
    assert_eq!(revision.unwrap().json()["revision"], 1);
}

/// The first entry of a fleet starts while the log is unavailable. It must not take an empty
/// catalogue for the accepted one and answer that callers are unknown.
#[actix_rt::test]
async fn lone_entry_refuses_calls_until_the_log_is_back() {
    let mut fleet = Fleet::start(0, 1, 0).await;
    fault(
        &fleet.platform,
        json!({ "append": "refuse", "read": "refuse" }),
    )
    .await;
    let entry = fleet.add_entry();
    let caller = fleet.caller(entry, LIMA);
    for _ in 0..5 {
        let refused = caller.post("/kiosk/pay", "early").await.unwrap();
        assert_eq!((refused.status, refused.ran().as_str()), (503, "no"));
        assert!(!refused.header("retry-after").is_empty());
    }
    assert_eq!(fleet.executions().await.of("early"), 0);
    fault(&fleet.platform, json!({ "append": "none", "read": "none" })).await;
    eventually("the entry serves", async || {
        caller.post("/kiosk/pay", "later").await.unwrap().status == 200
    })
    .await;
}
