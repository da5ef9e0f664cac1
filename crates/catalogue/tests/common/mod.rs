//! Helpers that build and apply edits.
#![allow(dead_code, unreachable_pub)]

use catalogue::{Applied, Offset, State, Verdict, digest};
use wire::record::record::Body;
use wire::record::{Change, Edit, Record, RulesRaise};

pub fn change(kind: &str, name: &str, json: impl Into<String>) -> Change {
    Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        json: json.into(),
    }
}

pub fn removal(kind: &str, name: &str) -> Change {
    change(kind, name, "")
}

pub fn owner(name: &str, key: &str) -> Change {
    let hex = blake3_hex(key);
    change("owner", name, format!(r#"{{"keys": ["{hex}"]}}"#))
}

pub fn blake3_hex(key: &str) -> String {
    digest(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

pub fn service_pool(name: &str) -> Change {
    change("pool", name, r#"{"kind": "service"}"#)
}

pub fn engine_pool(name: &str) -> Change {
    change("pool", name, r#"{"kind": "engine"}"#)
}

pub fn service_entry(name: &str, owner: &str, pool: &str, path: &str) -> Change {
    let json = format!(
        r#"{{"owner": "{owner}", "class": "status", "pool": "{pool}", "path": "{path}",
            "contract": {{"objective": 0.95, "deadline": "2s"}}, "repeatable": true}}"#
    );
    change("entry", name, json)
}

pub fn record(body: Body) -> Record {
    Record {
        body: Some(body),
        ..Record::default()
    }
}

pub fn edit(base: Offset, operator: &str, changes: &[Change]) -> Record {
    record(Body::Edit(Edit {
        base_revision: base,
        operator: operator.to_owned(),
        note: String::new(),
        changes: changes.to_vec(),
    }))
}

pub fn raise(rules: u32) -> Record {
    record(Body::RulesRaise(RulesRaise { rules }))
}

/// Folds records that do not change the catalogue, up to but excluding `offset`.
pub fn skip_to(state: &mut State, offset: Offset) {
    for between in state.folded() + 1..offset {
        assert_eq!(state.apply(between, &Record::default()), Applied::NoEffect);
    }
}

#[track_caller]
pub fn accept(state: &mut State, offset: Offset, changes: &[Change]) {
    skip_to(state, offset);
    let record = edit(state.revision().max(state.horizon()), "ana", changes);
    let applied = state.apply(offset, &record);
    assert_eq!(
        applied,
        Applied::Edit(Verdict::Accepted { revision: offset })
    );
}
