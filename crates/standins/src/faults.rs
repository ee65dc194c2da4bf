//! Faults that a stand-in can be told to show.

use serde::{Deserialize, Serialize};

/// Faults in force. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every reply is delayed by this time.
    pub delay_ms: u64,
    /// Connections are closed before the call is carried out.
    pub down: bool,
    /// Calls are neither carried out nor answered; connections stay open.
    pub silent: bool,
    /// So many of the next write calls are carried out and then their connection is closed without
    /// a reply.
    pub lose_replies: u32,
    /// Upstream only: responses are cut after half of their body.
    pub truncate: bool,
    /// Upstream only: every request is answered with status 500.
    pub fail: bool,
    /// Upstream only: connections that are open now go silent; new ones work.
    pub silence_open: bool,
    /// Platform only: watches that are open now deliver nothing more but stay open; new ones work.
    pub silence_watches: bool,
    /// Platform only: no watch delivers a change, neither open nor new ones; other calls work.
    pub withhold_changes: bool,
}
