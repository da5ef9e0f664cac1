//! Conflicting edits of operators, and changes of the holder of a scope.

use std::time::Duration;

use catalogue::Refusal;
use control::EditError;
use control::view::Reason;
use wire::record::RulesRaise;
use wire::record::record::Body;

use crate::fleet::{CATALOGUE, Fleet, document, status, view};

// Two operators edit the same entity at two entries, on the same base revision. If edits were
// accepted by arrival instead of by their order in the log, the entries could serve different
// catalogues, or an edit could be lost without notice.
#[actix_rt::test]
async fn concurrent_edits_converge_and_the_loser_gets_a_conflict() {
    let fleet = Fleet::start(&[]).await;
    let (one, two) = (
        fleet.control(fleet.options("entry-0")),
        fleet.control(fleet.options("entry-1")),
    );
    let base = one
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    view(&two, |view| view.revision == base).await;
    let edit = |operator: &str, versions: &str| {
        let mut edit = document(&format!(
            "changes: [{{kind: model, name: talk, value: {{versions: {versions}, pools: [llm]}}}}]"
        ));
        edit.operator = operator.to_owned();
        edit.base_revision = base;
        edit
    };
    let (ana, luz) = (edit("ana", "['3']"), edit("luz", "['4']"));
    let (first, second) = futures_util::join!(one.submit_edit(&ana), two.submit_edit(&luz));
    let (winner, won, lost) = match (first, second) {
        (Ok(won), Err(lost)) => ("ana", won, lost),
        (Err(lost), Ok(won)) => ("luz", won, lost),
        other => panic!("exactly one must win: {other:?}"),
    };
    let EditError::Refused(Refusal::Conflict(conflicts)) = lost else {
        panic!("the loser must get a conflict: {lost:?}");
    };
    assert_eq!(
        (conflicts[0].operator.as_str(), conflicts[0].revision),
        (winner, won)
    );
    let views = [
        view(&one, |view| view.revision == won).await,
        view(&two, |view| view.revision == won).await,
    ];
    assert_eq!(views[0].catalogue, views[1].catalogue);
}

// The holder of a scope is stopped. If its lease were left to expire instead of being released, the
// pool would have no holder for a lease and a margin at each planned restart.
#[actix_rt::test]
async fn a_stopping_holder_releases_its_scope() {
    let fleet = Fleet::start(&[]).await;
    let one = fleet.control(fleet.options("entry-0"));
    one.submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    status(&one, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
    let two = fleet.control(fleet.options("entry-1"));
    let fence = one.status().await.expect("it runs").scopes[0].fence;
    one.stop(Duration::from_secs(5)).await;
    assert!(
        fleet
            .log()
            .await
            .iter()
            .any(|body| matches!(body, Body::Release(_)))
    );
    assert!(one.status().await.is_none(), "it has stopped");
    let taken = status(&two, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
    assert_eq!(taken.scopes[0].holder, "entry-1");
    assert!(taken.scopes[0].fence > fence);
}

// The rules are raised beyond the software of the holder, so its catalogue is frozen. If it went on
// planning, it could change roles against the bounds set by operators.
#[actix_rt::test]
async fn a_holder_with_a_frozen_catalogue_releases_its_scope() {
    let fleet = Fleet::start(&[]).await;
    let control = fleet.control(fleet.options("entry-0"));
    let revision = control
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    status(&control, |status| {
        status.scopes.iter().any(|scope| scope.lease_ms > 0)
    })
    .await;
    fleet
        .append(Body::RulesRaise(RulesRaise { rules: 99 }))
        .await;
    let frozen = status(&control, |status| {
        status.scopes.iter().all(|scope| scope.released)
    })
    .await;
    assert!(frozen.ready && frozen.catalogue.revision == revision);
    assert!(frozen.reasons.contains(&Reason::FrozenRules));
    let late = control.submit_edit(&document(CATALOGUE)).await;
    assert_eq!(late, Err(EditError::Undecided(99)));
}
