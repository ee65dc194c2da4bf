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
    /// Kind: `invalid`, `conflict`, `unavailable`, `unknown`, `not_found`, `bad_request`.
    pub kind: Arc<str>,
    /// What is wrong.
    pub detail: String,
    /// What to do.
    pub remedy: String,
    /// Mistakes of the document, if that is the reason.
    #[serde(default)]
    pub problems: Vec<ProblemReport>,
}
