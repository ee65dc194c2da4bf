//! Jobs as callers of the front submit them, and how the front answers.

use std::sync::Arc;

use rosemaryscale_domain::FastMap;
use rosemaryscale_domain::job::{JobSpec, JobState, QueuePolicy};
use rosemaryscale_domain::route::Route;
use tokio::sync::{mpsc, oneshot, watch};

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum JobRequest {
    /// Accept a job.
    Submit(Result<JobSpec, Arc<str>>),
    /// Say what state a job is in, or how many jobs wait.
    Read,
    /// Cancel a job.
    Cancel,
    /// Something that the front does not know.
    Other,
}

/// A request as it arrived at the front.
#[derive(Debug)]
pub struct FrontCall {
    /// Host that the caller named.
    pub host: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// What is asked.
    pub request: JobRequest,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// Where the answer goes.
    pub reply: oneshot::Sender<FrontReply>,
}

/// Answer of the front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontReply {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or was over.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Jobs of the queue that have not begun.
    Waiting(u64),
    /// No queue of this host and path.
    NoSuchQueue,
    /// No such job.
    NoSuchJob,
    /// The request is malformed and has changed nothing.
    Malformed(Arc<str>),
    /// Nothing was done; try again.
    Unavailable {
        /// Why.
        reason: Arc<str>,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The outcome is not known; the same request may be sent again.
    OutcomeUnknown,
}

/// Handle of the front.
pub type FrontSender = mpsc::Sender<FrontCall>;

/// The operators' configuration of queues and services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueConfig {
    /// Version; rises with every change.
    pub version: u64,
    /// Which requests belong to which queue.
    pub routes: Vec<Route>,
    /// Queues by name.
    pub policies: FastMap<Arc<str>, QueuePolicy>,
    /// Services whose instances are off.
    pub spare_services: Vec<Arc<str>>,
    /// Largest body of a request.
    pub body_max_bytes: usize,
}

/// The newest configuration.
pub type QueueConfigWatch = watch::Receiver<Arc<QueueConfig>>;

/// Whether the daemon takes callers, or why not.
pub type ReadyWatch = watch::Receiver<Result<(), Arc<str>>>;
