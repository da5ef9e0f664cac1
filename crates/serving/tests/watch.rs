//! Who reads the store.

mod common;

use common::ms;
use serving::watch::{Said, Watch};

const OWN: u64 = 50;

fn said(order: u64, heard: u64, read: Option<u64>, knows: u64) -> Said {
    Said {
        order,
        heard: ms(heard),
        read: read.map(ms),
        knows,
    }
}

fn is_due(watch: &mut Watch, others: &[Said], now: u64) -> bool {
    watch.is_due(OWN, others.iter().copied(), |theirs| theirs > 7, ms(now))
}

#[test]
fn two_fresh_readers_before_it_are_enough() {
    let mut watch = Watch::default();
    let others = [
        said(1, 9_900, Some(9_800), 7),
        said(2, 9_900, Some(9_700), 7),
    ];
    assert!(!is_due(&mut watch, &others, 10_000));
    assert!(is_due(&mut watch, &others[..1], 10_000));
}

#[test]
fn readers_behind_it_do_not_count() {
    let mut watch = Watch::default();
    let others = [
        said(51, 9_900, Some(9_800), 7),
        said(52, 9_900, Some(9_700), 7),
    ];
    assert!(is_due(&mut watch, &others, 10_000));
}

/// Symptom: requests are handled by a configuration that was replaced seconds ago, at all
/// instances but two. Sequence: the two that read are cut off from the store, or from the others; they
/// still know what they knew. Cause: the others relied on them without asking how old their word is.
#[test]
fn readers_that_are_cut_off_do_not_count() {
    let mut watch = Watch::default();
    let cut_from_store = [said(1, 9_900, Some(7_000), 7), said(2, 9_900, None, 7)];
    assert!(is_due(&mut watch, &cut_from_store, 10_000));
    let cut_from_here = [
        said(1, 8_000, Some(8_000), 7),
        said(2, 8_000, Some(8_000), 7),
    ];
    assert!(is_due(&mut watch, &cut_from_here, 10_000));
}

#[test]
fn a_lasting_difference_is_read_once_a_second() {
    let mut watch = Watch::default();
    let at = |now: u64| [said(1, now, Some(now), 8), said(2, now, Some(now), 8)];
    assert!(!is_due(&mut watch, &at(10_000), 10_000));
    assert!(!is_due(&mut watch, &at(10_500), 10_500));
    assert!(is_due(&mut watch, &at(10_800), 10_800));
    assert!(!is_due(&mut watch, &at(10_900), 10_900));
    assert!(is_due(&mut watch, &at(11_900), 11_900));
}
