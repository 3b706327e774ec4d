//! Software versions of the servers of each service, now and in the recent past.

use std::{collections, time};

use crate::{history, ids, stamp};

/// Versions as one entry has seen them registered.
#[derive(Clone, Debug)]
pub struct Releases {
    // Since when all versions are known; none if nothing has run before.
    known_since: Option<time::Instant>,
    // Whether the registered servers are known.
    is_known: bool,
    // Time after its begin within which a stream may be taken up, once it is known.
    window: Option<time::Duration>,
    // Longer ones that were replaced, and when the streams that began by then are over.
    replaced: Vec<(time::Duration, time::Instant)>,
    servers: collections::BTreeMap<ids::ServerName, Server>,
    services: collections::BTreeMap<ids::ServiceName, Versions>,
    // Rows of the services in the store.
    rows: collections::BTreeMap<ids::ServiceName, Row>,
    // Whether the rows were read, or are not to be waited for.
    is_read: bool,
}

/// What is known of the row of a service.
#[derive(Clone, Copy, Debug)]
struct Row {
    era: stamp::Era,
    window_ms: u64,
    // Since when it names all versions: none if it does not say so in this era, or ever since.
    complete: Option<Option<time::Instant>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Server {
    service: ids::ServiceName,
    software: ids::SoftwareTag,
}

type Versions = collections::BTreeMap<ids::SoftwareTag, Version>;

#[derive(Clone, Copy, Debug, Default)]
struct Version {
    servers: u32,
    // When the last server with it was gone.
    gone_at: Option<time::Instant>,
    // The same as the store tells.
    stored_at: Option<time::Instant>,
    // When a server with it was seen first, since none was left.
    seen_at: Option<time::Instant>,
    // Whether the store has it on record as one with servers.
    is_recorded: bool,
    // Whether streams begin at it.
    is_used: bool,
}

impl Version {
    // When the last server was gone for all entries.
    fn left_at(&self) -> Option<time::Instant> {
        self.gone_at.max(self.stored_at.map(|at| at + history::SPREAD))
    }
}

impl Releases {
    /// Creates a history that begins `now`. If nothing has run before, it is complete from then on.
    pub fn new(is_first: bool, now: time::Instant) -> Releases {
        let known_since = (!is_first).then_some(now);
        Releases {
            known_since,
            is_known: false,
            window: None,
            replaced: Vec::new(),
            servers: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            is_read: is_first,
        }
    }

    /// Records that the servers are known for the first time.
    pub fn set_known(&mut self, now: time::Instant) {
        self.is_known = true;
        self.known_since = self.known_since.map(|since| since.max(now));
    }

    /// Sets the time after its begin within which a stream may be taken up, from `now` on.
    pub fn set_window(&mut self, window: time::Duration, now: time::Instant) {
        let old = self.window.replace(window).unwrap_or_default();
        self.replaced.retain(|(replaced, until)| *replaced > old && now <= *until);
        if old > window {
            self.replaced.push((old, now + old));
        }
    }

    /// That time, or a longer one under which streams have begun; a usual one while none is known.
    pub fn window(&self, now: time::Instant) -> time::Duration {
        self.known_window(now).unwrap_or(MIN_KEPT)
    }

    fn known_window(&self, now: time::Instant) -> Option<time::Duration> {
        let replaced = self.replaced.iter().filter(|(_, until)| now <= *until);
        self.window
            .map(|window| replaced.map(|(longer, _)| *longer).fold(window, time::Duration::max))
    }

    /// Records the version of a server; returns whether its service has another number of versions.
    pub fn set(
        &mut self,
        id: &str,
        service: &str,
        software: ids::SoftwareTag,
        now: time::Instant,
    ) -> bool {
        let server = Server { service: service.to_string(), software };
        if self.servers.get(id) == Some(&server) {
            return false;
        }
        self.remove(id, now);
        self.servers.insert(id.to_string(), server);
        let versions = self.services.entry(service.to_string()).or_default();
        let version = versions.entry(software).or_default();
        version.servers += 1;
        if version.servers == 1 {
            // The record of one that comes back may say by now that it is gone.
            (version.seen_at, version.is_recorded) = (Some(now), false);
        }
        version.servers == 1
    }

