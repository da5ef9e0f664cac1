//! Acceptance of edits: conflicts, findings and the catalogue in force.

mod common;

use assert_matches::assert_matches;
use catalogue::{Applied, Kind, PathMatch, Refusal, State, Verdict};
use common::{
    accept, change, edit, engine_pool, owner, removal, service_entry, service_pool, skip_to,
};

fn refuse_as_invalid(state: &mut State, changes: &[wire::record::Change]) -> Vec<String> {
    let offset = state.folded() + 1;
    let record = edit(state.revision(), "ana", changes);
    match state.apply(offset, &record) {
        Applied::Edit(Verdict::Refused(Refusal::Invalid(findings))) => {
            findings.iter().map(ToString::to_string).collect()
        }
        other => panic!("not refused as invalid: {other:?}"),
    }
}

fn kiosk_catalogue() -> State {
    let mut state = State::default();
    let changes = [
        owner("kiosks", "key-1"),
        service_pool("kiosk-api"),
        engine_pool("llm-pool"),
        change(
            "model",
            "m",
            r#"{"versions": ["1"], "pools": ["llm-pool"]}"#,
        ),
        service_entry("cards", "kiosks", "kiosk-api", "/cards"),
    ];
    accept(&mut state, 5, &changes);
    state
}

#[test]
fn first_edit_is_in_force() {
    let state = kiosk_catalogue();
    let view = state.view();
    assert_eq!(state.revision(), 5);
    assert_eq!(view.owner_of_key("key-1").map(|o| &*o.name), Some("kiosks"));
    assert_eq!(view.owner_of_key("key-2"), None);
    assert_matches!(view.entry_at("POST", "/cards/17"), PathMatch::Entry(entry) if entry.name == "cards");
    assert_matches!(view.entry_at("POST", "/cards"), PathMatch::Entry(_));
    assert_matches!(view.entry_at("POST", "/cardsharp"), PathMatch::NotFound);
    assert_matches!(view.entry_at("POST", "cards"), PathMatch::NotFound);
}

/// Guards against a lost update. Two operators edit the same pool on the same base revision and
/// both edits reach the log; the second would overwrite a change that its author has not seen.
#[test]
fn second_edit_on_the_same_base_is_refused_as_conflict() {
    let mut state = State::default();
    accept(&mut state, 1, &[service_pool("kiosk-api")]);
    let first = edit(1, "ana", &[service_pool("kiosk-api")]);
    let second = edit(1, "luis", &[service_pool("kiosk-api")]);
    assert_matches!(
        state.apply(2, &first),
        Applied::Edit(Verdict::Accepted { revision: 2 })
    );
    let refused = state.apply(3, &second);
    assert_matches!(refused, Applied::Edit(Verdict::Refused(Refusal::Conflict(conflicts))) => {
        assert_eq!(conflicts.len(), 1);
        assert_eq!(conflicts[0].operator, "ana");
        assert_eq!(conflicts[0].revision, 2);
    });
    assert_eq!(state.revision(), 2);
}

#[test]
fn edits_of_different_entities_on_one_base_are_both_accepted() {
    let mut state = kiosk_catalogue();
    let first = edit(5, "ana", &[service_pool("one")]);
    let second = edit(5, "luis", &[service_pool("two")]);
    assert_matches!(
        state.apply(6, &first),
        Applied::Edit(Verdict::Accepted { .. })
    );
    assert_matches!(
        state.apply(7, &second),
        Applied::Edit(Verdict::Accepted { .. })
    );
}

/// Guards against restoring a removed entity by accident. One operator removes a pool and another
/// edits it on the older base; without a tombstone the edit would look like a creation.
#[test]
fn edit_based_before_a_removal_does_not_restore_the_entity() {
    let mut state = State::default();
    accept(&mut state, 1, &[service_pool("kiosk-api")]);
    accept(&mut state, 2, &[removal("pool", "kiosk-api")]);
    let late = state.apply(3, &edit(1, "luis", &[service_pool("kiosk-api")]));
    assert_matches!(late, Applied::Edit(Verdict::Refused(Refusal::Conflict(_))));
    assert!(state.view().pool("kiosk-api").is_none());
    accept(&mut state, 4, &[service_pool("kiosk-api")]);
    assert!(state.view().pool("kiosk-api").is_some());
}

