//! The example catalogues are accepted and serve the requests of their users.

use assert_matches::assert_matches;
use catalogue::{Class, Document, Outage, PathMatch, State, check};
use wire::record::Edit;
use wire::record::record::Body;

mod common;

fn load(text: &str) -> State {
    let mut document = Document::parse(text).unwrap_or_else(|findings| panic!("{findings}"));
    document.operator = "ana".to_owned();
    let mut state = State::default();
    let findings = check(&state, &document.changes());
    assert!(findings.is_empty(), "{findings}");
    state.apply(1, &common::record(Body::Edit(Edit::from(&document))));
    assert_eq!(state.revision(), 1);
    state
}

#[test]
fn lima_is_accepted() {
    let state = load(include_str!("../../../examples/lima/catalogue.yaml"));
    let view = state.view();
    let owner = view
        .owner_of_key("lima-kiosk-key")
        .expect("owner of the key");
    assert_eq!(owner.name, "kiosks");
    assert_matches!(view.entry_at("POST", "/cards/authorisations"), PathMatch::Entry(entry) => {
        assert_eq!(entry.class, Class::Authorisation);
        assert!(!entry.repeatable);
        assert_eq!(entry.outage, Outage::FirstAttempt);
    });
    assert_matches!(
        view.entry_at("GET", "/cards/authorisations"),
        PathMatch::MethodNotAllowed
    );
    let entry = view.entry_for_model("kiosks", "field-language");
    assert_eq!(entry.map(|entry| &*entry.name), Some("kiosk-questions"));
    let entry = view.entry_for_model("kiosks", "night-summaries");
    assert_eq!(entry, None, "an entry of another owner");
}

#[test]
fn brazos_is_accepted() {
    let state = load(include_str!("../../../examples/brazos/catalogue.yaml"));
    let view = state.view();
    let lima = load(include_str!("../../../examples/lima/catalogue.yaml"));
    let price = |state: &State, pool: &str| state.view().pool(pool).map(|p| p.role_change.price);
    assert!(price(&state, "verdict-llm") > price(&lima, "llm-pool"));
    assert_matches!(view.entry_at("POST", "/consent/notices/9"), PathMatch::Entry(entry) => {
        assert!(!entry.repeatable && entry.require_key);
        assert_eq!(entry.outage, Outage::Refuse);
    });
}
