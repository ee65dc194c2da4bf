//! The fleet port: assignments of instances to pools, and requests of operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryscale_domain::assignment::InstanceAssignment;
use rosemaryscale_domain::fleet::StoredZone;
use rosemaryscale_domain::spare::UsageReport;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

/// Assignments as last seen.
#[derive(Clone, Debug, Default)]
pub struct AssignmentView {
    /// Revision of the store that the view reflects; 0 before the first.
    pub revision: u64,
    /// Records by zone.
    pub zones: BTreeMap<Arc<str>, StoredZone>,
    /// Whether this daemon saw its own member record. Before that, a controller may not wait for
    /// it, so it must not use any instance.
    pub registered: bool,
}

impl AssignmentView {
    /// The record of an instance.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&InstanceAssignment> {
        self.zones
            .values()
            .find_map(|zone| zone.assignments.instances.get(instance))
    }
}

/// Handle of the assignments: the newest view.
pub type AssignmentWatch = watch::Receiver<Arc<AssignmentView>>;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FleetOperation {
    /// Take an instance out of service once its requests have ended.
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
        /// The pool.
        to: Arc<str>,
    },
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum FleetError {
    /// The change is not possible; nothing changed.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why, and what to do.
        reason: String,
    },
    /// No controller is known or reachable; nothing changed.
    #[snafu(display("{reason}; try again when the platform is reachable"))]
    NoController {
        /// What failed.
        reason: String,
    },
    /// The write may have taken effect.
    #[snafu(display("{reason}; look at rosemaryscale pools before trying again"))]
    Unknown {
        /// What failed.
        reason: String,
    },
}

/// One instance of the pools report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct InstanceReport {
    /// Name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// `assigned`, `moving`, `draining` or `drained`.
    pub phase: Arc<str>,
    /// The pool that it moves to.
    pub to: Option<Arc<str>>,
    /// Epoch of its record.
    pub epoch: u64,
    /// Members that its move or drain waits for.
    #[serde(default)]
    pub waiting_for: Vec<Arc<str>>,
    /// Time until the requests of members that vanished have ended.
    #[serde(default)]
    pub vanished_wait_ms: u64,
}

/// The pools and their instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct PoolsReport {
    /// The daemon that plans now; none if it is not known.
    pub controller: Option<Arc<str>>,
    /// The instances, by pool and name.
    pub instances: Vec<InstanceReport>,
}

/// What a daemon has in flight on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightReport {
    /// Epoch of the record that it acts on.
    pub epoch: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Message to the controller task.
#[derive(Debug)]
pub enum FleetMessage {
    /// Make a change.
    Operate {
        /// The change.
        operation: FleetOperation,
        /// Whether a peer forwarded it; it is not forwarded again.
        forwarded: bool,
        /// Where the result goes.
        reply: oneshot::Sender<Result<(), FleetError>>,
    },
    /// Report the pools.
    Report {
        /// Whether a peer forwarded it; it is not forwarded again.
        forwarded: bool,
        /// Where the report goes.
        reply: oneshot::Sender<PoolsReport>,
    },
    /// Tell the controller a daemon's usage.
    Usage {
        /// The peer that reports; none for this daemon, whose reports are forwarded.
        from: Option<Arc<str>>,
        /// The report.
        report: UsageReport,
        /// Whether the controller took it.
        reply: oneshot::Sender<bool>,
    },
}

/// Handle of the controller task.
#[derive(Clone, Debug)]
pub struct Fleet {
    messages: mpsc::Sender<FleetMessage>,
}

impl Fleet {
    /// Makes a handle and the receiver that the controller task serves.
    #[must_use]
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<FleetMessage>) {
        let (messages, receiver) = mpsc::channel(capacity);
        (Self { messages }, receiver)
    }

    /// Makes a change.
    ///
    /// # Errors
    ///
    /// Fails when the change is not possible or no controller answers.
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

    /// Tells the controller a daemon's usage; false if it was not taken.
    pub async fn report_usage(&self, from: Option<Arc<str>>, report: UsageReport) -> bool {
        let (reply, taken) = oneshot::channel();
        let message = FleetMessage::Usage {
            from,
            report,
            reply,
        };
        self.messages.send(message).await.is_ok() && taken.await.unwrap_or(false)
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

/// Query to the router for the requests in flight on an instance.
#[derive(Debug)]
pub struct InFlightQuery {
    /// The instance.
    pub instance: Arc<str>,
    /// Where the report goes; none if the router does not know the instance's record.
    pub reply: oneshot::Sender<Option<InFlightReport>>,
}
