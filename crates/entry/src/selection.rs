//! Selects a server for each attempt of a request, and records the outcome of the attempt.

use std::time;

use rhubarb_core::{ids, list, pool};
use rhubarb_node::clock;

use crate::admit;

/// Length of the prompt prefix that is hashed for affinity, in characters.
const PREFIX_CHARS: usize = 256;

/// Selects a server of `role` for the next attempt; `None` if there is none.
///
/// With an idempotency key, every role but prefill uses the owner of the key. A prefill prefers the
/// server that is likely to have cached the prefix of `prompt`.
pub(crate) fn choose(
    ticket: &admit::Ticket,
    role: list::Role,
    tried: &[ids::ServerName],
    prompt: Option<&str>,
) -> Option<ids::ServerName> {
    let mut view = ticket.entry.directory.view();
    let service = &ticket.service.name;
    if let Some(key) = &ticket.key
        && role != list::Role::Prefill
    {
        return view.owner(service, key.hash);
    }
    let affinity = prompt.map(hash_prefix);
    let work = match prompt {
        Some(prompt) => view.prefill_time(service).estimate(prompt.len() as u32),
        None => time::Duration::ZERO,
    };
    let by_work = prompt.is_some();
    let criteria = pool::Criteria { tried, affinity, random: rand::random(), by_work };
    let pool = view.pool(service, role)?;
    let server = pool.pick(criteria, clock::now())?;
    pool.record_sent(&server, work);
    Some(server)
}

fn hash_prefix(prompt: &str) -> u128 {
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    ids::digest(&[prefix.as_bytes()])
}

/// Records the end of an attempt at `server`.
pub(crate) fn record_end(
    ticket: &admit::Ticket,
    server: &str,
    role: list::Role,
    outcome: pool::ServerOutcome,
) {
    let mut view = ticket.entry.directory.view();
    if let Some(pool) = view.pool(&ticket.service.name, role) {
        pool.record_end(server, outcome, clock::now());
    }
}

/// Records an outcome of `server` that became known after the end of the attempt.
pub(crate) fn record_outcome(
    ticket: &admit::Ticket,
    server: &str,
    role: list::Role,
    outcome: pool::ServerOutcome,
) {
    let mut view = ticket.entry.directory.view();
    if let Some(pool) = view.pool(&ticket.service.name, role) {
        pool.record_outcome(server, outcome, clock::now());
    }
}
