//! Age of the config and of the servers' rows in use.

use std::time;

use rhubarb_core::freshness;
use rhubarb_platform::store;

/// Freshness of the two tables that an entry follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tables {
    pub(crate) config: freshness::Freshness,
    pub(crate) servers: freshness::Freshness,
}

/// Whether an entry knows all that a peer does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub(crate) config: bool,
    pub(crate) servers: bool,
}

/// Ages of the two tables, in milliseconds; `None` for one that is not known yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ages {
    pub(crate) config: Option<u64>,
    pub(crate) servers: Option<u64>,
}

impl Tables {
    /// Records that all changes of `table` up to `at` are known.
    pub(crate) fn record(&mut self, table: store::Table, at: time::Instant) {
        if let Some(table) = self.get_mut(table) {
            table.record(at);
        }
    }

    /// Freshness of `table`; `None` for one that is not followed.
    pub(crate) fn get_mut(&mut self, table: store::Table) -> Option<&mut freshness::Freshness> {
        match table {
            store::Table::Operator => Some(&mut self.config),
            store::Table::Servers => Some(&mut self.servers),
            store::Table::Members
            | store::Table::Leases
            | store::Table::Suspects
            | store::Table::Trials
            | store::Table::Releases
            | store::Table::Streams => None,
        }
    }

    /// Records what a peer has told, whose versions are known here if `known` says so.
    pub(crate) fn record_told(&mut self, told: &Ages, known: &Known, now: time::Instant) {
        let at = |age: Option<u64>| now.checked_sub(time::Duration::from_millis(age?));
        if let Some(at) = at(told.config).filter(|_| known.config) {
            self.config.record(at);
        }
        let Some(at) = at(told.servers) else { return };
        self.servers.record_told(at);
        if known.servers {
            self.servers.record(at);
        }
    }

    /// Ages of both tables.
    pub(crate) fn ages(&self, now: time::Instant) -> Ages {
        let millis = |age: time::Duration| age.as_millis() as u64;
        Ages {
            config: self.config.age(now).map(millis),
            servers: self.servers.age(now).map(millis),
        }
    }
}
