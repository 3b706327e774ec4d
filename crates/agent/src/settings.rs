//! Settings of the agent.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_node::{logs, settings, shared_settings};
use rhubarb_wire::auth;

/// Settings of one agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Server beside which the agent runs.
    pub server: ids::ServerName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for entries, TCP and UDP.
    pub listen: net::SocketAddr,
    /// Address for metrics and health.
    pub http: net::SocketAddr,
    /// URL of the backend server.
    pub engine: String,
    /// Requests that a prefill engine works on at once.
    pub prefills: u32,
    /// Most requests that wait at the agent.
    pub queue: usize,
    /// Most idempotency keys remembered.
    pub max_keys: usize,
    /// Most bytes of answers to idempotency keys kept.
    pub max_answers: usize,
    /// Longest time to drain on a stop.
    pub drain: time::Duration,
    /// Time after a stop signal during which entries learn that the agent leaves.
    pub notice: time::Duration,
    /// Shared keys.
    pub keys: auth::Keys,
    /// Platform.
    pub platform: shared_settings::PlatformUrls,
    /// Logs.
    pub log: logs::Options,
}

const PREFILLS: u32 = 2;
const QUEUE: usize = 64;
const MAX_KEYS: usize = 100_000;
const MAX_ANSWERS: usize = 64 * 1024 * 1024;
const DRAIN: time::Duration = time::Duration::from_secs(120);
const NOTICE: time::Duration = time::Duration::from_millis(1500);

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
    let whole = "a whole number";
    let prefills = section.parsed("prefills", PREFILLS, whole);
    let queue = section.parsed("queue", QUEUE, whole);
    let max_keys = section.parsed("max_keys", MAX_KEYS, whole);
    let max_answers = section.parsed("max_answers", MAX_ANSWERS, whole);
    let drain = section.duration("drain", DRAIN);
    let notice = section.duration("notice", NOTICE);
    let keys = shared_settings::read_keys(&mut section);
    file.close(section);
    let platform = shared_settings::PlatformUrls::read(&mut file);
    let log = shared_settings::read_log(&mut file);
    file.finish()?;
    let keys = keys.expect("a missing key is a mistake");
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
