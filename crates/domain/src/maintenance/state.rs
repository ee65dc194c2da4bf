//! Maintenance state that is stored, so that it survives a change of the controller.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Maintenance stage of one instance, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The instance finishes its requests in flight.
    Draining,
    /// The reboot was requested, or is requested right after this stage is stored.
    Rebooting {
        /// Whether the instance was observed down since.
        seen_down: bool,
    },
    /// The instance serves again and is under observation; a failure now counts against the wave.
    Verified,
    /// The instance failed after its reboot.
    Failed,
    /// The attempt was abandoned; the instance returns to service.
    Returning,
}

/// Stored maintenance record of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// End of the last maintenance, or the time at which the instance was first listed.
    pub last_wall_ms: Millis,
    /// Whether the instance was ever maintained.
    #[serde(default)]
    pub maintained: bool,
    /// Stage of the maintenance in progress, and the time at which the stage began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<(Stage, Millis)>,
    /// Earliest time of the next attempt after an abandoned one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_wall_ms: Option<Millis>,
}

/// Reason why all maintenance has stopped until an operator resumes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Several instances failed after their reboots.
    Failures,
    /// Two instances of one rack failed after their reboots.
    SameRack,
}

/// A failure after a reboot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveFailure {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Name of its rack.
    pub rack: Arc<str>,
    /// Time at which the failure was detected.
    pub at_wall_ms: Millis,
}

/// State of the maintenance wave as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Wave {
    /// Why the wave has stopped, if it has.
    pub stopped: Option<StopReason>,
    /// Time at which the last drain started.
    pub started_wall_ms: Option<Millis>,
    /// Whether an instance that returned to service after the latest failure has completed its
    /// observation period.
    pub passed_since_failure: bool,
    /// Failures of the last day. Older ones are kept until an instance has completed its observation
    /// period after the latest failure.
    pub failures: Vec<WaveFailure>,
}

/// The whole stored state: the records of each zone under `maintenance/<environment>/<zone>`, and
/// the wave under `maintenance/<environment>/wave`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Records by instance name.
    pub instances: BTreeMap<Arc<str>, InstanceRecord>,
    /// State of the wave.
    pub wave: Wave,
}
