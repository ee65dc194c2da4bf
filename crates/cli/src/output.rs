//! Presentation of results: text for readers, JSON for programs.

use std::fmt::Write;

use rosemaryscale_ports::fleet::{FleetOperation, PoolsReport};
use rosemaryscale_ports::operator::{
    Applied, EnvironmentReport, EnvironmentsReport, HistoryReport, OperatorProblem, StatusReport,
    TimelineReport,
};
use serde::Serialize;
use serde_json::json;

use crate::progress::Progress;

const DIGEST_SHOWN_CHARS: usize = 12;

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Result of `check`.
#[must_use]
pub fn valid(file: &str, json: bool) -> String {
    if json {
        pretty(&json!({"file": file, "valid": true}))
    } else {
        format!("{file}: valid")
    }
}

/// Result of `apply`.
#[must_use]
pub fn applied(applied: &Applied, progress: Option<&Progress>, json: bool) -> String {
    if json {
        let in_force = progress.map(Progress::is_complete);
        return pretty(&json!({"applied": applied, "in_force": in_force, "members": progress}));
    }
    let mut text = format!(
        "accepted as version {} of {} (digest {})",
        applied.version,
        applied.environment,
        short(&applied.digest)
    );
    match progress {
        Some(progress) if progress.is_complete() => text.push_str("; in force on every member"),
        Some(progress) => {
            let _ = write!(
                text,
                "; not yet in force everywhere: {}",
                progress.describe()
            );
        }
        None => {}
    }
    text
}

/// A failure, for programs.
#[must_use]
pub fn problem(problem: &OperatorProblem) -> String {
    pretty(problem)
}

/// Result of `history`.
#[must_use]
pub fn history(report: &HistoryReport, json: bool) -> String {
    if json {
        return pretty(report);
    }
    let mut text = format!(
        "{:>7}  {:<13} {:<12} {:<12} CHANGE",
        "VERSION", "ACCEPTED_MS", "DIGEST", "AUTHOR"
    );
    for change in &report.changes {
        let _ = write!(
            text,
            "\n{:>7}  {:<13} {:<12} {:<12} {}",
            change.version,
            change.accepted_wall_ms,
            short(&change.digest),
            change.author,
            change.change_id
        );
    }
    text
}

/// Result of `status`.
#[must_use]
pub fn status(report: &StatusReport, environments: &EnvironmentsReport, json: bool) -> String {
    if json {
        return pretty(&json!({
            "daemons": report.daemons,
            "unreachable": report.unreachable,
            "environments": environments.environments,
        }));
    }
    let mut text = format!(
        "{:<16} {:<12} {:<12} {:<9} {:>7}  {}",
        "DAEMON", "ENVIRONMENT", "ZONE", "STATE", "VERSION", "DIGEST"
    );
    for daemon in &report.daemons {
        let state = if daemon.ready { "ready" } else { "not ready" };
        let _ = write!(
            text,
            "\n{:<16} {:<12} {:<12} {:<9} {:>7}  {}",
            daemon.name,
            daemon.environment,
            daemon.availability_zone,
            state,
            daemon.version,
            short(&daemon.digest)
        );
        if !daemon.ready {
            let _ = write!(text, "\n    {}", daemon.reason);
        }
        if !daemon.platform_reachable {
            text.push_str("\n    the platform is not reachable from here");
        }
    }
    for name in &report.unreachable {
        let _ = write!(text, "\n{name:<16} does not answer");
    }
    for environment in &environments.environments {
        let _ = write!(
            text,
            "\n{}: {}",
            environment.environment,
            accepted(environment)
        );
    }
    text
}

/// Result of `timeline`.
#[must_use]
pub fn timeline(report: &TimelineReport, json: bool) -> String {
    if json {
        return pretty(report);
    }
    let mut text = String::new();
    for event in &report.events {
        let kind = serde_json::to_value(event.kind).unwrap_or_default();
        let _ = writeln!(
            text,
            "{} {:<12} {:<10} {:<20} {}",
            event.wall_ms,
            event.daemon,
            kind.as_str().unwrap_or_default(),
            event.subject,
            event.detail
        );
    }
    for name in &report.unreachable {
        let _ = writeln!(text, "{name} does not answer; its events are missing");
    }
    text.trim_end().to_owned()
}

/// Result of `pools`.
#[must_use]
pub fn pools(report: &PoolsReport, json: bool) -> String {
    if json {
        return pretty(report);
    }
    let controller = report.controller.as_deref().unwrap_or("none");
    let mut text = format!(
        "controller: {controller}\n{:<16} {:<20} {:<14} {:<10} {:>6}  {}",
        "POOL", "INSTANCE", "ZONE", "PHASE", "EPOCH", "WAITS FOR"
    );
    for instance in &report.instances {
        let mut waits: Vec<String> = Vec::new();
        if let Some(to) = &instance.to {
            waits.push(format!("(to {to})"));
        }
        if !instance.waiting_for.is_empty() {
            waits.push(instance.waiting_for.join(", "));
        }
        if instance.vanished_wait_ms > 0 {
            waits.push(format!(
                "{} ms for requests of lost members",
                instance.vanished_wait_ms
            ));
        }
        let _ = write!(
            text,
            "\n{:<16} {:<20} {:<14} {:<10} {:>6}  {}",
            instance.pool,
            instance.name,
            instance.zone,
            instance.phase,
            instance.epoch,
            waits.join(" ")
        );
    }
    text
}

/// Result of `drain`, `undrain` and `move`.
#[must_use]
pub fn fleet(operation: &FleetOperation, json: bool) -> String {
    if json {
        return pretty(&json!({"accepted": operation}));
    }
    let accepted = match operation {
        FleetOperation::Drain { instance } => format!("{instance} drains"),
        FleetOperation::Undrain { instance } => format!("{instance} returns to service"),
        FleetOperation::Move { instance, to } => format!("{instance} moves to {to}"),
    };
    format!("{accepted}; rosemaryscale pools shows its progress")
}

fn accepted(environment: &EnvironmentReport) -> String {
    environment.change.as_ref().map_or_else(
        || environment.reason.clone(),
        |change| {
            format!(
                "version {} (digest {}) by {}, change {}",
                change.version,
                short(&change.digest),
                change.author,
                change.change_id
            )
        },
    )
}

fn short(digest: &str) -> &str {
    digest.get(..DIGEST_SHOWN_CHARS).unwrap_or(digest)
}
