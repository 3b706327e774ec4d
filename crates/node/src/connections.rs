//! Connections that a server has accepted, and which of them it may close to make room.

use std::{collections, sync, sync::atomic, time};

use tokio::sync as tokio_sync;

use crate::{activity, clock, locks};

/// Connections of one server; clones share them.
#[derive(Clone, Debug)]
pub struct Connections(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    limit: usize,
    state: sync::Mutex<State>,
    // Notifies the accept loop that a connection has ended or may be closed.
    changed: tokio_sync::Notify,
    // Since when no further connection is taken.
    full_since: sync::Mutex<Option<time::Instant>>,
    closed: atomic::AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    open: collections::BTreeMap<u64, sync::Arc<activity::Activity>>,
    // Connections that were told to close and have not ended.
    closing: usize,
    logged_at: Option<time::Instant>,
}

/// A connection that has been taken; it ends with this value.
#[derive(Debug)]
pub struct Place {
    connections: Connections,
    id: u64,
    /// What happens on the connection.
    pub(crate) activity: sync::Arc<activity::Activity>,
    /// Whether it is taken beyond the limit, for one request only.
    pub(crate) is_extra: bool,
}

/// Connections beyond the limit, for one request each, as a part of the limit.
const EXTRA_PART: usize = 16;
/// Part of the limit that may be kept open between requests; answers beyond it close their connections.
const KEPT_EIGHTHS: usize = 7;
/// Interval between checks for a connection that may be closed while none could be.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time without a further connection after which the server is not ready.
const FULL_TIME: time::Duration = time::Duration::from_millis(500);
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Connections {
    /// Creates a set that keeps up to `limit` connections.
    pub fn new(limit: usize) -> Connections {
        Connections(sync::Arc::new(Inner {
            limit: limit.max(1),
            state: sync::Mutex::default(),
            changed: tokio_sync::Notify::new(),
            full_since: sync::Mutex::default(),
            closed: atomic::AtomicU64::new(0),
        }))
    }

    /// Takes a connection that was accepted. At the limit it closes the one that has been idle for
    /// longest; if none is, it takes a few more, and then waits.
    pub async fn take(&self) -> Place {
        loop {
            let changed = self.0.changed.notified();
            if let Some(place) = self.try_take(clock::now()) {
                *locks::lock(&self.0.full_since) = None;
                return place;
            }
            locks::lock(&self.0.full_since).get_or_insert_with(clock::now);
            let _ = tokio::time::timeout(RETRY_INTERVAL, changed).await;
        }
    }

    fn try_take(&self, now: time::Instant) -> Option<Place> {
        let mut state = locks::lock(&self.0.state);
        let count = state.open.len() - state.closing;
        let is_extra = count >= self.0.limit && !self.close_idle(&mut state, now);
        if is_extra && count >= self.0.limit + self.0.limit.div_ceil(EXTRA_PART) {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let activity = sync::Arc::new(activity::Activity::new(now));
        state.open.insert(id, activity.clone());
        Some(Place { connections: self.clone(), id, activity, is_extra })
    }

    // Closes the connection that has waited for a request for longest; false if none may be closed.
    fn close_idle(&self, state: &mut State, now: time::Instant) -> bool {
        let idle = state
            .open
            .values()
            .filter_map(|activity| activity.idle_since(now).map(|since| (since, activity)));
        let Some((since, activity)) = idle.min_by_key(|(since, _)| *since) else { return false };
        activity.close();
        state.closing += 1;
        let closed = self.0.closed.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        if state.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            state.logged_at = Some(now);
            let (open, limit) = (state.open.len(), self.0.limit);
            let idle_ms = (now - since).as_millis() as u64;
            tracing::info!(
                open,
                limit,
                idle_ms,
                closed,
                "http: idle connection closed for another"
            );
        }
        true
    }

    /// Closes the connection that has been idle for longest, if there is one.
    pub(crate) fn close_longest_idle(&self, now: time::Instant) {
        let mut state = locks::lock(&self.0.state);
        if !self.close_idle(&mut state, now) {
            tracing::warn!(open = state.open.len(), "http: no idle connection to close");
        }
    }

    /// Whether so many connections are open that the next answers are to close theirs.
    pub(crate) fn is_tight(&self) -> bool {
        let state = locks::lock(&self.0.state);
        (state.open.len() - state.closing) * 8 > self.0.limit * KEPT_EIGHTHS
    }

    /// Whether no further connection could be taken for some time.
    pub fn is_full(&self, now: time::Instant) -> bool {
        locks::lock(&self.0.full_since).is_some_and(|since| now >= since + FULL_TIME)
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        locks::lock(&self.0.state).open.len()
    }

    /// Number of idle connections that were closed to make room.
    pub fn closed(&self) -> u64 {
        self.0.closed.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = locks::lock(&self.connections.0.state);
        state.open.remove(&self.id);
        if self.activity.is_closing() {
            state.closing -= 1;
        }
        drop(state);
        self.connections.0.changed.notify_one();
    }
}
