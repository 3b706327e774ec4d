//! Client of the platform's transactional table service.

use std::time;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{client, platform};

use platform::PlatformError;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version, incremented by every write.
    pub version: u64,
    /// Id of the last write, chosen by its writer.
    pub write_id: String,
    /// Content.
    pub value: String,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; the row has this version.
    Committed(u64),
    /// The row had another version and is unchanged; its current state, `None` if it is absent.
    Conflict(Option<Row>),
}

/// One write of a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must be absent.
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
    /// Creates a client for the service at `url`.
    pub fn new(url: &str) -> Table {
        Table { client: client::Client::single_use(), url: url.to_string() }
    }

    /// Reads a row; `None` if it is absent.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let response = self.client.get(&format!("{}/{key}", self.url), REQUEST_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Ok(Some(platform::read_json(&response)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(platform::unexpected_status(&response)),
        }
    }

    /// Applies all writes, or none if a row has another version than expected.
    ///
    /// After a conflict, and if the response is lost or unexpected, the first row is read back to
    /// learn whether the writes were applied.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable; the writes may still have been applied.
    pub async fn commit(&self, writes: &[Write]) -> Result<WriteOutcome, PlatformError> {
        let [first, ..] = writes else { return Ok(WriteOutcome::Committed(0)) };
        let content = serde_json::json!(writes);
        match self.client.post_json(&self.url, &content, REQUEST_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => {
                Ok(WriteOutcome::Committed(first.expected + 1))
            }
            Ok(response) if response.status == StatusCode::PRECONDITION_FAILED => {
                self.resolve_conflict(&first.key, &first.write_id).await
            }
            Ok(response) => {
                self.resolve_unknown(first, platform::unexpected_status(&response)).await
            }
            Err(err) => self.resolve_unknown(first, err.into()).await,
        }
    }

    async fn resolve_unknown(
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

    /// Writes a row if it has version `expected`, where 0 means absent.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable; the write may still have been applied.
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

    // A conflict can be with this same write if it was sent again after its response was lost.
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
