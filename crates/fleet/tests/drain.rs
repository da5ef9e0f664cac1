//! An order acts only when every entry that may still send has confirmed and has no open requests.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod support;

use fleet::Drain;
use fleet::drain::{Blocker, Settings};
use fleet::member::{LocalMember, Sender};
use support::{confirm, s};

fn sender(id: &str, incarnation: Option<u64>) -> Sender {
    Sender {
        id: id.to_owned(),
        incarnation,
    }
}

fn drain() -> Drain {
    let mut drain = Drain::new(Settings { settle: s(2) });
    drain.begin(s(10), 31, "engine-1");
    drain
}

fn blockers(drain: &Drain, senders: &[Sender]) -> Vec<String> {
    let blockers = drain.blockers(s(20), 31, senders).unwrap();
    blockers.iter().map(Blocker::to_string).collect()
}

#[test]
fn blockers_name_the_entry_and_what_it_lacks() {
    let mut drain = drain();
    let senders = [
        sender("a", Some(1)),
        sender("b", None),
        sender("c", Some(1)),
    ];
    drain.confirm(&confirm("a", 1, 1, 31, 3));
    drain.confirm(&confirm("c", 1, 1, 31, 0));
    assert_eq!(
        blockers(&drain, &senders),
        ["a to finish 3", "b to confirm"]
    );
    drain.confirm(&confirm("a", 1, 2, 31, 0));
    drain.confirm(&confirm("b", 8, 1, 31, 0));
    assert!(blockers(&drain, &senders).is_empty());
    let status = drain.status(s(20), &senders);
    assert_eq!(status[0].confirmed.len(), 3);
    assert!(status[0].blockers.is_empty());
}

#[test]
fn an_order_waits_for_the_settle_time() {
    let drain = drain();
    assert_eq!(
        drain.blockers(s(11), 31, &[]).unwrap(),
        [Blocker::Settle { left: s(1) }]
    );
    assert!(drain.blockers(s(12), 31, &[]).unwrap().is_empty());
    assert_eq!(drain.blockers(s(12), 32, &[]), None);
}

// Confirmations count for a process, not for an instance. If `a` confirms, dies and restarts, its
// new process has not confirmed and may still send to the engine.
#[test]
fn a_restarted_entry_must_confirm_again() {
    let mut drain = drain();
    drain.confirm(&confirm("a", 1, 50, 31, 0));
    assert_eq!(blockers(&drain, &[sender("a", Some(2))]), ["a to confirm"]);
    drain.confirm(&confirm("a", 2, 1, 31, 0));
    // A late frame of the previous process changes nothing.
    drain.confirm(&confirm("a", 1, 51, 31, 4));
    assert!(blockers(&drain, &[sender("a", Some(2))]).is_empty());
}

// Frames may arrive out of order. If the last frame to arrive counted rather than the last one
// sent, an order could cut an open stream.
#[test]
fn reordered_frames_do_not_hide_open_requests() {
    let mut drain = drain();
    drain.confirm(&confirm("a", 1, 9, 31, 2));
    drain.confirm(&confirm("a", 1, 8, 31, 0));
    assert_eq!(blockers(&drain, &[sender("a", Some(1))]), ["a to finish 2"]);
}

#[test]
fn an_entry_that_starts_during_a_closing_must_confirm() {
    let mut drain = drain();
    drain.confirm(&confirm("a", 1, 1, 31, 0));
    let mut senders = vec![sender("a", Some(1))];
    assert!(blockers(&drain, &senders).is_empty());
    senders.push(sender("new", Some(1)));
    assert_eq!(blockers(&drain, &senders), ["new to confirm"]);
}

#[test]
fn a_confirmation_for_another_order_or_upstream_does_not_count() {
    let mut drain = drain();
    drain.begin(s(10), 32, "engine-2");
    drain.confirm(&confirm("a", 1, 1, 30, 0));
    drain.confirm(&confirm("a", 1, 2, 32, 0));
    assert_eq!(blockers(&drain, &[sender("a", Some(1))]), ["a to confirm"]);
    let other = drain.blockers(s(20), 32, &[sender("a", Some(1))]).unwrap();
    assert_eq!(other.len(), 1);
}

#[test]
fn a_confirmation_is_due_for_each_closing_until_it_ends() {
    let mut drain = drain();
    drain.begin(s(11), 32, "engine-2");
    drain.begin(s(19), 31, "engine-1");
    let due = drain.due_confirmations(|upstream| u32::from(upstream == "engine-2"));
    let due: Vec<_> = due.iter().map(|one| (one.order, one.open)).collect();
    assert_eq!(due, [(31, 0), (32, 1)]);
    let own = LocalMember {
        id: "own".to_owned(),
        incarnation: 4,
        data_centre: String::new(),
    };
    for confirm in drain.due_confirmations(|_| 0) {
        drain.confirm_local(&own, &confirm);
    }
    assert!(blockers(&drain, &[sender("own", Some(4))]).is_empty());
    drain.end(31);
    assert_eq!(drain.orders("engine-1").count(), 0);
    assert_eq!(drain.orders("engine-2").collect::<Vec<_>>(), [32]);
}
