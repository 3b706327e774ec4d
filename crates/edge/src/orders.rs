//! Orders to change an engine's stage that are being carried out.

use std::{collections, time};

use rhubarb_core::ids;

/// Open orders of this entry, and until when each is waited for.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) open: collections::BTreeMap<ids::ServerName, time::Instant>,
}

impl Orders {
    /// Engines that are changing their stage by an order of this entry.
    pub(crate) fn changing(&self, now: time::Instant) -> Vec<ids::ServerName> {
        let open = self.open.iter().filter(|(_, until)| now < **until);
        open.map(|(id, _)| id.clone()).collect()
    }
}
