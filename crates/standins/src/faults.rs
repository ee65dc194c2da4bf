//! Faults that can be injected into the stand-ins.

use serde::{Deserialize, Serialize};

/// Set of injected faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of every reply.
    pub delay_ms: u64,
    /// Connections are closed before a call is executed.
    pub down: bool,
    /// Calls are neither executed nor answered, while connections stay open.
    pub silent: bool,
    /// Number of the next write calls that are executed but whose connection is closed without a
    /// reply.
    pub lose_replies: u32,
    /// Upstream only: responses are cut off after half of their body.
    pub truncate: bool,
    /// Upstream only: every request is answered with status 500.
    pub fail: bool,
    /// Upstream only: the currently open connections become unresponsive; new ones work.
    pub silence_open: bool,
    /// Platform only: the currently open watches stay open but deliver nothing more; new ones work.
    pub silence_watches: bool,
    /// Platform only: neither open nor new watches deliver changes; other calls work.
    pub withhold_changes: bool,
}
