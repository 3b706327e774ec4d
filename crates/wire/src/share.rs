//! State that entries send to each other: commitments at engines, by datagram, and snapshots of
//! the platform's store, by TCP, for entries that do not receive its changes.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::{engine, ids, stages};

/// Maximum size of a datagram, in bytes; fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// State of one entry, which it sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the sending instance.
    pub name: String,
    /// Random number that identifies the sender's process.
    pub incarnation: ids::Incarnation,
    /// Sequence number, which increases with each datagram of that process.
    pub seq: u64,
    /// Version of the config that the sender uses.
    pub config: ids::ListVersion,
    /// Store version of the newest change to a server that the sender has seen.
    pub servers: u64,
    /// Instances that the sender considers alive, or a part of them.
    pub peers: Vec<net::IpAddr>,
    /// Commitments of the sender; engines without one are omitted.
    #[serde(rename = "given")]
    pub committed: Vec<EngineCommitment>,
    /// Engine time used by the sender's requests, by service.
    pub usage: collections::BTreeMap<ids::ServiceName, stages::Usage>,
    /// Engines whose stage the sender has ordered to change.
    pub changing: Vec<ids::ServerName>,
}

/// Commitment of the sender to one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommitment {
    /// Server that runs the engine.
    pub server: ids::ServerName,
    /// Expected memory use, in tokens.
    pub tokens: u32,
    /// Number of runs.
    pub runs: u32,
    /// Remaining prefill work, in milliseconds.
    pub prefill_ms: u32,
}

impl EngineCommitment {
    /// Converts a commitment for sending.
    pub fn new(server: &str, commitment: &engine::Commitment) -> EngineCommitment {
        EngineCommitment {
            server: server.to_string(),
            tokens: commitment.tokens,
            runs: commitment.runs,
            prefill_ms: commitment.prefill.as_millis() as u32,
        }
    }

    fn commitment(&self) -> engine::Commitment {
        engine::Commitment {
            tokens: self.tokens,
            runs: self.runs,
            prefill: time::Duration::from_millis(u64::from(self.prefill_ms)),
        }
    }
}

impl Share {
    /// Commitments by engine.
    pub fn commitments(&self) -> collections::BTreeMap<ids::ServerName, engine::Commitment> {
        self.committed.iter().map(|engine| (engine.server.clone(), engine.commitment())).collect()
    }

    /// Encodes the datagram. Commitments are removed from the end of the list until it fits.
    ///
    /// # Errors
    /// Returns an error if the state cannot be encoded.
    pub fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        loop {
            let bytes = postcard::to_allocvec(self)?;
            if bytes.len() <= MAX_DATAGRAM_BYTES || self.committed.pop().is_none() {
                return Ok(bytes);
            }
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid datagram.
    pub fn decode(bytes: &[u8]) -> Result<Share, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// One row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// Rows of the store, for a peer that does not receive its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Row of the operator's config.
    pub config: Option<Row>,
    /// Rows of all servers.
    pub servers: Vec<Row>,
    /// Servers without a row that the sender still keeps for a grace period.
    pub awaited: Vec<AwaitedServer>,
    /// Store version of the rows of servers.
    pub version: u64,
}

/// A server whose row disappeared around an outage of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedServer {
    /// Key of its row.
    pub key: ids::ServerName,
    /// Time until the server counts as removed.
    #[serde(rename = "left")]
    pub remaining: time::Duration,
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
