//! Groups in which instances forward updates.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serving::fanout::{group_size, groups};

fn addresses(count: u32) -> Vec<SocketAddr> {
    let ips = (0..count).map(|n| std::net::Ipv4Addr::from(0x0a00_0000 + n));
    ips.map(|ip| SocketAddr::from((ip, 7_380))).collect()
}

#[test]
fn each_instance_is_in_exactly_one_group() {
    for count in [0, 1, 5, 12, 13, 60, 295, 983, 2_000] {
        for draw in [0.0, 0.3, 0.999] {
            let all = addresses(count);
            let groups = groups(all.clone(), draw);
            let members = groups
                .iter()
                .flat_map(|group| group.rest.iter().chain([&group.first]));
            let members: Vec<SocketAddr> = members.copied().collect();
            let distinct: BTreeSet<SocketAddr> = members.iter().copied().collect();
            assert_eq!(members.len(), all.len());
            assert_eq!(distinct, all.into_iter().collect());
        }
    }
}

/// Guards against one link that carries an update to all.
#[test]
fn nobody_sends_more_copies_than_about_the_square_root() {
    for count in [13_u32, 60, 295, 983, 2_000, 10_000] {
        let groups = groups(addresses(count), 0.5);
        let most = (f64::from(count)).sqrt() as usize + 2;
        assert!(groups.len() <= most);
        assert!(groups.iter().all(|group| group.rest.len() <= most));
        assert!(group_size(count as usize) <= most);
    }
}

/// Guards against an instance that does not forward and keeps both copies of an update from its
/// group.
#[test]
fn a_repetition_goes_past_a_forwarder_that_has_ended() {
    let all = addresses(983);
    let dead = all[3];
    let cut_off = |draw: f64| -> BTreeSet<SocketAddr> {
        let groups = groups(all.clone(), draw);
        let group = groups.into_iter().find(|group| group.first == dead);
        group.map_or_else(BTreeSet::new, |group| group.rest.into_iter().collect())
    };
    let draws = [0.05, 0.25, 0.45, 0.65, 0.85];
    let cut_off: Vec<BTreeSet<SocketAddr>> = draws.into_iter().map(cut_off).collect();
    let always = cut_off
        .iter()
        .skip(1)
        .fold(cut_off[0].clone(), |all, next| &all & next);
    assert!(always.is_empty());
    assert!(cut_off.iter().any(BTreeSet::is_empty));
}
