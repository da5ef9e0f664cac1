//! Memory of bodies and answers.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use bytes::Bytes;
use entry::memory_budget::{MemoryBudget, Shortage};

const LIMIT: usize = 8 << 20;
const LARGE: usize = 1 << 20;
const SMALL: usize = 20_000;

/// Guards against large bodies that take what small ones need.
#[test]
fn small_bodies_fit_beside_as_many_large_ones_as_there_can_be() {
    let budget = MemoryBudget::new(LIMIT);
    let mut large: Vec<_> = (0..4).map(|_| budget.open(2)).collect();
    let fitting = large.iter_mut().map(|body| body.grow(LARGE));
    let fitting: Vec<_> = fitting.collect();
    assert_eq!(fitting, [Ok(()), Ok(()), Ok(()), Err(Shortage)]);
    let mut small: Vec<_> = (0..50).map(|_| budget.open(2)).collect();
    assert!(small.iter_mut().all(|body| body.grow(SMALL).is_ok()));
    assert!(budget.reserved() <= LIMIT);
}

/// Guards against memory that stays reserved after its body, and against freeing it while a clone is used.
#[test]
fn a_reservation_lasts_as_long_as_any_clone_of_its_body() {
    let budget = MemoryBudget::new(LIMIT);
    let mut memory = budget.open(1);
    memory.grow(LARGE).unwrap();
    let body = memory.attach(Bytes::from(vec![b'x'; LARGE]));
    let clone = body.clone();
    drop(body);
    assert_eq!(budget.reserved(), LARGE);
    drop(clone);
    assert_eq!(budget.reserved(), 0);
}
