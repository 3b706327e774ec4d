//! Records that a process hands over to the next process of the same server when it shuts down
//! cleanly.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Record of one idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Idempotency key.
    pub key: ids::KeyHash,
    /// Run that used the key.
    pub run: ids::RunId,
    /// Whether the complete response of the run is stored.
    pub whole: bool,
    /// Time since the end of the run, in milliseconds; 0 for a run that has not ended.
    pub age_ms: u64,
}

/// All records of one handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Key records.
    pub records: Vec<KeyRecord>,
    /// Window of the gate that exported the records, in milliseconds.
    pub window_ms: u64,
}
