//! Chooses the entries for requests as the platform's load balancer does: round robin over those
//! that pass their readiness probe.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use awc::Client;

/// Time between readiness probes, and their timeout.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// One entry.
#[derive(Debug)]
pub struct Target {
    /// URL root, without a slash at the end.
    pub url: String,
    ready: AtomicBool,
}

/// All entries of a run, shared by its workers.
#[derive(Debug)]
pub struct TargetSet {
    targets: Vec<Target>,
    next: AtomicUsize,
}

impl TargetSet {
    /// Creates a set of entries from their URLs; all count as ready until a probe fails.
    pub fn new(urls: &[String]) -> Self {
        let targets = urls
            .iter()
            .map(|url| Target {
                url: url.trim_end_matches('/').to_owned(),
                ready: AtomicBool::new(true),
            })
            .collect();
        Self {
            targets,
            next: AtomicUsize::new(0),
        }
    }

    /// Returns the index of the next entry, other than `avoid` if possible. If no entry is ready,
    /// all are tried, since a refused connection tells more than an unsent request.
    pub fn choose(&self, avoid: Option<usize>) -> usize {
        let count = self.targets.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let rotation = || (0..count).map(move |step| (first + step) % count);
        rotation()
            .find(|index| self.is_ready(*index) && Some(*index) != avoid)
            .or_else(|| rotation().find(|index| Some(*index) != avoid))
            .unwrap_or(0)
    }

    /// The URL root of an entry.
    pub fn url(&self, index: usize) -> &str {
        &self.targets[index].url
    }

    /// Marks an entry as not ready until a probe succeeds.
    pub fn mark_down(&self, index: usize) {
        self.targets[index].ready.store(false, Ordering::Relaxed);
    }

    /// Probes the readiness of all entries for as long as the future is polled.
    pub async fn probe(&self, client: &Client) {
        loop {
            for target in &self.targets {
                let url = format!("{}/readyz", target.url);
                let answer = client.get(url).timeout(PROBE_INTERVAL).send().await;
                let ready = answer.is_ok_and(|answer| answer.status().is_success());
                target.ready.store(ready, Ordering::Relaxed);
            }
            actix_rt::time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn is_ready(&self, index: usize) -> bool {
        self.targets[index].ready.load(Ordering::Relaxed)
    }
}
