//! How much may be under way at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::UpstreamId;

/// The bounds of one scope.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Orders of the scope that may be unresolved at once.
    pub max_concurrent: usize,
    /// Upstreams that must stay open for new work.
    pub min_open: usize,
    /// Orders of all scopes that may fetch from the weight store at once.
    pub max_loads: usize,
    /// Between two comparisons of an idle engine with what the concluded orders settled.
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
    /// Whether one more upstream may be closed. `closed` are those that are closed already or
    /// whose intent may yet land; `serving` are those that could take new work otherwise.
    pub(super) fn has_room(
        &self,
        upstream: &UpstreamId,
        closed: &BTreeSet<&UpstreamId>,
        serving: &BTreeSet<UpstreamId>,
    ) -> bool {
        if closed.len() >= self.max_concurrent {
            return false;
        }
        let left = serving
            .iter()
            .filter(|other| *other != upstream && !closed.contains(other));
        // An upstream that serves nobody anyway takes nothing away.
        !serving.contains(upstream) || left.count() >= self.min_open
    }
}
