//! Signals for daemon processes.

use std::process::Child;

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
    /// Requests a reload of the settings (SIGHUP).
    Reload,
}

impl ProcessSignal {
    /// Sends the signal to a child that has not been waited for.
    ///
    /// # Panics
    ///
    /// Panics when the process id is out of range.
    pub fn send(self, child: &Child) {
        let signal = match self {
            Self::Kill => libc::SIGKILL,
            Self::Freeze => libc::SIGSTOP,
            Self::Resume => libc::SIGCONT,
            Self::Terminate => libc::SIGTERM,
            Self::Reload => libc::SIGHUP,
        };
        let id = libc::pid_t::try_from(child.id()).expect("process ids fit into pid_t");
        #[allow(unsafe_code, reason = "the libc crate offers no safe wrapper for kill")]
        // SAFETY: the child has not been waited for, so its process id cannot have been reused.
        unsafe {
            libc::kill(id, signal);
        }
    }
}
