//! Calls with an `Idempotency-Key` run at most once, whatever dies or is out.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Fleet, LIMA, eventually, fault};
use serde_json::json;

#[actix_rt::test]
async fn a_repeat_gets_the_same_answer_without_a_second_execution() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    let first = caller
        .keyed("/kiosk/pay", "k", None, "sol 5")
        .await
        .unwrap();
    let again = caller
        .keyed("/kiosk/pay", "k", None, "sol 5")
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!((again.status, &again.body), (200, &first.body));
    let other = caller
        .keyed("/kiosk/pay", "k", None, "sol 6")
        .await
        .unwrap();
    assert_eq!(other.status, 422, "{other:?}");
    let required = caller.post("/kiosk/card", "sol 7").await.unwrap();
    assert_eq!((required.status, required.ran().as_str()), (400, "no"));
    let executions = fleet.executions().await;
    assert_eq!((executions.of("sol 5"), executions.of("sol 6")), (1, 0));
}

// Symptom: a card is charged twice after an entry died.
// Sequence: an entry claims the key, sends the call and is killed; the caller asks another entry.
// Cause: only the dead entry knew that the call had been sent.
#[actix_rt::test]
async fn a_repeat_at_another_entry_after_a_kill_does_not_run_again() {
    let mut fleet = Fleet::start(0, 1, 2).await;
    fault(&fleet.services[0], json!({ "delay_ms": 60_000 })).await;
    let caller = fleet.caller(0, LIMA);
    let first = actix_rt::spawn(async move {
        let answer = caller.keyed("/kiosk/pay", "k", Some(1), "sol 5").await;
        answer.is_ok()
    });
    eventually("the service has the call", async || {
        fleet.executions().await.of("sol 5") == 1
    })
    .await;
    fleet.entries[0].kill();
    assert!(!first.await.unwrap());
    let other = fleet.caller(1, LIMA);
    let repeat = other
        .keyed("/kiosk/pay", "k", Some(2), "sol 5")
        .await
        .unwrap();
    assert_eq!((repeat.status, repeat.ran().as_str()), (409, "unknown"));
    assert_eq!(fleet.executions().await.of("sol 5"), 1);
}

// Symptom: a card is charged twice by a balancer or a caller that asks two entries at once.
// Sequence: the same call arrives at two entries at the same time, many times over.
// Cause: each entry knows only its own calls.
#[actix_rt::test]
async fn racing_repeats_at_two_entries_run_once() {
    let fleet = Fleet::start(0, 2, 2).await;
    let mut calls = Vec::new();
    for n in 0..30 {
        for entry in 0..2 {
            let caller = fleet.caller(entry, LIMA);
            calls.push(actix_rt::spawn(async move {
                let body = format!("race {n}");
                let key = format!("k-{n}");
                let answer = caller.keyed("/kiosk/pay", &key, None, &body).await;
                (body, answer.unwrap())
            }));
        }
    }
    let mut served = std::collections::BTreeMap::new();
    for call in calls {
        let (body, answer) = call.await.unwrap();
        match answer.status {
            200 => *served.entry(body).or_insert(0) += 1,
            status => assert_eq!((status, answer.ran().as_str()), (409, "unknown")),
        }
    }
    assert_eq!(served.len(), 30);
    let executions = fleet.executions().await;
    for body in served.keys() {
        assert_eq!(executions.of(body), 1, "{body}");
    }
}

// Symptom: a call is refused, or run twice, because the log's answer was lost.
// Sequence: the append of the claim takes effect and its answer is lost.
// Cause: the entry took the lost answer for a lost append, or for a claim of somebody else.
#[actix_rt::test]
async fn a_claim_whose_answer_is_lost_still_decides() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    for (n, silently) in [(0, false), (1, true)] {
        let lose = json!({ "lose_answers": 1, "lose_silently": silently });
        fault(&fleet.platform, lose).await;
        let body = format!("lost {n}");
        let key = format!("k-{n}");
        let answer = caller.keyed("/kiosk/pay", &key, Some(1), &body).await;
        assert_eq!(answer.unwrap().status, 200);
        let again = caller.keyed("/kiosk/pay", &key, Some(2), &body).await;
        assert_eq!(again.unwrap().status, 200);
        assert_eq!(fleet.executions().await.of(&body), 1);
    }
}

// Symptom: a consent notice goes out twice, or a card payment waits, while the log is out.
// Sequence: the log goes out in the middle; keyed calls go on coming.
// Cause: without the log nobody knows whether a key is free.
#[actix_rt::test]
async fn in_an_outage_of_the_log_each_entry_follows_its_rule() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    fault(
        &fleet.platform,
        json!({ "append": "refuse", "read": "refuse" }),
    )
    .await;
    let refused = caller.keyed("/kiosk/pay", "a", Some(1), "a").await.unwrap();
    assert_eq!((refused.status, refused.ran().as_str()), (503, "no"));
    assert!(!refused.header("retry-after").is_empty());
    let repeat = caller.keyed("/kiosk/pay", "b", None, "b").await.unwrap();
    assert_eq!((repeat.status, repeat.ran().as_str()), (503, "unknown"));
    let card = caller
        .keyed("/kiosk/card", "c", Some(1), "c")
        .await
        .unwrap();
    assert_eq!(card.status, 200, "{card:?}");
    // The title once named the header that was there instead of the one that was missing.
    let unnumbered = caller.keyed("/kiosk/card", "f", None, "f").await.unwrap();
    assert_eq!(unnumbered.status, 400);
    let told = String::from_utf8_lossy(&unnumbered.body);
    assert!(told.contains("attempt-required"), "{told}");
    let later = caller
        .keyed("/kiosk/card", "d", Some(2), "d")
        .await
        .unwrap();
    assert_ne!(later.status, 200);
    assert_eq!(later.ran(), "unknown");
    let status = caller.post("/kiosk/status", "ping").await.unwrap();
    assert_eq!(status.status, 200);
    let executions = fleet.executions().await;
    let counts = ["a", "b", "c", "d", "ping"].map(|body| executions.of(body));
    assert_eq!(counts, [0, 0, 1, 0, 1]);
    fault(&fleet.platform, json!({ "append": "none", "read": "none" })).await;
    eventually("claims work again", async || {
        let answer = caller.keyed("/kiosk/pay", "e", Some(1), "e").await;
        answer.unwrap().status == 200
    })
    .await;
    assert_eq!(fleet.executions().await.of("e"), 1);
}

// Symptom: a caller that is told "not run" pays again under a new key, and the card is charged twice.
// Sequence: a first attempt ran at an entry that is gone; the second one is refused by a limit.
// Cause: "not run" was said of the call that was refused, and not of its key.
#[actix_rt::test]
async fn a_refusal_before_the_claim_speaks_of_the_key() {
    let fleet = Fleet::start(0, 1, 1).await;
    let caller = fleet.caller(0, LIMA);
    let mut refused = 0;
    for n in 0..6 {
        let body = format!("scarce {n}");
        for (attempt, ran) in [(Some(1), "no"), (Some(2), "unknown"), (None, "unknown")] {
            let key = format!("{n} {attempt:?}");
            let answer = caller.keyed("/kiosk/scarce", &key, attempt, &body).await;
            let answer = answer.unwrap();
            if answer.status != 200 {
                assert_eq!((answer.status, answer.ran().as_str()), (429, ran));
                refused += 1;
            }
        }
    }
    assert!(refused > 10);
}
