//! Partition of a large fleet into cells: groups of entries with the engines that they share.
//!
//! Every entry computes the same partition from its list of members, without agreement. A fleet of
//! up to [`MAX_CELL`] entries is one cell. In a larger one each availability zone is a cell, or is
//! divided into several by rendezvous hashing.

use std::{collections, net};

use crate::ids;

/// Identifies one cell of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId {
    /// Availability zone; 0 if the whole fleet is one cell.
    pub zone: ids::ZoneTag,
    /// Number of the cell in its zone.
    pub index: u32,
}

/// Partition of a fleet into cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partition {
    // Number of cells by zone; empty if the whole fleet is one cell.
    zones: collections::BTreeMap<ids::ZoneTag, u32>,
}

/// Maximum number of entries in a fleet that is one cell, and mean size above which the cells of a
/// zone become more.
pub const MAX_CELL: usize = 40;

impl Partition {
    /// Divides a fleet whose entries are in the given zones.
    pub fn new(entries: impl Iterator<Item = ids::ZoneTag>) -> Partition {
        let mut counts: collections::BTreeMap<ids::ZoneTag, usize> = collections::BTreeMap::new();
        for zone in entries {
            *counts.entry(zone).or_default() += 1;
        }
        if counts.values().sum::<usize>() <= MAX_CELL {
            return Partition::default();
        }
        let cells = |count: usize| count.div_ceil(MAX_CELL) as u32;
        Partition { zones: counts.into_iter().map(|(zone, count)| (zone, cells(count))).collect() }
    }

    /// Whether the whole fleet is one cell.
    pub fn is_single(&self) -> bool {
        self.zones.is_empty()
    }

    /// All cells.
    pub fn cells(&self) -> Vec<CellId> {
        if self.is_single() {
            return vec![CellId::default()];
        }
        let zones = self.zones.iter();
        zones
            .flat_map(|(zone, count)| (0..*count).map(|index| CellId { zone: *zone, index }))
            .collect()
    }

    /// Cell of the entry at `ip`.
    pub fn entry(&self, ip: net::IpAddr, zone: ids::ZoneTag) -> CellId {
        self.assign(ip.to_string().as_bytes(), zone)
    }

    /// Cell of an engine. Engines in a zone without entries are spread over all cells.
    pub fn engine(&self, id: &str, zone: ids::ZoneTag) -> CellId {
        self.assign(id.as_bytes(), zone)
    }

    fn assign(&self, name: &[u8], zone: ids::ZoneTag) -> CellId {
        match self.zones.get(&zone) {
            _ if self.is_single() => CellId::default(),
            Some(1) => CellId { zone, index: 0 },
            Some(count) => {
                highest(name, (0..*count).map(|index| CellId { zone, index })).unwrap_or_default()
            }
            None => highest(name, self.cells().into_iter()).unwrap_or_default(),
        }
    }
}

// Cell with the highest rendezvous hash for `name`.
fn highest(name: &[u8], cells: impl Iterator<Item = CellId>) -> Option<CellId> {
    cells.max_by_key(|cell| {
        ids::digest(&[name, &cell.zone.to_be_bytes(), &cell.index.to_be_bytes()])
    })
}
