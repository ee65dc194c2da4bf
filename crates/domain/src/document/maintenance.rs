//! Fields of the `maintenance` section of a document.

use serde::{Deserialize, Serialize};

const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;

/// Rules for the maintenance of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MaintenanceFields {
    /// Every instance is maintained once per this period.
    pub period_days: u32,
    /// Maximum number of instances under maintenance concurrently.
    pub parallel_instances: u32,
    /// Maximum number of instances of one pool under maintenance concurrently.
    pub parallel_per_pool: u32,
    /// Hour of the day, in UTC, at which the window for starting drains opens.
    pub window_start_hour: u32,
    /// Length of the daily window for starting drains, in hours.
    pub window_hours: u32,
    /// A drain that takes longer is cancelled and retried later.
    pub drain_limit_ms: u64,
    /// An instance whose reboot takes longer is considered failed.
    pub return_limit_ms: u64,
    /// Consumed fraction of a service's availability budget from which maintenance of its pool
    /// pauses, in parts per million.
    pub pause_budget_ppm: u32,
    /// Number of failures after a reboot within one day that stops all maintenance.
    pub stop_failures: u32,
}

impl Default for MaintenanceFields {
    fn default() -> Self {
        Self {
            period_days: 28,
            parallel_instances: 8,
            parallel_per_pool: 1,
            window_start_hour: 0,
            window_hours: 24,
            drain_limit_ms: HOUR_MS,
            return_limit_ms: HOUR_MS / 2,
            pause_budget_ppm: 500_000,
            stop_failures: 3,
        }
    }
}

impl MaintenanceFields {
    /// Returns the period in milliseconds.
    #[must_use]
    pub const fn period_ms(&self) -> u64 {
        self.period_days as u64 * DAY_MS
    }
}
