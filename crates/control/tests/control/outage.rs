//! Outages of the log, and lost answers.

use std::time::Duration;

use control::order::{Action, ChangeRequest, OrderError};
use control::view::{Log, Reason};

use crate::fleet::{CATALOGUE, Fleet, document, status, view};

const REFUSE_ALL: &str = r#"{"append": "refuse", "read": "refuse"}"#;
const HANG_ALL: &str = r#"{"append": "hang", "read": "hang"}"#;
const NO_FAULT: &str = r#"{"append": "none", "read": "none"}"#;

// The log appends an edit, and the connection closes before the answer. If the edit were reported
// as failed, the operator would repeat it and get a conflict with the first one.
#[actix_rt::test]
async fn an_edit_with_a_lost_answer_is_resolved_by_reading_the_log() {
    let fleet = Fleet::start(&[]).await;
    let control = fleet.control(fleet.options("entry-0"));
    view(&control, |view| view.log == Log::Up).await;
    fleet.fault(r#"{"lose_answers": 1}"#).await;
    let revision = control.submit_edit(&document(CATALOGUE)).await;
    let revision = revision.expect("it stands in the log");
    let view = view(&control, |view| view.ready).await;
    assert_eq!(view.revision, revision);
    assert_eq!(control.history().await.len(), 1, "it was appended once");
}

// An entry starts while the log is down and has no peers. If it served the empty catalogue as if it
// were accepted, it would refuse all requests as unknown.
#[actix_rt::test]
async fn an_entry_without_log_and_peers_is_not_ready() {
    let fleet = Fleet::start(&[]).await;
    let first = fleet.control(fleet.options("entry-0"));
    first
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    fleet.fault(REFUSE_ALL).await;
    let late = fleet.control(fleet.options("entry-1"));
    let seen = view(&late, |view| !view.upstreams.is_empty()).await;
    assert!(!seen.ready && seen.catalogue.is_none());
    assert!(seen.reasons.contains(&Reason::NoCatalogue));
    let refused = late.submit_edit(&document(CATALOGUE)).await;
    assert_eq!(refused, Err(control::EditError::Unavailable));
    fleet.fault(NO_FAULT).await;
    let seen = view(&late, |view| view.ready).await;
    assert_eq!(seen.revision, first.view().revision);
}

// An entry starts while the log is down and its peers are available. If only the log could give it
// a state, it would not serve although all others do.
#[actix_rt::test]
async fn an_entry_without_log_gets_its_state_from_peers() {
    let fleet = Fleet::start(&[]).await;
    let first = fleet.entry(fleet.member("entry-0")).await;
    let revision = first
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    fleet.fault(REFUSE_ALL).await;
    let late = fleet.entry(fleet.member("entry-1")).await;
    let seen = view(&late, |view| view.ready).await;
    assert_eq!(seen.revision, revision);
    assert!(matches!(seen.log, Log::DownSince(_)));
    fleet.fault(NO_FAULT).await;
    let seen = view(&late, |view| view.log == Log::Up).await;
    assert!(seen.ready && seen.revision >= revision);
}

// The log goes down while an entry holds a scope. If the lease did not expire, two processes could
// order one engine; if the view depended on the log, nothing would be served.
#[actix_rt::test]
async fn an_outage_stops_control_but_not_serving() {
    let fleet = Fleet::start(&[]).await;
    fleet.engine("engine-0", &[]).await;
    let control = fleet.control(fleet.options("entry-0"));
    control
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    let request = ChangeRequest {
        upstream: "engine-0".to_owned(),
        action: Action::SetRole {
            role: platform::Role::Decode,
        },
    };
    status(&control, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
    fleet.fault(HANG_ALL).await;
    view(&control, |view| view.log != Log::Up).await;
    status(&control, |status| {
        status.scopes.iter().all(|scope| scope.lease_ms == 0)
    })
    .await;
    let refused = control.submit_order(&request, "ana").await;
    assert_eq!(refused, Err(OrderError::NoHolder));
    let seen = control.view();
    assert!(seen.ready && seen.catalogue.is_some());
    assert!(seen.upstream("engine-0").is_some_and(|one| one.takes_work));
    fleet.fault(NO_FAULT).await;
    view(&control, |view| view.log == Log::Up).await;
    status(&control, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
    control.stop(Duration::from_secs(2)).await;
}

// Only one entry loses the log, and edits are made at the others. If it queried its peers only at
// its start, it would keep an old catalogue and send work to upstreams that the others have closed.
#[actix_rt::test]
async fn an_entry_without_log_follows_its_peers() {
    let fleet = Fleet::start(&[]).await;
    let first = fleet.entry(fleet.member("entry-0")).await;
    first
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    let mut options = fleet.member("entry-1");
    options.log = platform::Options::new("http://127.0.0.1:1");
    let cut_off = fleet.entry(options).await;
    view(&cut_off, |view| view.ready).await;
    let mut drain = document(
        "{operator: luz, changes: [{kind: drain, name: service-0, value: {reason: trial}}]}",
    );
    drain.base_revision = first.view().revision;
    let revision = first.submit_edit(&drain).await.expect("it is valid");
    let seen = view(&cut_off, |view| view.revision == revision).await;
    assert_ne!(seen.log, Log::Up);
    assert!(
        seen.upstream("service-0")
            .is_some_and(|one| !one.takes_work)
    );
}