    /// Records that a server is gone.
    pub fn remove(&mut self, id: &str, now: time::Instant) {
        let Some(server) = self.servers.remove(id) else { return };
        let kept = self.window(now).max(MIN_KEPT);
        let Some(versions) = self.services.get_mut(&server.service) else { return };
        if let Some(version) = versions.get_mut(&server.software) {
            version.servers = version.servers.saturating_sub(1);
            if version.servers == 0 {
                version.gone_at = Some(now);
                (version.seen_at, version.is_used) = (None, false);
            }
        }
        versions.retain(|_, version| {
            version.servers > 0 || version.left_at().is_some_and(|at| now <= at + kept)
        });
    }

    /// The only version of a service by which a stream may have begun that can still be taken up; none
    /// if there are several, or if that is not known.
    pub fn only(&self, service: &str, now: time::Instant) -> Option<ids::SoftwareTag> {
        let window = self.known_window(now).filter(|_| self.is_known)?;
        if self.complete_since(service).is_some_and(|since| now < since + window) {
            return None;
        }
        let mut recent = self.recent(service, window, now);
        recent.next().filter(|_| recent.next().is_none())
    }

    /// Whether streams that can still be taken up may have begun by several versions of a service, as
    /// far as is known.
    pub fn has_several(&self, service: &str, now: time::Instant) -> bool {
        self.recent(service, self.window(now), now).nth(1).is_some()
    }

    // Since when all versions of a service are known; none if ever since.
    fn complete_since(&self, service: &str) -> Option<time::Instant> {
        let stored = self.rows.get(service).and_then(|row| row.complete);
        // No moment is less than any, which is right.
        stored.map_or(self.known_since, |stored| stored.min(self.known_since))
    }

    /// Adds the row of a service in the store.
    pub fn load(&mut self, service: &str, row: &history::History, reading: &history::Reading) {
        let is_current = row.era == reading.era;
        let window = time::Duration::from_millis(row.window_ms).min(history::MAX_WINDOW);
        if self.window.is_none_or(|known| known < window) {
            self.replaced.retain(|(replaced, _)| *replaced != window);
            self.replaced.push((window, reading.answered + window));
        }
        let versions = self.services.entry(service.to_string()).or_default();
        versions.values_mut().for_each(|version| version.is_recorded = false);
        for (software, gone_ms) in &row.versions {
            let version = versions.entry(*software).or_default();
            version.is_recorded = is_current && gone_ms.is_none();
            if version.servers > 0 {
                continue;
            }
            version.stored_at = gone_ms.map(|ms| reading.instant(ms));
            if gone_ms.is_none() {
                // It may have left while nobody saw it.
                version.gone_at.get_or_insert(reading.answered);
            }
        }
        let since = row.since_ms.map(|ms| reading.instant(ms));
        let (era, window_ms) = (row.era, window.as_millis() as u64);
        let complete = is_current.then_some(since);
        self.rows.insert(service.to_string(), Row { era, window_ms, complete });
    }

    /// Versions of a service that are known.
    pub fn versions(&self, service: &str) -> impl Iterator<Item = ids::SoftwareTag> {
        self.services.get(service).into_iter().flat_map(|versions| versions.keys().copied())
    }

    /// Versions of a service by which no stream can have begun that can still be taken up: the store has
    /// told when they had left.
    pub fn gone(
        &self,
        service: &str,
        now: time::Instant,
    ) -> collections::BTreeSet<ids::SoftwareTag> {
        let window = self.window(now) + history::SPREAD;
        let is_gone = |version: &Version| {
            let is_over = version.stored_at.is_some_and(|at| now > at + history::SPREAD + window);
            version.servers == 0 && is_over
        };
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(|(_, version)| is_gone(version)).map(|(software, _)| *software).collect()
    }

    /// Records that the rows of all services were read, or that the store does not answer.
    pub fn set_read(&mut self) {
        self.is_read = true;
    }

    /// Records that changes of the servers may have been missed until `now`.
    pub fn set_gap(&mut self, now: time::Instant) {
        self.known_since = Some(now);
        self.rows.clear();
        for version in self.services.values_mut().flat_map(collections::BTreeMap::values_mut) {
            version.is_recorded = false;
            if version.servers == 0 {
                version.gone_at = Some(now);
            }
        }
    }

