//! Simulated servers and entries on the virtual clock.

use std::{collections, time};

use rhubarb_core::{budget, fair_share, ids, pool, prefill_time, slots};

use crate::{engine, event, policy};

use event::AttemptId;

/// Age of the last load report from which a server is suspect: three reports are missing.
const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(3200);

/// Server with its agent and engine.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: ids::ServerName,
    pub(crate) zone: usize,
    pub(crate) slots: slots::Slots,
    pub(crate) engine: engine::Engine,
    pub(crate) prefill_time: prefill_time::PrefillTime,
    /// Attempts that wait for a slot, by run.
    pub(crate) waiting: collections::BTreeMap<ids::RunId, AttemptId>,
    /// When the prefill of an attempt ended, by run; only used without reservations.
    pub(crate) prefilled_at: collections::BTreeMap<ids::RunId, time::Instant>,
    /// Whether it is down for good.
    pub(crate) crashed: bool,
    /// Whether it neither receives nor sends anything for now.
    pub(crate) unresponsive: bool,
}

/// Entry with its pools of servers.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) prefill_pool: pool::Pool,
    pub(crate) decode_pool: pool::Pool,
    pub(crate) retry_budget: budget::RetryBudget,
    pub(crate) fair_share: fair_share::FairShare,
    /// Counter of the round-robin choice.
    pub(crate) next_server: usize,
}

impl Server {
    /// Number of slots that are reserved or in use.
    pub(crate) fn held_slots(&self, now: time::Instant) -> u32 {
        self.slots.load(now).held
    }

    /// Whether the server receives and answers messages.
    pub(crate) fn is_responsive(&self) -> bool {
        !self.crashed && !self.unresponsive
    }
}

/// Makes the pool of an entry in `zone`.
pub(crate) fn make_pool(zone: usize, servers: &[Server], policy: &policy::Policy) -> pool::Pool {
    let tuning = pool::Tuning {
        suspect_after: policy.health_checks.then_some(SUSPECT_AFTER),
        backoff: policy.health_checks,
        by_time: false,
    };
    let mut pool = pool::Pool::new(format!("zone-{zone}"));
    pool.set_tuning(tuning);
    for server in servers {
        pool.add(&server.name, &format!("zone-{}", server.zone));
    }
    pool
}

/// Server with the least reported load; ties are broken by `random`.
pub(crate) fn least_reported(pool: &pool::Pool, random: u64) -> Option<ids::ServerName> {
    let names: Vec<_> = pool.names().collect();
    let offset = random as usize % names.len().max(1);
    let rotated = names[offset..].iter().chain(&names[..offset]);
    let load = |name: &ids::ServerName| {
        pool.get(name).map_or(0, |server| server.load.held + server.load.waiting)
    };
    rotated.min_by_key(|name| load(name)).map(|name| name.to_string())
}
