//! The catalogue of the tests.

use prost::Message as _;
use serde_json::{Value, json};
use wire::record::record::Body;
use wire::record::{Author, Change, Edit, Record};

use super::{LIMA, TEXAS};

/// Owners, pools and entries that most tests use.
pub(crate) fn usual() -> Vec<(&'static str, &'static str, Value)> {
    vec![
        ("owner", "lima", json!({ "keys": [digest(LIMA)] })),
        ("owner", "texas", json!({ "keys": [digest(TEXAS)] })),
        (
            "pool",
            "llm-pool",
            json!({ "kind": "engine", "roles": {"mixed": {"min": 1, "max": 18, "initial": 2}} }),
        ),
        ("pool", "kiosk-api", json!({ "kind": "service" })),
        (
            "model",
            "llm",
            json!({ "versions": ["1"], "pools": ["llm-pool"] }),
        ),
        ("entry", "kiosk", completion("lima", true)),
        ("entry", "notices", completion("lima", false)),
        ("entry", "verdicts", completion("texas", true)),
        ("entry", "status", plain("/kiosk/status", true)),
        ("entry", "payments", plain("/kiosk/pay", false)),
        ("entry", "cards", cards()),
        ("entry", "scarce", scarce()),
    ]
}

fn completion(owner: &str, repeatable: bool) -> Value {
    json!({
        "owner": owner, "class": "interactive", "pool": "llm-pool",
        "model": "llm", "version": "1", "repeatable": repeatable,
        "contract": { "objective": 0.99, "deadline": "30s" },
    })
}

fn plain(path: &str, repeatable: bool) -> Value {
    json!({
        "owner": "lima", "class": "authorisation", "pool": "kiosk-api",
        "path": path, "repeatable": repeatable,
        "contract": { "objective": 0.99, "deadline": "5s" },
    })
}

/// Calls limited so that one runs and the next is refused.
fn scarce() -> Value {
    let mut entry = plain("/kiosk/scarce", false);
    entry["limits"] = json!({ "requests_per_second": 0.001 });
    entry
}

/// Calls that run during an outage of the log if the caller declares the first attempt.
fn cards() -> Value {
    let mut entry = plain("/kiosk/card", false);
    entry["outage"] = json!("first-attempt");
    entry["require_key"] = json!(true);
    entry
}

fn digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// The record of an edit based on the empty catalogue.
pub(crate) fn edit(changes: &[(&str, &str, Value)]) -> Vec<u8> {
    edit_from(0, changes)
}

/// The record of an edit based on a revision.
pub(crate) fn edit_from(base_revision: u64, changes: &[(&str, &str, Value)]) -> Vec<u8> {
    let changes = changes
        .iter()
        .map(|(kind, name, value)| Change {
            kind: (*kind).to_owned(),
            name: (*name).to_owned(),
            json: match value {
                Value::Null => String::new(),
                value => value.to_string(),
            },
        })
        .collect();
    let edit = Edit {
        base_revision,
        operator: "tests".to_owned(),
        note: String::new(),
        changes,
    };
    Record {
        nonce: uuid::Uuid::new_v4().as_bytes().to_vec(),
        rules: 1,
        author: Some(Author {
            instance: "tests".to_owned(),
            incarnation: 1,
        }),
        body: Some(Body::Edit(edit)),
    }
    .encode_to_vec()
}
