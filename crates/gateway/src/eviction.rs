//! Removes instances that have gone for good from the list of instances; [`serving::eviction`] decides which.

use std::net::SocketAddr;
use std::time::Duration;

use adapter::records::INSTANCES_TOPIC;
use adapter::store::Store;
use tokio::time::sleep;

/// Interval between checks whether an instance has gone.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed write.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Most instances that are removed in one call, well below the size that the store accepts.
const MAX_BATCH: usize = 1_000;

/// Removes the instances that `due` returns, until the process ends. `on_removed` gets those whose removal the
/// store has accepted.
pub(crate) async fn run(
    mut store: Store,
    due: impl Fn() -> Vec<SocketAddr>,
    on_removed: impl Fn(&[SocketAddr]),
) {
    loop {
        sleep(STEP_INTERVAL).await;
        let mut gone = due();
        gone.truncate(MAX_BATCH);
        if gone.is_empty() {
            continue;
        }
        let keys: Vec<String> = gone.iter().map(ToString::to_string).collect();
        let deletions = keys.iter().map(|key| (key.as_str(), &[][..]));
        match store.append_all(INSTANCES_TOPIC, deletions).await {
            Ok(_) => {
                log::info!(instances:? = gone; "instances have gone and leave the list");
                on_removed(&gone);
            }
            Err(trouble) => {
                log::info!(instances = gone.len(), trouble:% = trouble; "instances that have gone could not be removed yet");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
