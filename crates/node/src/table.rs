//! Client of the platform's transactional table service.

use std::time;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{client, platform};

use platform::PlatformError;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version, raised by every write.
    pub version: u64,
    /// Id of the last write, chosen by its writer.
    pub write_id: String,
    /// Content.
    pub value: String,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version.
    Committed(u64),
    /// The row had another version, and did not change.
    Conflict(Option<Row>),
}

/// One write of a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 where it must be absent.
    pub expected: u64,
    /// Id of the write.
    pub write_id: String,
    /// New content.
    pub value: String,
}

/// Table client.
#[derive(Clone, Debug)]
pub struct Table {
    client: client::Client,
    url: String,
}

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl Table {
    /// Makes a client for the service at `url`.
    pub fn new(client: client::Client, url: &str) -> Table {
        Table { client, url: url.to_string() }
    }

    /// Reads a row.
    ///
    /// # Errors
    /// Returns an error while the service is away.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let reply = self.client.get(&format!("{}/{key}", self.url), REQUEST_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(platform::read_json(&reply)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(platform::unexpected_status(&reply)),
        }
    }

    /// Makes all writes, or none where a row has another version.
    ///
    /// A lost answer is settled by reading the first row back.
    ///
    /// # Errors
    /// Returns an error while the service is away; the writes may then have taken effect.
    pub async fn commit(&self, writes: &[Write]) -> Result<WriteOutcome, PlatformError> {
        let [first, ..] = writes else { return Ok(WriteOutcome::Committed(0)) };
        let content = serde_json::json!(writes);
        match self.client.post_json(&self.url, &content, REQUEST_TIMEOUT).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                Ok(WriteOutcome::Committed(first.expected + 1))
            }
            Ok(reply) if reply.status == StatusCode::PRECONDITION_FAILED => {
                self.resolve_conflict(&first.key, &first.write_id).await
            }
            Ok(reply) => {
                self.resolve_lost_response(first, platform::unexpected_status(&reply)).await
            }
            Err(err) => self.resolve_lost_response(first, err.into()).await,
        }
    }

    async fn resolve_lost_response(
        &self,
        write: &Write,
        err: PlatformError,
    ) -> Result<WriteOutcome, PlatformError> {
        match self.read(&write.key).await {
            Ok(Some(row)) if row.write_id == write.write_id => {
                Ok(WriteOutcome::Committed(row.version))
            }
            _ => Err(err),
        }
    }

    /// Writes a row if it has version `expected`, where 0 means that it is absent.
    ///
    /// # Errors
    /// Returns an error while the service is away; the write may then have taken effect.
    pub async fn write(
        &self,
        key: &str,
        expected: u64,
        write_id: &str,
        value: &str,
    ) -> Result<WriteOutcome, PlatformError> {
        let write = Write {
            key: key.to_string(),
            expected,
            write_id: write_id.to_string(),
            value: value.to_string(),
        };
        self.commit(&[write]).await
    }

    // A conflict can be with this very write, sent again after its answer was lost.
    async fn resolve_conflict(
        &self,
        key: &str,
        write_id: &str,
    ) -> Result<WriteOutcome, PlatformError> {
        match self.read(key).await? {
            Some(row) if row.write_id == write_id => Ok(WriteOutcome::Committed(row.version)),
            row => Ok(WriteOutcome::Conflict(row)),
        }
    }
}
