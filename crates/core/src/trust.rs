//! Whether a key without a record at this server can have run out of its sight.

use std::time;

use crate::{ids, outcome, owner};

use outcome::{RETRY_SOON, Reason, Refusal};

/// What one server knows of its own past and of the other servers of its service.
#[derive(Clone, Debug)]
pub struct Trust {
    server: ids::ServerName,
    members: owner::Members,
    // Keys may have run out of this server's sight until then.
    unsure_until: Option<time::Instant>,
    ticked: time::Instant,
    // The platform's list lags, so absence counts only after presence.
    seen_live: bool,
}

impl Trust {
    /// Starts with a memory that begins at `now`.
    pub fn new(server: ids::ServerName, now: time::Instant) -> Trust {
        Trust {
            server,
            members: owner::Members::default(),
            unsure_until: Some(now),
            ticked: now,
            seen_live: false,
        }
    }

    /// Declares that no earlier process of this server can have run a key.
    pub fn trust(&mut self) {
        self.unsure_until = None;
    }

    /// Declares that keys may have run elsewhere until now.
    pub fn distrust(&mut self, now: time::Instant) {
        self.unsure_until = self.unsure_until.max(Some(now));
    }

    /// Notes that the server joined its service `ago`, when others had run keys for it before.
    pub fn join(&mut self, ago: time::Duration, now: time::Instant) {
        self.unsure_until = self.unsure_until.max(now.checked_sub(ago));
    }

    /// Notes a server that left the service `ago`, before this process could see it.
    pub fn note_removed(
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

    /// Takes a new view of the servers of the service.
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
            self.distrust(now);
        }
        self.members.observe(listed, is_gone, now);
        self.members.forget(listed, window, now);
    }

    /// Distrusts the memory after a pause of half the window: others may have been told meanwhile
    /// that this server is gone.
    pub fn tick(&mut self, window: time::Duration, now: time::Instant) {
        if now.saturating_duration_since(self.ticked) >= window / 2 {
            self.distrust(now);
        }
        self.ticked = now;
    }

    /// Time until unknown keys are accepted; zero if they are now.
    pub fn held_back(&self, window: time::Duration, now: time::Instant) -> time::Duration {
        let until = self.unsure_until.map(|until| until + window);
        until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Refuses a key that may have run elsewhere; never as "not run".
    pub fn refuse(
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
