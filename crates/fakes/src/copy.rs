//! Rows and objects of the fake store, which can be copied and restored.

use std::collections;

use bytes::Bytes;

/// Table and key.
pub(crate) type Key = (String, String);

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    pub(crate) version: u64,
    // `None` once the row is deleted.
    pub(crate) value: Option<Vec<u8>>,
}

/// All rows and objects of a store as of one moment.
#[derive(Clone, Debug, Default)]
pub struct Content {
    pub(crate) version: u64,
    pub(crate) rows: collections::BTreeMap<Key, Row>,
    pub(crate) objects: collections::BTreeMap<String, Bytes>,
    // Oldest version from which a feed can continue.
    pub(crate) oldest: u64,
}

/// Rows that the operator and the servers wrote after a copy was taken.
#[derive(Clone, Debug)]
pub struct Lost {
    // Their last values, and their versions in the copy.
    rows: Vec<(Key, Option<Vec<u8>>, u64)>,
}

/// Tables that the operator and the servers write.
const PLATFORM_TABLES: [&str; 2] = ["op", "servers"];

/// Whether only the platform writes a table.
pub(crate) fn is_platform_table(table: &str) -> bool {
    PLATFORM_TABLES.contains(&table)
}

impl Content {
    // Version of a row as conditions compare it; 0 if it does not exist.
    pub(crate) fn version_of(&self, key: &Key) -> u64 {
        let row = self.rows.get(key).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    // Applies all writes with one version, and returns it.
    pub(crate) fn write(&mut self, writes: Vec<(Key, Option<Vec<u8>>)>) -> u64 {
        self.version += 1;
        let version = self.version;
        let rows = writes.into_iter().map(|(key, value)| (key, Row { version, value }));
        self.rows.extend(rows);
        version
    }

    pub(crate) fn compact(&mut self) {
        self.version += 1;
        self.oldest = self.version;
    }

    // What the platform has written since the copy `older`.
    pub(crate) fn since(&self, older: &Content) -> Lost {
        let version = |key| older.rows.get(key).map_or(0, |row: &Row| row.version);
        let is_lost = |(key, row): &(&Key, &Row)| {
            is_platform_table(&key.0) && older.rows.get(*key) != Some(*row)
        };
        let lost = self.rows.iter().filter(is_lost);
        Lost {
            rows: lost.map(|(key, row)| (key.clone(), row.value.clone(), version(key))).collect(),
        }
    }

    pub(crate) fn rewrite(&mut self, lost: Lost) {
        for (key, value, version) in lost.rows {
            if self.rows.get(&key).map_or(0, |row| row.version) == version {
                self.write(vec![(key, value)]);
            }
        }
    }
}
