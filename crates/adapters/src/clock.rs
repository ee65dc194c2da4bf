//! The system clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rosemaryscale_domain::Millis;
use rosemaryscale_ports::Clock;

/// Clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
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
        Millis::from_ms(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis::from_ms(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
