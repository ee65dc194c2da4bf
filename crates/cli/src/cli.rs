//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use getopts::{Matches, Options as Definition};
use rosemaryscale_ports::event::EventKind;
use rosemaryscale_ports::fleet::FleetOperation;
use snafu::Snafu;

const DAEMON_DEFAULT: &str = "127.0.0.1:7002";
const SOURCE_DEFAULT: &str = "trial";
/// The time within which an accepted change is in force everywhere.
const WITHIN_DEFAULT_S: u64 = 19;
const HELP: &str = "\
Usage: rosemaryscale [OPTIONS] COMMAND

Commands:
    check FILE          check a document and change nothing
    apply FILE          accept a document for the daemon's environment
    promote             accept the document of another environment, byte for byte
    status              show the daemons and the documents of the environments
    history             show the accepted changes, newest first
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
    /// Done.
    Done = 0,
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
    /// Operator addresses of daemons, in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// Print JSON.
    pub json: bool,
    /// What to do.
    pub operation: Operation,
}

/// A change that the command line proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeOptions {
    /// Version that must be in force.
    pub expected_version: Option<u64>,
    /// Identifies the change; a new id if none is named.
    pub change_id: Option<Arc<str>>,
    /// Who asks.
    pub author: Arc<str>,
    /// How long to wait until the change is in force everywhere; no waiting if none.
    pub wait: Option<Duration>,
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
        /// The change.
        change: ChangeOptions,
    },
    /// Accept the document of another environment.
    Promote {
        /// The other environment.
        source: Arc<str>,
        /// Digest of its document; the one there now if none is named.
        digest: Option<Arc<str>>,
        /// The change.
        change: ChangeOptions,
    },
    /// Show the daemons.
    Status,
    /// Show the accepted changes.
    History,
    /// Show the events.
    Timeline {
        /// Only events of this kind.
        kind: Option<EventKind>,
        /// Only events of this subject.
        subject: Option<Arc<str>>,
        /// Only events of this last while.
        since: Option<Duration>,
    },
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
    let json = matches.opt_present("json");
    Ok(Command::Operate(Options {
        daemons: daemons(&matches)?,
        json,
        operation: operation(&matches)?,
    }))
}

fn definition() -> Definition {
    let mut definition = Definition::new();
    let options = [
        (
            "daemon",
            "operator addresses of daemons, tried in order (default 127.0.0.1:7002)",
            "ADDRESS[,ADDRESS]",
        ),
        (
            "expect",
            "apply, promote: the version that must be in force",
            "VERSION",
        ),
        ("author", "apply, promote: who makes the change", "NAME"),
        (
            "change-id",
            "apply, promote: repeat the change with this id",
            "ID",
        ),
        (
            "within",
            "apply, promote: how long to wait (default 19)",
            "SECONDS",
        ),
        (
            "from",
            "promote: the other environment (default trial)",
            "ENVIRONMENT",
        ),
        ("digest", "promote: the digest of its document", "DIGEST"),
        ("kind", "timeline: only events of this kind", "KIND"),
        (
            "subject",
            "timeline: only events of this subject",
            "SUBJECT",
        ),
        (
            "since",
            "timeline: only the last while, such as 30s, 5m or 2h",
            "TIME",
        ),
    ];
    for (name, description, hint) in options {
        let short = if name == "daemon" { "d" } else { "" };
        definition.optopt(short, name, description, hint);
    }
    definition.optflag(
        "",
        "wait",
        "apply, promote: wait until in force on every member",
    );
    definition.optflag("j", "json", "print JSON");
    definition.optflag("h", "help", "print this text");
    definition.optflag("V", "version", "print the version");
    definition
}

fn daemons(matches: &Matches) -> Result<Vec<SocketAddr>, UsageError> {
    let text = matches
        .opt_str("daemon")
        .unwrap_or_else(|| DAEMON_DEFAULT.into());
    text.split(',')
        .map(|address| {
            address
                .trim()
                .parse()
                .or_else(|_| usage(format!("--daemon {address} is no IP address with a port")))
        })
        .collect()
}

const CHANGE_OPTIONS: [&str; 5] = ["expect", "author", "change-id", "within", "wait"];
const PROMOTE_OPTIONS: [&str; 2] = ["from", "digest"];
const TIMELINE_OPTIONS: [&str; 3] = ["kind", "subject", "since"];

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
            change: change(matches)?,
        },
        "promote" => Operation::Promote {
            source: text(matches, "from").unwrap_or_else(|| SOURCE_DEFAULT.into()),
            digest: text(matches, "digest"),
            change: change(matches)?,
        },
        "status" => Operation::Status,
        "history" => Operation::History,
        "timeline" => Operation::Timeline {
            kind: kind(matches)?,
            subject: text(matches, "subject"),
            since: since(matches)?,
        },
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
    if let Some(word) = words.next() {
        return usage(format!("\"{word}\" is one argument too many"));
    }
    refuse_foreign_options(matches, command, &operation)?;
    Ok(operation)
}

/// An option that the command ignores is a mistake: `status --wait` would not wait.
fn refuse_foreign_options(
    matches: &Matches,
    command: &str,
    operation: &Operation,
) -> Result<(), UsageError> {
    let changes = matches!(
        operation,
        Operation::Apply { .. } | Operation::Promote { .. }
    );
    let promotes = matches!(operation, Operation::Promote { .. });
    let timeline = matches!(operation, Operation::Timeline { .. });
    let groups = [
        (changes, &CHANGE_OPTIONS[..]),
        (promotes, &PROMOTE_OPTIONS[..]),
        (timeline, &TIMELINE_OPTIONS[..]),
    ];
    for option in groups
        .iter()
        .filter(|group| !group.0)
        .flat_map(|group| group.1)
    {
        if matches.opt_present(option) {
            return usage(format!("{command} has no option --{option}"));
        }
    }
    Ok(())
}

fn change(matches: &Matches) -> Result<ChangeOptions, UsageError> {
    let within = number(matches, "within")?;
    let wait = matches.opt_present("wait");
    if within.is_some() && !wait {
        return usage("--within needs --wait");
    }
    Ok(ChangeOptions {
        expected_version: number(matches, "expect")?,
        change_id: text(matches, "change-id"),
        author: text(matches, "author").unwrap_or_else(|| "operator".into()),
        wait: wait.then(|| Duration::from_secs(within.unwrap_or(WITHIN_DEFAULT_S))),
    })
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

fn text(matches: &Matches, option: &str) -> Option<Arc<str>> {
    matches.opt_str(option).map(Into::into)
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

fn kind(matches: &Matches) -> Result<Option<EventKind>, UsageError> {
    let Some(name) = matches.opt_str("kind") else {
        return Ok(None);
    };
    serde_json::from_value(name.clone().into())
        .map(Some)
        .or_else(|error| usage(format!("--kind {name}: {error}")))
}

fn since(matches: &Matches) -> Result<Option<Duration>, UsageError> {
    let Some(text) = matches.opt_str("since") else {
        return Ok(None);
    };
    let units = [("s", 1), ("m", 60), ("h", 3_600)];
    let parsed = units.into_iter().find_map(|(unit, unit_s)| {
        let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
        count.checked_mul(unit_s).map(Duration::from_secs)
    });
    match parsed {
        Some(since) => Ok(Some(since)),
        None => usage(format!("--since {text} is no time such as 30s, 5m or 2h")),
    }
}
