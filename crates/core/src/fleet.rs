//! Registered backend servers, and the grace period for those whose registration is missing.

use std::{collections, net, time};

use crate::{departures, ids};

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
    departures: collections::BTreeMap<ids::ServerName, departures::Departures>,
    // When departures last expired.
    expired_at: Option<time::Instant>,
    // Registrations that may be older than what is known.
    held: collections::BTreeMap<ids::ServerName, Held>,
    // Time after which a registration has been renewed by a process that runs, or is removed.
    row_lifetime: time::Duration,
}

// A registration that is used once it has outlived the process that is known.
#[derive(Clone, Debug)]
struct Held {
    instance: Instance,
    // Set when the time is first known.
    until: Option<time::Instant>,
}

/// Time after the registry has recovered within which live servers renew expired registrations.
const RECOVERY_GRACE: time::Duration = time::Duration::from_millis(1_800);
/// Longest time that the registry counts as away after a refused call. With the grace period it is
/// less than the 3 s after which a server without a registration must not be used.
const MAX_UNNOTICED: time::Duration = time::Duration::from_millis(1_000);

/// Shortest time after which departures expire again; they are kept for much longer.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(10);

impl Fleet {
    /// All servers by id.
    pub fn instances(&self) -> &collections::BTreeMap<ids::ServerName, Instance> {
        &self.instances
    }

    /// Looks a server up.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Sets the time after which a registration that its process does not renew has been removed, and
    /// the removal is known.
    pub fn set_row_lifetime(&mut self, lifetime: time::Duration) {
        self.row_lifetime = lifetime;
    }

