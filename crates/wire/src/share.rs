//! What entries tell one another: commitments at engines by datagram, and what the platform's
//! store said by TCP, for those that it turns away.

use std::{collections, net, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::{engine, ids, stages};

/// Most bytes of one datagram: what fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// State of one entry, sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the sender.
    pub name: String,
    /// Random number of the sender's process.
    pub incarnation: ids::Incarnation,
    /// Grows with each datagram of that process.
    pub seq: u64,
    /// Version of the config in force at the sender.
    pub config: ids::ListVersion,
    /// Store version up to which the sender knows the servers.
    pub servers: u64,
    /// Instances that the sender has heard of lately.
    pub peers: Vec<net::IpAddr>,
    /// What the sender has given to engines; those with nothing are left out.
    #[serde(rename = "given")]
    pub committed: Vec<EngineCommitment>,
    /// Engine time that the sender's requests have taken, by service.
    pub usage: collections::BTreeMap<ids::ServiceName, stages::Usage>,
    /// Engines that the sender has ordered to change their stage.
    pub changing: Vec<ids::ServerName>,
}

/// Work that the sender has given to one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommitment {
    /// Engine.
    pub server: ids::ServerName,
    /// Memory that is expected to be taken, in tokens.
    pub tokens: u32,
    /// Requests.
    pub runs: u32,
    /// Prefill work that is left, in milliseconds.
    pub prefill_ms: u32,
}

impl EngineCommitment {
    /// Writes a commitment.
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

    /// Writes the datagram; engines that do not fit are left out.
    pub fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        loop {
            let bytes = postcard::to_allocvec(self)?;
            if bytes.len() <= MAX_DATAGRAM_BYTES || self.committed.pop().is_none() {
                return Ok(bytes);
            }
        }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Returns an error for bytes that are not one.
    pub fn decode(bytes: &[u8]) -> Result<Share, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// One row as the store gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// What the store said, for a peer that it turns away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The operator's config.
    pub config: Option<Row>,
    /// All servers' entries.
    pub servers: Vec<Row>,
    /// Servers without an entry that the sender still counts on.
    pub awaited: Vec<AwaitedServer>,
    /// Store version up to which the servers are known.
    pub version: u64,
}

/// A server whose entry vanished around an outage of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedServer {
    /// Key of its entry.
    pub key: ids::ServerName,
    /// Time for which the entry may still return.
    #[serde(rename = "left")]
    pub remaining: time::Duration,
}

impl Snapshot {
    /// Writes the snapshot.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    /// Returns an error for bytes that are not one.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
