//! Errors of the platform's services.

use std::fmt;

use crate::client;

/// Why a request to the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// The service did not respond, or responded that it is down or overloaded.
    Unavailable(String),
    /// The response does not follow the protocol.
    Protocol(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Unavailable(what) => {
                write!(f, "the platform is unavailable: {what}; try again later")
            }
            PlatformError::Protocol(what) => {
                write!(f, "unexpected response from the platform: {what}; check the URL")
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

/// Returns the error for a response with an unexpected status.
pub(crate) fn unexpected_status(response: &client::FullResponse) -> PlatformError {
    let what = format!("status {}", response.status.as_u16());
    let is_busy = response.status == hyper::StatusCode::TOO_MANY_REQUESTS;
    if response.status.is_server_error() || is_busy {
        PlatformError::Unavailable(what)
    } else {
        PlatformError::Protocol(what)
    }
}

/// Parses a JSON body.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    response: &client::FullResponse,
) -> Result<T, PlatformError> {
    serde_json::from_slice(&response.body).map_err(|err| PlatformError::Protocol(err.to_string()))
}
