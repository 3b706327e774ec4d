//! Reader of settings files, which reports all mistakes at once.

use std::{fmt, fs, net, str};

use rhubarb_core::section;

/// Settings file being read, with the mistakes found so far.
#[derive(Debug)]
pub struct Settings {
    file: String,
    sections: Vec<section::Section>,
    mistakes: Vec<section::Mistake>,
}

/// Mistakes in a settings file.
#[derive(Debug)]
pub struct SettingsError {
    file: String,
    mistakes: Vec<section::Mistake>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.mistakes.iter().enumerate() {
            let end = if index + 1 < self.mistakes.len() { "\n" } else { "" };
            write!(f, "{}: {mistake}{end}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not valid INI.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = fs::read_to_string(path).map_err(|err| SettingsError {
            file: path.to_string(),
            mistakes: vec![section::Mistake {
                line: 0,
                message: format!("cannot be read: {err}"),
                remedy: "give the path of a settings file with --settings".to_string(),
            }],
        })?;
        Settings::parse(path, &text)
    }

    /// Parses `text`; error messages name `file`.
    ///
    /// # Errors
    /// Returns an error if the text is not valid INI.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let file = file.to_string();
        match section::read_sections(text) {
            Ok(sections) => Ok(Settings { file, sections, mistakes: Vec::new() }),
            Err(mistake) => Err(SettingsError { file, mistakes: vec![mistake] }),
        }
    }

    /// Removes and returns the section `name`, or an empty one if it is missing.
    ///
    /// The caller reads it and passes it to [`Settings::close`].
    pub fn section(&mut self, name: &str) -> section::Section {
        match self.sections.iter().position(|section| section.name == name) {
            Some(index) => self.sections.remove(index),
            None => section::Section::empty(name),
        }
    }

    /// Collects the mistakes of a section, unknown fields included.
    pub fn close(&mut self, section: section::Section) {
        self.mistakes.extend(section.finish());
    }

    /// Completes the reading of the file.
    ///
    /// # Errors
    /// Returns every mistake found, unknown sections included.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        for section in &self.sections {
            self.mistakes.push(section::Mistake {
                line: section.line,
                message: format!("[{}] is not a known section", section.name),
                remedy: "remove it, or correct its name".to_string(),
            });
        }
        self.mistakes.sort_by_key(|mistake| mistake.line);
        let (file, mistakes) = (self.file, self.mistakes);
        if mistakes.is_empty() { Ok(()) } else { Err(SettingsError { file, mistakes }) }
    }
}

/// Reads a required address `IP:PORT`; records a mistake if it is missing or malformed.
pub fn address(section: &mut section::Section, key: &str) -> net::SocketAddr {
    let placeholder = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let value = section.required(key);
    if value.is_empty() {
        return placeholder;
    }
    str::FromStr::from_str(&value).unwrap_or_else(|_| {
        let what = format!("`{key} = {value}` is not an IP number and port");
        section.record_mistake(key, what, "give for example 10.0.0.5:7000".to_string());
        placeholder
    })
}

/// Reads addresses `IP:PORT`, separated by commas; records a mistake for each malformed one.
pub fn addresses(section: &mut section::Section, key: &str) -> Vec<net::SocketAddr> {
    let words = section.words(key);
    let mut addresses = Vec::new();
    for word in words {
        match word.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => {
                let what = format!("`{word}` in `{key}` is not an IP number and port");
                section.record_mistake(key, what, "give for example 10.0.0.5:7000".to_string());
            }
        }
    }
    addresses
}

/// Reads a required base URL `http://IP:PORT[/PATH]` and removes trailing slashes; records a
/// mistake if it is missing or malformed.
pub fn url(section: &mut section::Section, key: &str) -> String {
    let value = section.required(key);
    if !value.is_empty() && !is_url(&value) {
        let what = format!("`{key} = {value}` is not an HTTP URL with an IP number");
        section.record_mistake(key, what, "give for example http://10.0.0.5:8000".to_string());
    }
    value.trim_end_matches('/').to_string()
}

fn is_url(value: &str) -> bool {
    let rest = value.strip_prefix("http://");
    let host = rest.and_then(|rest| rest.split('/').next());
    host.is_some_and(|host| host.parse::<net::SocketAddr>().is_ok())
}
