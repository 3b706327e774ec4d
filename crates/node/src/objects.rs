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
    /// Makes a client for the service at `url`.
    pub fn new(client: client::Client, url: &str) -> Objects {
        Objects { client, url: url.to_string() }
    }

    /// Stores an object; storing the same object again changes nothing.
    ///
    /// # Errors
    /// Returns an error while the service is away; the object may then be stored.
    pub async fn put(&self, name: &str, content: String) -> Result<(), PlatformError> {
        let url = format!("{}/{name}", self.url);
        let request = client::request(Method::PUT, &url, content.into())?;
        let reply = self.client.fetch(request, REQUEST_TIMEOUT).await?;
        if reply.status.is_success() { Ok(()) } else { Err(platform::unexpected_status(&reply)) }
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns an error while the service is away.
    pub async fn get(&self, name: &str) -> Result<Option<String>, PlatformError> {
        let reply = self.client.get(&format!("{}/{name}", self.url), REQUEST_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(String::from_utf8_lossy(&reply.body).into_owned())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(platform::unexpected_status(&reply)),
        }
    }

    /// Names of all objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// Returns an error while the service is away.
    pub async fn names(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let reply =
            self.client.get(&format!("{}?prefix={prefix}", self.url), REQUEST_TIMEOUT).await?;
        if reply.status != StatusCode::OK {
            return Err(platform::unexpected_status(&reply));
        }
        platform::read_json(&reply)
    }
}
