//! Chooses servers for the attempts of a request, and notes what became of them.

use std::time;

use rhubarb_core::{ids, list, pool};
use rhubarb_node::clock;

use crate::admit;

/// Part of a prompt by which servers with its prefix are found.
const PREFIX_CHARS: usize = 256;

/// Chooses a server of `role` for the request.
///
/// A request with an idempotency key goes to the home of the key, but for its prefill. A prompt
/// prefers the server that has its prefix.
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
        Some(prompt) => view.pace(service).estimate(prompt.len() as u32),
        None => time::Duration::ZERO,
    };
    let by_work = prompt.is_some();
    let wish = pool::Criteria { tried, affinity, random: rand::random(), by_work };
    let pool = view.pool(service, role)?;
    let server = pool.pick(wish, clock::now())?;
    pool.record_sent(&server, work);
    Some(server)
}

fn hash_prefix(prompt: &str) -> u128 {
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    ids::digest(&[prefix.as_bytes()])
}

/// Notes the end of an attempt at `server`.
pub(crate) fn note_end(
    ticket: &admit::Ticket,
    server: &str,
    role: list::Role,
    end: pool::ServerOutcome,
) {
    let mut view = ticket.entry.directory.view();
    if let Some(pool) = view.pool(&ticket.service.name, role) {
        pool.record_end(server, end, clock::now());
    }
}

/// Notes what became known later of the work of `server`.
pub(crate) fn judge(
    ticket: &admit::Ticket,
    server: &str,
    role: list::Role,
    end: pool::ServerOutcome,
) {
    let mut view = ticket.entry.directory.view();
    if let Some(pool) = view.pool(&ticket.service.name, role) {
        pool.record_outcome(server, end, clock::now());
    }
}
