//! Structured logs: on standard error, or on standard output without ever blocking.

use std::{io, str};

use tracing_appender::non_blocking;
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

/// Lines that wait to be written; more are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Writes the lines that wait when it is dropped.
#[derive(Debug)]
pub struct Guard {
    _worker: non_blocking::WorkerGuard,
}

/// Counts lines that were dropped since they could not be written in time.
#[derive(Clone, Debug)]
pub struct DroppedLines(non_blocking::ErrorCounter);

impl DroppedLines {
    /// Lines dropped so far.
    pub fn count(&self) -> usize {
        self.0.dropped_lines()
    }
}

/// Starts logging as JSON on standard output; a reader that is slow or gone never blocks the
/// process.
pub fn start_stdout(level: Level) -> (Guard, DroppedLines) {
    let builder = non_blocking::NonBlockingBuilder::default();
    let builder = builder.lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, worker) = builder.finish(io::stdout());
    let dropped = DroppedLines(writer.error_counter());
    tracing_subscriber::fmt().with_max_level(level_filter(level)).with_writer(writer).json().init();
    (Guard { _worker: worker }, dropped)
}

fn level_filter(level: Level) -> filter::LevelFilter {
    match level {
        Level::Error => filter::LevelFilter::ERROR,
        Level::Warn => filter::LevelFilter::WARN,
        Level::Info => filter::LevelFilter::INFO,
        Level::Debug => filter::LevelFilter::DEBUG,
    }
}

/// Starts logging; called once by each process.
pub fn start(options: Options) {
    let level = level_filter(options.level);
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(io::stderr);
    match options.format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
}
