//! Signals for daemon processes.

/// A signal for a daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Kills the process (SIGKILL).
    Kill,
    /// Suspends the process (SIGSTOP).
    Freeze,
    /// Resumes a suspended process (SIGCONT).
    Resume,
    /// Requests a graceful shutdown (SIGTERM).
    Terminate,
}
