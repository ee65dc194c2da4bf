//! Presentation of results: text for readers, JSON for programs.

use std::fmt::Write;

use rosemaryscale_ports::operator::{Applied, StatusReport, TimelineReport};
use serde::Serialize;
use serde_json::json;

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
pub fn applied(applied: &Applied, json: bool) -> String {
    if json {
        return pretty(applied);
    }
    format!(
        "accepted as version {} of {} (digest {})",
        applied.version,
        applied.environment,
        short(&applied.digest)
    )
}

/// Result of `status`.
#[must_use]
pub fn status(report: &StatusReport, json: bool) -> String {
    if json {
        return pretty(report);
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
    }
    for name in &report.unreachable {
        let _ = write!(text, "\n{name:<16} does not answer");
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

fn short(digest: &str) -> &str {
    digest.get(..DIGEST_SHOWN_CHARS).unwrap_or(digest)
}
