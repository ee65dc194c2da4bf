//! Types of the operator API, shared by the daemon and the command line.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::event::Event;

/// A mistake in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ProblemReport {
    /// Path of the field.
    pub path: String,
    /// What is wrong.
    pub reason: String,
    /// What to do.
    pub remedy: String,
}

/// Request to check a document.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct CheckRequest {
    /// Text of the document.
    pub text: String,
}

/// Request to apply a document to the daemon's environment.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ApplyRequest {
    /// Text of the document.
    pub text: String,
    /// Identifies the change; the same id applied twice has one effect.
    pub change_id: Arc<str>,
    /// Version that must be in force; any if none.
    pub expected_version: Option<u64>,
    /// Who asks.
    pub author: Arc<str>,
}

/// Request to put the document of another environment in force, byte for byte.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct PromoteRequest {
    /// Environment that has the document in force.
    pub source: Arc<str>,
    /// Digest of its document when the operator looked at it.
    pub digest: Arc<str>,
    /// Version of the daemon's environment when the operator looked at it; any if none.
    pub expected_version: Option<u64>,
    /// Identifies the change; the same id sent twice has one effect.
    pub change_id: Arc<str>,
    /// Who asks.
    pub author: Arc<str>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ChangeReport {
    /// Version that it got.
    pub version: u64,
    /// SHA-256 of the text.
    pub digest: Arc<str>,
    /// Identifies the change.
    pub change_id: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// Wall-clock time when it was accepted, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// The newest accepted change of one environment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct EnvironmentReport {
    /// The environment.
    pub environment: Arc<str>,
    /// The change; `None` if no document is accepted or it is not known.
    pub change: Option<ChangeReport>,
    /// Why the change is not known; empty if it is.
    pub reason: String,
}

/// The environments of the document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct EnvironmentsReport {
    /// The daemon's environment first.
    pub environments: Vec<EnvironmentReport>,
}

/// Accepted changes of the daemon's environment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct HistoryReport {
    /// The environment.
    pub environment: Arc<str>,
    /// The changes, newest first.
    pub changes: Vec<ChangeReport>,
}

/// A document that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct Applied {
    /// Environment.
    pub environment: Arc<str>,
    /// Version.
    pub version: u64,
    /// SHA-256 of the text.
    pub digest: Arc<str>,
}

/// Status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct DaemonStatus {
    /// Name.
    pub name: Arc<str>,
    /// Environment.
    pub environment: Arc<str>,
    /// Availability zone.
    pub availability_zone: Arc<str>,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub reason: Arc<str>,
    /// Version of the document in force; 0 if none.
    pub version: u64,
    /// Digest of the document in force; empty if none.
    pub digest: Arc<str>,
    /// Whether the platform's store answers.
    pub platform_reachable: bool,
}

/// Status of all daemons that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct StatusReport {
    /// Daemons that answered.
    pub daemons: Vec<DaemonStatus>,
    /// Members that did not answer.
    pub unreachable: Vec<Arc<str>>,
}

/// The timeline of all daemons that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct TimelineReport {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Members that did not answer.
    pub unreachable: Vec<Arc<str>>,
}

/// Error of the operator API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct OperatorProblem {
    /// Kind: `invalid`, `conflict`, `refused`, `unavailable`, `unknown`, `bad_request`.
    pub kind: Arc<str>,
    /// What is wrong.
    pub detail: String,
    /// What to do.
    pub remedy: String,
    /// Mistakes of the document, if that is the reason.
    #[serde(default)]
    pub problems: Vec<ProblemReport>,
    /// The change that won, if that is the reason.
    #[serde(default)]
    pub winner: Option<ChangeReport>,
}
