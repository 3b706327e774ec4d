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

/// Ages of the two tables, in milliseconds, for logs; `None` for one that is not known yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ages {
    pub(crate) config: Option<u64>,
    pub(crate) servers: Option<u64>,
}

impl Tables {
    /// Records that all changes of `table` up to `at` are known.
    pub(crate) fn record(&mut self, table: store::Table, at: time::Instant) {
        match table {
            store::Table::Operator => self.config.record(at),
            store::Table::Servers => self.servers.record(at),
            store::Table::Members
            | store::Table::Leases
            | store::Table::Suspects
            | store::Table::Trials
            | store::Table::Releases
            | store::Table::Streams => {}
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
