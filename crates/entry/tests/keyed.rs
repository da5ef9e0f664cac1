//! Calls with an `Idempotency-Key` run at most once, despite crashes and outages.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod fleet;

use fleet::{Fleet, LIMA, eventually, fault};
use serde_json::json;

#[actix_rt::test]
async fn repeat_gets_the_held_answer_without_a_second_execution() {
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

/// An entry claims the key, sends the call and is killed; the caller retries at another entry. If
/// only the killed entry knew that the call was sent, the card would be charged twice.
#[actix_rt::test]
async fn repeat_at_another_entry_after_a_crash_does_not_run_again() {
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

/// A balancer or caller sends the same call to two entries at once, many times. Entries that know
/// only their own calls would run it twice.
#[actix_rt::test]
async fn concurrent_repeats_at_two_entries_run_once() {
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

/// The append of the claim takes effect, but its answer is lost. If the entry took the append for
/// lost, or the claim for another entry's, it would refuse the call or run it twice.
#[actix_rt::test]
async fn claim_decides_although_the_answer_to_its_append_is_lost() {
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

/// The log becomes unavailable while calls with keys arrive. Without the log it is unknown whether
/// a key is free: running the call may repeat a consent notice, and refusing it delays a card
/// payment, so that the catalogue entry decides.
#[actix_rt::test]
async fn catalogue_entries_follow_their_outage_rule() {
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
    // The error must name the header that is missing, not the one that is present.
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

/// A first attempt ran at an entry that is gone, and the second is refused by a limit. If `ran`
/// covered only the refused call, the caller would pay again under a new key, and the card would be
/// charged twice.
#[actix_rt::test]
async fn refusal_before_the_claim_covers_earlier_attempts() {
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
