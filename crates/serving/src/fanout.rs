//! Divides the instances into groups that forward updates among themselves.
//!
//! Neither the sender of an update nor one that forwards it sends more copies than about the square
//! root of the number of instances.

use std::net::SocketAddr;

/// Up to this many instances, updates are sent to each directly.
const MAX_DIRECT_PEERS: usize = 12;

/// A group of instances for forwarding updates: the first one receives them and forwards them to the
/// rest, so that one slow link does not carry them to all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Receives the updates from their sender.
    pub first: SocketAddr,
    /// Receive them from the first one.
    pub rest: Vec<SocketAddr>,
}

/// Number of instances to which one of a group sends, itself included.
pub fn group_size(instances: usize) -> usize {
    if instances <= MAX_DIRECT_PEERS {
        1
    } else {
        instances.isqrt() + 1
    }
}

/// Groups of all instances, which are given in the common order. The first of each group are drawn
/// from those with the fastest links, so that a repetition goes past one that does not forward.
/// `draw` is random, from 0 to 1.
pub fn groups(mut in_order: Vec<SocketAddr>, draw: f64) -> Vec<Group> {
    let size = group_size(in_order.len());
    let groups = in_order.len().div_ceil(size);
    let window = (2 * groups).min(in_order.len());
    if window > 0 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let start = (draw * window as f64) as usize % window;
        in_order[..window].rotate_left(start);
    }
    let rest = in_order.split_off(groups);
    let mut rests = rest.chunks(size.saturating_sub(1).max(1));
    let firsts = in_order.into_iter();
    firsts
        .map(|first| Group {
            first,
            rest: rests.next().unwrap_or_default().to_vec(),
        })
        .collect()
}
