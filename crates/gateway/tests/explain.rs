//! Collecting the lines of a request from logs.

use std::fs;

use gateway::explain;

#[test]
fn lines_of_several_logs_are_merged_in_order_with_engine_states() {
    let folder = tempfile::tempdir().unwrap();
    let one = folder.path().join("one.log");
    let two = folder.path().join("two.log");
    let late = "[2026-07-13T01:15:44.900Z INFO  gateway::generate] refused id=a ms=3 why=full\n";
    let early =
        "[2026-07-13T01:15:44.100Z INFO  gateway::attempt] engine began id=a engine=e1 ms=9\n";
    let known =
        "[2026-07-13T01:15:43.000Z INFO  gateway::follow] engine changed engine=e1 state=Ready\n";
    let other =
        "[2026-07-13T01:15:43.000Z INFO  gateway::follow] engine changed engine=e2 state=Ready\n";
    let after = "[2026-07-13T01:15:45.000Z INFO  gateway::follow] engine changed engine=e1 state=Draining\n";
    let foreign = "[2026-07-13T01:15:44.500Z INFO  gateway::generate] streamed id=ab ms=3\n";
    fs::write(&one, [late, foreign, after].concat()).unwrap();
    fs::write(
        &two,
        [known, other, early, "log lines were dropped count=7\n"].concat(),
    )
    .unwrap();
    let story = explain::read("a", &[one, two.clone()]).unwrap();
    let times: Vec<&str> = story.lines.iter().map(|line| line.time.as_str()).collect();
    assert_eq!(
        times,
        ["2026-07-13T01:15:44.100Z", "2026-07-13T01:15:44.900Z"]
    );
    assert_eq!(story.beliefs.len(), 1);
    assert!(story.beliefs["e1"].text.contains("state=Ready"));
    assert_eq!(story.dropped[&two], 7);
    assert!(story.text().contains("may be missing"));
    let json: serde_json::Value = serde_json::from_str(&story.json().unwrap()).unwrap();
    assert_eq!(json["lines"][0]["time"], "2026-07-13T01:15:44.100Z");
    assert_eq!(json["dropped"][two.to_str().unwrap()], 7);
}

#[test]
fn a_request_without_lines_is_reported_as_such() {
    let story = explain::read("a", &[]).unwrap();
    assert_eq!(story.text(), "no line names this request\n");
}
