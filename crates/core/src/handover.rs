//! What a process that stops in order leaves to the next one of the same server.

use serde::{Deserialize, Serialize};

use crate::ids;

/// A key record on its way to the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Idempotency key.
    pub key: ids::KeyHash,
    /// Run that ran the key.
    pub run: ids::RunId,
    /// Whether its whole answer is stored.
    pub whole: bool,
    /// Age of the end of the run in milliseconds.
    pub age_ms: u64,
}

/// All that is left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Key records of ended runs.
    pub records: Vec<KeyRecord>,
    /// Window of the gate that left them, in milliseconds.
    pub window_ms: u64,
}
