//! The command line of the daemon.

use std::path::PathBuf;

use getopts::Options;
use snafu::Snafu;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "ROSEMARYSCALE_SETTINGS";

/// Command that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon with these settings.
    Run {
        /// The settings file.
        config: PathBuf,
    },
    /// Run the job service with these settings.
    RunJobs {
        /// The settings file.
        config: PathBuf,
    },
    /// Check the settings of the job service and exit.
    CheckJobs {
        /// The settings file.
        config: PathBuf,
    },
    /// Check the settings of the daemon and exit.
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

/// Parses the command line.
///
/// # Errors
///
/// Fails on unknown options and when no settings file is named.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, JSON with comments", "FILE");
    options.optflag(
        "",
        "job-service",
        "run jobs of steps on the platform's workers",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments).map_err(|error| UsageError {
        reason: error.to_string(),
    })?;
    if matches.opt_present("help") {
        let brief = "Usage: rosemaryscaled [--job-service] --config FILE\n\n\
                     Without --config, ROSEMARYSCALE_SETTINGS names the settings file.\n\n\
                     Exit codes: 0 stopped gracefully, 1 failed, 2 usage or settings.";
        return Ok(Command::Help(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let config = matches
        .opt_str("config")
        .map(PathBuf::from)
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| UsageError {
            reason: "option --config is missing".into(),
        })?;
    let job_service = matches.opt_present("job-service");
    Ok(match (job_service, matches.opt_present("check")) {
        (false, false) => Command::Run { config },
        (false, true) => Command::Check { config },
        (true, false) => Command::RunJobs { config },
        (true, true) => Command::CheckJobs { config },
    })
}
