//! Settings of the entry.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_node::{logs, settings, shared_settings};
use rhubarb_wire::auth;

/// Settings of one entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Listen address for callers, metrics and health checks.
    pub listen: net::SocketAddr,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Maximum number of servers followed in each pool.
    pub subset: usize,
    /// Interval between usage records.
    pub flush: time::Duration,
    /// Maximum time to drain before the process exits.
    pub drain: time::Duration,
    /// Time from the start of a shutdown in which new requests are still served, so that the
    /// balancer can detect the failing readiness check.
    pub notice: time::Duration,
    /// Agents from which the service list is fetched while the platform is unavailable.
    pub seeds: Vec<net::SocketAddr>,
    /// Shared keys of the deployment.
    pub keys: auth::Keys,
    /// Base URLs of the platform's services.
    pub platform: shared_settings::PlatformUrls,
    /// Log format and level.
    pub log: logs::Options,
}

/// Default for `max_body`, in bytes.
const DEFAULT_MAX_BODY: usize = 2 * 1024 * 1024;
const DEFAULT_CONNECTIONS: usize = 4096;
const DEFAULT_SUBSET: usize = 12;
const DEFAULT_FLUSH: time::Duration = time::Duration::from_secs(60);
const DEFAULT_DRAIN: time::Duration = time::Duration::from_secs(120);
const DEFAULT_NOTICE: time::Duration = time::Duration::from_secs(2);

/// Reads the settings file at `path`.
///
/// # Errors
/// Returns every mistake in the file.
pub fn load(path: &str) -> Result<Settings, settings::SettingsError> {
    read(settings::Settings::load(path)?)
}

/// Reads settings from `text`.
///
/// # Errors
/// Returns every mistake in the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, settings::SettingsError> {
    read(settings::Settings::parse(file, text)?)
}

fn read(mut file: settings::Settings) -> Result<Settings, settings::SettingsError> {
    let mut section = file.section("entry");
    let name = section.required("name");
    let zone = section.required("zone");
    let listen = settings::address(&mut section, "listen");
    let expected = "a whole number";
    let max_body = section.parsed("max_body", DEFAULT_MAX_BODY, expected);
    let connections = section.parsed("connections", DEFAULT_CONNECTIONS, expected);
    let subset = section.parsed("subset", DEFAULT_SUBSET, expected);
    let flush = section.duration("flush", DEFAULT_FLUSH);
    let drain = section.duration("drain", DEFAULT_DRAIN);
    let notice = section.duration("notice", DEFAULT_NOTICE);
    let seeds = settings::addresses(&mut section, "seeds");
    let keys = shared_settings::read_keys(&mut section);
    file.close(section);
    let platform = shared_settings::PlatformUrls::read(&mut file);
    let log = shared_settings::read_log(&mut file);
    file.finish()?;
    let keys = keys.expect("`finish` reports missing keys");
    Ok(Settings {
        name,
        zone,
        listen,
        max_body,
        connections,
        subset,
        flush,
        drain,
        notice,
        seeds,
        keys,
        platform,
        log,
    })
}
