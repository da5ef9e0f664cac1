//! Edits at a single control.

use assert_matches::assert_matches;
use catalogue::Refusal;
use control::EditError;

use crate::fleet::{CATALOGUE, Fleet, document, view};

#[actix_rt::test]
async fn an_accepted_edit_is_in_force() {
    let fleet = Fleet::start(&[]).await;
    let control = fleet.control(fleet.options("entry-0"));
    let before = view(&control, |view| !view.upstreams.is_empty()).await;
    assert!(!before.ready && before.catalogue.is_none());
    let revision = control.submit_edit(&document(CATALOGUE)).await;
    let revision = revision.expect("it is valid");
    let view = view(&control, |view| view.ready).await;
    assert_eq!(view.revision, revision);
    let catalogue = view.catalogue.as_ref().expect("one is in force");
    assert!(catalogue.pool("llm").is_some());
    control.stop(std::time::Duration::from_secs(2)).await;
}

#[actix_rt::test]
async fn an_invalid_edit_is_refused_with_its_findings() {
    let fleet = Fleet::start(&[]).await;
    let control = fleet.control(fleet.options("entry-0"));
    let faulty = document(
        "{operator: ana, changes: [{kind: model, name: m, value: {versions: ['1'], pools: [none]}}]}",
    );
    let refused = control.submit_edit(&faulty).await;
    assert_matches!(refused, Err(EditError::Refused(Refusal::Invalid(findings))) if findings.len() == 1);
    let findings = control.check(&faulty).await;
    assert_eq!(findings.len(), 1);
    assert_eq!(control.history().await.len(), 1);
}
