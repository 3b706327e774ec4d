//! Signed datagrams between entries and agents: load reports and service list versions.

use std::fmt;

use serde::{Deserialize, Serialize};

use rhubarb_core::{ids, load};

use crate::{auth, frame};

/// Maximum size of a datagram, in bytes.
pub const MAX_BYTES: usize = 512;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Heartbeat {
    /// Request from an entry for the load of a server.
    Follow(Follow),
    /// Response of the agent.
    Report(Report),
}

/// Request for the load of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// Incarnation of the entry.
    pub incarnation: ids::Incarnation,
    /// Sequence number, returned in the report.
    pub seq: u64,
    /// Version of the service list that the entry uses.
    pub version: ids::ListVersion,
    /// Whether the platform reports that the server's instance is leaving.
    pub leaving: bool,
    /// Whether the services that the server's service depends on are ready.
    pub depends_ready: bool,
}

/// Load of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the server.
    pub server: ids::ServerName,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Sequence number of the request.
    pub seq: u64,
    /// Version of the service list that the agent uses.
    pub version: ids::ListVersion,
    /// Load of the server.
    pub load: load::Load,
}

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Shorter than a proof or longer than the limit.
    Length,
    /// Sent by a peer with another protocol version.
    Version,
    /// Not signed with a shared key.
    Proof,
    /// Signed with a shared key, but not decodable.
    Malformed,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DatagramError::Length => {
                "datagram has an invalid length; check which process sends to this port"
            }
            DatagramError::Version => {
                "datagram has another protocol version; upgrade the older peer"
            }
            DatagramError::Proof => {
                "datagram has no valid proof; configure the same shared keys everywhere"
            }
            DatagramError::Malformed => {
                "datagram cannot be decoded; run the same release everywhere"
            }
        })
    }
}

impl std::error::Error for DatagramError {}

/// Encodes and signs a heartbeat: protocol version, proof, postcard body.
pub fn encode(keys: &auth::Keys, heartbeat: &Heartbeat) -> Vec<u8> {
    let body = postcard::to_allocvec(heartbeat).expect("heartbeats can be encoded");
    let mut bytes = vec![frame::VERSION];
    bytes.extend(keys.sign(&[b"beat", &body]));
    bytes.extend(body);
    bytes
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// Returns the reason for dropping the datagram.
pub fn decode(keys: &auth::Keys, bytes: &[u8]) -> Result<Heartbeat, DatagramError> {
    if bytes.len() <= 1 + auth::PROOF_BYTES || bytes.len() > MAX_BYTES {
        return Err(DatagramError::Length);
    }
    if bytes[0] != frame::VERSION {
        return Err(DatagramError::Version);
    }
    let (proof, body) = bytes[1..].split_at(auth::PROOF_BYTES);
    let proof = proof.try_into().map_err(|_| DatagramError::Length)?;
    if !keys.verify(&[b"beat", body], proof) {
        return Err(DatagramError::Proof);
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
