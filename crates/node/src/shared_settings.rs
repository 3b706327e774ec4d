//! Settings that several processes share: platform URLs, shared keys and logs.

use hyper::{HeaderMap, header};

use rhubarb_core::section;
use rhubarb_wire::auth;

use crate::{logs, settings};

/// Base URLs of the platform's services.
#[derive(Clone, Debug, Default)]
pub struct PlatformUrls {
    /// Table service.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Instance list.
    pub instances: String,
}

impl PlatformUrls {
    /// Reads the section `[platform]`.
    pub fn read(file: &mut settings::Settings) -> PlatformUrls {
        let mut section = file.section("platform");
        let platform = PlatformUrls {
            table: settings::url(&mut section, "table"),
            objects: settings::url(&mut section, "objects"),
            instances: settings::url(&mut section, "instances"),
        };
        file.close(section);
        platform
    }
}

/// Reads the section `[log]`.
pub fn read_log(file: &mut settings::Settings) -> logs::Options {
    let mut section = file.section("log");
    let options = logs::Options {
        format: section.parsed("format", logs::Format::Text, "text or json"),
        level: section.parsed("level", logs::Level::Info, "error, warn, info or debug"),
    };
    file.close(section);
    options
}

/// Whether the `Authorization` header carries a shared key, as operators' commands do.
pub fn is_operator(keys: &auth::Keys, headers: &HeaderMap) -> bool {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.is_some_and(|key| keys.contains(key))
}

/// Reads the field `shared_keys`; records a mistake if it is missing or a key is too short.
pub fn read_keys(section: &mut section::Section) -> Option<auth::Keys> {
    let keys = auth::Keys::new(section.words("shared_keys"));
    if keys.is_none() {
        let what = "`shared_keys` is missing or has a key under 16 characters".to_string();
        let remedy = "give the deployment's key, and after it the one being retired, if any";
        section.record_mistake("shared_keys", what, remedy.to_string());
    }
    keys
}
