//! What the processes of one server have announced, one after the other.

use std::{collections, time};

/// Processes of a server that have announced that they are leaving, or were removed.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    // By the start of the process in Unix milliseconds, if it is known.
    processes: collections::BTreeMap<Option<u64>, Departure>,
    // When an answer last said that the server is leaving, in Unix milliseconds.
    answered_ms: Option<u64>,
}

// What a process, registered or not, has announced; it does not take it back.
#[derive(Clone, Copy, Debug, Default)]
struct Departure {
    is_announced: bool,
    // When the process was found not to be registered.
    gone_at: Option<time::Instant>,
}

/// Time for which the announcement of a removed process is kept. Its registration may return after an
/// outage of the registry, while the process still serves the last requests.
const TTL: time::Duration = time::Duration::from_secs(3_600);

impl Departures {
    /// Records that the process that started at `started_ms` has announced that it is leaving.
    pub fn announce(&mut self, started_ms: Option<u64>) {
        self.processes.entry(started_ms).or_default().is_announced = true;
    }

    /// Whether the process that started at `started_ms` has announced that it is leaving. One whose
    /// start is not known may be any of them.
    pub fn is_announced(&self, started_ms: Option<u64>) -> bool {
        match self.processes.get(&started_ms) {
            Some(departure) => departure.is_announced,
            None => started_ms.is_none() && self.processes.values().any(|known| known.is_announced),
        }
    }

    /// Records that an answer that was received at `now_ms`, in Unix milliseconds, said that the server
    /// is leaving.
    pub fn note_answer(&mut self, now_ms: u64) {
        self.answered_ms = self.answered_ms.max(Some(now_ms));
    }

    /// When an answer last said that the server is leaving, in Unix milliseconds.
    pub fn answered_ms(&self) -> Option<u64> {
        self.answered_ms
    }

    /// Whether the process that started at `started_ms` may be the one that said so in an answer.
    pub fn may_include(&self, started_ms: Option<u64>) -> bool {
        let is_unknown = !self.processes.contains_key(&started_ms);
        let started = started_ms.zip(self.answered_ms);
        is_unknown && started.is_some_and(|(started_ms, answered_ms)| started_ms <= answered_ms)
    }

    /// Start of the last of the processes, if any of them has told its start.
    pub fn last_start(&self) -> Option<u64> {
        self.processes.keys().next_back().copied().flatten()
    }

    /// Records that the process that started at `started_ms` is registered.
    pub fn set_registered(&mut self, started_ms: Option<u64>) {
        if let Some(departure) = self.processes.remove(&started_ms)
            && departure.is_announced
        {
            self.announce(started_ms);
        }
    }

    /// Records that the process that started at `started_ms` was removed.
    pub fn note_gone(&mut self, started_ms: Option<u64>) {
        self.processes.entry(started_ms).or_default();
    }

    /// Forgets processes that were removed long ago; `registered` is the start of the registered one.
    /// Returns whether any is left.
    pub fn expire(&mut self, registered: Option<Option<u64>>, now: time::Instant) -> bool {
        self.processes.retain(|started_ms, departure| {
            registered == Some(*started_ms) || now < *departure.gone_at.get_or_insert(now) + TTL
        });
        !self.processes.is_empty()
    }
}
