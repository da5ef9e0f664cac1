//! Limits on concurrent changes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::UpstreamId;

/// The limits of one scope.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Largest number of pending orders in the scope.
    pub max_concurrent: usize,
    /// Least number of upstreams that stay open to new work.
    pub min_open: usize,
    /// Largest number of orders, over all scopes, that fetch from the weight store at once.
    pub max_loads: usize,
    /// Time between two comparisons of an idle engine with its settled state.
    pub reconcile_interval: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_concurrent: 2,
            min_open: 1,
            max_loads: 2,
            reconcile_interval: Duration::from_secs(30),
        }
    }
}

impl Bounds {
    /// Whether one more upstream may be closed. `closed` contains upstreams that are closed or whose
    /// intent may still be logged; `serving` those that take new work unless closed by an order.
    pub(super) fn has_room(
        &self,
        upstream: &UpstreamId,
        closed: &BTreeSet<&UpstreamId>,
        serving: &BTreeSet<UpstreamId>,
    ) -> bool {
        if closed.len() >= self.max_concurrent {
            return false;
        }
        let open = serving
            .iter()
            .filter(|other| *other != upstream && !closed.contains(other));
        // Closing an upstream that does not serve removes no capacity.
        !serving.contains(upstream) || open.count() >= self.min_open
    }
}
