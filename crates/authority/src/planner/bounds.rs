//! How much may be under way at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::UpstreamId;

/// The bounds of one scope.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Orders of the scope that may be unresolved at once.
    pub concurrent: usize,
    /// Upstreams that must stay open for new work.
    pub minimum: usize,
    /// Orders of all scopes that may fetch from the weight store at once.
    pub loads: usize,
    /// Between two comparisons of an idle engine with what the concluded orders settled.
    pub reconcile: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            concurrent: 2,
            minimum: 1,
            loads: 2,
            reconcile: Duration::from_secs(30),
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
        if closed.len() >= self.concurrent {
            return false;
        }
        let left = serving
            .iter()
            .filter(|other| *other != upstream && !closed.contains(other));
        // An upstream that serves nobody anyway takes nothing away.
        !serving.contains(upstream) || left.count() >= self.minimum
    }
}
