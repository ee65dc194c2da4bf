//! Sets up logging with slog.

use std::io::Write;
use std::sync::Mutex;

use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Maximum number of log lines that are queued for the writer. During a burst, one scheduling round
/// starts several hundred tasks, each of which logs a line of about 300 bytes.
pub const LINE_QUEUE_CAPACITY: usize = 1_024;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Text,
}

/// Creates a logger that writes to standard error.
pub fn open(format: LogFormat, level: Level) -> Logger {
    match format {
        LogFormat::Json => open_json(std::io::stderr(), level),
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(
                Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse(),
                level,
            )
        }
    }
}

/// Creates a logger that writes to standard output. A separate thread writes the lines. If its
/// queue is full, lines are dropped and counted, so a consumer that stops reading blocks no other
/// thread.
pub fn open_stdout(format: LogFormat, level: Level) -> Logger {
    match format {
        LogFormat::Json => open_json(std::io::stdout(), level),
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            root(
                Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse(),
                level,
            )
        }
    }
}

/// Creates a logger that writes JSON lines to a writer, which may block.
pub fn open_json(writer: impl Write + Send + 'static, level: Level) -> Logger {
    let json = slog_json::Json::new(writer).add_default_keys().build();
    root(Mutex::new(json).fuse(), level)
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LINE_QUEUE_CAPACITY)
        .build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
