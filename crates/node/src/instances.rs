//! Client of the platform's instance list, which lags behind the actual state.

use std::{net, time};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use rhubarb_core::ids;

use crate::{client, platform};

use platform::PlatformError;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs an entry.
    Entry,
    /// Runs a backend server and its agent.
    Server,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name; for a backend server, the name of the server.
    pub name: String,
    /// Kind.
    pub kind: Kind,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// TCP and UDP address of the agent, or HTTP address of the entry.
    pub address: net::SocketAddr,
    /// Address of the metrics and health endpoints.
    pub http: net::SocketAddr,
    /// State.
    pub state: State,
}

/// Instance list client.
#[derive(Clone, Debug)]
pub struct Instances {
    client: client::Client,
    url: String,
}

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl Instances {
    /// Creates a client for the service at `url`.
    pub fn new(url: &str) -> Instances {
        Instances { client: client::Client::single_use(), url: url.to_string() }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Returns an error while the service is unavailable.
    pub async fn read(&self) -> Result<Vec<Instance>, PlatformError> {
        let response = self.client.get(&self.url, REQUEST_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(platform::unexpected_status(&response));
        }
        platform::read_json(&response)
    }
}
