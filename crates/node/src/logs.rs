//! Structured logs on standard error.

use std::{io, str};

use tracing_subscriber::filter;

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// What operators usually want.
    Info,
    /// Everything.
    Debug,
}

/// Settings of the logs.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Form of a line.
    pub format: Format,
    /// Least severe level.
    pub level: Level,
}

impl str::FromStr for Format {
    type Err = ();

    fn from_str(value: &str) -> Result<Format, ()> {
        match value {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(()),
        }
    }
}

impl str::FromStr for Level {
    type Err = ();

    fn from_str(value: &str) -> Result<Level, ()> {
        match value {
            "error" => Ok(Level::Error),
            "warn" => Ok(Level::Warn),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            _ => Err(()),
        }
    }
}

/// Starts logging; called once by each process.
pub fn start(options: Options) {
    let level = match options.level {
        Level::Error => filter::LevelFilter::ERROR,
        Level::Warn => filter::LevelFilter::WARN,
        Level::Info => filter::LevelFilter::INFO,
        Level::Debug => filter::LevelFilter::DEBUG,
    };
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(io::stderr);
    match options.format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
}
