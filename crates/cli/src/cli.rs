//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::{Matches, Options as Definition};
use rosemaryscale_ports::fleet::FleetOperation;
use snafu::Snafu;

const DAEMON_DEFAULT: &str = "127.0.0.1:7002";
const HELP: &str = "\
Usage: rosemaryscale [OPTIONS] COMMAND

Commands:
    check FILE          check a document and change nothing
    apply FILE          accept a document for the daemon's environment
    status              show the daemons and the document in force
    timeline            show the events of all daemons, oldest first
    pools               show the pools, their instances and why a move waits
    drain INSTANCE      take an instance out of service once its requests have ended
    undrain INSTANCE    return a drained instance to service
    move INSTANCE POOL  drain an instance, then assign it to another pool

Exit codes:
    0 done, 1 refused, 2 usage, 3 daemon or platform not reachable,
    4 another change won, 5 accepted but not yet in force everywhere";

/// Exit status of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The daemon refused; nothing changed.
    Refused = 1,
    /// The command line is malformed.
    Usage = 2,
    /// The daemon or the platform cannot be reached.
    Unreachable = 3,
    /// Another change won.
    Conflict = 4,
    /// The change is accepted but not yet in force everywhere.
    Pending = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Talk to a daemon.
    Operate(Options),
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
}

/// A command for a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Operator address of the daemon.
    pub daemon: SocketAddr,
    /// Print JSON.
    pub json: bool,
    /// What to do.
    pub operation: Operation,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Check a document.
    Check {
        /// The document file.
        file: PathBuf,
    },
    /// Accept a document.
    Apply {
        /// The document file.
        file: PathBuf,
        /// Version that must be in force.
        expected_version: Option<u64>,
        /// Who asks.
        author: Arc<str>,
    },
    /// Show the daemons.
    Status,
    /// Show the events.
    Timeline,
    /// Show the pools.
    Pools,
    /// Drain, undrain or move an instance.
    Fleet(FleetOperation),
}

/// The command line is malformed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{reason}; see rosemaryscale --help"))]
pub struct UsageError {
    reason: String,
}

fn usage<T>(reason: impl Into<String>) -> Result<T, UsageError> {
    Err(UsageError {
        reason: reason.into(),
    })
}

/// Reads the command line.
///
/// # Errors
///
/// Fails on unknown commands and options and on missing arguments.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let definition = definition();
    let matches = definition
        .parse(arguments)
        .or_else(|error| usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(definition.usage(HELP)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let daemon = matches
        .opt_str("daemon")
        .unwrap_or_else(|| DAEMON_DEFAULT.into());
    let Ok(daemon) = daemon.parse() else {
        return usage(format!("--daemon {daemon} is no IP address with a port"));
    };
    let json = matches.opt_present("json");
    Ok(Command::Operate(Options {
        daemon,
        json,
        operation: operation(&matches)?,
    }))
}

fn definition() -> Definition {
    let mut definition = Definition::new();
    definition.optopt(
        "d",
        "daemon",
        "operator address of a daemon (default 127.0.0.1:7002)",
        "ADDRESS",
    );
    definition.optflag("j", "json", "print JSON");
    definition.optopt(
        "",
        "expect",
        "apply: the version that must be in force",
        "VERSION",
    );
    definition.optopt("", "author", "apply: who makes the change", "NAME");
    definition.optflag("h", "help", "print this text");
    definition.optflag("V", "version", "print the version");
    definition
}

fn operation(matches: &Matches) -> Result<Operation, UsageError> {
    let mut words = matches.free.iter();
    let Some(command) = words.next() else {
        return usage("no command is named");
    };
    let operation = match command.as_str() {
        "check" => Operation::Check {
            file: file(words.next())?,
        },
        "apply" => Operation::Apply {
            file: file(words.next())?,
            expected_version: number(matches, "expect")?,
            author: matches
                .opt_str("author")
                .unwrap_or_else(|| "operator".into())
                .into(),
        },
        "status" => Operation::Status,
        "timeline" => Operation::Timeline,
        "pools" => Operation::Pools,
        "drain" => Operation::Fleet(FleetOperation::Drain {
            instance: instance(words.next())?,
        }),
        "undrain" => Operation::Fleet(FleetOperation::Undrain {
            instance: instance(words.next())?,
        }),
        "move" => Operation::Fleet(FleetOperation::Move {
            instance: instance(words.next())?,
            to: words.next().map_or_else(
                || usage("the pool is missing"),
                |word| Ok(word.as_str().into()),
            )?,
        }),
        _ => return usage(format!("no command is named \"{command}\"")),
    };
    match words.next() {
        Some(word) => usage(format!("\"{word}\" is one argument too many")),
        None => Ok(operation),
    }
}

fn file(word: Option<&String>) -> Result<PathBuf, UsageError> {
    word.map_or_else(
        || usage("the document file is missing"),
        |word| Ok(PathBuf::from(word)),
    )
}

fn instance(word: Option<&String>) -> Result<Arc<str>, UsageError> {
    word.map_or_else(
        || usage("the instance is missing"),
        |word| Ok(word.as_str().into()),
    )
}

fn number(matches: &Matches, option: &str) -> Result<Option<u64>, UsageError> {
    match matches.opt_str(option) {
        None => Ok(None),
        Some(text) => text
            .parse()
            .map(Some)
            .or_else(|_| usage(format!("--{option} {text} is no whole number"))),
    }
}
