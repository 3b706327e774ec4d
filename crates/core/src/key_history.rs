//! Tracks whether an idempotency key without a record at this server may have run elsewhere.

use std::time;

use crate::{ids, outcome, owner};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Time until which keys may have run without a record at this server, and the members of its
/// service.
#[derive(Clone, Debug)]
pub struct KeyHistory {
    server: ids::ServerName,
    members: owner::Members,
    // Keys may have run without a record here until this time; `None` if the records are complete.
    incomplete_until: Option<time::Instant>,
    ticked_at: time::Instant,
    // Whether the platform's list has shown this server live. The list lags, so the server's
    // absence from it counts only after that.
    seen_live: bool,
}

impl KeyHistory {
    /// Creates the history of a server whose records begin at `now`.
    pub fn new(server: ids::ServerName, now: time::Instant) -> KeyHistory {
        KeyHistory {
            server,
            members: owner::Members::default(),
            incomplete_until: Some(now),
            ticked_at: now,
            seen_live: false,
        }
    }

    /// Declares the records complete: no earlier process of this server can have run a key
    /// without a record here.
    pub fn mark_complete(&mut self) {
        self.incomplete_until = None;
    }

    /// Declares that keys may have run elsewhere until `now`.
    pub fn mark_incomplete(&mut self, now: time::Instant) {
        self.incomplete_until = self.incomplete_until.max(Some(now));
    }

    /// Records that this server joined its service `ago`; until then, other servers may have run
    /// any key.
    pub fn record_join(&mut self, ago: time::Duration, now: time::Instant) {
        self.incomplete_until = self.incomplete_until.max(now.checked_sub(ago));
    }

    /// Records a server that left the service `ago`, before this process could observe it.
    pub fn record_removal(
        &mut self,
        server: &str,
        ago: time::Duration,
        window: time::Duration,
        now: time::Instant,
    ) {
        if ago < window {
            self.members.record_removal(server, now.checked_sub(ago).unwrap_or(now));
        }
    }

    /// Updates the view of the servers of the service.
    pub fn observe(
        &mut self,
        listed: &[ids::ServerName],
        is_gone: impl Fn(&str) -> bool,
        window: time::Duration,
        now: time::Instant,
    ) {
        if !is_gone(&self.server) {
            self.seen_live = true;
        } else if self.seen_live {
            self.mark_incomplete(now);
        }
        self.members.observe(listed, is_gone, now);
        self.members.forget(listed, window, now);
    }

    /// Marks the records incomplete after a pause of half the window or more: the platform may
    /// have reported this server as gone, and other servers may have run its keys.
    pub fn tick(&mut self, window: time::Duration, now: time::Instant) {
        if now.saturating_duration_since(self.ticked_at) >= window / 2 {
            self.mark_incomplete(now);
        }
        self.ticked_at = now;
    }

    /// Time until unknown keys are accepted; zero if they are accepted now.
    pub fn held_back(&self, window: time::Duration, now: time::Instant) -> time::Duration {
        let until = self.incomplete_until.map(|until| until + window);
        until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Refuses a key that may have run elsewhere. The outcome is unknown, never "not run".
    pub fn check(
        &self,
        key: ids::KeyHash,
        window: time::Duration,
        now: time::Instant,
    ) -> Option<Refusal> {
        let held_back = self.held_back(window, now);
        if !held_back.is_zero() {
            return Some(Refusal::unknown(Reason::KeyUncertain, held_back));
        }
        match self.members.ownership(key, &self.server, window, now) {
            owner::Ownership::Owner => None,
            owner::Ownership::NotOwner => Some(Refusal::unknown(Reason::WrongHome, RETRY_SOON)),
            owner::Ownership::HeldUntil(until) => {
                Some(Refusal::unknown(Reason::KeyUncertain, until - now))
            }
        }
    }
}
