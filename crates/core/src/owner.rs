//! Chooses the server that owns an idempotency key, the only one that may run it.

use std::{collections, time};

use crate::ids;

/// Ranks `servers` for `key` by rendezvous hashing, the owner first.
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
pub enum Ownership {
    /// The server owns the key and no other server can have run it.
    Owner,
    /// Another server owns the key.
    NotOwner,
    /// A server that left or failed may have run the key; check again at the given time.
    HeldUntil(time::Instant),
}

/// Servers of one service as one process sees them, including those that disappeared within the
/// window.
#[derive(Clone, Debug, Default)]
pub struct Members {
    // `None` for a server that is present, else when it was first seen to be gone.
    servers: collections::BTreeMap<ids::ServerName, Option<time::Instant>>,
}

impl Members {
    /// Updates the view: a server is present if it is listed and `is_gone` is false for it.
    pub fn observe(
        &mut self,
        listed: &[ids::ServerName],
        is_gone: impl Fn(&str) -> bool,
        now: time::Instant,
    ) {
        for server in listed.iter().filter(|server| !is_gone(server)) {
            self.servers.insert(server.clone(), None);
        }
        for server in listed.iter().filter(|server| is_gone(server)) {
            // A server never seen present may still have run keys before this process started.
            self.servers.entry(server.clone()).or_insert(Some(now)).get_or_insert(now);
        }
        for (server, gone) in &mut self.servers {
            if !listed.contains(server) {
                gone.get_or_insert(now);
            }
        }
    }

    /// Records that `server` left at `since`, unless the server has been observed before.
    pub fn record_removal(&mut self, server: &str, since: time::Instant) {
        self.servers.entry(server.to_string()).or_insert(Some(since));
    }

    /// Drops servers that have been gone for at least `window` and are not listed.
    pub fn forget(
        &mut self,
        listed: &[ids::ServerName],
        window: time::Duration,
        now: time::Instant,
    ) {
        self.servers.retain(|server, gone| match gone {
            Some(since) => listed.contains(server) || now < *since + window,
            None => true,
        });
    }

    /// Owner of `key` among the servers that are present.
    pub fn owner(&self, key: ids::KeyHash) -> Option<&ids::ServerName> {
        let present = self.servers.iter().filter(|(_, gone)| gone.is_none());
        rank(key, present.map(|(server, _)| server)).into_iter().next()
    }

    /// Checks whether the server `own` may run `key`.
    pub fn ownership(
        &self,
        key: ids::KeyHash,
        own: &str,
        window: time::Duration,
        now: time::Instant,
    ) -> Ownership {
        let mut held: Option<time::Instant> = None;
        for server in rank(key, self.servers.keys()) {
            if server == own {
                return match held {
                    Some(until) if now < until => Ownership::HeldUntil(until),
                    _ => Ownership::Owner,
                };
            }
            match self.servers[server] {
                None => return Ownership::NotOwner,
                Some(since) => held = held.max(Some(since + window)),
            }
        }
        Ownership::NotOwner
    }
}
