//! Prefill results of all engines of a deployment, which belong to the attempt they were made for.

use std::{collections, sync, time};

use rhubarb_node::{clock, locks};

/// Prefill results by handle; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Handles {
    inner: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    open: collections::BTreeMap<String, time::Instant>,
    // Attempt of each handle that was ever given out.
    attempts: collections::BTreeMap<String, String>,
    foreign: Vec<Foreign>,
}

/// A request that names the handle of another attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// Attempt for which the handle was made.
    pub handle_attempt: String,
    /// Attempt that named the handle.
    pub attempt: String,
    /// Whether the handle was still open, so that the request ran.
    pub ran: bool,
}

impl Handles {
    /// Opens a handle for `attempt`; an `evicted` one is gone at once.
    pub fn open(&self, handle: &str, attempt: &str, evicted: bool) {
        let mut state = locks::lock(&self.inner);
        state.attempts.insert(handle.to_string(), attempt.to_string());
        if !evicted {
            state.open.insert(handle.to_string(), clock::now());
        }
    }

    /// Takes a handle for a run of `attempt`, whatever attempt it was made for, and returns whether
    /// it was still open.
    pub fn take(&self, handle: &str, attempt: &str) -> bool {
        let mut state = locks::lock(&self.inner);
        let ran = state.open.remove(handle).is_some();
        if let Some(owner) = state.attempts.get(handle).filter(|owner| *owner != attempt) {
            let handle_attempt = owner.clone();
            state.foreign.push(Foreign { handle_attempt, attempt: attempt.to_string(), ran });
        }
        ran
    }

    /// Frees a handle and returns whether it was still open.
    pub fn free(&self, handle: &str) -> bool {
        locks::lock(&self.inner).open.remove(handle).is_some()
    }

    /// Number of open handles created at or after `oldest`, or of all.
    pub fn count(&self, oldest: Option<time::Instant>) -> usize {
        let state = locks::lock(&self.inner);
        state.open.values().filter(|at| oldest.is_none_or(|oldest| **at >= oldest)).count()
    }

    /// Requests that named the handle of another attempt.
    pub fn foreign(&self) -> Vec<Foreign> {
        locks::lock(&self.inner).foreign.clone()
    }
}
