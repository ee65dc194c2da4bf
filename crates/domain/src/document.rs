//! The configuration document of an environment: fields, validation and life cycle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub mod bounds;
mod check;
pub mod maintenance;

pub use check::Problem;
pub use maintenance::MaintenanceFields;

/// The document format supported by this version.
pub const DOCUMENT_FORMAT: u32 = 1;

/// The fields of a document. The same text is used in every environment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentFields {
    /// Format of the document; must be [`DOCUMENT_FORMAT`].
    pub format: u32,
    /// Limits that differ between environments, by environment name.
    pub environments: BTreeMap<Arc<str>, EnvironmentFields>,
    /// Pools of instances, by name.
    pub pools: BTreeMap<Arc<str>, PoolFields>,
    /// Services, by name.
    pub services: BTreeMap<Arc<str>, ServiceFields>,
    /// Rules for the maintenance of instances.
    #[serde(default)]
    pub maintenance: MaintenanceFields,
}

/// Limits of an environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnvironmentFields {
    /// Instances that may stay idle as spare capacity.
    pub spare_instances: u32,
}

/// A pool of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolFields {
    /// Planned moves never leave the pool with fewer instances than this.
    pub min_instances: u32,
    /// Planned moves never give the pool more instances than this.
    pub max_instances: u32,
    /// Whether the pool lends idle instances to other pools.
    #[serde(default)]
    pub spare: bool,
}

/// A service and its limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFields {
    /// Pool whose instances run the service.
    pub pool: Arc<str>,
    /// Fraction of requests that may fail, in parts per million.
    pub availability_budget_ppm: u32,
    /// Requests that an instance executes concurrently.
    pub slots_per_instance: u32,
    /// Maximum number of connections to an instance.
    pub connections_per_instance: u32,
    /// Maximum deadline that a caller may request.
    pub request_limit_ms: u64,
    /// Deadline of a request that does not specify one.
    pub default_deadline_ms: u64,
    /// Maximum size of a request body.
    pub body_limit_bytes: u64,
    /// Maximum size of a response body.
    pub response_limit_bytes: u64,
    /// Maximum number of requests that a daemon queues for the service.
    pub queue_limit: u32,
    /// Maximum number of requests that a daemon queues for one caller of the service.
    pub queue_limit_per_caller: u32,
    /// Retries permitted per million first attempts.
    pub retry_budget_ppm: u32,
    /// Work classes, by name.
    pub classes: BTreeMap<Arc<str>, ClassFields>,
    /// Class of a request that does not specify one.
    pub default_class: Arc<str>,
    /// Routes whose requests may be repeated. All other requests run at most once.
    #[serde(default)]
    pub repeatable: Vec<RouteFields>,
}

/// A work class of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassFields {
    /// Weight of the class when slots are contended.
    pub weight: u32,
    /// Fraction of the slots guaranteed to the class while it has work, in parts per million.
    pub floor_ppm: u32,
    /// Maximum number of requests of the class that a daemon queues.
    pub queue_limit: u32,
}

/// Matches requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFields {
    /// HTTP method, in upper case.
    pub method: Arc<str>,
    /// Prefix of the path below the service, including the leading slash.
    pub path_prefix: Arc<str>,
}

impl ServiceFields {
    /// Returns whether the document declares this route repeatable.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|route| &*route.method == method && path.starts_with(&*route.path_prefix))
    }
}

/// State of a document whose text was parsed.
#[derive(Clone, Copy, Debug)]
pub struct Parsed;

/// State of a document that passed all checks.
#[derive(Clone, Copy, Debug)]
pub struct Checked;

/// State of a document that was written to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Version number, starting at 1 in each environment.
    pub version: u64,
}

/// A document in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Document<S> {
    /// The original text.
    pub text: Arc<str>,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: Arc<str>,
    /// The parsed fields.
    pub fields: Arc<DocumentFields>,
    /// Data of the current state.
    pub state: S,
}

impl Document<Parsed> {
    /// Creates a document from its text, digest and parsed fields.
    #[must_use]
    pub fn parsed(text: Arc<str>, digest: Arc<str>, fields: DocumentFields) -> Self {
        Self {
            text,
            digest,
            fields: Arc::new(fields),
            state: Parsed,
        }
    }

    /// Validates the fields.
    ///
    /// # Errors
    ///
    /// Returns all problems found, each with its path, reason and remedy.
    pub fn check(self) -> Result<Document<Checked>, Vec<Problem>> {
        let mut problems = check::problems(&self.fields);
        for problem in bounds::problems(&self.fields) {
            // Some checks give a more specific reason for the value 0, so theirs takes precedence.
            if !problems.iter().any(|known| known.path == problem.path) {
                problems.push(problem);
            }
        }
        if problems.is_empty() {
            Ok(self.with_state(Checked))
        } else {
            Err(problems)
        }
    }
}

impl Document<Checked> {
    /// Records that the document is in force under `version`.
    #[must_use]
    pub fn accept(self, version: u64) -> Document<Accepted> {
        self.with_state(Accepted { version })
    }
}

impl<S> Document<S> {
    fn with_state<T>(self, state: T) -> Document<T> {
        Document {
            text: self.text,
            digest: self.digest,
            fields: self.fields,
            state,
        }
    }
}
