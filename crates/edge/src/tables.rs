//! Age of the config and of the servers' rows in use.

use std::{net, time};

use rhubarb_core::freshness;
use rhubarb_platform::store;
use rhubarb_wire::share;

/// Freshness of the two tables that an entry follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tables {
    pub(crate) config: freshness::Freshness,
    pub(crate) servers: freshness::Freshness,
    // Peer that last told something newer than was known before; `None` if the store did.
    told_by: Option<net::IpAddr>,
}

/// Whether an entry knows all that a peer does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub(crate) config: bool,
    pub(crate) servers: bool,
}

/// Ages of the two tables, in milliseconds, for logs; `None` for one that is not known yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ages {
    pub(crate) config: Option<u64>,
    pub(crate) servers: Option<u64>,
}

impl Tables {
    /// Records that the store has told this entry all changes of `table` up to `at`.
    pub(crate) fn record_answer(&mut self, table: store::Table, at: time::Instant) {
        if let Some(table) = self.get_mut(table) {
            table.record_answer(at);
            self.told_by = None;
        }
    }

    /// Records that the clock stood still for `time`.
    pub(crate) fn record_suspension(&mut self, time: time::Duration) {
        self.config.record_suspension(time);
        self.servers.record_suspension(time);
    }

    /// Whether the store answers this entry itself for both tables.
    pub(crate) fn is_heard(&self, terms: &freshness::Terms, now: time::Instant) -> bool {
        self.config.is_heard(terms, now) && self.servers.is_heard(terms, now)
    }

    /// Until when decisions wait for what the store tells next, if what is known may be outdated.
    pub(crate) fn awaited_until(
        &mut self,
        terms: &freshness::Terms,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let config = self.config.awaited_until(terms, now);
        config.max(self.servers.awaited_until(terms, now))
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
            | store::Table::Streams
            | store::Table::Uses => None,
        }
    }

    /// What to tell a peer.
    pub(crate) fn answered(&self, now: time::Instant) -> share::Answered {
        let millis = |table: &freshness::Freshness| {
            table.answer_age(now).and_then(|age| u32::try_from(age.as_millis()).ok())
        };
        share::Answered { config: millis(&self.config), servers: millis(&self.servers) }
    }

    /// Records what the peer at `from` has told, whose versions are known here if `known` says so, in a
    /// datagram that did not arrive before `arrived_at`.
    pub(crate) fn record_told(
        &mut self,
        from: net::IpAddr,
        told: &share::Answered,
        known: &Known,
        arrived_at: time::Instant,
    ) {
        let before = (self.config, self.servers);
        let place =
            |age_ms: u32| arrived_at.checked_sub(time::Duration::from_millis(age_ms.into()));
        if let Some(at) = told.config.and_then(place) {
            self.config.record_told(at, known.config);
        }
        if let Some(at) = told.servers.and_then(place) {
            self.servers.record_told(at, known.servers);
        }
        if (self.config, self.servers) != before {
            self.told_by = Some(from);
        }
    }

    /// Peer on whose word a table was last known to be current, for logs; `None` for the store's.
    pub(crate) fn told_by(&self) -> Option<net::IpAddr> {
        self.told_by
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
