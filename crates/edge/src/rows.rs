//! The newest rows of the platform's store that this entry has read.

use std::collections;

use rhubarb_core::{ids, row_stamps, stamp};
use rhubarb_platform::store;
use rhubarb_wire::share;

/// Rows of the operator's config and of the servers.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    // The config in use and its own version.
    config: Option<(ids::ListVersion, share::Row)>,
    // Stamp of the newest row of the config that was read.
    config_read: store::Version,
    servers: collections::BTreeMap<String, share::Row>,
    stamps: row_stamps::RowStamps,
}

impl Rows {
    /// Records that a row of the config was read; false if it or a newer one was read before.
    pub(crate) fn record_config(&mut self, row: &store::Row) -> bool {
        let is_new = row.key == store::CONFIG_KEY && row.version > self.config_read;
        if is_new {
            self.config_read = row.version;
        }
        is_new
    }

    /// Stores the row of the config in use, whose own version is `number`. A restored store may
    /// have an older config for a while; peers get the one in use.
    pub(crate) fn set_config(&mut self, number: ids::ListVersion, row: share::Row) {
        self.config = Some((number, row));
    }

    /// Stores the row of a server; false if it is to be ignored.
    pub(crate) fn update_server(&mut self, row: &store::Row) -> bool {
        if !self.stamps.update(&row.key, row.version, row.value.is_some()) {
            return false;
        }
        match row.value.clone() {
            Some(value) => {
                let (key, version) = (row.key.clone(), row.version);
                self.servers.insert(row.key.clone(), share::Row { key, version, value });
            }
            None => drop(self.servers.remove(&row.key)),
        }
        true
    }

    /// Removes the row of a server, which does not exist as of `version`; false if it was not known
    /// or what is known is newer.
    pub(crate) fn remove_server(&mut self, key: &str, version: store::Version) -> bool {
        let is_known = self.stamps.remove(key, version);
        if is_known {
            self.servers.remove(key);
        }
        is_known
    }

    /// Keys of the servers that have a row of at most `version` here but none in `rows`.
    pub(crate) fn missing_from(&self, rows: &[store::Row], version: store::Version) -> Vec<String> {
        let keys = rows.iter().map(|row| row.key.as_str()).collect();
        self.stamps.missing_from(&keys, version)
    }

    /// Version from which the changes of a table are to be followed, after those that came from
    /// peers. A peer may know newer rows of servers than of the config.
    pub(crate) fn known_version(&self, table: store::Table) -> store::Version {
        match table {
            store::Table::Operator => self.config_read,
            store::Table::Servers => self.version(),
            store::Table::Members
            | store::Table::Leases
            | store::Table::Suspects
            | store::Table::Trials
            | store::Table::Releases
            | store::Table::Streams
            | store::Table::Uses => store::Version::default(),
        }
    }

    /// Store version as of which the servers' rows are known.
    pub(crate) fn version(&self) -> store::Version {
        self.stamps.complete()
    }

    /// Records that the servers' rows are known as of `version`.
    pub(crate) fn set_version(&mut self, version: store::Version) {
        self.stamps.set_complete(version);
    }

    /// Records that all rows of the servers were read or copied as of `version`.
    pub(crate) fn set_copied(&mut self, version: store::Version) {
        self.stamps.set_copied(version);
    }

    /// Version of the newest change of a server.
    pub(crate) fn newest_change(&self) -> store::Version {
        self.stamps.newest_change()
    }

    /// What is newer here than the versions of a peer, with the servers whose rows are awaited. A
    /// peer that may know servers of whose removal this entry does not know, since it is in an earlier
    /// era or they were removed before this entry read all rows, gets all rows.
    pub(crate) fn snapshot(
        &self,
        known: share::SnapshotRequest,
        awaited: Vec<share::AwaitedServer>,
    ) -> share::Snapshot {
        let is_same_era = known.servers.era >= self.version().era;
        let is_continued = is_same_era && self.stamps.knows_removals(known.servers);
        let after = if is_continued { known.servers } else { stamp::Stamp::default() };
        let removed = self.stamps.removed_since(after);
        let config = self.config.as_ref().filter(|(number, _)| *number > known.config);
        share::Snapshot {
            config: config.map(|(_, row)| row.clone()),
            servers: self.servers.values().filter(|row| row.version > after).cloned().collect(),
            removed: removed.map(|(key, version)| (key.clone(), *version)).collect(),
            after,
            awaited,
            version: self.version(),
        }
    }
}
