//! Orders of this entry to change stages of engines, while they are carried out.

use std::{collections, time};

use rhubarb_core::ids;

/// Engines with an open order, and the time until which each counts as changing.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) open: collections::BTreeMap<ids::ServerName, time::Instant>,
}

impl Orders {
    /// Engines that count as changing their stage.
    pub(crate) fn changing(&self, now: time::Instant) -> Vec<ids::ServerName> {
        let open = self.open.iter().filter(|(_, until)| now < **until);
        open.map(|(id, _)| id.clone()).collect()
    }
}
