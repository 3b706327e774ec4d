//! Structured logs: on standard error, or non-blocking on standard output.

use std::{io, str};

use tracing_appender::non_blocking;
use tracing_subscriber::filter;

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also informational messages; the usual level in operation.
    Info,
    /// Also debug messages.
    Debug,
}

/// Log settings.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Format of a line.
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

/// Lines buffered for writing; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Flushes the buffered lines when dropped.
#[derive(Debug)]
pub struct Guard {
    _worker: non_blocking::WorkerGuard,
}

/// Counter of the lines dropped because the buffer was full.
#[derive(Clone, Debug)]
pub struct DroppedLines(non_blocking::ErrorCounter);

impl DroppedLines {
    /// Number of lines dropped so far.
    pub fn count(&self) -> usize {
        self.0.dropped_lines()
    }
}

/// Starts logging as JSON on standard output; a slow or closed reader never blocks the process.
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

/// Starts logging on standard error; each process calls it once.
pub fn start(options: Options) {
    let level = level_filter(options.level);
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(io::stderr);
    match options.format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
}
