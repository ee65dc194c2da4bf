//! Command-line parsing: commands, options and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use getopts::{Matches, Options as OptionParser};
use rosemaryscale_ports::event::EventKind;
use rosemaryscale_ports::fleet::FleetOperation;
use snafu::Snafu;

const DEFAULT_DAEMON: &str = "127.0.0.1:7002";
const DEFAULT_SOURCE_ENVIRONMENT: &str = "trial";
/// Default of `--within`: an accepted change is in force on every member within this time.
const DEFAULT_WAIT_S: u64 = 19;
const HELP: &str = "\
Usage: rosemaryscale [OPTIONS] COMMAND

Commands:
    check FILE          validate a document without applying it
    apply FILE          apply a document to the daemon's environment
    promote             apply the document of another environment, byte for byte
    status              show the daemons and the documents of the environments
    history             list the accepted changes, newest first
    timeline            list the events of all daemons, oldest first
    pools               show the pools, their instances and what moves wait for
    drain INSTANCE      stop new requests to an instance and let the running ones finish
    undrain INSTANCE    return a drained instance to service
    move INSTANCE POOL  drain an instance, then assign it to another pool

Exit codes:
    0 success, 1 refused, 2 usage error, 3 daemon or platform unreachable,
    4 conflicting change, 5 accepted but not yet in force everywhere";

/// Exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The daemon refused the request; nothing changed.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The daemon or the platform is unreachable.
    Unreachable = 3,
    /// The change conflicts with another one, or the expected version is not in force.
    Conflict = 4,
    /// The change is accepted but not yet in force everywhere.
    Pending = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run an operation against a daemon.
    Run(Options),
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
}

/// Options of a command that calls a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Operator addresses of daemons, in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// Print JSON instead of text.
    pub json: bool,
    /// The operation to run.
    pub operation: Operation,
}

/// Options shared by the commands that change a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOptions {
    /// Version that must be in force for the change to be accepted; any version if `None`.
    pub expected_version: Option<u64>,
    /// Idempotency key of the change; a new one is generated if `None`.
    pub change_id: Option<Arc<str>>,
    /// Author recorded with the change.
    pub author: Arc<str>,
    /// How long to wait for the change to be in force on every member; no wait if `None`.
    pub wait: Option<Duration>,
}

/// Operation that a command runs against a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Validate a document.
    Check {
        /// Path of the document.
        file: PathBuf,
    },
    /// Apply a document.
    Apply {
        /// Path of the document.
        file: PathBuf,
        /// Options of the change.
        change: ChangeOptions,
    },
    /// Apply the document of another environment.
    Promote {
        /// Environment to copy the document from.
        source: Arc<str>,
        /// Expected digest of its document; the current digest if `None`.
        digest: Option<Arc<str>>,
        /// Options of the change.
        change: ChangeOptions,
    },
    /// Show the daemons and the documents of the environments.
    Status,
    /// List the accepted changes.
    History,
    /// List the events.
    Timeline {
        /// Only events of this kind.
        kind: Option<EventKind>,
        /// Only events of this subject.
        subject: Option<Arc<str>>,
        /// Only events at most this old.
        since: Option<Duration>,
    },
    /// Show the pools and their instances.
    Pools,
    /// Drain, undrain or move an instance.
    Fleet(FleetOperation),
}

/// The command line is invalid.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{reason}; see rosemaryscale --help"))]
pub struct UsageError {
    reason: String,
}

fn usage_error<T>(reason: impl Into<String>) -> Result<T, UsageError> {
    Err(UsageError {
        reason: reason.into(),
    })
}