    /// Order of a registration of a server and what is known of its processes.
    pub fn order(&self, id: &str, instance: &Instance) -> Order {
        let known = self.instances.get(id);
        if let Some(known) = known.filter(|known| known.started_ms == instance.started_ms) {
            // Without their starts, two processes are not told apart. The server of a missing
            // registration may be known by the earlier one alone.
            let is_earlier = instance.started_ms.is_some()
                && instance.sequence < known.sequence
                && !self.missing.contains_key(id);
            return if is_earlier { Order::EarlierReport } else { Order::Later };
        }
        let started_ms = known.map_or_else(
            || self.departures.get(id).and_then(departures::Departures::last_start),
            |known| known.started_ms,
        );
        let is_earlier = instance.started_ms.zip(started_ms).is_some_and(|(own, last)| own < last);
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

    /// Sets the registration of a server that the registry has.
    ///
    /// One that its process wrote before the one that is known is ignored. One of another process that
    /// may have been written before what is known is used only after the lifetime of a row: it is
    /// removed by then if its process does not run. A process that has announced that it is leaving
    /// stays so, whatever its registration says.
    pub fn set(&mut self, id: &str, instance: Instance) -> Option<Change> {
        if instance.leaving {
            self.departures.entry(id.to_string()).or_default().announce(instance.started_ms);
        }
        let order = self.order(id, &instance);
        if order == Order::EarlierReport {
            return self.note_departure(id);
        }
        let held = self.held.remove(id);
        let held = held.filter(|held| held.instance.started_ms == instance.started_ms);
        let is_doubted = held.is_some() || self.may_have_left(id, &instance);
        if order == Order::EarlierProcess || (is_doubted && !instance.leaving) {
            let until = held.and_then(|held| held.until);
            self.held.insert(id.to_string(), Held { instance, until });
            return None;
        }
        self.accept(id, instance)
    }

    // Gives a registered server no more work if its process has announced that it is leaving.
    fn note_departure(&mut self, id: &str) -> Option<Change> {
        let instance = self.instances.get_mut(id).filter(|instance| !instance.leaving)?;
        instance.leaving = self.departures.get(id)?.is_announced(instance.started_ms);
        instance.leaving.then(|| Change::Leaving(id.to_string()))
    }

    // Whether a process of which nothing is known was running when the server announced in an answer
    // that it is leaving.
    fn may_have_left(&self, id: &str, instance: &Instance) -> bool {
        let is_known =
            self.instances.get(id).is_some_and(|known| known.started_ms == instance.started_ms);
        let departures = self.departures.get(id).filter(|_| !is_known);
        departures.is_some_and(|departures| departures.may_include(instance.started_ms))
    }

    // Uses a registration.
    fn accept(&mut self, id: &str, mut instance: Instance) -> Option<Change> {
        let departures = self.departures.entry(id.to_string()).or_default();
        departures.set_registered(instance.started_ms);
        instance.leaving |= departures.is_announced(instance.started_ms);
        let was_missing = self.missing.remove(id).is_some();
        let old = self.instances.insert(id.to_string(), instance.clone());
        let id = id.to_string();
        let Some(old) = old else { return Some(Change::Joined(id)) };
        let is_other = old.started_ms != instance.started_ms || old.service != instance.service;
        if is_other || (old.leaving && !instance.leaving) {
            return Some(Change::Joined(id));
        }
        if instance.leaving {
            return (!old.leaving).then_some(Change::Leaving(id));
        }
        let unchanged = Instance { sequence: instance.sequence, ..old };
        (unchanged != instance || was_missing).then_some(Change::Updated(id))
    }

    /// Records that a server has announced that it is leaving, other than by its registration, which
    /// may be missing by then: in an answer that was received at `now_ms`, in Unix milliseconds, to a
    /// request to its process that started at `started_ms`.
    ///
    /// A later process that is registered by then may have answered as well. It gets no work for the
    /// lifetime of a row, within which its own registration or another answer tells.
    pub fn set_leaving(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Change> {
        let departures = self.departures.entry(id.to_string()).or_default();
        departures.announce(started_ms);
        departures.note_answer(now_ms);
        let instance = self.instances.get_mut(id).filter(|instance| !instance.leaving)?;
        if instance.started_ms != started_ms {
            let held = Held { instance: instance.clone(), until: None };
            self.held.entry(id.to_string()).or_insert(held);
        }
        instance.leaving = true;
        Some(Change::Leaving(id.to_string()))
    }

    /// When an answer of a server last said that it is leaving, in Unix milliseconds.
    pub fn left_ms(&self, id: &str) -> Option<u64> {
        self.departures.get(id)?.answered_ms()
    }

    /// Removes a server whose registration is invalid.
    pub fn set_invalid(&mut self, id: &str) -> Option<Change> {
        self.held.remove(id);
        self.drop(id)
    }

    /// Removes a server that has no registration, after a grace period if the registry has just
    /// recovered.
    pub fn remove(&mut self, id: &str, now: time::Instant) -> Option<Change> {
        self.held.remove(id);
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

    /// Removes the next server whose grace period has expired, or uses the next registration that has
    /// outlived what was known of its server.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<Change> {
        self.expire_departures(now);
        let due = self.missing.iter().find(|(_, until)| **until <= now);
        if let Some(id) = due.map(|(id, _)| id.clone()) {
            return self.drop(&id);
        }
        let lifetime = self.row_lifetime;
        let is_due = |held: &mut Held| *held.until.get_or_insert(now + lifetime) <= now;
        // All of them get their times.
        let due: Vec<_> = self
            .held
            .iter_mut()
            .filter_map(|(id, held)| is_due(held).then(|| id.clone()))
            .collect();
        due.iter().find_map(|id| {
            let held = self.held.remove(id)?;
            self.accept(id, held.instance)
        })
    }

    // Forgets processes that were removed long ago, at most once in a while: it goes through all servers.
    fn expire_departures(&mut self, now: time::Instant) {
        if self.expired_at.is_some_and(|at| now < at + EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Some(now);
        self.departures.retain(|id, departures| {
            departures.expire(self.instances.get(id).map(|known| known.started_ms), now)
        });
    }

    fn drop(&mut self, id: &str) -> Option<Change> {
        self.missing.remove(id);
        let instance = self.instances.remove(id)?;
        self.departures.entry(id.to_string()).or_default().note_gone(instance.started_ms);
        Some(Change::Gone(id.to_string()))
    }
}
