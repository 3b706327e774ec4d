//! Rows of the platform's store in the newest version that this entry has seen.

use std::collections;

use rhubarb_platform::store;
use rhubarb_wire::share;

/// Newest rows of the tables that are followed.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    config: Option<share::Row>,
    servers: collections::BTreeMap<String, share::Row>,
    // Versions of rows that are gone, so that an older copy does not bring them back.
    gone: collections::BTreeMap<String, store::Version>,
    /// Store version up to which the servers are known.
    pub(crate) version: store::Version,
    /// Version of the newest change of a server that was seen. Unlike `version` it grows only with
    /// the servers, so peers can tell by it whether they missed one.
    pub(crate) newest: store::Version,
}

impl Rows {
    /// Takes a row; false if one as new is known.
    pub(crate) fn take(&mut self, table: store::Table, row: &store::Row) -> bool {
        match table {
            store::Table::Operator => self.take_config(row),
            store::Table::Servers => self.take_server(row),
            store::Table::Members | store::Table::Leases => false,
        }
    }

    fn take_config(&mut self, row: &store::Row) -> bool {
        let is_old = self.config.as_ref().is_some_and(|known| known.version >= row.version);
        let Some(value) = row.value.clone().filter(|_| !is_old && row.key == store::CONFIG_KEY)
        else {
            return false;
        };
        self.config = Some(share::Row { key: row.key.clone(), version: row.version, value });
        true
    }

    fn take_server(&mut self, row: &store::Row) -> bool {
        let known = self.servers.get(&row.key).map(|known| known.version);
        let newest = known.max(self.gone.get(&row.key).copied());
        if newest.is_some_and(|newest| newest >= row.version) {
            return false;
        }
        self.version = self.version.max(row.version);
        self.newest = self.newest.max(row.version);
        self.gone.remove(&row.key);
        let value = row.value.clone().unwrap_or_default();
        if row.value.is_some() {
            let (key, version) = (row.key.clone(), row.version);
            self.servers.insert(row.key.clone(), share::Row { key, version, value });
        } else {
            self.drop_server(&row.key, row.version);
        }
        true
    }

    /// Notes that a server has no entry as of `version`.
    pub(crate) fn drop_server(&mut self, key: &str, version: store::Version) {
        self.servers.remove(key);
        self.gone.insert(key.to_string(), version);
    }

    /// Keys of the servers' rows that are older than `version` and not among `kept`.
    pub(crate) fn absent(&self, kept: &[store::Row], version: store::Version) -> Vec<String> {
        let kept: collections::BTreeSet<_> = kept.iter().map(|row| row.key.as_str()).collect();
        let is_absent =
            |row: &&share::Row| row.version <= version && !kept.contains(row.key.as_str());
        self.servers.values().filter(is_absent).map(|row| row.key.clone()).collect()
    }

    /// All that is known, for a peer, with the servers that are waited for.
    pub(crate) fn snapshot(&self, awaited: Vec<share::AwaitedServer>) -> share::Snapshot {
        share::Snapshot {
            config: self.config.clone(),
            servers: self.servers.values().cloned().collect(),
            awaited,
            version: self.version,
        }
    }
}
