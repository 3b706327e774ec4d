//! Backend servers that are registered, and when one that is missing counts as gone.

use std::{collections, net, time};

use crate::ids;

/// Stage of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

impl Stage {
    /// The other stage.
    pub fn other(self) -> Stage {
        match self {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        }
    }
}

/// One registered server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Service that it serves.
    pub service: ids::ServiceName,
    /// Address of its HTTP interface.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Stage, where it is a model engine.
    pub stage: Option<Stage>,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// Start of its process in Unix milliseconds, where it says so.
    pub started_ms: Option<u64>,
}

/// What a change of the registry means for those who use the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server may be used; what was known of an earlier process under its id is void.
    Joined(ids::ServerName),
    /// A server's stage, address or count of orders changed.
    Updated(ids::ServerName),
    /// A server leaves and gets no new work.
    Leaving(ids::ServerName),
    /// A server is gone.
    Gone(ids::ServerName),
}

/// Registered servers as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: collections::BTreeMap<ids::ServerName, Instance>,
    // Entries that vanished around an outage of the registry, and when they count as gone.
    missing: collections::BTreeMap<ids::ServerName, time::Instant>,
    lenient_until: Option<time::Instant>,
}

/// Time after the registry's return within which lapsed entries of live servers are back.
const RETURN_TIME: time::Duration = time::Duration::from_millis(1_800);

impl Fleet {
    /// All servers, by id.
    pub fn instances(&self) -> &collections::BTreeMap<ids::ServerName, Instance> {
        &self.instances
    }

    /// Looks a server up.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Notes that the registry answers again after an outage.
    pub fn registry_recovered(&mut self, now: time::Instant) {
        self.lenient_until = Some(now + RETURN_TIME);
    }

    /// Takes the newest entry of a server.
    pub fn set(&mut self, id: &str, instance: Instance) -> Option<Change> {
        let was_missing = self.missing.remove(id).is_some();
        let old = self.instances.insert(id.to_string(), instance.clone());
        let id = id.to_string();
        let Some(old) = old else { return Some(Change::Joined(id)) };
        if old.started_ms != instance.started_ms || old.service != instance.service {
            return Some(Change::Joined(id));
        }
        if instance.leaving {
            return (!old.leaving).then_some(Change::Leaving(id));
        }
        if old.leaving {
            return Some(Change::Joined(id));
        }
        (old != instance || was_missing).then_some(Change::Updated(id))
    }

    /// Takes the news that a server's entry cannot be read: it names no server to use.
    pub fn set_invalid(&mut self, id: &str) -> Option<Change> {
        self.drop(id)
    }

    /// Takes the news that a server has no entry.
    pub fn remove(&mut self, id: &str, now: time::Instant) -> Option<Change> {
        if !self.instances.contains_key(id) {
            return None;
        }
        if let Some(until) = self.lenient_until.filter(|until| now < *until) {
            self.keep_until(id, until);
            return None;
        }
        self.drop(id)
    }

    /// Takes the news that a server has no entry, but may have one again until `until`.
    pub fn keep_until(&mut self, id: &str, until: time::Instant) {
        if self.instances.contains_key(id) {
            self.missing.entry(id.to_string()).or_insert(until);
        }
    }

    /// Servers whose entries vanished around an outage, and how long they are still waited for.
    pub fn missing(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServerName, time::Duration)> {
        self.missing.iter().map(move |(id, until)| (id, until.saturating_duration_since(now)))
    }

    /// Drops the next server whose entry did not come back in time.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<Change> {
        let due = self.missing.iter().find(|(_, until)| **until <= now);
        let id = due.map(|(id, _)| id.clone())?;
        self.drop(&id)
    }

    fn drop(&mut self, id: &str) -> Option<Change> {
        self.missing.remove(id);
        self.instances.remove(id).map(|_| Change::Gone(id.to_string()))
    }
}