/// Guards against the same after so many removals that the oldest tombstone was dropped. It can
/// no longer show the conflict, so edits on older bases must be refused.
#[test]
fn edit_older_than_the_dropped_tombstones_is_stale() {
    let mut state = State::default();
    accept(&mut state, 1, &[service_pool("first")]);
    accept(&mut state, 2, &[removal("pool", "first")]);
    let mut offset = 2;
    for number in 0..1024 {
        let name = format!("pool-{number}");
        accept(&mut state, offset + 1, &[service_pool(&name)]);
        accept(&mut state, offset + 2, &[removal("pool", &name)]);
        offset += 2;
    }
    assert!(state.view().slot(Kind::Pool, "first").is_none());
    assert_eq!(state.horizon(), 2);
    let late = state.apply(offset + 1, &edit(1, "luis", &[service_pool("first")]));
    assert_matches!(
        late,
        Applied::Edit(Verdict::Refused(Refusal::Stale { horizon: 2 }))
    );
}

#[test]
fn all_findings_are_reported_and_the_catalogue_is_unchanged() {
    let mut state = kiosk_catalogue();
    let before = state.view().clone();
    let changes = [
        change(
            "pool",
            "kiosk-api",
            r#"{"kind": "servise", "queue_limt": 3, "lease": "6 parsecs"}"#,
        ),
        change(
            "entry",
            "x y",
            r#"{"class": "status", "contract": {"objective": 1.5}}"#,
        ),
        service_entry("pings", "kiosk", "kiosk-apy", "/cards"),
        removal("model", "none"),
        change(
            "owner",
            "desk",
            r#"{"keys": ["12"], "limits": {"concurrent": 0}}"#,
        ),
    ];
    let found = refuse_as_invalid(&mut state, &changes).join("\n");
    let expected = "\
pool kiosk-api: kind: `servise` is unknown, perhaps `service` was meant
pool kiosk-api: lease: is no time span such as 250ms: unknown time unit \"parsecs\", supported units: ns, us/µs, ms, sec, min, hours, days, weeks, months, years (and few variations)
pool kiosk-api: queue_limt: is no known key, perhaps `queue_limit` was meant
entry x y: its name must be letters, digits, `-`, `_` and `.`, and begin with a letter or digit
entry x y: model: is missing
entry x y: version: is missing
entry x y: owner: is missing
entry x y: pool: is missing
entry x y: contract.deadline: is missing
entry x y: contract.objective: must be above 0 and below 1
entry x y: repeatable: is missing
model none: cannot be removed, there is none
owner desk: keys[0]: must be the blake3 digest of the key, 64 hex digits
owner desk: limits.concurrent: must be above 0
entry pings: owner: there is no owner kiosk, perhaps kiosks was meant
entry pings: pool: there is no pool kiosk-apy, perhaps kiosk-api was meant
entry pings: path: `/cards` is taken by entry cards with the same method";
    assert_eq!(found, expected);
    assert_eq!(state.view(), &before);
    assert_matches!(state.view().entry_at("POST", "/cards"), PathMatch::Entry(_));
}

#[test]
fn malformed_edit_is_refused() {
    let mut state = kiosk_catalogue();
    let twice = [service_pool("a"), service_pool("a")];
    assert_eq!(
        refuse_as_invalid(&mut state, &twice),
        ["pool a: stands twice in the edit"]
    );
    assert_eq!(refuse_as_invalid(&mut state, &[]), ["changes: are missing"]);
    let unknown = [change("ownr", "a", "{}")];
    assert_eq!(
        refuse_as_invalid(&mut state, &unknown),
        ["changes[0].kind: `ownr` is no kind, perhaps `owner` was meant"]
    );
    skip_to(&mut state, 20);
    let future = state.apply(20, &edit(20, "", &[service_pool("a")]));
    assert_matches!(future, Applied::Edit(Verdict::Refused(Refusal::Invalid(findings))) => {
        assert_eq!(findings.to_string(), "operator: is missing\nbase_revision: lies in the future");
    });
}