/// Parses the command line.
///
/// # Errors
///
/// Fails on an unknown command or option, a missing or excess argument, and an invalid option
/// value.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let parser = option_parser();
    let matches = parser
        .parse(arguments)
        .or_else(|error| usage_error(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(parser.usage(HELP)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let json = matches.opt_present("json");
    Ok(Command::Run(Options {
        daemons: daemon_addresses(&matches)?,
        json,
        operation: parse_operation(&matches)?,
    }))
}

fn option_parser() -> OptionParser {
    let mut parser = OptionParser::new();
    let options = [
        (
            "daemon",
            "operator addresses of daemons, tried in order (default 127.0.0.1:7002)",
            "ADDRESS[,ADDRESS]",
        ),
        (
            "expect",
            "apply, promote: refuse unless this version is in force",
            "VERSION",
        ),
        (
            "author",
            "apply, promote: author recorded with the change",
            "NAME",
        ),
        (
            "change-id",
            "apply, promote: id of the change; reuse it for a retry",
            "ID",
        ),
        (
            "within",
            "apply, promote: how long to wait for the rollout (default 19)",
            "SECONDS",
        ),
        (
            "from",
            "promote: environment to copy from (default trial)",
            "ENVIRONMENT",
        ),
        (
            "digest",
            "promote: expected digest of its document",
            "DIGEST",
        ),
        ("kind", "timeline: only events of this kind", "KIND"),
        (
            "subject",
            "timeline: only events of this subject",
            "SUBJECT",
        ),
        (
            "since",
            "timeline: only events at most this old, such as 30s, 5m or 2h",
            "TIME",
        ),
    ];
    for (name, description, hint) in options {
        let short_name = if name == "daemon" { "d" } else { "" };
        parser.optopt(short_name, name, description, hint);
    }
    parser.optflag(
        "",
        "wait",
        "apply, promote: wait until the change is in force on every member",
    );
    parser.optflag("j", "json", "print JSON");
    parser.optflag("h", "help", "print this help");
    parser.optflag("V", "version", "print the version");
    parser
}

fn daemon_addresses(matches: &Matches) -> Result<Vec<SocketAddr>, UsageError> {
    let list = matches
        .opt_str("daemon")
        .unwrap_or_else(|| DEFAULT_DAEMON.into());
    list.split(',')
        .map(|address| {
            address.trim().parse().or_else(|_| {
                usage_error(format!(
                    "--daemon: {address} is not an IP address with a port"
                ))
            })
        })
        .collect()
}

const CHANGE_OPTIONS: [&str; 5] = ["expect", "author", "change-id", "within", "wait"];
const PROMOTE_OPTIONS: [&str; 2] = ["from", "digest"];
const TIMELINE_OPTIONS: [&str; 3] = ["kind", "subject", "since"];

fn parse_operation(matches: &Matches) -> Result<Operation, UsageError> {
    let mut arguments = matches.free.iter();
    let Some(command) = arguments.next() else {
        return usage_error("the command is missing");
    };
    let operation = match command.as_str() {
        "check" => Operation::Check {
            file: file_argument(arguments.next())?,
        },
        "apply" => Operation::Apply {
            file: file_argument(arguments.next())?,
            change: change_options(matches)?,
        },
        "promote" => Operation::Promote {
            source: text_option(matches, "from")
                .unwrap_or_else(|| DEFAULT_SOURCE_ENVIRONMENT.into()),
            digest: text_option(matches, "digest"),
            change: change_options(matches)?,
        },
        "status" => Operation::Status,
        "history" => Operation::History,
        "timeline" => Operation::Timeline {
            kind: kind_option(matches)?,
            subject: text_option(matches, "subject"),
            since: since_option(matches)?,
        },
        "pools" => Operation::Pools,
        "drain" => Operation::Fleet(FleetOperation::Drain {
            instance: instance_argument(arguments.next())?,
        }),
        "undrain" => Operation::Fleet(FleetOperation::Undrain {
            instance: instance_argument(arguments.next())?,
        }),
        "move" => Operation::Fleet(FleetOperation::Move {
            instance: instance_argument(arguments.next())?,
            to: arguments.next().map_or_else(
                || usage_error("the pool argument is missing"),
                |pool| Ok(pool.as_str().into()),
            )?,
        }),
        _ => return usage_error(format!("unknown command \"{command}\"")),
    };
    if let Some(extra) = arguments.next() {
        return usage_error(format!("unexpected argument \"{extra}\""));
    }
    reject_inapplicable_options(matches, command, &operation)?;
    Ok(operation)
}

/// Rejects options that the command does not use: `status --wait`, for example, would not wait.
fn reject_inapplicable_options(
    matches: &Matches,
    command: &str,
    operation: &Operation,
) -> Result<(), UsageError> {
    let is_change = matches!(
        operation,
        Operation::Apply { .. } | Operation::Promote { .. }
    );
    let is_promotion = matches!(operation, Operation::Promote { .. });
    let is_timeline = matches!(operation, Operation::Timeline { .. });
    let option_groups = [
        (is_change, &CHANGE_OPTIONS[..]),
        (is_promotion, &PROMOTE_OPTIONS[..]),
        (is_timeline, &TIMELINE_OPTIONS[..]),
    ];
    for option in option_groups
        .iter()
        .filter(|group| !group.0)
        .flat_map(|group| group.1)
    {
        if matches.opt_present(option) {
            return usage_error(format!("option --{option} does not apply to {command}"));
        }
    }
    Ok(())
}

fn change_options(matches: &Matches) -> Result<ChangeOptions, UsageError> {
    let wait_s = number_option(matches, "within")?;
    let wait = matches.opt_present("wait");
    if wait_s.is_some() && !wait {
        return usage_error("--within requires --wait");
    }
    Ok(ChangeOptions {
        expected_version: number_option(matches, "expect")?,
        change_id: text_option(matches, "change-id"),
        author: text_option(matches, "author").unwrap_or_else(|| "operator".into()),
        wait: wait.then(|| Duration::from_secs(wait_s.unwrap_or(DEFAULT_WAIT_S))),
    })
}

fn file_argument(argument: Option<&String>) -> Result<PathBuf, UsageError> {
    argument.map_or_else(
        || usage_error("the document file argument is missing"),
        |path| Ok(PathBuf::from(path)),
    )
}

fn instance_argument(argument: Option<&String>) -> Result<Arc<str>, UsageError> {
    argument.map_or_else(
        || usage_error("the instance argument is missing"),
        |name| Ok(name.as_str().into()),
    )
}

fn text_option(matches: &Matches, option: &str) -> Option<Arc<str>> {
    matches.opt_str(option).map(Into::into)
}

fn number_option(matches: &Matches, option: &str) -> Result<Option<u64>, UsageError> {
    match matches.opt_str(option) {
        None => Ok(None),
        Some(text) => text
            .parse()
            .map(Some)
            .or_else(|_| usage_error(format!("--{option}: {text} is not a whole number"))),
    }
}

fn kind_option(matches: &Matches) -> Result<Option<EventKind>, UsageError> {
    let Some(name) = matches.opt_str("kind") else {
        return Ok(None);
    };
    serde_json::from_value(name.clone().into())
        .map(Some)
        .or_else(|error| usage_error(format!("--kind {name}: {error}")))
}

fn since_option(matches: &Matches) -> Result<Option<Duration>, UsageError> {
    let Some(text) = matches.opt_str("since") else {
        return Ok(None);
    };
    let units = [("s", 1), ("m", 60), ("h", 3_600)];
    let duration = units.into_iter().find_map(|(unit, unit_s)| {
        let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
        count.checked_mul(unit_s).map(Duration::from_secs)
    });
    match duration {
        Some(since) => Ok(Some(since)),
        None => usage_error(format!(
            "--since: {text} is not a duration such as 30s, 5m or 2h"
        )),
    }
}
