//! The state in force must survive the loss of old records in the log.

use crate::fleet::{CATALOGUE, Fleet, document, status, view};

// An entry starts after more records than the log retains. If no snapshot was written in time, or
// the retained records counted as the whole log, it would have an empty or older catalogue.
#[actix_rt::test]
async fn a_late_entry_starts_from_a_snapshot() {
    let fleet = Fleet::start(&["--retention-count", "200", "--append-rate", "0"]).await;
    let one = fleet.control(fleet.options("entry-0"));
    let two = fleet.control(fleet.options("entry-1"));
    let mut base = one
        .submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    let mut edit = document(
        "{operator: luz, changes: [{kind: drain, name: service-0, value: {reason: trial}}]}",
    );
    // Until the log has dropped the first catalogue and the first snapshots.
    while one.status().await.expect("it runs").log.first < 500 {
        edit.base_revision = base;
        base = one.submit_edit(&edit).await.expect("nobody else edits");
        // The stand-in drops within a second what a platform retains for an hour.
        status(&one, |status| {
            let log = &status.log;
            log.first == 1 || log.folded < log.snapshot + 150
        })
        .await;
    }
    let late = fleet.control(fleet.options("entry-2"));
    let seen = view(&late, |view| view.ready).await;
    assert_eq!(seen.revision, base);
    let held = view(&two, |view| view.revision == base).await;
    assert_eq!(seen.catalogue, held.catalogue);
    let shown = two.status().await.expect("it runs").log;
    assert_eq!(shown.snapshots_different, 0);
}
