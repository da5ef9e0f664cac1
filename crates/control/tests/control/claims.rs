//! Claims of idempotency keys over several entries.

use std::time::Duration;

use claims::{CallEnd, Decision, OutagePolicy};
use control::view::Log;
use control::{Claim, Handle};

use crate::fleet::{CATALOGUE, Fleet, document, view};

fn claim(request: &str) -> Claim {
    Claim {
        key: claims::key_digest("desk", "cards", "k-1"),
        fingerprint: claims::fingerprint("POST", "/cards", b"{}"),
        request: request.to_owned(),
        attempt: None,
        policy: OutagePolicy::Refuse,
        deadline: Duration::from_secs(3600),
    }
}

async fn ready(fleet: &Fleet, id: &str) -> Handle {
    let control = fleet.control(fleet.options(id));
    view(&control, |view| view.log == Log::Up && view.revision > 0).await;
    control
}

async fn start() -> (Fleet, Handle, Handle) {
    let fleet = Fleet::start(&[]).await;
    let one = fleet.control(fleet.options("entry-0"));
    one.submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    let two = ready(&fleet, "entry-1").await;
    (fleet, one, two)
}

// Symptom: a card is charged twice.
// Sequence: a caller sends one call to two entries at the same moment.
// Cause: each entry knows of its own claims only.
#[actix_rt::test]
async fn one_of_two_entries_runs_a_call() {
    let (_fleet, one, two) = start().await;
    let (first, second) = futures_util::join!(one.claim(claim("r-1")), two.claim(claim("r-2")));
    let runs = |decision: &Decision| matches!(decision, Decision::Run { .. });
    assert!(
        runs(&first.decision) ^ runs(&second.decision),
        "{first:?} {second:?}"
    );
    let (winner, loser, call_id) = if runs(&first.decision) {
        (one, two, first.call_id)
    } else {
        (two, one, second.call_id)
    };
    winner.conclude(call_id, CallEnd::Answered);
    loop {
        let repeat = loser.claim(claim("r-3")).await;
        match repeat.decision {
            Decision::Answered { .. } => break,
            Decision::InProgress { .. } => (),
            other => panic!("a repeat must never run: {other:?}"),
        }
    }
}

// Symptom: a call hangs, or runs twice, after the log lost an answer.
// Sequence: the log appends the claim, and the answer is lost.
// Cause: a claim that counts by its answer.
#[actix_rt::test]
async fn a_claim_whose_answer_is_lost_runs_once() {
    let (fleet, one, two) = start().await;
    fleet.fault(r#"{"lose_answers": -1}"#).await;
    let first = one.claim(claim("r-1")).await;
    assert!(matches!(first.decision, Decision::Run { .. }), "{first:?}");
    let repeat = two.claim(claim("r-2")).await;
    assert!(
        matches!(repeat.decision, Decision::InProgress { .. }),
        "{repeat:?}"
    );
}
