//! Who gets a frame from whom.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serving::spread::{Spread, spread};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn addresses(numbers: std::ops::Range<u16>, place: u32) -> Vec<(SocketAddr, u32)> {
    numbers.map(|number| (address(number), place)).collect()
}

#[test]
fn one_instance_of_each_other_data_centre_passes_a_frame_on() {
    let all = [
        addresses(0..4, 1),
        addresses(10..16, 2),
        addresses(20..23, 3),
    ]
    .concat();
    let Spread { direct, passing } = spread(&all, 1, 0);
    assert_eq!(direct, (0..4).map(address).collect::<Vec<_>>());
    assert_eq!(passing, [address(10), address(20)]);
}

#[test]
fn few_instances_get_it_directly() {
    let all = [addresses(0..1, 1), addresses(10..12, 2)].concat();
    let Spread { direct, passing } = spread(&all, 1, 5);
    assert_eq!(direct.len(), 3);
    assert!(passing.is_empty());
}

/// Symptom: instances of one data centre place calls as if others had none, for seconds. Sequence: the instance
/// that passes frames on is paused. Cause: all frames went by way of it.
#[test]
fn the_one_that_passes_on_changes() {
    let all = addresses(0..6, 2);
    let passing = (0..6).map(|turn| spread(&all, 1, turn).passing[0]);
    assert_eq!(passing.collect::<BTreeSet<_>>().len(), 6);
}
