//! The fleet port: assignments of instances to pools, and operators' requests to change them.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryscale_domain::assignment::InstanceAssignment;
use rosemaryscale_domain::fleet::StoredZone;
use rosemaryscale_domain::spare::UsageReport;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

/// The assignments as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct AssignmentView {
    /// Revision of the store that the view reflects; 0 before the first read.
    pub revision: u64,
    /// Records by zone.
    pub zones: BTreeMap<Arc<str>, StoredZone>,
    /// Whether this daemon has read its own member record. Until then, a controller may not know of
    /// this daemon and may move an instance without waiting for it, so the daemon must not use any.
    pub registered: bool,
}

impl AssignmentView {
    /// Returns the record of an instance.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&InstanceAssignment> {
        self.zones
            .values()
            .find_map(|zone| zone.assignments.instances.get(instance))
    }
}

/// Receives the newest view of the assignments.
pub type AssignmentWatch = watch::Receiver<Arc<AssignmentView>>;

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FleetOperation {
    /// Take an instance out of service after its requests have ended.
    Drain {
        /// The instance.
        instance: Arc<str>,
    },
    /// Return an instance to service.
    Undrain {
        /// The instance.
        instance: Arc<str>,
    },
    /// Move an instance to another pool.
    Move {
        /// The instance.
        instance: Arc<str>,
        /// The target pool.
        to: Arc<str>,
    },
}

/// Why a change failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum FleetError {
    /// The change is not possible; nothing changed.
    #[snafu(display("{reason}"))]
    Refused {
        /// The reason and the remedy.
        reason: String,
    },
    /// No controller is known or reachable; nothing changed.
    #[snafu(display("{reason}; try again when the platform is reachable"))]
    NoController {
        /// Description of the failure.
        reason: String,
    },
    /// It is not known whether the write took effect.
    #[snafu(display("{reason}; look at rosemaryscale pools before trying again"))]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
}

/// One instance of the pools report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct InstanceReport {
    /// Name.
    pub name: Arc<str>,
    /// Current pool.
    pub pool: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// `assigned`, `moving`, `draining` or `drained`.
    pub phase: Arc<str>,
    /// Target pool of a move.
    pub to: Option<Arc<str>>,
    /// Epoch of the instance's record.
    pub epoch: u64,
    /// Members whose requests the move or drain waits for.
    #[serde(default)]
    pub waiting_for: Vec<Arc<str>>,
    /// Time until the requests of members that disappeared are certain to have ended.
    #[serde(default)]
    pub vanished_wait_ms: u64,
}

/// The pools and their instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct PoolsReport {
    /// The daemon that is the controller; `None` if it is not known.
    pub controller: Option<Arc<str>>,
    /// The instances, sorted by pool and name.
    pub instances: Vec<InstanceReport>,
}

/// Number of requests that a daemon has in flight on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightReport {
    /// Epoch of the instance's record that the daemon uses.
    pub epoch: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
}

/// A message to the controller task.
#[derive(Debug)]
pub enum FleetMessage {
    /// Perform a change.
    Operate {
        /// The change.
        operation: FleetOperation,
        /// Whether a peer forwarded the request; it is then not forwarded again.
        forwarded: bool,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), FleetError>>,
    },
    /// Report the pools.
    Report {
        /// Whether a peer forwarded the request; it is then not forwarded again.
        forwarded: bool,
        /// Receives the report.
        reply: oneshot::Sender<PoolsReport>,
    },
    /// Report the usage of a daemon to the controller.
    Usage {
        /// The reporting peer; `None` for this daemon, whose reports are forwarded to the
        /// controller.
        from: Option<Arc<str>>,
        /// The report.
        report: UsageReport,
        /// Receives whether the controller accepted the report.
        reply: oneshot::Sender<bool>,
    },
}

/// Handle to the controller task.
#[derive(Clone, Debug)]
pub struct FleetHandle {
    messages: mpsc::Sender<FleetMessage>,
}

impl FleetHandle {
    /// Creates a handle and the receiver for the controller task.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<FleetMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Performs a change.
    ///
    /// # Errors
    ///
    /// Fails when the change is not possible or no controller replies.
    pub async fn operate(
        &self,
        operation: FleetOperation,
        forwarded: bool,
    ) -> Result<(), FleetError> {
        let (reply, result) = oneshot::channel();
        let stopped = || FleetError::NoController {
            reason: "the daemon is stopping".into(),
        };
        let message = FleetMessage::Operate {
            operation,
            forwarded,
            reply,
        };
        self.messages.send(message).await.map_err(|_| stopped())?;
        result.await.map_err(|_| stopped())?
    }

    /// Reports the usage of a daemon to the controller. Returns false if the report was not
    /// accepted.
    pub async fn report_usage(&self, from: Option<Arc<str>>, report: UsageReport) -> bool {
        let (reply, accepted) = oneshot::channel();
        let message = FleetMessage::Usage {
            from,
            report,
            reply,
        };
        self.messages.send(message).await.is_ok() && accepted.await.unwrap_or(false)
    }

    /// Reports the pools.
    pub async fn report(&self, forwarded: bool) -> PoolsReport {
        let (reply, report) = oneshot::channel();
        let message = FleetMessage::Report { forwarded, reply };
        if self.messages.send(message).await.is_err() {
            return PoolsReport::default();
        }
        report.await.unwrap_or_default()
    }
}

/// Asks the router for the number of requests in flight on an instance.
#[derive(Debug)]
pub struct InFlightQuery {
    /// The instance.
    pub instance: Arc<str>,
    /// Receives the report; `None` if the router does not know the instance's record.
    pub reply: oneshot::Sender<Option<InFlightReport>>,
}
