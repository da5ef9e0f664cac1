//! Claims of idempotency keys at several entries.

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

// A caller sends one call to two entries at the same time. If each entry considered its own claims
// only, both would run the call, and a card could be charged twice.
#[actix_rt::test]
async fn only_one_of_two_entries_runs_a_call() {
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

// The log appends a claim, and the answer is lost. If a claim counted by the answer to its append,
// the call would hang or run twice.
#[actix_rt::test]
async fn a_call_with_a_lost_append_answer_runs_once() {
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
