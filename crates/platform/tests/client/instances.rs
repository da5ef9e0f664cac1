//! Reading and polling the instance list.

use std::time::Duration;

use crate::fake::{FakeServer, Reply, ok};
use platform::{InstanceListClient, Kind, Options, State};

const LISTING: &str = r#"{"version":7,"instances":[
    {"id":"engine-2","kind":"engine","pool":"llm","data_centre":"ate","address":"127.0.0.1:9102","state":"leaving"},
    {"id":"gpu-9","kind":"accelerator","pool":"llm","data_centre":"ate","address":"127.0.0.1:1","state":"live"},
    {"id":"engine-1","kind":"engine","pool":"llm","data_centre":"ate","address":"127.0.0.1:9101","state":"live"}]}"#;

#[actix_rt::test]
async fn instances_of_unknown_kinds_are_skipped() {
    let server = FakeServer::start(vec![ok(LISTING)]).await;
    let listing = InstanceListClient::new(&Options::new(server.base_url()))
        .read()
        .await;
    let listing = listing.unwrap();
    assert_eq!(listing.version, 7);
    let ids: Vec<_> = listing
        .instances
        .iter()
        .map(|instance| instance.id.as_str())
        .collect();
    assert_eq!(ids, ["engine-1", "engine-2"]);
    assert_eq!(listing.instances[0].kind, Kind::Engine);
    assert_eq!(listing.instances[1].state, State::Leaving);
}

#[actix_rt::test]
async fn poll_continues_after_a_failed_read() {
    let unavailable = Reply::Response("503 Service Unavailable", "", String::new());
    let server = FakeServer::start(vec![
        ok(LISTING),
        unavailable,
        ok(r#"{"version":8,"instances":[]}"#),
    ])
    .await;
    let instances = InstanceListClient::new(&Options::new(server.base_url()));
    let poll = instances.poll(Duration::from_millis(1), Box::new(|| 0.0));
    let mut listing = poll.listing();
    listing.changed().await.unwrap();
    assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 7);
    listing.changed().await.unwrap();
    assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 8);
}

// Symptom: an entry keeps an old list forever after the list's service lost its state.
// Sequence: the entry doubts the new list and waits for identical reads; the list doesn't change.
// Cause: the poller notifies only of changes.
#[actix_rt::test]
async fn poll_notifies_of_an_unchanged_list() {
    let server = FakeServer::start(vec![ok(LISTING), ok(LISTING)]).await;
    let instances = InstanceListClient::new(&Options::new(server.base_url()));
    let poll = instances.poll(Duration::from_millis(1), Box::new(|| 0.0));
    let mut listing = poll.listing();
    for _ in 0..2 {
        let changed = actix_rt::time::timeout(Duration::from_secs(10), listing.changed()).await;
        changed.expect("a notification of each read").unwrap();
        assert_eq!(listing.borrow_and_update().as_ref().unwrap().version, 7);
    }
}
