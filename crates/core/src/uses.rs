//! Versions at which the entry processes of each instance begin streams, as kept in the platform's store.
//!
//! A process records a version before its first stream begins there, so that of a process that has
//! ended it is known which versions its streams may have.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{history, ids, stamp};

/// Versions by service.
pub type Versions =
    collections::BTreeMap<ids::ServiceName, collections::BTreeSet<ids::SoftwareTag>>;

/// Content of the row of one instance: its processes, the earliest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Processes whose streams may still be taken up.
    pub processes: Vec<Process>,
}

/// One process of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Identifies it.
    pub incarnation: ids::Incarnation,
    /// Era of the store for which it was written. A copy may lack what was added later.
    pub era: stamp::Era,
    /// When it was first written in that era, in milliseconds of the store's clock.
    pub era_ms: u64,
    /// Until when it could not write its record for a while, in milliseconds of the store's clock. Others
    /// may have used versions and ended without a record by then.
    pub failed_ms: Option<u64>,
    /// When a later process of its instance was first recorded, in milliseconds of the store's clock.
    pub ended_ms: Option<u64>,
    /// Versions that it has recorded.
    pub versions: Versions,
}

/// Version of a stream, by the processes that may have begun it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All of them used this version only.
    Only(ids::SoftwareTag),
    /// They used several.
    Several,
    /// One was recorded before the store was restored from a copy, or may have been and is missing.
    Restored,
    /// Records could not be written for a while, so that one may be missing.
    Unwritten,
    /// None is on record that used a version of the service.
    Nobody,
}

/// A stream that no entry knows.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Its service.
    pub service: &'a str,
    /// Processes that have not begun it, as they say.
    pub others: &'a collections::BTreeSet<ids::Incarnation>,
    /// Versions that have been gone for longer than a stream may be taken up.
    pub gone: &'a collections::BTreeSet<ids::SoftwareTag>,
    /// Time after its begin within which a stream may be taken up.
    pub window: time::Duration,
}

/// Reads per second of all entries together.
const READS: f64 = 300.0;
/// Shortest interval between two reads of an entry.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval between reads of an entry among `entries`, if that is known.
pub fn read_interval(entries: Option<u32>) -> time::Duration {
    let shared = f64::from(history::fleet_size(entries)) / READS;
    MIN_READ_INTERVAL.max(time::Duration::from_secs_f64(shared))
}

/// Maximum number of processes of a row; of earlier ones what they used is kept together.
pub const MAX_PROCESSES: usize = 8;

impl Row {
    /// Row in place of one that cannot be read: its processes may have used any version.
    pub fn unknown() -> Row {
        let (incarnation, era, versions) = (0, stamp::Era::MAX, Versions::new());
        let process =
            Process { incarnation, era, era_ms: 0, failed_ms: None, ended_ms: None, versions };
        Row { processes: vec![process] }
    }

    /// Records the versions of the last process, which the others have preceded, and whether writes of
    /// this record `has_failed` before. Processes are dropped whose streams can no longer be taken up.
    pub fn record(
        &mut self,
        incarnation: ids::Incarnation,
        versions: &Versions,
        has_failed: bool,
        window: time::Duration,
        reading: &history::Reading,
    ) {
        let is_own = |process: &Process| process.incarnation == incarnation;
        let own = self.processes.iter().find(|process| is_own(process));
        let own_ms = own.filter(|process| process.era == reading.era).map(|process| process.era_ms);
        let earlier_ms = own.and_then(|process| process.failed_ms);
        let failed_ms = if has_failed { Some(reading.now_ms) } else { earlier_ms };
        self.processes.retain(|process| !is_own(process));
        for process in &mut self.processes {
            process.ended_ms.get_or_insert(reading.now_ms);
        }
        self.processes.retain(|process| !process.is_over(window, reading.now_ms));
        while self.processes.len() >= MAX_PROCESSES {
            let first = self.processes.remove(0);
            self.processes[0].absorb(first);
        }
        let (era, era_ms) = (reading.era, own_ms.unwrap_or(reading.now_ms));
        let versions = versions.clone();
        let ended_ms = None;
        self.processes.push(Process { incarnation, era, era_ms, failed_ms, ended_ms, versions });
    }
}

impl Process {
    fn is_over(&self, window: time::Duration, now_ms: u64) -> bool {
        let kept_ms = (window + history::SPREAD).as_millis() as u64;
        self.ended_ms.is_some_and(|ms| ms.saturating_add(kept_ms) < now_ms)
    }

    // Adds what an earlier process used; as neither is asked any more, it does not matter which one did.
    fn absorb(&mut self, earlier: Process) {
        self.era = self.era.min(earlier.era);
        self.failed_ms = self.failed_ms.max(earlier.failed_ms);
        for (service, versions) in earlier.versions {
            self.versions.entry(service).or_default().extend(versions);
        }
    }
}

