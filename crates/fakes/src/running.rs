//! Number of requests that a fake server executes at present.

use std::sync::{self, atomic};

/// The number; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Count {
    inner: sync::Arc<atomic::AtomicU64>,
}

impl Count {
    /// Current number.
    pub(crate) fn get(&self) -> u64 {
        self.inner.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as running until the result is dropped.
    pub(crate) fn start(&self) -> Running {
        self.inner.fetch_add(1, atomic::Ordering::Relaxed);
        Running(self.clone())
    }
}

/// A running request.
pub(crate) struct Running(Count);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.inner.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
