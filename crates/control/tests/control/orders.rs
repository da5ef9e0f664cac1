//! Planned changes: confirmation of drains, and holders that crash during a change.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use control::order::{Action, ChangeRequest};
use control::{Handle, Hooks};

use crate::fleet::{CATALOGUE, Fleet, document, status, view};

/// A data plane whose open requests and applied view are set by the test.
#[derive(Clone, Default)]
struct DataPlane {
    open_requests: Arc<AtomicU32>,
    applied_view: Arc<AtomicU64>,
}

impl DataPlane {
    fn attach(&self, control: &Handle) {
        let (open, applied) = (self.open_requests.clone(), self.applied_view.clone());
        control.set_hooks(Hooks {
            open_requests: Box::new(move |_| open.load(Ordering::SeqCst)),
            oldest_applied_view: Box::new(move || applied.load(Ordering::SeqCst)),
            ..Hooks::default()
        });
    }
}

fn decode_request() -> ChangeRequest {
    ChangeRequest {
        upstream: "engine-0".to_owned(),
        action: Action::SetRole {
            role: platform::Role::Decode,
        },
    }
}

fn step(status: &control::Status) -> &str {
    status
        .orders
        .first()
        .map_or("", |order| order.step.as_str())
}

async fn wait_for_lease(control: &Handle) {
    status(control, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
}

/// Starts two entries that know each other, the first of them the holder, and two engines.
async fn start(options: &[&str]) -> (Fleet, Handle, Handle) {
    let fleet = Fleet::start(&[]).await;
    fleet.engine("engine-0", options).await;
    fleet.engine("engine-1", &[]).await;
    let one = fleet.entry(fleet.member("entry-0")).await;
    one.submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    wait_for_lease(&one).await;
    let two = fleet.entry(fleet.member("entry-1")).await;
    for control in [&one, &two] {
        status(control, |status| {
            status.ready && status.peers.iter().any(|peer| peer.hearing == "hears")
        })
        .await;
    }
    view(&two, |view| {
        view.upstream("engine-0").is_some_and(|one| one.takes_work)
    })
    .await;
    (fleet, one, two)
}

// An entry applies the view with the closed engine late, and then still has a stream there. If the
// order were sent before all entries have confirmed that nothing is open, it would cut the stream.
#[actix_rt::test]
async fn a_change_waits_for_the_confirmations_of_all_entries() {
    let (_fleet, one, two) = start(&[]).await;
    let plane = DataPlane::default();
    plane.open_requests.store(1, Ordering::SeqCst);
    plane.attach(&two);
    // Requested at the entry that is not the holder, which forwards the request.
    two.submit_order(&decode_request(), "ana")
        .await
        .expect("the holder takes it");
    let waits = |status: &control::Status, what: &str| {
        status.orders.iter().any(|order| order.waits == what)
    };
    status(&one, |status| waits(status, "entry-1 to confirm")).await;
    plane.applied_view.store(u64::MAX, Ordering::SeqCst);
    status(&one, |status| waits(status, "entry-1 to finish 1")).await;
    for control in [&one, &two] {
        let seen = control.view();
        assert!(
            seen.upstream("engine-0")
                .is_some_and(|engine| !engine.takes_work)
        );
        assert!(
            seen.upstream("engine-1")
                .is_some_and(|engine| engine.takes_work)
        );
    }
    plane.open_requests.store(0, Ordering::SeqCst);
    for control in [&one, &two] {
        view(control, |view| {
            let engine = view.upstream("engine-0");
            engine.is_some_and(|one| one.takes_work && one.role == Some(platform::Role::Decode))
        })
        .await;
    }
    let orders = one.orders().await.expect("it runs");
    assert!(orders.unresolved.is_empty());
    assert_eq!(orders.recent[0].step, "done");
}

// The holder crashes while the engine carries out its order. If the successor did not resolve the
// order, the engine would stay out of routing for ever, or get two orders.
#[actix_rt::test]
async fn a_successor_finishes_a_running_change() {
    let (_fleet, one, two) = start(&["--role-change-ms", "60000"]).await;
    one.submit_order(&decode_request(), "ana")
        .await
        .expect("it holds control");
    status(&one, |status| step(status) == "running").await;
    one.abort();
    wait_for_lease(&two).await;
    view(&two, |view| {
        let engine = view.upstream("engine-0");
        engine.is_some_and(|one| one.takes_work && one.role == Some(platform::Role::Decode))
    })
    .await;
    let orders = two.orders().await.expect("it runs");
    assert!(orders.unresolved.is_empty());
    let ends: Vec<_> = orders
        .recent
        .iter()
        .map(|order| order.step.as_str())
        .collect();
    assert_eq!(ends, ["done"]);
}

// The holder crashes before its order was sent, while an entry has an open stream. If the successor
// sent the order without having seen the confirmations, it would cut the stream.
#[actix_rt::test]
async fn a_successor_undoes_a_change_whose_order_was_not_sent() {
    let (_fleet, one, two) = start(&[]).await;
    let plane = DataPlane::default();
    plane.open_requests.store(1, Ordering::SeqCst);
    plane.applied_view.store(u64::MAX, Ordering::SeqCst);
    plane.attach(&two);
    one.submit_order(&decode_request(), "ana")
        .await
        .expect("it holds control");
    status(&one, |status| step(status) == "closing").await;
    one.abort();
    wait_for_lease(&two).await;
    view(&two, |view| {
        view.upstream("engine-0").is_some_and(|one| one.takes_work)
    })
    .await;
    let orders = two.orders().await.expect("it runs");
    assert_eq!(orders.recent[0].step, "undone");
    let seen = two.view();
    assert_ne!(
        seen.upstream("engine-0").and_then(|one| one.role),
        Some(platform::Role::Decode)
    );
    two.stop(Duration::from_secs(2)).await;
}

// An operator drains an upstream at which an entry has open streams. If the drain counted as done
// once it is in force, the operator would remove the upstream too early.
#[actix_rt::test]
async fn a_drain_is_done_when_no_entry_has_open_requests() {
    let (_fleet, one, two) = start(&[]).await;
    let plane = DataPlane::default();
    plane.open_requests.store(2, Ordering::SeqCst);
    plane.applied_view.store(u64::MAX, Ordering::SeqCst);
    plane.attach(&two);
    let mut drain = document(
        "{operator: luz, changes: [{kind: drain, name: engine-0, value: {reason: trial}}]}",
    );
    drain.base_revision = one.view().revision;
    one.submit_edit(&drain).await.expect("it is valid");
    let waits = |status: &control::Status, what: &str| {
        status
            .drains
            .iter()
            .any(|drain| drain.upstream == "engine-0" && drain.waits == what)
    };
    status(&one, |status| waits(status, "entry-1 to finish 2")).await;
    for control in [&one, &two] {
        view(control, |view| {
            view.upstream("engine-0").is_some_and(|one| !one.takes_work)
        })
        .await;
    }
    plane.open_requests.store(0, Ordering::SeqCst);
    status(&one, |status| waits(status, "")).await;
    let mut lifted = document("{operator: luz, changes: [{kind: drain, name: engine-0}]}");
    lifted.base_revision = one.view().revision;
    one.submit_edit(&lifted).await.expect("it is valid");
    for control in [&one, &two] {
        view(control, |view| {
            view.upstream("engine-0").is_some_and(|one| one.takes_work)
        })
        .await;
    }
    assert!(one.status().await.expect("it runs").drains.is_empty());
}
