//! The current revision of the service list at one process, and the changes that led to it.

use std::collections;

use crate::{change, ids, revision};

/// Current revision, with recent changes for peers that lag a few versions behind.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    current: revision::Revision,
    // Encoded changes by the version that each leads to, without gaps up to the current one.
    recent: collections::BTreeMap<ids::ListVersion, String>,
}

/// Parts of the list that a new revision affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affected {
    /// Everything may have changed.
    All,
    /// Only the named parts changed.
    Part {
        /// Callers that changed.
        callers: Vec<ids::CallerName>,
        /// Whether services changed.
        services: bool,
    },
}

/// Data that brings a peer up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Consecutive changes, the first of which leads to the given version.
    Changes(ids::ListVersion, Vec<String>),
    /// The whole row of the given version.
    Row(ids::ListVersion, String),
}

const MAX_RECENT_CHANGES: usize = 256;

impl Revisions {
    /// Current revision.
    pub fn current(&self) -> &revision::Revision {
        &self.current
    }

    /// Current version; 0 while there is none.
    pub fn version(&self) -> ids::ListVersion {
        self.current.version
    }

    /// Replaces the current revision by a whole row, if the row is newer and valid.
    pub fn apply_row(&mut self, version: ids::ListVersion, row: &str) -> Option<Affected> {
        if version <= self.current.version {
            return None;
        }
        self.current = revision::read_row(version, row)?;
        self.recent.clear();
        Some(Affected::All)
    }

    /// Applies the change that leads to `version`, if it is valid and follows the current version.
    pub fn apply_change(&mut self, version: ids::ListVersion, text: &str) -> Option<Affected> {
        if self.current.version == 0 || version != self.current.version + 1 {
            return None;
        }
        let change: change::Change = serde_json::from_str(text).ok()?;
        if !self.current.apply(version, &change) {
            return None;
        }
        self.recent.insert(version, text.to_string());
        while self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_first();
        }
        let callers = change.callers().map(str::to_string).collect();
        Some(Affected::Part { callers, services: change.affects_services() })
    }

    /// Update for a peer that has `version`; `None` if it is up to date.
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
