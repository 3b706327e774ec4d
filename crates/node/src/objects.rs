//! Client of the platform's object store.

use std::time;

use hyper::{Method, StatusCode};

use crate::{client, platform};

use platform::PlatformError;

/// Object store client.
#[derive(Clone, Debug)]
pub struct Objects {
    client: client::Client,
    url: String,
}

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

impl Objects {
    /// Creates a client for the service at `url`.
    pub fn new(url: &str) -> Objects {
        Objects { client: client::Client::single_use(), url: url.to_string() }
    }

    /// Stores an object; storing the same object again has no effect.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable; the object may still have been stored.
    pub async fn put(&self, name: &str, content: String) -> Result<(), PlatformError> {
        let url = format!("{}/{name}", self.url);
        let request = client::request(Method::PUT, &url, content.into())?;
        let response = self.client.fetch(request, REQUEST_TIMEOUT).await?;
        if response.status.is_success() {
            Ok(())
        } else {
            Err(platform::unexpected_status(&response))
        }
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable.
    pub async fn get(&self, name: &str) -> Result<Option<String>, PlatformError> {
        let response = self.client.get(&format!("{}/{name}", self.url), REQUEST_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => Ok(Some(String::from_utf8_lossy(&response.body).into_owned())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(platform::unexpected_status(&response)),
        }
    }

    /// Returns the names of all objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable.
    pub async fn names(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let response =
            self.client.get(&format!("{}?prefix={prefix}", self.url), REQUEST_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(platform::unexpected_status(&response));
        }
        platform::read_json(&response)
    }
}
