//! Settings of the operator command.

use rhubarb_node::{settings, shared_settings};

/// Settings of the operator command.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shared key that authorizes drain requests.
    pub shared_key: String,
    /// Base URLs of the platform.
    pub platform: shared_settings::PlatformUrls,
}

/// Reads the settings file at `path`.
///
/// # Errors
/// Returns every mistake in the file.
pub fn load(path: &str) -> Result<Settings, settings::SettingsError> {
    let mut file = settings::Settings::load(path)?;
    let mut section = file.section("ctl");
    shared_settings::read_keys(&mut section);
    let shared_key = section.words("shared_keys").into_iter().next().unwrap_or_default();
    file.close(section);
    let platform = shared_settings::PlatformUrls::read(&mut file);
    file.finish()?;
    Ok(Settings { shared_key, platform })
}
