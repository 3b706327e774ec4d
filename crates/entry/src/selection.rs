//! Selects a server for each attempt of a request, and records the outcome of the attempt.

use std::time;

use rhubarb_core::{ids, list, outcome, pool};
use rhubarb_node::clock;

use crate::{admit, channel, peer};

use outcome::Reason;

/// A server selected for an attempt, with the open link to its agent.
#[derive(Debug)]
pub(crate) struct Selected {
    pub(crate) server: ids::ServerName,
    pub(crate) peer: peer::Peer,
    pub(crate) agent: channel::AgentState,
}

/// Why no server could be selected.
#[derive(Debug)]
pub(crate) enum SelectError {
    /// There is none to select.
    NoServer,
    /// The agent of this server cannot be reached.
    Unreachable(ids::ServerName),
}

/// Length of the prompt prefix that is hashed for affinity, in characters.
const PREFIX_CHARS: usize = 256;

/// Selects a server of `role` for the next attempt and connects to its agent.
///
/// Connecting takes up to a second, in which the server may be found to be leaving; then another one
/// is selected. The owner of an idempotency key may be leaving.
///
/// # Errors
/// Returns an error if there is no server, or if the one selected cannot be reached; the end of that
/// attempt is recorded.
pub(crate) async fn connect(
    ticket: &admit::Ticket,
    role: list::Role,
    tried: &[ids::ServerName],
    prompt: Option<&str>,
) -> Result<Selected, SelectError> {
    loop {
        let server = choose(ticket, role, tried, prompt).ok_or(SelectError::NoServer)?;
        let connected = match ticket.entry.peers.get(&server) {
            Some(peer) => peer.connect().await.map(|agent| (peer, agent)),
            None => None,
        };
        let Some((peer, agent)) = connected else {
            let outcome = pool::ServerOutcome::Failure(Reason::NoServer);
            record_end(ticket, &server, role, outcome);
            return Err(SelectError::Unreachable(server));
        };
        if is_owned(ticket, role) || !is_leaving(ticket, &server, role) {
            return Ok(Selected { server, peer, agent });
        }
        record_end(ticket, &server, role, pool::ServerOutcome::Unknown);
    }
}

// Whether the server of `role` is the owner of the request's idempotency key.
fn is_owned(ticket: &admit::Ticket, role: list::Role) -> bool {
    ticket.key.is_some() && role != list::Role::Prefill
}

fn is_leaving(ticket: &admit::Ticket, server: &str, role: list::Role) -> bool {
    let mut view = ticket.entry.directory.view();
    view.pool(&ticket.service.name, role).is_some_and(|pool| pool.is_leaving(server))
}

// Selects a server of `role` for the next attempt; `None` if there is none.
//
// With an idempotency key, every role but prefill uses the owner of the key. A prefill prefers the
// server that is likely to have cached the prefix of `prompt`.
fn choose(
    ticket: &admit::Ticket,
    role: list::Role,
    tried: &[ids::ServerName],
    prompt: Option<&str>,
) -> Option<ids::ServerName> {
    let mut view = ticket.entry.directory.view();
    let service = &ticket.service.name;
    if let Some(key) = &ticket.key
        && is_owned(ticket, role)
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
