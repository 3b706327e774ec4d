//! Urgency of requests, and how the more and the less urgent ones share what becomes free.

use std::collections;

use serde::{Deserialize, Serialize};

/// Rank of a request among those that compete with it; 0 is the most urgent.
pub type Rank = u8;

/// Urgency of a request; the lower one is the more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// Rank of the request: its customer's, else its route's.
    pub rank: Rank,
    /// Rank of its route, which decides between requests of equal rank.
    pub route: Rank,
}

/// Grants to more urgent requests after which one that waits all the while has its turn.
///
/// A tenth of what becomes free is enough to keep the callers of every urgency served, and costs the
/// more urgent ones at most a tenth.
pub const MAX_PASSED: u32 = 9;

/// Turns of the less urgent requests that wait.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    // Grants to more urgent requests since the last one to each urgency, while it waited.
    passed: collections::BTreeMap<Urgency, u32>,
}

impl Turns {
    /// Records a grant; `waiting` are the urgencies of the requests that still wait.
    pub fn record(&mut self, granted: Urgency, waiting: &collections::BTreeSet<Urgency>) {
        self.passed.remove(&granted);
        self.passed.retain(|urgency, _| waiting.contains(urgency));
        let behind = waiting.iter().filter(|urgency| **urgency > granted);
        behind.for_each(|urgency| *self.passed.entry(*urgency).or_default() += 1);
    }

    /// The urgency whose turn it is before all more urgent ones.
    pub fn due(&self) -> Option<Urgency> {
        let due = self.passed.iter().filter(|(_, passed)| **passed >= MAX_PASSED);
        due.max_by_key(|(_, passed)| **passed).map(|(urgency, _)| *urgency)
    }
}
