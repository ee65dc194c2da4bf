//! Output formatting: text tables, or JSON with `--json`.

use std::fmt::Write;

use rosemaryscale_ports::fleet::{FleetOperation, PoolsReport};
use rosemaryscale_ports::operator::{
    Applied, EnvironmentReport, EnvironmentsReport, HistoryReport, OperatorProblem, StatusReport,
    TimelineReport,
};
use serde::Serialize;
use serde_json::json;

use crate::progress::RolloutProgress;

const SHORT_DIGEST_CHARS: usize = 12;

fn to_pretty_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Formats the result of `check`.
#[must_use]
pub fn document_valid(file: &str, json: bool) -> String {
    if json {
        to_pretty_json(&json!({"file": file, "valid": true}))
    } else {
        format!("{file}: valid")
    }
}

/// Formats the result of `apply` and `promote`.
#[must_use]
pub fn change_applied(applied: &Applied, progress: Option<&RolloutProgress>, json: bool) -> String {
    if json {
        let in_force = progress.map(RolloutProgress::is_complete);
        return to_pretty_json(
            &json!({"applied": applied, "in_force": in_force, "members": progress}),
        );
    }
    let mut text = format!(
        "accepted as version {} of {} (digest {})",
        applied.version,
        applied.environment,
        short_digest(&applied.digest)
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

/// Formats an error as JSON.
#[must_use]
pub fn problem_json(problem: &OperatorProblem) -> String {
    to_pretty_json(problem)
}

/// Formats the result of `history`.
#[must_use]
pub fn history(report: &HistoryReport, json: bool) -> String {
    if json {
        return to_pretty_json(report);
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
            short_digest(&change.digest),
            change.author,
            change.change_id
        );
    }
    text
}

/// Formats the result of `status`.
#[must_use]
pub fn status(report: &StatusReport, environments: &EnvironmentsReport, json: bool) -> String {
    if json {
        return to_pretty_json(&json!({
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
            short_digest(&daemon.digest)
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
            document_summary(environment)
        );
    }
    text
}

/// Formats the result of `timeline`.
#[must_use]
pub fn timeline(report: &TimelineReport, json: bool) -> String {
    if json {
        return to_pretty_json(report);
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

/// Formats the result of `pools`.
#[must_use]
pub fn pools(report: &PoolsReport, json: bool) -> String {
    if json {
        return to_pretty_json(report);
    }
    let controller = report.controller.as_deref().unwrap_or("none");
    let mut text = format!(
        "controller: {controller}\n{:<16} {:<20} {:<14} {:<10} {:>6}  {}",
        "POOL", "INSTANCE", "ZONE", "PHASE", "EPOCH", "WAITS FOR"
    );
    for instance in &report.instances {
        let mut wait_reasons: Vec<String> = Vec::new();
        if let Some(to) = &instance.to {
            wait_reasons.push(format!("(to {to})"));
        }
        if !instance.waiting_for.is_empty() {
            wait_reasons.push(instance.waiting_for.join(", "));
        }
        if instance.vanished_wait_ms > 0 {
            wait_reasons.push(format!(
                "{} ms for the requests of members that disappeared",
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
            wait_reasons.join(" ")
        );
    }
    text
}

/// Formats the result of `drain`, `undrain` and `move`.
#[must_use]
pub fn fleet_operation(operation: &FleetOperation, json: bool) -> String {
    if json {
        return to_pretty_json(&json!({"accepted": operation}));
    }
    let summary = match operation {
        FleetOperation::Drain { instance } => format!("draining {instance}"),
        FleetOperation::Undrain { instance } => format!("returning {instance} to service"),
        FleetOperation::Move { instance, to } => format!("moving {instance} to {to}"),
    };
    format!("{summary}; run \"rosemaryscale pools\" to see its progress")
}

fn document_summary(environment: &EnvironmentReport) -> String {
    environment.change.as_ref().map_or_else(
        || environment.reason.clone(),
        |change| {
            format!(
                "version {} (digest {}) by {}, change {}",
                change.version,
                short_digest(&change.digest),
                change.author,
                change.change_id
            )
        },
    )
}

fn short_digest(digest: &str) -> &str {
    digest.get(..SHORT_DIGEST_CHARS).unwrap_or(digest)
}
