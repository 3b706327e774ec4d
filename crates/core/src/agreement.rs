//! What other entries say of the software versions of a service.

use std::{collections, net};

use serde::{Deserialize, Serialize};

use crate::ids;

/// Answers to the question for the only version by which streams of a service may have begun.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    // The only version that each entry knows; none if it knows several.
    answers: collections::BTreeMap<net::IpAddr, Option<ids::SoftwareTag>>,
    // What each entry that does not know the stream says of those that are older than its process.
    older: collections::BTreeMap<net::IpAddr, Older>,
    // Processes that do not know the stream.
    processes: collections::BTreeSet<ids::Incarnation>,
    // Whether one says that the versions of streams of the service may be uncertain.
    is_replaced: bool,
}

/// What an entry knows of the streams of a service that can still be taken up and began before its
/// process was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Older {
    /// Any version may have begun them.
    #[default]
    Unknown,
    /// There are none.
    Nothing,
    /// This version has begun them all.
    Only(ids::SoftwareTag),
}

impl Agreement {
    /// Records the answer of the entry at `ip`.
    pub fn record(&mut self, ip: net::IpAddr, only: Option<ids::SoftwareTag>) {
        self.answers.insert(ip, only);
    }

    /// Records what the entry at `ip`, which does not know the stream, says of older ones.
    pub fn record_older(&mut self, ip: net::IpAddr, older: Older) {
        self.older.insert(ip, older);
    }

    /// Records that a process does not know the stream, and whether servers of its service were replaced
    /// under their ids by ones of another version.
    pub fn record_process(&mut self, process: ids::Incarnation, is_replaced: bool) {
        self.processes.insert(process);
        self.is_replaced |= is_replaced;
    }

    /// Processes that do not know the stream.
    pub fn processes(&self) -> &collections::BTreeSet<ids::Incarnation> {
        &self.processes
    }

    /// Whether the version of the stream may be another than the registered one of its server.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Version of a stream that no entry knows, if all of a fleet of `entries` have answered, `own` being
    /// what this one knows of older streams, and name no other. The stream is older than one of their
    /// processes: it began at an entry that has ended, in whose place one of them was started since.
    pub fn older(&self, own: Older, entries: Option<u32>) -> Option<ids::SoftwareTag> {
        let all = || self.older.values().copied().chain([own]);
        let is_complete = entries.is_some_and(|entries| all().count() as u32 >= entries);
        if !is_complete || all().any(|said| said == Older::Unknown) {
            return None;
        }
        let mut named = all().filter_map(|said| match said {
            Older::Only(software) => Some(software),
            _ => None,
        });
        let first = named.next()?;
        named.all(|software| software == first).then_some(first)
    }

    /// Whether an entry has named a version as the only one.
    pub fn has_answer(&self) -> bool {
        self.answers.values().any(Option::is_some)
    }

    /// Whether an entry knows several versions.
    pub fn has_dissent(&self) -> bool {
        self.answers.values().any(Option::is_none)
    }

    /// Versions that entries have named as the only ones.
    pub fn versions(&self) -> collections::BTreeSet<ids::SoftwareTag> {
        self.answers.values().copied().flatten().collect()
    }

    /// Whether the entries that have answered are, with this one, more than half of `entries`, and all
    /// name the same version.
    ///
    /// A few that are cut off together may all be out of date.
    pub fn is_majority(&self, entries: Option<u32>) -> bool {
        let is_same = !self.has_dissent() && self.versions().len() == 1;
        let count = self.answers.len() as u32 + 1;
        is_same && entries.is_some_and(|entries| count * 2 > entries)
    }
}
