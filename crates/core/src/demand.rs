//! Demand of the entries for one service, by which they divide a limit that is common to them.

use std::{collections, time};

/// Demand of the entries of a cell, as they told it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    // What this entry told last: as old as what it knows of the others, so that all entries come to
    // the same division.
    own: u32,
    peers: collections::BTreeMap<String, (u32, time::Instant)>,
}

/// Numbers of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Live entries of the own cell, this one not included.
    pub peers: u32,
    /// Entries of the fleet, this one included.
    pub fleet: u32,
}

/// Time for which what an entry told counts.
const TTL: time::Duration = time::Duration::from_secs(3);

impl Demand {
    /// Records the number of requests that a peer of the own cell got in the last seconds.
    pub fn record(&mut self, peer: &str, requests: u32, now: time::Instant) {
        self.peers.retain(|_, (_, at)| now < *at + TTL);
        self.peers.insert(peer.to_string(), (requests, now));
    }

    /// Records the number of requests that this entry got, as it tells the others.
    pub fn record_own(&mut self, requests: u32) {
        self.own = requests;
    }

    /// Fraction of a common limit for this entry.
    pub fn fraction(&self, sizes: Sizes, now: time::Instant) -> f64 {
        let told = self.peers.values().filter(|(_, at)| now < *at + TTL);
        let (mut entries, mut requests) = (0, 0);
        for (count, _) in told {
            entries += 1;
            requests += u64::from(*count);
        }
        fraction(self.own, Demands { entries, requests }, sizes)
    }
}

/// Demand of the other entries of the cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demands {
    /// Entries that told theirs, also if they have none.
    pub entries: u32,
    /// Sum of what they told.
    pub requests: u64,
}

/// Fraction of a common limit for an entry with the demand `own`.
///
/// Each cell gets a part by its size, and divides that by demand. Peers that have told nothing count
/// like this entry.
pub fn fraction(own: u32, others: Demands, sizes: Sizes) -> f64 {
    // Entries without demand keep a small part, with which they notice the end of a limit.
    let weight = f64::from(own) + 1.0;
    let silent = sizes.peers.saturating_sub(others.entries);
    let told = others.requests as f64 + f64::from(others.entries);
    let sum = weight * f64::from(1 + silent) + told;
    let cell = f64::from(sizes.peers + 1) / f64::from(sizes.fleet.max(sizes.peers + 1));
    weight / sum * cell
}
