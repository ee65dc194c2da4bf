//! What survives a change of the controller.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Stage of one instance, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It finishes its requests.
    Draining,
    /// Its reboot was requested, or is about to be.
    Rebooting {
        /// Whether it was seen down since.
        seen_down: bool,
    },
    /// It serves again; a failure now counts against the wave.
    Verified,
    /// It failed after its reboot.
    Failed,
    /// The attempt was given up; it returns to service.
    Returning,
}

/// What is kept of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// End of its last maintenance, or when it was first seen.
    pub last_wall_ms: Millis,
    /// Whether it was maintained at all.
    #[serde(default)]
    pub maintained: bool,
    /// Its running maintenance, with the time at which the stage began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<(Stage, Millis)>,
    /// It is not tried again before this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_wall_ms: Option<Millis>,
}

/// Why all maintenance has stopped until an operator resumes it.
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
    /// The instance.
    pub instance: Arc<str>,
    /// Name of its rack.
    pub rack: Arc<str>,
    /// When it was noticed.
    pub at_wall_ms: Millis,
}

/// The wave as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Wave {
    /// Why it has stopped.
    pub stopped: Option<StopReason>,
    /// When the last drain began.
    pub started_wall_ms: Option<Millis>,
    /// Whether an instance that started after the newest failure has passed.
    pub passed_since_failure: bool,
    /// Failures of the last day, and those that no instance has passed since.
    pub failures: Vec<WaveFailure>,
}

/// Everything that is stored: the records of each zone under `maintenance/<environment>/<zone>`, and
/// the wave under `maintenance/<environment>/wave`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Records by instance.
    pub instances: BTreeMap<Arc<str>, InstanceRecord>,
    /// The wave.
    pub wave: Wave,
}