    /// Whether the row of a service is to be written, in the store's `era`.
    pub fn need(&self, service: &str, era: stamp::Era, now: time::Instant) -> history::Need {
        let is_ready = self.is_known && self.window.is_some();
        let Some(versions) = self.services.get(service).filter(|_| is_ready) else {
            return history::Need::None;
        };
        if versions.values().any(|version| version.servers > 0 && !version.is_recorded) {
            return history::Need::Version;
        }
        let is_gone = |version: &Version| {
            let is_left = version.servers == 0 && version.is_recorded;
            is_left && version.gone_at.is_some_and(|at| now > at + GONE_TIME)
        };
        let window_ms = self.window(now).as_millis() as u64;
        let is_stale = |row: &Row| {
            // More is known here than the row says, as after a restore that this entry lived through.
            let since = self.known_since.map(|since| since + GONE_TIME);
            row.era != era
                || row.window_ms != window_ms
                || row.complete.is_some_and(|complete| since < complete)
        };
        if versions.values().any(is_gone) || self.rows.get(service).is_some_and(is_stale) {
            return history::Need::Tidy;
        }
        history::Need::None
    }

    /// Content of the row of a service to be written, after the one that was read was loaded. In a new era
    /// what was seen here counts once it `is_settled`.
    pub fn record(
        &self,
        service: &str,
        row: Option<&history::History>,
        is_settled: bool,
        reading: &history::Reading,
    ) -> history::History {
        let now = reading.answered;
        let current = row.filter(|row| row.era == reading.era);
        let own = if is_settled { self.known_since } else { Some(now) };
        let own_ms = own.map(|since| reading.millis(since));
        let since_ms = current.map_or(own_ms, |row| row.since_ms.min(own_ms));
        let mut versions = row.map(|row| row.versions.clone()).unwrap_or_default();
        for (software, version) in self.services.get(service).into_iter().flatten() {
            let known = versions.get(software).copied();
            let gone_at = version.gone_at.filter(|_| version.servers == 0);
            let is_early = gone_at.is_some_and(|at| now <= at + GONE_TIME);
            let said = match known {
                Some(None) if is_early => None,
                _ if version.servers > 0 => None,
                // Seen by the store alone.
                Some(known) if gone_at.is_none() => known,
                known => known.flatten().max(gone_at.map(|at| reading.millis(at))),
            };
            versions.insert(*software, said);
        }
        let window = self.window(now);
        let kept_ms = (window.max(MIN_KEPT) + history::SPREAD).as_millis() as u64;
        let is_kept = |ms: u64| reading.now_ms <= ms.saturating_add(kept_ms);
        versions.retain(|_, gone_ms| gone_ms.is_none_or(is_kept));
        let window_ms = window.as_millis() as u64;
        history::History { era: reading.era, since_ms, window_ms, versions }
    }

    /// Whether streams may begin at a version: the store has it on record, or there is no other way.
    pub fn is_used(
        &mut self,
        service: &str,
        software: ids::SoftwareTag,
        now: time::Instant,
    ) -> bool {
        let is_read = self.is_read;
        let Some(versions) = self.services.get_mut(service) else { return true };
        let has_other = versions.iter().any(|(other, version)| {
            *other != software && version.servers > 0 && (version.is_recorded || version.is_used)
        });
        let Some(version) = versions.get_mut(&software) else { return true };
        let is_late = version.seen_at.is_none_or(|at| now > at + MAX_HOLD);
        version.is_used |= version.is_recorded || is_late || is_read && !has_other;
        version.is_used
    }

    // Versions that streams which can still be taken up may have, as far as is known here.
    fn recent(
        &self,
        service: &str,
        window: time::Duration,
        now: time::Instant,
    ) -> impl Iterator<Item = ids::SoftwareTag> {
        let is_recent = move |version: &Version| {
            version.servers > 0 || version.left_at().is_some_and(|at| now <= at + window)
        };
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(move |(_, version)| is_recent(version)).map(|(software, _)| *software)
    }

    /// The same, with what other entries have `answered` to that question. Changes of the servers reach
    /// entries one after the other, so that the answers count only if no other version is known here.
    pub fn agreed(
        &self,
        service: &str,
        answered: &collections::BTreeSet<ids::SoftwareTag>,
        now: time::Instant,
    ) -> Option<ids::SoftwareTag> {
        let window = self.known_window(now).filter(|_| self.is_known)?;
        let single = self.only(service, now).or_else(|| answered.first().copied())?;
        let is_agreed = answered.iter().all(|said| *said == single);
        let is_alone = self.recent(service, window, now).all(|known| known == single);
        (is_agreed && is_alone).then_some(single)
    }
}

/// Time for which a version has to be gone before the store is told.
const GONE_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after which streams begin at a version though the store has no record of it.
const MAX_HOLD: time::Duration = time::Duration::from_secs(10);
/// Minimum time for which a version that has left is kept, since a config may lengthen the timeouts.
const MIN_KEPT: time::Duration = time::Duration::from_secs(600);
