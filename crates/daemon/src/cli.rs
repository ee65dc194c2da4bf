//! The command line of the daemon.

use std::path::PathBuf;

use getopts::Options;
use snafu::Snafu;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with these settings.
    Run {
        /// The settings file.
        config: PathBuf,
    },
    /// Check the settings and stop.
    Check {
        /// The settings file.
        config: PathBuf,
    },
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
}

/// The command line is malformed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{reason}; see rosemaryscaled --help"))]
pub struct UsageError {
    reason: String,
}

/// Reads the command line.
///
/// # Errors
///
/// Fails on unknown options and when the settings file is missing.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, JSON with comments", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments).map_err(|error| UsageError {
        reason: error.to_string(),
    })?;
    if matches.opt_present("help") {
        let brief = "Usage: rosemaryscaled --config FILE\n\n\
                     Exit codes: 0 stopped gracefully, 1 failed, 2 usage or settings.";
        return Ok(Command::Help(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let config = matches
        .opt_str("config")
        .map(PathBuf::from)
        .ok_or_else(|| UsageError {
            reason: "option --config is missing".into(),
        })?;
    if matches.opt_present("check") {
        return Ok(Command::Check { config });
    }
    Ok(Command::Run { config })
}
