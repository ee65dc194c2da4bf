//! Reported changes of the health of instances.

/// Inputs of the decision to eject an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionEvidence {
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive failures to connect. If there are any, the instance refuses this daemon's
    /// connections, which is reported to the peers.
    pub connect_failures: u32,
    /// Peers that recently reported refused connections.
    pub peer_reports: usize,
}

/// A health change that is reported on the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The instance gets no requests and is probed after the pause.
    Ejected {
        /// Time until the probe.
        pause_ms: u64,
        /// What was known about the instance.
        evidence: EjectionEvidence,
    },
    /// The instance gets one exchange at a time.
    OnTrial,
    /// The instance is in full use again.
    Returned,
}
