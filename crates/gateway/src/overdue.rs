//! Time limits that leave out what the process itself has missed.

use std::future::Future;
use std::pin::pin;

use tokio::task::yield_now;
use tokio::time::error::Elapsed;
use tokio::time::{self, Instant};

/// As [`time::timeout_at`], but what is in the sockets at the deadline still counts.
///
/// The timers of a process that was stopped run before it has learned what its sockets hold, and an answer
/// that came in time would be given up for the silence of its sender.
pub(crate) async fn timeout_at<F: Future>(
    deadline: Instant,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    match time::timeout_at(deadline, &mut future).await {
        Ok(output) => Ok(output),
        Err(_) => {
            // The runtime asks the kernel before it goes on.
            yield_now().await;
            time::timeout_at(deadline, future).await
        }
    }
}
