//! The entries that requests go to, spread as the platform's balancer spreads them: in turn over
//! those that answer their readiness probe.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use awc::Client;

/// How often each entry is asked whether it is ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// One entry.
#[derive(Debug)]
pub struct Target {
    /// Root of its URLs, without a slash at the end.
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
    /// A set of entries by their URLs; all count as ready until a probe says otherwise.
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

    /// The index of the next entry in turn, another one than `avoid` if there is any. While none is
    /// ready all take their turn, since a refused connection tells more than silence does.
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

    /// Takes an entry out of turn until a probe finds it ready.
    pub fn mark_down(&self, index: usize) {
        self.targets[index].ready.store(false, Ordering::Relaxed);
    }

    /// Asks all entries in turn whether they are ready, for as long as the future is polled.
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