/// Concludes the version of a stream from the rows of all instances.
pub fn judge<'a>(
    rows: impl Iterator<Item = &'a Row>,
    question: Question<'_>,
    reading: &history::Reading,
) -> Verdict {
    let rows: Vec<_> = rows.collect();
    let all = rows.iter().flat_map(|row| &row.processes);
    // The restore was earlier than the first write in its era.
    let restored_by =
        all.filter(|process| process.era == reading.era).map(|process| process.era_ms);
    let kept_ms = (question.window + history::SPREAD).as_millis() as u64;
    let is_over = |ms: u64| ms.saturating_add(kept_ms) < reading.now_ms;
    if reading.era > 0 && !restored_by.min().is_some_and(is_over) {
        return Verdict::Restored;
    }
    let mut failed =
        rows.iter().flat_map(|row| &row.processes).filter_map(|process| process.failed_ms);
    if failed.any(|ms| !is_over(ms)) {
        return Verdict::Unwritten;
    }
    let mut found = collections::BTreeSet::new();
    for process in rows.into_iter().flat_map(|row| &row.processes) {
        let is_other = question.others.contains(&process.incarnation);
        if is_other || process.is_over(question.window, reading.now_ms) {
            continue;
        }
        if process.era != reading.era {
            return Verdict::Restored;
        }
        found.extend(process.versions.get(question.service).into_iter().flatten());
    }
    let mut named = found.difference(question.gone).copied();
    match (named.next(), named.next()) {
        (Some(only), None) => Verdict::Only(only),
        (Some(_), Some(_)) => Verdict::Several,
        (None, _) => Verdict::Nobody,
    }
}

/// Versions at which streams may begin here, as they are on record.
#[derive(Clone, Debug, Default)]
pub struct Own {
    recorded: Versions,
    // Versions that are used without a record, as the store did not take it in time.
    unrecorded: Versions,
    // Versions that are to be recorded, and since when.
    wanted: collections::BTreeMap<(ids::ServiceName, ids::SoftwareTag), time::Instant>,
    // Whether the last write failed.
    has_failed: bool,
    failed_at: Option<time::Instant>,
}

/// Time after which streams begin at a version though the store has no record of it.
const MAX_HOLD: time::Duration = time::Duration::from_secs(10);

impl Own {
    /// Whether streams may begin at a version; if not, it is to be recorded first. While the store takes
    /// no record that is not waited for where no other version of the service is used.
    pub fn admits(
        &mut self,
        service: &str,
        software: ids::SoftwareTag,
        now: time::Instant,
    ) -> bool {
        let has = |versions: &Versions| {
            versions.get(service).is_some_and(|versions| versions.contains(&software))
        };
        if has(&self.recorded) {
            return true;
        }
        let key = (service.to_string(), software);
        let since = *self.wanted.entry(key).or_insert(now);
        if has(&self.unrecorded) {
            return true;
        }
        let is_alone = [&self.recorded, &self.unrecorded]
            .iter()
            .all(|versions| versions.get(service).is_none_or(collections::BTreeSet::is_empty));
        let is_admitted = now > since + MAX_HOLD || self.has_failed && is_alone;
        if is_admitted {
            self.unrecorded.entry(service.to_string()).or_default().insert(software);
        }
        is_admitted
    }

    /// Versions to be recorded: those on record and those that wait for it; none if nothing waits.
    pub fn pending(&self) -> Option<Versions> {
        let mut versions = self.recorded.clone();
        for (service, software) in self.wanted.keys() {
            versions.entry(service.clone()).or_default().insert(*software);
        }
        (!self.wanted.is_empty()).then_some(versions)
    }

    /// Services that use a version already and wait for another.
    pub fn mixing(&self) -> collections::BTreeSet<ids::ServiceName> {
        let has_other = |service: &ids::ServiceName| self.recorded.contains_key(service);
        let services = self.wanted.keys().map(|(service, _)| service);
        services.filter(|service| has_other(service)).cloned().collect()
    }

    /// Versions on record.
    pub fn recorded(&self) -> &Versions {
        &self.recorded
    }

    /// Records that these versions were written.
    pub fn set_recorded(&mut self, versions: Versions) {
        let is_written = |service: &str, software: &ids::SoftwareTag| {
            versions.get(service).is_some_and(|versions| versions.contains(software))
        };
        self.wanted.retain(|(service, software), _| !is_written(service, software));
        for (service, tags) in &mut self.unrecorded {
            tags.retain(|software| !is_written(service, software));
        }
        (self.recorded, self.has_failed) = (versions, false);
    }

    /// Records that a write failed, or that there was no answer.
    pub fn set_failed(&mut self, now: time::Instant) {
        (self.has_failed, self.failed_at) = (true, Some(now));
    }

    /// Whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether a write has failed within `window`.
    pub fn failed_within(&self, window: time::Duration, now: time::Instant) -> bool {
        self.failed_at.is_some_and(|at| now <= at + window + history::SPREAD)
    }

    /// Whether streams of a service begin at a version that is not on record.
    pub fn is_unrecorded(&self, service: &str) -> bool {
        self.unrecorded.get(service).is_some_and(|versions| !versions.is_empty())
    }

    /// Forgets versions that are no longer `known`, when no stream of theirs can be taken up any more.
    pub fn retain(&mut self, known: impl Fn(&str, ids::SoftwareTag) -> bool) {
        for (service, versions) in &mut self.recorded {
            versions.retain(|software| known(service, *software));
        }
        self.recorded.retain(|_, versions| !versions.is_empty());
        self.wanted.retain(|(service, software), _| known(service, *software));
    }
}
