//! Chooses the home server of an idempotency key, which alone may run it.

use std::{collections, time};

use crate::ids;

/// Ranks `servers` for `key` by rendezvous hashing, the home first.
pub fn rank<'a>(
    key: ids::KeyHash,
    servers: impl IntoIterator<Item = &'a ids::ServerName>,
) -> Vec<&'a ids::ServerName> {
    let mut ranked: Vec<_> = servers
        .into_iter()
        .map(|server| (ids::digest(&[&key.to_be_bytes(), server.as_bytes()]), server))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Whether a server may run an idempotency key that it has no record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The server is the home and no other can have run the key.
    Home,
    /// Another server is the home.
    Elsewhere,
    /// A server that is gone may have run the key; ask again at the given time.
    HeldUntil(time::Instant),
}

/// Servers of one service, as seen by one process, with those gone for less than the window.
#[derive(Clone, Debug, Default)]
pub struct Members {
    // `Some` is the first moment at which the server was seen to be gone.
    slots: collections::BTreeMap<ids::ServerName, Option<time::Instant>>,
}

impl Members {
    /// Takes a new view: a server is present if it is listed and the platform has not dropped it.
    pub fn observe(
        &mut self,
        listed: &[ids::ServerName],
        is_gone: impl Fn(&str) -> bool,
        now: time::Instant,
    ) {
        for server in listed.iter().filter(|server| !is_gone(server)) {
            self.slots.insert(server.clone(), None);
        }
        for server in listed.iter().filter(|server| is_gone(server)) {
            // A server that was never seen here may have run keys before this process started.
            self.slots.entry(server.clone()).or_insert(Some(now)).get_or_insert(now);
        }
        for (server, gone) in &mut self.slots {
            if !listed.contains(server) {
                gone.get_or_insert(now);
            }
        }
    }

    /// Notes a server that left at `since`, unless a view has shown it.
    pub fn note_removed(&mut self, server: &str, since: time::Instant) {
        self.slots.entry(server.to_string()).or_insert(Some(since));
    }

    /// Forgets servers that have been gone for longer than `window` and are not listed.
    pub fn forget(
        &mut self,
        listed: &[ids::ServerName],
        window: time::Duration,
        now: time::Instant,
    ) {
        self.slots.retain(|server, gone| match gone {
            Some(since) => listed.contains(server) || now < *since + window,
            None => true,
        });
    }

    /// Home of `key` among the servers that are present.
    pub fn home(&self, key: ids::KeyHash) -> Option<&ids::ServerName> {
        let present = self.slots.iter().filter(|(_, gone)| gone.is_none());
        rank(key, present.map(|(server, _)| server)).into_iter().next()
    }

    /// Standing of the server `own` for `key`.
    pub fn standing(
        &self,
        key: ids::KeyHash,
        own: &str,
        window: time::Duration,
        now: time::Instant,
    ) -> Standing {
        let mut held: Option<time::Instant> = None;
        for server in rank(key, self.slots.keys()) {
            if server == own {
                return match held {
                    Some(until) if now < until => Standing::HeldUntil(until),
                    _ => Standing::Home,
                };
            }
            match self.slots[server] {
                None => return Standing::Elsewhere,
                Some(since) => held = held.max(Some(since + window)),
            }
        }
        Standing::Elsewhere
    }
}
