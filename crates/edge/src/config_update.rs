//! A config that was read, and what it changes against the one in use.

use std::{collections, sync, time};

use rhubarb_core::{ids, routing};
use rhubarb_node::{background, clock};
use rhubarb_platform::config;

/// A new config, prepared beside the thread that decides by the one in use.
#[derive(Debug)]
pub(crate) struct ConfigUpdate {
    config: routing::Config,
    // The one with which it was compared.
    old: Option<sync::Arc<routing::Config>>,
    mingled: collections::BTreeSet<ids::ServiceName>,
    /// Time that it took to read and compare it.
    pub(crate) read_time: time::Duration,
}

impl ConfigUpdate {
    /// Reads a config and compares it with the one in use.
    ///
    /// # Errors
    /// Returns an error for a document that is not in the platform's format.
    pub(crate) async fn read(
        value: Vec<u8>,
        old: Option<sync::Arc<routing::Config>>,
    ) -> Result<ConfigUpdate, config::ConfigError> {
        let (started, bytes) = (clock::now(), value.len());
        let work = move || {
            let config = config::read(&value)?;
            let mingled = old.as_ref().map(|old| config.mingled(old)).unwrap_or_default();
            Ok((config, old, mingled))
        };
        let (config, old, mingled) = background::run(bytes, work).await?;
        Ok(ConfigUpdate { config, old, mingled, read_time: clock::now() - started })
    }

    /// The config that was read.
    pub(crate) fn config(&self) -> &routing::Config {
        &self.config
    }

    /// Services of which streams may be taken up that another service has begun, if `old` is in use, and
    /// the config. `old` may have come into use while this one was read.
    pub(crate) fn finish(
        self,
        old: Option<&sync::Arc<routing::Config>>,
    ) -> (collections::BTreeSet<ids::ServiceName>, routing::Config) {
        let is_same = match (old, &self.old) {
            (Some(old), Some(known)) => sync::Arc::ptr_eq(old, known),
            (old, known) => old.is_none() && known.is_none(),
        };
        let mingled = match old {
            Some(old) if !is_same => self.config.mingled(old),
            _ => self.mingled,
        };
        (mingled, self.config)
    }
}
