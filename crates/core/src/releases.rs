//! Software versions of the servers of each service, now and in the recent past.

use std::{collections, time};

use crate::ids;

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
        versions.entry(software).or_default().servers += 1;
        versions.get(&software).is_some_and(|version| version.servers == 1)
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
            }
        }
        versions.retain(|_, version| {
            version.servers > 0 || version.gone_at.is_some_and(|at| now <= at + kept)
        });
    }

    /// The only version of a service by which a stream may have begun that can still be taken up; none
    /// if there are several, or if that is not known.
    pub fn only(&self, service: &str, now: time::Instant) -> Option<ids::SoftwareTag> {
        let window = self.known_window(now).filter(|_| self.is_known)?;
        if self.known_since.is_some_and(|since| now < since + window) {
            return None;
        }
        let mut recent = self.recent(service, window, now);
        recent.next().filter(|_| recent.next().is_none())
    }

    // Versions that streams which can still be taken up may have, as far as is known here.
    fn recent(
        &self,
        service: &str,
        window: time::Duration,
        now: time::Instant,
    ) -> impl Iterator<Item = ids::SoftwareTag> {
        let is_recent = move |version: &Version| {
            version.servers > 0 || version.gone_at.is_some_and(|at| now <= at + window)
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

/// Minimum time for which a version that has left is kept, since a config may lengthen the timeouts.
const MIN_KEPT: time::Duration = time::Duration::from_secs(600);
