//! Registered backend servers, and the grace period for those whose registration is missing.

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
    /// Requests that it runs at once.
    pub slots: u32,
    /// Stage, if it is a model engine.
    pub stage: Option<Stage>,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Start of its process in Unix milliseconds, if registered.
    pub started_ms: Option<u64>,
    /// Number of this registration among those that its process has written.
    pub sequence: u64,
    /// Version of its software.
    pub software: ids::SoftwareName,
}

/// Order of a registration and the one that is known of the same server, as the server itself tells it.
/// The registry carries out a write that was not answered up to seconds later, after newer ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// None is known, or this one was written later, as far as can be told.
    Later,
    /// An earlier process wrote it.
    EarlierProcess,
    /// The same process wrote it before the one that is known.
    EarlierReport,
}

/// Effect of a change of the registry on the set of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server may be used; the state of an earlier process with its id is obsolete.
    Joined(ids::ServerName),
    /// A server's registration changed, for example its stage or address.
    Updated(ids::ServerName),
    /// A server is leaving and gets no new work.
    Leaving(ids::ServerName),
    /// A server was removed.
    Gone(ids::ServerName),
}

/// Registered servers, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: collections::BTreeMap<ids::ServerName, Instance>,
    // Servers whose registrations disappeared around an outage of the registry, and when they are
    // removed.
    missing: collections::BTreeMap<ids::ServerName, time::Instant>,
    // End of the grace period after the registry's last recovery.
    grace_until: Option<time::Instant>,
    // Processes of servers that have announced that they are leaving, or were removed.
    departing: collections::BTreeMap<ids::ServerName, Departure>,
}

// What a process of a server, registered or not, has announced; it does not take it back.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_ms: Option<u64>,
    is_announced: bool,
    // When the server was found to be removed.
    gone_at: Option<time::Instant>,
}

/// Time after the registry has recovered within which live servers renew expired registrations.
const RECOVERY_GRACE: time::Duration = time::Duration::from_millis(1_800);
/// Longest time that the registry counts as away after a refused call. With the grace period it is
/// less than the 3 s after which a server without a registration must not be used.
const MAX_UNNOTICED: time::Duration = time::Duration::from_millis(1_000);
/// Time for which the announcement of a removed server is kept. Its registration may return after an
/// outage of the registry, while the process still serves the last requests.
const DEPARTURE_TTL: time::Duration = time::Duration::from_secs(3_600);

impl Fleet {
    /// All servers by id.
    pub fn instances(&self) -> &collections::BTreeMap<ids::ServerName, Instance> {
        &self.instances
    }

    /// Looks a server up.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Order of a registration of a server and the one that is known.
    pub fn order(&self, id: &str, instance: &Instance) -> Order {
        let Some(known) = self.instances.get(id) else { return Order::Later };
        if known.started_ms == instance.started_ms {
            let is_later = instance.sequence >= known.sequence;
            return if is_later { Order::Later } else { Order::EarlierReport };
        }
        let is_earlier = instance.started_ms.zip(known.started_ms).is_some_and(|(a, b)| a < b);
        if is_earlier { Order::EarlierProcess } else { Order::Later }
    }

    /// Records that the registry answers again after an outage, and when it last refused a call, if it
    /// did: it may have been back since.
    pub fn registry_recovered(&mut self, refused_at: Option<time::Instant>, now: time::Instant) {
        let back_at = refused_at.map_or(now, |at| now.min(at + MAX_UNNOTICED));
        self.grace_until = Some(back_at + RECOVERY_GRACE);
    }

    /// Applies the rest of the grace period of an entry that found the registry back earlier, unless one
    /// runs here.
    pub fn adopt_grace(&mut self, rest: time::Duration, now: time::Instant) {
        if self.grace_left(now).is_zero() {
            self.grace_until = Some(now + rest.min(RECOVERY_GRACE));
        }
    }

    /// Rest of the grace period after the registry's last recovery; zero without one.
    pub fn grace_left(&self, now: time::Instant) -> time::Duration {
        self.grace_until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Sets the newest registration of a server.
    ///
    /// A process that has announced that it is leaving stays so, whatever its registration says.
    pub fn set(&mut self, id: &str, mut instance: Instance) -> Option<Change> {
        let started_ms = instance.started_ms;
        let known = self.departing.remove(id);
        let known = known.filter(|departure| departure.started_ms == started_ms);
        instance.leaving |= known.is_some_and(|departure| departure.is_announced);
        if instance.leaving {
            self.departing.insert(id.to_string(), Departure::announced(started_ms));
        }
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
        let unchanged = Instance { sequence: instance.sequence, ..old };
        (unchanged != instance || was_missing).then_some(Change::Updated(id))
    }

    /// Records that a server has announced that it is leaving, other than by its registration, which
    /// may be missing by then.
    pub fn set_leaving(&mut self, id: &str) -> Option<Change> {
        if let Some(departure) = self.departing.get_mut(id) {
            departure.is_announced = true;
        }
        let instance = self.instances.get_mut(id).filter(|instance| !instance.leaving)?;
        instance.leaving = true;
        let departure = Departure::announced(instance.started_ms);
        self.departing.insert(id.to_string(), departure);
        Some(Change::Leaving(id.to_string()))
    }

    /// Removes a server whose registration is invalid.
    pub fn set_invalid(&mut self, id: &str) -> Option<Change> {
        self.drop(id)
    }

    /// Removes a server that has no registration, after a grace period if the registry has just
    /// recovered.
    pub fn remove(&mut self, id: &str, now: time::Instant) -> Option<Change> {
        if !self.instances.contains_key(id) {
            return None;
        }
        if let Some(until) = self.grace_until.filter(|until| now < *until) {
            self.keep_until(id, until);
            return None;
        }
        self.drop(id)
    }

    /// Keeps a server that has no registration until `until`, unless it registers again.
    pub fn keep_until(&mut self, id: &str, until: time::Instant) {
        if self.instances.contains_key(id) {
            self.missing.entry(id.to_string()).or_insert(until);
        }
    }

    /// Servers without a registration that are kept, and the rest of their grace periods.
    pub fn missing(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServerName, time::Duration)> {
        self.missing.iter().map(move |(id, until)| (id, until.saturating_duration_since(now)))
    }

    /// Removes the next server whose grace period has expired.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<Change> {
        let instances = &self.instances;
        self.departing.retain(|id, departure| {
            if instances.contains_key(id) {
                return true;
            }
            now < *departure.gone_at.get_or_insert(now) + DEPARTURE_TTL
        });
        let due = self.missing.iter().find(|(_, until)| **until <= now);
        let id = due.map(|(id, _)| id.clone())?;
        self.drop(&id)
    }

    fn drop(&mut self, id: &str) -> Option<Change> {
        self.missing.remove(id);
        let instance = self.instances.remove(id)?;
        self.departing.entry(id.to_string()).or_insert(Departure {
            started_ms: instance.started_ms,
            is_announced: false,
            gone_at: None,
        });
        Some(Change::Gone(id.to_string()))
    }
}

impl Departure {
    fn announced(started_ms: Option<u64>) -> Departure {
        Departure { started_ms, is_announced: true, gone_at: None }
    }
}
