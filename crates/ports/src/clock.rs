//! The clock port.

use std::sync::Arc;

use rosemaryscale_domain::Millis;

/// Provides monotonic and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time since the process started. It advances while the process is
    /// stopped.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time since the Unix epoch.
    fn wall(&self) -> Millis;
}

/// Shared handle of a clock.
pub type ClockHandle = Arc<dyn Clock>;
