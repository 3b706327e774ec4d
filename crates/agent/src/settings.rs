//! Settings of the agent.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_node::{logs, settings, shared_settings};
use rhubarb_wire::auth;

/// Settings of one agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the backend server that the agent serves.
    pub server: ids::ServerName,
    /// Availability zone of the agent.
    pub zone: ids::ZoneName,
    /// Address for links from entries (TCP) and their heartbeats (UDP).
    pub listen: net::SocketAddr,
    /// Address of the HTTP server for metrics, health and drain.
    pub http: net::SocketAddr,
    /// Base URL of the backend server.
    pub engine: String,
    /// Slots of a prefill engine: prompts that it processes concurrently.
    pub prefills: u32,
    /// Maximum number of requests queued at the agent.
    pub queue: usize,
    /// Maximum number of key records.
    pub max_keys: usize,
    /// Size of the responses kept for idempotency keys at which requests with a new key are
    /// refused, in bytes.
    pub max_answers: usize,
    /// Maximum duration of the drain after a stop signal.
    pub drain: time::Duration,
    /// Minimum duration of the drain, in which entries receive reports that the agent is leaving.
    pub notice: time::Duration,
    /// Shared keys of the deployment.
    pub keys: auth::Keys,
    /// Base URLs of the platform's services.
    pub platform: shared_settings::PlatformUrls,
    /// Log format and level.
    pub log: logs::Options,
}

const DEFAULT_PREFILLS: u32 = 2;
const DEFAULT_QUEUE: usize = 64;
const DEFAULT_MAX_KEYS: usize = 100_000;
/// Default for `max_answers`, in bytes.
const DEFAULT_MAX_ANSWERS: usize = 64 * 1024 * 1024;
const DEFAULT_DRAIN: time::Duration = time::Duration::from_secs(120);
const DEFAULT_NOTICE: time::Duration = time::Duration::from_millis(1500);

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
    let mut section = file.section("agent");
    let server = section.required("server");
    let zone = section.required("zone");
    let listen = settings::address(&mut section, "listen");
    let http = settings::address(&mut section, "http");
    let engine = settings::url(&mut section, "engine");
    let expected = "a whole number";
    let prefills = section.parsed("prefills", DEFAULT_PREFILLS, expected);
    let queue = section.parsed("queue", DEFAULT_QUEUE, expected);
    let max_keys = section.parsed("max_keys", DEFAULT_MAX_KEYS, expected);
    let max_answers = section.parsed("max_answers", DEFAULT_MAX_ANSWERS, expected);
    let drain = section.duration("drain", DEFAULT_DRAIN);
    let notice = section.duration("notice", DEFAULT_NOTICE);
    let keys = shared_settings::read_keys(&mut section);
    file.close(section);
    let platform = shared_settings::PlatformUrls::read(&mut file);
    let log = shared_settings::read_log(&mut file);
    file.finish()?;
    let keys = keys.expect("`finish` reports missing keys");
    Ok(Settings {
        server,
        zone,
        listen,
        http,
        engine,
        prefills,
        queue,
        max_keys,
        max_answers,
        drain,
        notice,
        keys,
        platform,
        log,
    })
}
