//! What other entries say of the software versions of a service.

use std::{collections, net};

use crate::ids;

/// Answers to the question for the only version by which streams of a service may have begun.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    // The only version that each entry knows; none if it knows several.
    answers: collections::BTreeMap<net::IpAddr, Option<ids::SoftwareTag>>,
}

impl Agreement {
    /// Records the answer of the entry at `ip`.
    pub fn record(&mut self, ip: net::IpAddr, only: Option<ids::SoftwareTag>) {
        self.answers.insert(ip, only);
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
