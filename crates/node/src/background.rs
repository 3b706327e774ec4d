//! Work beside the thread that drives the connections.

use std::{future, panic};

use tokio::task;

/// Bytes below which work takes less time than another thread would cost.
const MIN_BYTES: usize = 64 * 1024;

/// Runs `work`, which goes through `bytes` bytes, on another thread if they are many, so that other tasks
/// go on meanwhile.
pub async fn run<T: Send + 'static>(bytes: usize, work: impl FnOnce() -> T + Send + 'static) -> T {
    if bytes < MIN_BYTES {
        return work();
    }
    match task::spawn_blocking(work).await {
        Ok(result) => result,
        Err(err) => match err.try_into_panic() {
            Ok(cause) => panic::resume_unwind(cause),
            // The runtime is being shut down.
            Err(_) => future::pending().await,
        },
    }
}
