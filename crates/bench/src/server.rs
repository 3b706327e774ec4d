//! Servers and entries on the virtual clock.

use std::{collections, time};

use rhubarb_core::{budget, fair_share, ids, pool, prefill_time, slots};

use crate::{engine, event, policy};

use event::Tag;

/// Three reports missed.
const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(3200);

/// A server with its agent.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: ids::ServerName,
    pub(crate) zone: usize,
    pub(crate) rooms: slots::Slots,
    pub(crate) engine: engine::Engine,
    pub(crate) pace: prefill_time::PrefillTime,
    pub(crate) waiting: collections::BTreeMap<ids::RunId, Tag>,
    // Prefill results or reservations by run.
    pub(crate) done_at: collections::BTreeMap<ids::RunId, time::Instant>,
    pub(crate) dead: bool,
    pub(crate) silent: bool,
}

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) prefills: pool::Pool,
    pub(crate) decodes: pool::Pool,
    pub(crate) budget: budget::RetryBudget,
    pub(crate) fair: fair_share::FairShare,
    pub(crate) turn: usize,
}

impl Server {
    pub(crate) fn held(&self, now: time::Instant) -> u32 {
        self.rooms.load(now).held
    }

    pub(crate) fn is_there(&self) -> bool {
        !self.dead && !self.silent
    }
}

/// Pool of an entry in `zone`.
pub(crate) fn make_pool(zone: usize, servers: &[Server], policy: &policy::Policy) -> pool::Pool {
    let tuning = pool::Tuning {
        suspect_after: policy.health_checks.then_some(SUSPECT_AFTER),
        backoff: policy.health_checks,
    };
    let mut pool = pool::Pool::new(format!("zone-{zone}"));
    pool.set_tuning(tuning);
    for server in servers {
        pool.add(&server.name, &format!("zone-{}", server.zone));
    }
    pool
}

/// Server with the least reported load; equal ones in random order.
pub(crate) fn least_reported(pool: &pool::Pool, random: u64) -> Option<ids::ServerName> {
    let names: Vec<_> = pool.names().collect();
    let offset = random as usize % names.len().max(1);
    let turned = names[offset..].iter().chain(&names[..offset]);
    let load = |name: &ids::ServerName| {
        pool.get(name).map_or(0, |server| server.load.held + server.load.waiting)
    };
    turned.min_by_key(|name| load(name)).map(|name| name.to_string())
}
