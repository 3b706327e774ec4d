//! The revision in force at one process, and the changes that led to it.

use std::collections;

use crate::{change, ids, revision};

/// Revision in force, with recent changes for peers that are a little behind.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    current: revision::Revision,
    recent: collections::BTreeMap<ids::ListVersion, String>,
}

/// What a new revision touches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affected {
    /// Everything may have changed.
    All,
    /// Only what is named.
    Part {
        /// Callers that changed.
        callers: Vec<ids::CallerName>,
        /// Whether services changed.
        services: bool,
    },
}

/// What a peer needs to come up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Changes in order, the first of which makes the given version.
    Changes(ids::ListVersion, Vec<String>),
    /// The whole row of the given version.
    Row(ids::ListVersion, String),
}

const RECENT: usize = 256;

impl Revisions {
    /// Revision in force.
    pub fn current(&self) -> &revision::Revision {
        &self.current
    }

    /// Version in force; 0 while there is none.
    pub fn version(&self) -> ids::ListVersion {
        self.current.version
    }

    /// Takes a whole row if it is newer.
    pub fn apply_row(&mut self, version: ids::ListVersion, row: &str) -> Option<Affected> {
        if version <= self.current.version {
            return None;
        }
        self.current = revision::read_row(version, row)?;
        self.recent.clear();
        Some(Affected::All)
    }

    /// Takes the change that makes `version` if it follows the version in force.
    pub fn apply_change(&mut self, version: ids::ListVersion, text: &str) -> Option<Affected> {
        if self.current.version == 0 || version != self.current.version + 1 {
            return None;
        }
        let change: change::Change = serde_json::from_str(text).ok()?;
        if !self.current.apply(version, &change) {
            return None;
        }
        self.recent.insert(version, text.to_string());
        while self.recent.len() > RECENT {
            self.recent.pop_first();
        }
        let callers = change.callers().map(str::to_string).collect();
        Some(Affected::Part { callers, services: change.affects_services() })
    }

    /// What a peer with `version` needs; `None` if it is up to date.
    pub fn update_from(&self, version: ids::ListVersion) -> Option<Update> {
        if version >= self.current.version {
            return None;
        }
        let missing = self.current.version - version;
        let changes: Vec<_> =
            self.recent.range(version + 1..).map(|(_, text)| text.clone()).collect();
        if version > 0 && changes.len() as u64 == missing {
            return Some(Update::Changes(version + 1, changes));
        }
        Some(Update::Row(self.current.version, self.current.row()))
    }
}
