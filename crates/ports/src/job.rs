//! The job port: requests of callers about jobs, and the replies to them.

use std::fmt;
use std::sync::Arc;

use rosemaryscale_domain::FastMap;
use rosemaryscale_domain::job::{JobSpec, JobState, QueuePolicy};
use rosemaryscale_domain::route::{self, Route};
use rosemaryscale_domain::workspace::{Access, KeyDigest, Workspaces};
use tokio::sync::{mpsc, oneshot, watch};

/// The operation that a caller requests.
#[derive(Clone, Debug)]
pub enum JobRequest {
    /// Submit a job; the error describes why its specification is malformed.
    Submit(Result<JobSpec, Arc<str>>),
    /// Submit a job whose body was not read, since the caller may not make the call.
    SubmitUnread,
    /// Read the state of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// An operation that is not supported.
    Other,
}

/// A request of a caller.
#[derive(Debug)]
pub struct JobCall {
    /// Host that the caller addressed.
    pub host: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// Digest of the caller's API key, if it sent one.
    pub api_key: Option<KeyDigest>,
    /// The requested operation.
    pub request: JobRequest,
    /// Time that the caller waits for the reply, in milliseconds.
    pub deadline_ms: u64,
    /// Receives the reply.
    pub reply: oneshot::Sender<JobReply>,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The job is persisted.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Number of jobs of the queue that have not started.
    Waiting(u64),
    /// No queue matches the host and the path.
    NoSuchQueue,
    /// No such job.
    NoSuchJob,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The id belongs to a job of another workspace; the request had no effect.
    IdTaken,
    /// The job can never run within the quota of its workspace; the request had no effect.
    AboveQuota(Arc<str>),
    /// The request is malformed and had no effect.
    Malformed(Arc<str>),
    /// The request had no effect and may be sent again.
    Unavailable {
        /// The reason.
        reason: Arc<str>,
        /// Time after which to send the request again.
        retry_after_ms: u64,
    },
    /// It is not known whether the request took effect; it may be sent again unchanged.
    OutcomeUnknown,
}

/// Writes the words of log lines, which operators search for.
impl fmt::Display for JobReply {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => formatter.write_str("Accepted"),
            Self::Cancelled => formatter.write_str("Cancelled"),
            Self::State(state) => write!(formatter, "State({state})"),
            Self::Waiting(count) => write!(formatter, "Waiting({count})"),
            Self::NoSuchQueue => formatter.write_str("NoSuchQueue"),
            Self::NoSuchJob => formatter.write_str("NoSuchJob"),
            Self::Unauthorized => formatter.write_str("Unauthorized"),
            Self::IdTaken => formatter.write_str("IdTaken"),
            Self::AboveQuota(reason) => write!(formatter, "AboveQuota({reason:?})"),
            // The debug format of a text quotes it.
            Self::Malformed(reason) => write!(formatter, "Malformed({reason:?})"),
            Self::Unavailable {
                reason,
                retry_after_ms,
            } => write!(
                formatter,
                "Unavailable {{ reason: {reason:?}, retry_after_ms: {retry_after_ms} }}"
            ),
            Self::OutcomeUnknown => formatter.write_str("OutcomeUnknown"),
        }
    }
}

/// Sends callers' requests to the job service.
pub type JobCallSender = mpsc::Sender<JobCall>;

/// The configuration of queues and services.
#[derive(Clone, Debug, Default)]
pub struct QueueConfig {
    /// Version; increases with every change.
    pub version: u64,
    /// Rules that assign requests to queues.
    pub routes: Vec<Route>,
    /// Policies by queue name.
    pub policies: FastMap<Arc<str>, QueuePolicy>,
    /// Names of services whose instances are switched off.
    pub spare_services: Vec<Arc<str>>,
    /// The workspaces and their keys.
    pub workspaces: Workspaces,
    /// Entries that cannot be used, with reason and remedy; never with a key.
    pub problems: Vec<Arc<str>>,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
}

impl QueueConfig {
    /// Whether a caller with this key may use the host and the path.
    #[must_use]
    pub fn admits(&self, host: &str, path: &str, api_key: Option<KeyDigest>) -> bool {
        route::find(&self.routes, host, path).is_some_and(|(route, _)| {
            self.workspaces.access(route.is_public, api_key) != Access::Denied
        })
    }
}

/// Receives the newest configuration.
pub type QueueConfigWatch = watch::Receiver<Arc<QueueConfig>>;

/// Receives whether the daemon accepts requests of callers; the error is the reason if it does not.
pub type ReadyWatch = watch::Receiver<Result<(), Arc<str>>>;
