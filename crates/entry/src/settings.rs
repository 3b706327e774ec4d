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
    /// Address for callers, metrics and health.
    pub listen: net::SocketAddr,
    /// Most bytes of a request's body.
    pub max_body: usize,
    /// Most connections from callers.
    pub connections: usize,
    /// Servers followed in each pool.
    pub subset: usize,
    /// Time between two usage records.
    pub flush: time::Duration,
    /// Longest time to drain on a stop.
    pub drain: time::Duration,
    /// Time after a stop signal during which new requests are still served, until the balancer
    /// has noticed.
    pub notice: time::Duration,
    /// Agents that are asked for the service list while the platform is away.
    pub seeds: Vec<net::SocketAddr>,
    /// Shared keys.
    pub keys: auth::Keys,
    /// Platform.
    pub platform: shared_settings::PlatformUrls,
    /// Logs.
    pub log: logs::Options,
}

const MAX_BODY: usize = 2 * 1024 * 1024;
const CONNECTIONS: usize = 4096;
const SUBSET: usize = 12;
const FLUSH: time::Duration = time::Duration::from_secs(60);
const DRAIN: time::Duration = time::Duration::from_secs(120);
const NOTICE: time::Duration = time::Duration::from_secs(2);

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
    let whole = "a whole number";
    let max_body = section.parsed("max_body", MAX_BODY, whole);
    let connections = section.parsed("connections", CONNECTIONS, whole);
    let subset = section.parsed("subset", SUBSET, whole);
    let flush = section.duration("flush", FLUSH);
    let drain = section.duration("drain", DRAIN);
    let notice = section.duration("notice", NOTICE);
    let seeds = settings::addresses(&mut section, "seeds");
    let keys = shared_settings::read_keys(&mut section);
    file.close(section);
    let platform = shared_settings::PlatformUrls::read(&mut file);
    let log = shared_settings::read_log(&mut file);
    file.finish()?;
    let keys = keys.expect("a missing key is a mistake");
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
