//! Conversion of error answers to failures, whose exit codes scripts rely on.

use assert_matches::assert_matches;
use cli::failure::{ConflictingEdit, Failure};
use serde_json::{Value, json};

fn conflict() -> Value {
    json!({"conflicts": [
        {"entity": {"kind": "pool", "name": "llm"}, "operator": "rosa", "revision": 12},
    ]})
}

#[test]
fn each_failure_has_its_exit_code() {
    let findings = json!({"findings": [
        {"kind": "entry", "name": "a", "path": "pool", "problem": "names no pool"},
    ]});
    let codes = [
        (422, findings, 1),
        (409, conflict(), 3),
        (503, json!({"detail": "the log is out"}), 4),
        (401, json!(null), 5),
        (500, json!("x"), 6),
    ];
    for (status, body, code) in codes {
        assert_eq!(Failure::from_answer(status, &body).code(), code, "{status}");
    }
}

#[test]
fn findings_name_entity_and_field() {
    let body = json!({"findings": [
        {"kind": "entry", "name": "a", "path": "pool", "problem": "names no pool"},
        {"kind": "", "name": "", "path": "", "problem": "is empty"},
    ]});
    assert_matches!(Failure::from_answer(422, &body), Failure::Refused(lines) => {
        assert_eq!(lines, ["entry a: pool: names no pool", "is empty"]);
    });
}

#[test]
fn conflict_names_the_operator_and_revision() {
    let conflicting = ConflictingEdit {
        entity: "pool llm".to_owned(),
        operator: "rosa".to_owned(),
        revision: 12,
    };
    let failure = Failure::from_answer(409, &conflict());
    assert_eq!(failure, Failure::Conflict(vec![conflicting]));
}
