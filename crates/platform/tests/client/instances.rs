//! The instance list.

use std::time::Duration;

use crate::fake::{Fake, Reply, ok};
use platform::{InstanceListClient, Kind, Options, State};

const LISTING: &str = r#"{"version":7,"instances":[
    {"id":"engine-2","kind":"engine","pool":"llm","data_centre":"ate","address":"127.0.0.1:9102","state":"leaving"},
    {"id":"gpu-9","kind":"accelerator","pool":"llm","data_centre":"ate","address":"127.0.0.1:1","state":"live"},
    {"id":"engine-1","kind":"engine","pool":"llm","data_centre":"ate","address":"127.0.0.1:9101","state":"live"}]}"#;

#[actix_rt::test]
async fn unknown_kinds_hide_no_other_member() {
    let fake = Fake::start(vec![ok(LISTING)]).await;
    let listing = InstanceListClient::new(&Options::new(fake.base()))
        .read()
        .await;
    let listing = listing.unwrap();
    assert_eq!(listing.version, 7);
    let ids: Vec<_> = listing.instances.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["engine-1", "engine-2"]);
    assert_eq!(listing.instances[0].kind, Kind::Engine);
    assert_eq!(listing.instances[1].state, State::Leaving);
}

#[actix_rt::test]
async fn poll_keeps_the_last_list_over_failures() {
    let out = Reply::Answer("503 Service Unavailable", "", String::new());
    let fake = Fake::start(vec![
        ok(LISTING),
        out,
        ok(r#"{"version":8,"instances":[]}"#),
    ])
    .await;
    let instances = InstanceListClient::new(&Options::new(fake.base()));
    let poll = instances.poll(Duration::from_millis(1), Box::new(|| 0.0));
    let mut listing = poll.listing();
    listing.changed().await.unwrap();
    assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 7);
    listing.changed().await.unwrap();
    assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 8);
}

// Symptom: an entry goes on with an old list for ever after the list's service lost its state.
// Sequence: the new list is doubted, and must be repeated to be believed; it does not change.
// Cause: a reader that tells changes only.
#[actix_rt::test]
async fn a_list_that_stays_the_same_is_told_again() {
    let fake = Fake::start(vec![ok(LISTING), ok(LISTING)]).await;
    let instances = InstanceListClient::new(&Options::new(fake.base()));
    let poll = instances.poll(Duration::from_millis(1), Box::new(|| 0.0));
    let mut listing = poll.listing();
    for _ in 0..2 {
        let changed = actix_rt::time::timeout(Duration::from_secs(10), listing.changed()).await;
        changed.expect("each reading is told").unwrap();
        assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 7);
    }
}
