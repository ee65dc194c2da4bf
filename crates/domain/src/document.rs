//! The document of an environment: its fields, its checks and its life cycle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub mod bounds;
mod check;
pub mod maintenance;

pub use check::Problem;
pub use maintenance::MaintenanceFields;

/// The document format that this version reads.
pub const DOCUMENT_FORMAT: u32 = 1;

/// The fields of a document. The same bytes serve every environment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentFields {
    /// Format of the document; 1.
    pub format: u32,
    /// Limits that differ between environments, by environment.
    pub environments: BTreeMap<Arc<str>, EnvironmentFields>,
    /// Pools of instances, by pool.
    pub pools: BTreeMap<Arc<str>, PoolFields>,
    /// Services, by service.
    pub services: BTreeMap<Arc<str>, ServiceFields>,
    /// How instances are maintained.
    #[serde(default)]
    pub maintenance: MaintenanceFields,
}

/// What an environment pays for.
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
    /// The pool never has fewer instances because of a planned move.
    pub min_instances: u32,
    /// The pool never has more instances because of a planned move.
    pub max_instances: u32,
    /// Whether the pool lends its idle instances to other pools.
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
    /// Share of requests that may fail, in parts per million.
    pub availability_budget_ppm: u32,
    /// Requests that an instance executes at once.
    pub slots_per_instance: u32,
    /// Connections that an instance accepts.
    pub connections_per_instance: u32,
    /// Longest deadline that a caller may ask for.
    pub request_limit_ms: u64,
    /// Deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// Longest request body.
    pub body_limit_bytes: u64,
    /// Longest response body.
    pub response_limit_bytes: u64,
    /// Requests that a daemon queues for the service.
    pub queue_limit: u32,
    /// Requests that a daemon queues for one caller of the service.
    pub queue_limit_per_caller: u32,
    /// Retries allowed for each million first tries.
    pub retry_budget_ppm: u32,
    /// Work classes, by class.
    pub classes: BTreeMap<Arc<str>, ClassFields>,
    /// Class of a request that names none.
    pub default_class: Arc<str>,
    /// Routes whose requests may be repeated; every other request runs at most once.
    #[serde(default)]
    pub repeatable: Vec<RouteFields>,
}

/// A work class of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassFields {
    /// Weight of the class when slots are scarce.
    pub weight: u32,
    /// Share of the slots that the class gets whenever it has work, in parts per million.
    pub floor_ppm: u32,
    /// Requests of the class that a daemon queues.
    pub queue_limit: u32,
}

/// Requests with this method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFields {
    /// HTTP method, in capitals.
    pub method: Arc<str>,
    /// Start of the path below the service, with its leading slash.
    pub path_prefix: Arc<str>,
}

impl ServiceFields {
    /// Whether the document declares this route repeatable.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|route| &*route.method == method && path.starts_with(&*route.path_prefix))
    }
}

/// State of a document whose text was read into fields.
#[derive(Clone, Copy, Debug)]
pub struct Parsed;

/// State of a document that passed every check.
#[derive(Clone, Copy, Debug)]
pub struct Checked;

/// State of a document whose write to the platform took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Version, counted from 1 for each environment.
    pub version: u64,
}

/// A document in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Document<S> {
    /// The text as the operator wrote it.
    pub text: Arc<str>,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: Arc<str>,
    /// The fields.
    pub fields: Arc<DocumentFields>,
    /// Data of the current state.
    pub state: S,
}

impl Document<Parsed> {
    /// A document whose text was read into fields.
    #[must_use]
    pub fn parsed(text: Arc<str>, digest: Arc<str>, fields: DocumentFields) -> Self {
        Self {
            text,
            digest,
            fields: Arc::new(fields),
            state: Parsed,
        }
    }

    /// Checks the fields against each other.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its path, reason and remedy.
    pub fn check(self) -> Result<Document<Checked>, Vec<Problem>> {
        let mut problems = check::problems(&self.fields);
        for problem in bounds::problems(&self.fields) {
            // A value of 0 has a more specific reason in some checks.
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
