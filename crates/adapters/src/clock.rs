//! Implements the clock port with the clocks of the operating system.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use rosemaryscale_domain::Millis;
use rosemaryscale_ports::Clock;

/// Clock of the operating system; monotonic time is relative to its creation.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.start);
        Millis::from_ms(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis::from_ms(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the system was booted. Unlike `CLOCK_MONOTONIC`, this clock advances
/// while the system is suspended, so a lease that expired during a suspension is recognised as
/// expired.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .unwrap_or_default()
}
