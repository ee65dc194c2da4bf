//! The clock port.

use std::sync::Arc;

use rosemaryscale_domain::Millis;

/// Source of time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since the process started. It advances while the process is stopped.
    fn now(&self) -> Millis;

    /// Wall-clock time since the Unix epoch.
    fn wall(&self) -> Millis;
}

/// Shared handle of a clock.
pub type ClockHandle = Arc<dyn Clock>;
