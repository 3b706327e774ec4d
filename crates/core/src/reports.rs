//! Commitments that the peers of an entry have reported.

use std::{collections, time};

use crate::{engine, ids, parts, urgency};

/// Commitments by engine, of one entry or of a whole cell.
pub type Commitments = collections::BTreeMap<ids::ServerTag, engine::Commitment>;

/// A part of the commitments of one sender: those to engines whose tags are in a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// First and last tag of the range; engines in it that are not listed have no commitment.
    pub range: (ids::ServerTag, ids::ServerTag),
    /// Commitments.
    pub commitments: Commitments,
}

/// Change of a peer's commitment to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub tag: ids::ServerTag,
    /// What it replaces.
    pub old: engine::Commitment,
    /// The commitment from now on.
    pub new: engine::Commitment,
}

/// Newest reports of all peers.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    peers: collections::BTreeMap<String, PeerReport>,
}

#[derive(Clone, Debug)]
struct PeerReport {
    commitments: Commitments,
    // Urgency of the most urgent request that waits for memory at the peer.
    waiting: Option<urgency::Urgency>,
    // When it last reported a run at the service's engines.
    served_at: Option<time::Instant>,
    received_at: time::Instant,
}

impl Reports {
    /// Replaces the commitments of a peer with those of its newest report.
    pub fn update(&mut self, peer: &str, report: &Report, now: time::Instant) -> Vec<Change> {
        let new = || PeerReport {
            commitments: Commitments::new(),
            waiting: None,
            served_at: None,
            received_at: now,
        };
        let known = self.peers.entry(peer.to_string()).or_insert_with(new);
        known.received_at = now;
        let (first, last) = report.range;
        let mut changes = Vec::new();
        known.commitments.retain(|tag, old| {
            let is_kept = !(first..=last).contains(tag) || report.commitments.contains_key(tag);
            if !is_kept {
                changes.push(Change { tag: *tag, old: *old, new: engine::Commitment::default() });
            }
            is_kept
        });
        for (tag, new) in &report.commitments {
            let old = known.commitments.insert(*tag, *new).unwrap_or_default();
            changes.push(Change { tag: *tag, old, new: *new });
        }
        changes
    }

    /// Removes the reports that have expired.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.peers.retain(|_, peer| {
            let is_fresh = now <= peer.received_at + engine::PEER_TIMEOUT;
            let expired = peer.commitments.iter().filter(|_| !is_fresh);
            let new = engine::Commitment::default();
            changes.extend(expired.map(|(tag, old)| Change { tag: *tag, old: *old, new }));
            is_fresh
        });
        changes
    }

    /// Commitments of all peers to one engine.
    pub fn sum(&self, tag: ids::ServerTag) -> engine::Commitment {
        let mut sum = engine::Commitment::default();
        for commitment in self.peers.values().filter_map(|peer| peer.commitments.get(&tag)) {
            sum.add(commitment);
        }
        sum
    }

    /// Age of the oldest report with a commitment to one engine; zero without any.
    pub fn age(&self, tag: ids::ServerTag, now: time::Instant) -> time::Duration {
        let relevant = self.peers.values().filter(|peer| peer.commitments.contains_key(&tag));
        let ages = relevant.map(|peer| now.saturating_duration_since(peer.received_at));
        ages.max().unwrap_or_default()
    }

    /// Records the urgency of the most urgent request that waits for decode memory at a peer; it
    /// counts until the peer's report expires.
    pub fn set_waiting(&mut self, peer: &str, waiting: Option<urgency::Urgency>) {
        if let Some(report) = self.peers.get_mut(peer) {
            report.waiting = waiting;
        }
    }

    /// Records that a peer has runs at the service's engines.
    pub fn set_served(&mut self, peer: &str, now: time::Instant) {
        if let Some(report) = self.peers.get_mut(peer) {
            report.served_at = Some(now);
        }
    }

    /// Peers whose most urgent waiting request has this urgency; their runs are those at the engines
    /// that `is_known` tells.
    pub fn waiters(
        &self,
        urgency: urgency::Urgency,
        is_known: impl Fn(ids::ServerTag) -> bool,
    ) -> Vec<parts::Waiter> {
        let waiting = self.peers.values().filter(|peer| peer.waiting == Some(urgency));
        let waiters = waiting.map(|peer| {
            let known = peer.commitments.iter().filter(|(tag, _)| is_known(**tag));
            let runs = known.map(|(_, commitment)| commitment.runs).sum();
            parts::Waiter { runs, served_at: peer.served_at }
        });
        waiters.collect()
    }

    /// Number of peers at which a more urgent request waits for decode memory.
    pub fn more_urgent(&self, urgency: urgency::Urgency) -> usize {
        let waiting = self.peers.values().filter_map(|peer| peer.waiting);
        waiting.filter(|waiting| *waiting < urgency).count()
    }

    /// Urgency of the most urgent request that waits for decode memory at any peer.
    pub fn most_urgent(&self) -> Option<urgency::Urgency> {
        self.peers.values().filter_map(|peer| peer.waiting).min()
    }
}
