//! Versions of the platform's store, which are comparable only together with the store's era.
//!
//! A store that is restored from a copy begins a new era and gives out again the versions that
//! were lost.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the store was restored from a copy; 0 if the store does not tell.
pub type Era = u64;
/// Version of a row or of the whole store within one era.
pub type Version = u64;

/// Largest era in use: a stamp of it still has a fencing number that JSON represents exactly.
pub const MAX_ERA: Era = (1 << (53 - ERA_SHIFT)) - 1;

// Bits of a stamp's number for the version: at 1,000 transactions per second they last 34 years.
const ERA_SHIFT: u32 = 40;

/// Version with the era in which the store gave it out. Any version of a later era is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Era.
    pub era: Era,
    /// Version; 0 for a row that does not exist.
    pub version: Version,
}

impl Stamp {
    /// Creates the stamp of `version` in `era`.
    pub fn new(era: Era, version: Version) -> Stamp {
        Stamp { era, version }
    }

    /// Number that increases with the stamp and equals the version in era 0.
    pub fn number(self) -> u64 {
        (self.era << ERA_SHIFT).saturating_add(self.version)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.version),
            era => write!(f, "{era}/{}", self.version),
        }
    }
}