/// Guards against an entry whose pool does not exist, so that all its calls fail. One operator
/// removes the pool and another adds an entry for it on the same base; the edits touch different
/// entities, so only validating the result shows the problem.
#[test]
fn removal_of_a_referenced_entity_is_refused() {
    let mut state = kiosk_catalogue();
    assert_eq!(
        refuse_as_invalid(&mut state, &[removal("pool", "kiosk-api")]),
        ["entry cards: pool: there is no pool kiosk-api"]
    );
    let both = [removal("entry", "cards"), removal("pool", "kiosk-api")];
    accept(&mut state, 10, &both);
    let late = service_entry("pings", "kiosks", "kiosk-api", "/pings");
    assert_eq!(
        refuse_as_invalid(&mut state, &[late]),
        ["entry pings: pool: there is no pool kiosk-api"]
    );
}

#[test]
fn pool_kind_must_match_its_references() {
    let mut state = kiosk_catalogue();
    assert_eq!(
        refuse_as_invalid(
            &mut state,
            &[engine_pool("kiosk-api"), service_pool("llm-pool")]
        ),
        [
            "entry cards: pool: kiosk-api is a pool of engines, a path needs services",
            "model m: pools[0]: llm-pool is a pool of services, a model needs engines",
        ]
    );
}

#[test]
fn path_moves_between_entries_in_one_edit() {
    let mut state = kiosk_catalogue();
    let moved = [
        service_entry("cards", "kiosks", "kiosk-api", "/old-cards"),
        service_entry("new-cards", "kiosks", "kiosk-api", "/cards"),
    ];
    accept(&mut state, 9, &moved);
    assert_matches!(state.view().entry_at("POST", "/cards/1"), PathMatch::Entry(entry) if entry.name == "new-cards");
    assert_matches!(state.view().entry_at("POST", "/old-cards"), PathMatch::Entry(entry) if entry.name == "cards");
}

#[test]
fn bearer_key_belongs_to_one_owner() {
    let mut state = kiosk_catalogue();
    assert_eq!(
        refuse_as_invalid(&mut state, &[owner("desk", "key-1")]),
        ["owner desk: keys[0]: is also a key of owner kiosks"]
    );
    assert_eq!(
        state.view().owner_of_key("key-1").map(|o| &*o.name),
        Some("kiosks")
    );
}

#[test]
fn entry_limits_must_not_exceed_the_owners() {
    let mut state = kiosk_catalogue();
    let mut json: serde_json::Value =
        serde_json::from_str(&service_entry("p", "kiosks", "kiosk-api", "/p").json).expect("JSON");
    json["limits"] = serde_json::json!({"concurrent": 50});
    let bounded = change(
        "owner",
        "kiosks",
        r#"{"keys": [], "limits": {"concurrent": 20}}"#,
    );
    let changes = [bounded, change("entry", "p", json.to_string())];
    assert_eq!(
        refuse_as_invalid(&mut state, &changes),
        ["entry p: limits.concurrent: is above the limit of owner kiosks"]
    );
}

#[test]
fn first_attempt_requires_a_key_and_a_non_repeatable_entry() {
    let mut state = kiosk_catalogue();
    let mut json: serde_json::Value =
        serde_json::from_str(&service_entry("p", "kiosks", "kiosk-api", "/p").json).expect("JSON");
    json["outage"] = "first-attempt".into();
    assert_eq!(
        refuse_as_invalid(&mut state, &[change("entry", "p", json.to_string())]),
        [
            "entry p: outage: `first-attempt` is for calls that are not repeatable only",
            "entry p: outage: `first-attempt` needs `require_key: true`",
        ]
    );
}

#[test]
fn history_lists_the_newest_first() {
    let mut state = kiosk_catalogue();
    skip_to(&mut state, 8);
    let _ = state.apply(8, &edit(1, "luis", &[service_pool("kiosk-api")]));
    let history: Vec<_> = state.history().map(|j| (j.offset, &*j.operator)).collect();
    assert_eq!(history, [(8, "luis"), (5, "ana")]);
}
