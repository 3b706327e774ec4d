//! Rows of instances that are gone, in a table where each live instance rewrites its row between
//! two reads.

use std::collections;

use crate::stamp;

/// Versions of the rows at the last read.
#[derive(Clone, Debug, Default)]
pub struct StaleRows {
    versions: collections::BTreeMap<String, stamp::Stamp>,
}

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version, which each write and each new era of the store increases.
    pub version: stamp::Stamp,
    /// Whether its instance is live.
    pub is_live: bool,
}

impl StaleRows {
    /// Records the rows of a read, and returns those to remove: their instances are not live and
    /// have not rewritten them since the last read.
    pub fn update(&mut self, rows: &[Row]) -> Vec<Row> {
        let is_stale =
            |row: &&Row| !row.is_live && self.versions.get(&row.key) == Some(&row.version);
        let stale = rows.iter().filter(is_stale).cloned().collect();
        self.versions = rows.iter().map(|row| (row.key.clone(), row.version)).collect();
        stale
    }
}
