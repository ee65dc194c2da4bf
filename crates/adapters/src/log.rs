//! Logs by slog.

use std::sync::Mutex;

use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Text,
}

/// Opens the log on standard error.
pub fn open(format: LogFormat, level: Level) -> Logger {
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::new(std::io::stderr())
                .add_default_keys()
                .build();
            root(Mutex::new(json).fuse(), level)
        }
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(
                Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse(),
                level,
            )
        }
    }
}

/// Opens the log on standard output. Lines are written by a thread of their own; when its queue is
/// full, lines are counted and dropped, so that a reader that does not read blocks nothing.
pub fn open_stdout(format: LogFormat, level: Level) -> Logger {
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::new(std::io::stdout())
                .add_default_keys()
                .build();
            root(Mutex::new(json).fuse(), level)
        }
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            root(
                Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse(),
                level,
            )
        }
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
