//! Names that were given out a short time ago.

use std::{collections, time};

/// Names of the last minute.
#[derive(Debug, Default)]
pub struct RecentNames {
    names: collections::BTreeSet<String>,
    // In the order of their times.
    expiry: collections::VecDeque<(time::Instant, String)>,
}

/// Time for which a name is kept; holds last for a few seconds.
const TTL: time::Duration = time::Duration::from_secs(60);

impl RecentNames {
    /// Records a name; false if it was recorded in the last minute.
    pub fn insert(&mut self, name: &str, now: time::Instant) -> bool {
        while self.expiry.front().is_some_and(|(at, _)| now >= *at + TTL) {
            if let Some((_, expired)) = self.expiry.pop_front() {
                self.names.remove(&expired);
            }
        }
        let is_new = self.names.insert(name.to_string());
        if is_new {
            self.expiry.push_back((now, name.to_string()));
        }
        is_new
    }
}
