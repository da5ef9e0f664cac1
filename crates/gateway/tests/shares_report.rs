//! Summing up organisations' calls from logs.

use std::fs;

use gateway::shares_report::{self, Count};

/// Guards against counting a call of no organisation, a late stream or a failed answer as on time,
/// and refusals for other reasons as over share.
#[test]
fn calls_are_counted_by_organisation_over_several_logs() {
    let folder = tempfile::tempdir().unwrap();
    let files = ["one.log", "two.log"].map(|name| folder.path().join(name));
    let write = |file, lines: &[&str]| {
        let head = "[2026-07-13T01:15:44.900Z INFO  gateway::generate] ";
        let lines = lines.iter().map(|line| format!("{head}{line}\n"));
        fs::write(file, lines.collect::<String>()).unwrap();
    };
    let over = "The organisation uses more than its share of a busy service.";
    write(
        &files[0],
        &[
            "streamed id=a ms=9 first_ms=500 target_ms=600 rank=1 organisation=heavy",
            "streamed id=b ms=9 first_ms=700 target_ms=600 rank=1 organisation=heavy",
            &format!("refused id=c ms=3 after_ms=20 organisation=heavy why={over}"),
            "refused id=d ms=3 organisation=heavy why=No engine takes the call.",
            "answered id=e ms=3 status=200 organisation=",
        ],
    );
    write(
        &files[1],
        &[
            "answered id=f ms=3 status=200 organisation=light",
            "answered id=g ms=3 status=500 organisation=light",
            "shares service=pool level=20 over=1 organisations=heavy:90",
        ],
    );
    let report = shares_report::read(&files).unwrap();
    let heavy = Count {
        tries: 4,
        served: 2,
        on_time: 1,
        refused: 2,
        over_share: 1,
    };
    let light = Count {
        tries: 2,
        served: 1,
        on_time: 1,
        ..Count::default()
    };
    let known: Vec<_> = report.organisations.iter().collect();
    assert_eq!(
        known,
        [(&"heavy".to_owned(), &heavy), (&"light".to_owned(), &light)]
    );
    assert_eq!(report.services["pool"].lines, 1);
    assert!(report.text().contains("over=1 organisations=heavy:90"));
}
