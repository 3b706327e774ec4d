//! Limits that servers name: what their responses and other entries say, and whether a request may
//! be sent.

use std::time;

use hyper::{Response, StatusCode};

use rhubarb_core::quotas;
use rhubarb_node::clock;
use rhubarb_platform::response;

use crate::{connections, directory, edge};

/// Requests that a request counts for. One that is followed by another at the same server counts for
/// both, so that the second is not withheld after the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cost {
    /// Counted with an earlier request.
    Paid,
    /// Counts for itself.
    One,
    /// Counts for itself and the one that follows.
    Two,
    /// Counts for itself, the one that follows and the question before that which process answers.
    Three,
}

impl Cost {
    /// Cost of one step of a request that a question which process answers may precede.
    pub(crate) fn part(self, sending: connections::Sending) -> Cost {
        match (sending, self) {
            (connections::Sending::Known, cost) => cost,
            (connections::Sending::Question, Cost::Paid) | (connections::Sending::Asked, _) => {
                Cost::Paid
            }
            (connections::Sending::Question, _) => Cost::Two,
        }
    }

    /// Number of requests that count.
    pub(crate) fn requests(self) -> u32 {
        match self {
            Cost::Paid => 0,
            Cost::One => 1,
            Cost::Two => 2,
            Cost::Three => 3,
        }
    }
}

/// Records a request that is about to be sent to a server, unless this entry's part of the server's
/// limit is used up.
pub(crate) fn permit(
    edge: &edge::Edge,
    target: &directory::Target,
    cost: Cost,
) -> Result<(), connections::SendError> {
    let mut limits = edge.limits();
    if limits.quotas.is_empty() {
        return Ok(());
    }
    let (process, now) = (target.process_tag(), clock::now());
    let part = edge.directory().quota_part(&target.id, now);
    let is_allowed = limits.quotas.try_send(process, cost.requests(), part, now);
    limits.close(&mut edge.directory(), target, now);
    if is_allowed {
        return Ok(());
    }
    edge.counters.withheld.inc();
    Err(connections::SendError::Limited)
}

/// Cost of a hold and of the run that uses it.
pub(crate) fn hold_cost(target: &directory::Target) -> Cost {
    // Only a process that tells its start is asked for it.
    if target.process.1.is_some() { Cost::Three } else { Cost::Two }
}

/// Records that `count` requests which were counted with an earlier one are not sent.
pub(crate) fn refund(edge: &edge::Edge, target: &directory::Target, count: u32) {
    let mut limits = edge.limits();
    if !limits.quotas.is_empty() {
        limits.quotas.refund(target.process_tag(), count);
        limits.close(&mut edge.directory(), target, clock::now());
    }
}

/// Records what a response of any kind says about a limit of its server.
pub(crate) fn observe<B>(edge: &edge::Edge, target: &directory::Target, response: &Response<B>) {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another server answers at the address.
        return;
    }
    let (server, now) = (target.id.as_str(), clock::now());
    let response::LimitNotice { rate, unexpected } = response::limit_notice(response.headers());
    if let Some(value) = &unexpected
        && edge.log_limit().allows(&format!("limit {server}"), now)
    {
        tracing::warn!(server, value, "edge: invalid limit of a server");
    }
    let mut limits = edge.limits();
    if rate.is_none() && (unexpected.is_some() || limits.quotas.is_empty()) {
        return;
    }
    let process = target.process_tag();
    let said = quotas::Statement { process, rate, ago: time::Duration::ZERO };
    let part = edge.directory().quota_part(server, now);
    let has_changed = limits.quotas.record(said, part, now);
    if limits.quotas.rate(process).is_some() {
        limits.servers.insert(target.id.clone(), process);
    }
    if !has_changed {
        return;
    }
    limits.close(&mut edge.directory(), target, now);
    drop(limits);
    edge.counters.limits.inc();
    tracing::info!(server, rate, fraction = part.fraction, "edge: limit of server changed");
    edge.evidence_changed.notify_one();
}

/// Adds what a peer knows; returns whether anything was new.
pub(crate) fn merge(edge: &edge::Edge, statements: &[quotas::Statement], peer: &str) -> bool {
    if statements.is_empty() {
        return false;
    }
    let now = clock::now();
    let mut limits = edge.limits();
    let mut has_changed = false;
    for said in statements {
        let target = edge.directory().target_of(said.process);
        let Some(target) = target else { continue };
        let part = edge.directory().quota_part(&target.id, now);
        if !limits.quotas.record(*said, part, now) {
            continue;
        }
        has_changed = true;
        limits.servers.insert(target.id.clone(), said.process);
        limits.close(&mut edge.directory(), &target, now);
        let (server, rate, ago_ms) = (&target.id, said.rate, said.ago.as_millis() as u64);
        tracing::info!(server, rate, peer, ago_ms, "edge: limit of server changed");
    }
    has_changed
}

/// Brings up to date which servers may be chosen.
pub(crate) fn refresh(edge: &edge::Edge) {
    edge.limits().refresh(&mut edge.directory(), clock::now());
}
