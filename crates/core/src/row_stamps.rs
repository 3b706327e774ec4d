//! Stamps of the rows of one table, which decide whether a row that arrives is newer.

use std::collections;

use crate::stamp;

/// Newest stamps of the rows and removed rows of a table that is read, followed and copied from
/// peers.
#[derive(Clone, Debug, Default)]
pub struct RowStamps {
    rows: collections::BTreeMap<String, stamp::Stamp>,
    // Removed rows, so that an older copy does not restore them.
    removed: collections::BTreeMap<String, stamp::Stamp>,
    // Removed rows that are in a later era again, with the versions of their last writes. They may
    // come from the copy from which the store was restored.
    unproven: collections::BTreeMap<String, stamp::Version>,
    complete: stamp::Stamp,
    // Stamp of the last copy of all rows; removals before it may be unknown.
    copied: stamp::Stamp,
    newest_change: stamp::Stamp,
}

impl RowStamps {
    /// Records a row that was written or deleted at `stamp`; false if it is to be ignored: what is
    /// known is at least as new, or the row was removed in an earlier era and has not been written
    /// since as far as can be told.
    pub fn update(&mut self, key: &str, stamp: stamp::Stamp, exists: bool) -> bool {
        if self.is_known(key, stamp) || (exists && self.is_unproven(key, stamp)) {
            return false;
        }
        self.unproven.remove(key);
        self.newest_change = self.newest_change.max(stamp);
        let (target, other) = match exists {
            true => (&mut self.rows, &mut self.removed),
            false => (&mut self.removed, &mut self.rows),
        };
        target.insert(key.to_string(), stamp);
        other.remove(key);
        true
    }

    // Whether the newest state of a row is known. Rows of an era that is over are obsolete.
    fn is_known(&self, key: &str, stamp: stamp::Stamp) -> bool {
        let known = self.rows.get(key).max(self.removed.get(key));
        known.is_some_and(|known| *known >= stamp) || self.is_over(stamp.era)
    }

    fn is_over(&self, era: stamp::Era) -> bool {
        era < self.complete.era.max(self.newest_change.era)
    }

    // A row of the copy was written before its removal, so its version is lower.
    fn is_unproven(&mut self, key: &str, stamp: stamp::Stamp) -> bool {
        if let Some(version) = self.unproven.get(key) {
            return stamp.version <= *version;
        }
        let removed = self.removed.get(key);
        let is_unproven = removed
            .is_some_and(|removed| removed.era < stamp.era && stamp.version < removed.version);
        if is_unproven {
            self.unproven.insert(key.to_string(), stamp.version);
        }
        is_unproven
    }

    /// Records that a row does not exist as of `stamp`; true if it was known.
    pub fn remove(&mut self, key: &str, stamp: stamp::Stamp) -> bool {
        let known = self.rows.get(key).max(self.removed.get(key));
        if known.is_some_and(|known| *known > stamp) || self.is_over(stamp.era) {
            return false;
        }
        let is_known = self.rows.remove(key).is_some();
        self.newest_change = self.newest_change.max(stamp);
        self.removed.insert(key.to_string(), stamp);
        is_known
    }

    /// Keys of the rows known in a version of at most `stamp` that are not among `keys`, which are
    /// all as of `stamp`.
    pub fn missing_from(
        &self,
        keys: &collections::BTreeSet<&str>,
        stamp: stamp::Stamp,
    ) -> Vec<String> {
        let is_missing = |(key, known): &(&String, &stamp::Stamp)| {
            **known <= stamp && !keys.contains(key.as_str())
        };
        self.rows.iter().filter(is_missing).map(|(key, _)| key.clone()).collect()
    }

    /// Records that all rows are known as of `stamp`. A row alone does not show that, as rows of one
    /// batch come in any order and copies are taken between them.
    pub fn set_complete(&mut self, stamp: stamp::Stamp) {
        self.complete = self.complete.max(stamp);
    }

    /// Records that all rows were copied as of `stamp`. What was added and removed since an earlier
    /// copy may be unknown.
    pub fn set_copied(&mut self, stamp: stamp::Stamp) {
        self.copied = self.copied.max(stamp);
        self.set_complete(stamp);
    }

    /// Whether all rows that were removed after `stamp` are known.
    pub fn knows_removals(&self, stamp: stamp::Stamp) -> bool {
        stamp >= self.copied
    }

    /// Stamp as of which all rows are known.
    pub fn complete(&self) -> stamp::Stamp {
        self.complete
    }

    /// Stamp of the newest change. Unlike [`RowStamps::complete`] it grows only with changes of
    /// this table, so a peer that compares it with its own `complete` detects a missed change.
    pub fn newest_change(&self) -> stamp::Stamp {
        self.newest_change
    }

    /// Known rows that were removed after `stamp`; all of them if [`RowStamps::knows_removals`].
    pub fn removed_since(
        &self,
        stamp: stamp::Stamp,
    ) -> impl Iterator<Item = (&String, &stamp::Stamp)> {
        self.removed.iter().filter(move |(_, removed)| **removed > stamp)
    }
}
