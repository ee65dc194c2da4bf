//! Types of the operator API, shared by the daemon and the command-line client.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::event::Event;

/// An error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ProblemReport {
    /// Path of the invalid field.
    pub path: String,
    /// Description of the error.
    pub reason: String,
    /// How to correct the error.
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
    /// Identifies the change; repeating a request with the same id has no further effect.
    pub change_id: Arc<str>,
    /// Version that must be in force; not checked if `None`.
    pub expected_version: Option<u64>,
    /// Name of the operator who makes the change.
    pub author: Arc<str>,
}

/// Request to apply the document of another environment unchanged, byte for byte.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct PromoteRequest {
    /// Environment whose document in force is promoted.
    pub source: Arc<str>,
    /// Digest of the source's document that the operator reviewed.
    pub digest: Arc<str>,
    /// Version of the daemon's environment that the operator reviewed; not checked if `None`.
    pub expected_version: Option<u64>,
    /// Identifies the change; repeating a request with the same id has no further effect.
    pub change_id: Arc<str>,
    /// Name of the operator who makes the change.
    pub author: Arc<str>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ChangeReport {
    /// Version assigned to the change.
    pub version: u64,
    /// SHA-256 of the text.
    pub digest: Arc<str>,
    /// Identifies the change.
    pub change_id: Arc<str>,
    /// Name of the operator who made the change.
    pub author: Arc<str>,
    /// Wall-clock time of the acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// The newest accepted change of one environment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct EnvironmentReport {
    /// The environment.
    pub environment: Arc<str>,
    /// The change; `None` if no document has been accepted or the change is not known.
    pub change: Option<ChangeReport>,
    /// Why the change is not known; empty if it is known.
    pub reason: String,
}

/// The environments of the document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct EnvironmentsReport {
    /// The environments, beginning with the daemon's own.
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

/// An accepted document.
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
    /// Why the daemon is not ready; empty if it is ready.
    pub reason: Arc<str>,
    /// Version of the document in force; 0 if none.
    pub version: u64,
    /// Digest of the document in force; empty if none.
    pub digest: Arc<str>,
    /// Whether the platform's store is reachable.
    pub platform_reachable: bool,
}

/// Status of all daemons that replied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct StatusReport {
    /// Daemons that replied.
    pub daemons: Vec<DaemonStatus>,
    /// Members that did not reply.
    pub unreachable: Vec<Arc<str>>,
}

/// Merged timeline of all daemons that replied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct TimelineReport {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Members that did not reply.
    pub unreachable: Vec<Arc<str>>,
}

/// Error of the operator API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct OperatorProblem {
    /// Kind: `invalid`, `conflict`, `refused`, `unavailable`, `unknown`, `bad_request`.
    pub kind: Arc<str>,
    /// Description of the error.
    pub detail: String,
    /// How to correct the error.
    pub remedy: String,
    /// Errors in the document, if they are the reason.
    #[serde(default)]
    pub problems: Vec<ProblemReport>,
    /// The conflicting change that was accepted first, if that is the reason.
    #[serde(default)]
    pub winner: Option<ChangeReport>,
}
