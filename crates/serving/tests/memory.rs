//! How much connections may hold, and which are closed for others.

use std::time::Duration;

use serving::memory::{Evicted, HolderId, Holders, Shortage, event_reservation};

/// A machine on which connections may hold 50 MB, and large ones fill 37.5 MB of it.
const MACHINE: u64 = 100_000_000;
const LARGE: u64 = 4_000_000;
const SMALL: u64 = 40_000;
const START: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(102);

/// Adds a connection that waits for its caller since [`START`].
fn add(holders: &mut Holders, bytes: u64, now: Duration) -> Result<HolderId, Shortage> {
    let id = holders.add();
    holders.set_waiting(id, Some(START));
    let resized = holders.resize(id, bytes, MACHINE, now);
    if resized.is_err() {
        holders.remove(id);
    }
    resized.map(|_| id)
}

fn fill(holders: &mut Holders, bytes: u64) -> usize {
    let mut added = 0;
    while add(holders, bytes, START).is_ok() {
        added += 1;
    }
    added
}

/// Guards against large requests that take what small ones need.
#[test]
fn small_holders_fit_beside_as_many_large_ones_as_there_can_be() {
    let mut holders = Holders::default();
    assert_eq!(fill(&mut holders, LARGE), 9);
    assert!(fill(&mut holders, SMALL) > 300);
    assert!(holders.bytes() <= MACHINE / 2);
}

/// Guards against connections that are held for long and keep new ones out.
#[test]
fn those_that_waited_longest_make_room() {
    let mut holders = Holders::default();
    let oldest = add(&mut holders, SMALL, START).expect("there is room");
    fill(&mut holders, SMALL);
    let new = holders.add();
    let too_soon = START + Duration::from_millis(500);
    assert_eq!(holders.resize(new, SMALL, MACHINE, too_soon), Err(Shortage));
    let evicted = holders.resize(new, SMALL, MACHINE, LATER);
    assert_eq!(evicted, Ok(Evicted::from_slice(&[oldest])));
    assert!(holders.bytes() <= MACHINE / 2);
    assert_eq!(holders.resize(oldest, SMALL, MACHINE, LATER), Err(Shortage));
}

/// Guards against closing connections whose calls are in progress.
#[test]
fn those_that_do_not_wait_for_their_callers_stay() {
    let mut holders = Holders::default();
    let mut all = Vec::new();
    while let Ok(id) = add(&mut holders, LARGE, START) {
        all.push(id);
    }
    while let Ok(id) = add(&mut holders, SMALL, START) {
        all.push(id);
    }
    for id in all {
        holders.set_waiting(id, None);
    }
    assert_eq!(add(&mut holders, SMALL, LATER), Err(Shortage));
}

/// Guards against many large requests at once that close each other, so that none is ever complete.
#[test]
fn large_holders_are_not_closed_for_large_ones() {
    let mut holders = Holders::default();
    fill(&mut holders, LARGE);
    let before = holders.bytes();
    assert_eq!(add(&mut holders, LARGE, LATER), Err(Shortage));
    assert_eq!(holders.bytes(), before);
}

/// Guards against idle connections that keep a large request out.
#[test]
fn small_holders_are_closed_for_a_large_one() {
    let mut holders = Holders::default();
    fill(&mut holders, SMALL);
    assert!(add(&mut holders, LARGE, LATER).is_ok());
}

/// Guards against memory that stays taken after its connection.
#[test]
fn what_is_freed_is_granted_again() {
    let mut holders = Holders::default();
    let id = add(&mut holders, LARGE, START).expect("there is room");
    assert_eq!(
        holders.resize(id, SMALL, MACHINE, START),
        Ok(Evicted::new())
    );
    assert_eq!(holders.bytes(), SMALL);
    holders.remove(id);
    assert_eq!(holders.bytes(), 0);
}

/// Guards against callers that send nothing and take all descriptors.
#[test]
fn those_that_waited_longest_make_room_for_descriptors() {
    let mut holders = Holders::default();
    let ids: Vec<HolderId> = (0..16)
        .filter_map(|_| add(&mut holders, SMALL, START).ok())
        .collect();
    holders.set_waiting(ids[0], None);
    holders.set_waiting(ids[1], Some(LATER));
    assert!(holders.evict_for_descriptors(START).is_empty());
    assert_eq!(holders.evict_for_descriptors(LATER).as_slice(), &ids[2..4]);
    assert_eq!(holders.bytes(), 14 * SMALL);
}

/// Guards against streams that reserve memory step by step, and all wait for the next step of one another.
#[test]
fn a_stream_reserves_all_that_an_event_may_need_once_it_is_large() {
    let max_bytes = 1 << 20;
    let reserved = |bytes| event_reservation(bytes, max_bytes);
    assert_eq!(reserved(8 * 1024), 0);
    let small = reserved(32 * 1024);
    assert!(small >= 2 * 32 * 1024 && (small as u64) < SMALL * 3);
    let large = reserved(64 * 1024);
    assert!(large > max_bytes);
    assert_eq!(reserved(max_bytes), large);
}
