//! Errors of the platform's services.

use std::fmt;

use crate::client;

/// Why the platform did not do as asked.
#[derive(Debug)]
pub enum PlatformError {
    /// The service did not answer, or answered that it is down.
    Unavailable(String),
    /// The service answered something that is not its protocol.
    Protocol(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Unavailable(what) => {
                write!(f, "the platform is away: {what}; it is tried again")
            }
            PlatformError::Protocol(what) => {
                write!(f, "unexpected answer of the platform: {what}; check the URL")
            }
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<client::CallError> for PlatformError {
    fn from(err: client::CallError) -> PlatformError {
        PlatformError::Unavailable(err.to_string())
    }
}

/// Error for an answer with an unexpected status.
pub(crate) fn unexpected_status(reply: &client::FullResponse) -> PlatformError {
    let what = format!("status {}", reply.status.as_u16());
    let is_busy = reply.status == hyper::StatusCode::TOO_MANY_REQUESTS;
    if reply.status.is_server_error() || is_busy {
        PlatformError::Unavailable(what)
    } else {
        PlatformError::Protocol(what)
    }
}

/// Reads a JSON body.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    reply: &client::FullResponse,
) -> Result<T, PlatformError> {
    serde_json::from_slice(&reply.body).map_err(|err| PlatformError::Protocol(err.to_string()))
}
