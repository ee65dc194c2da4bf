//! Signals for daemon processes.

/// A signal for a daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Freeze,
    /// Resumes a frozen process.
    Resume,
    /// Asks for a graceful stop.
    Terminate,
}
