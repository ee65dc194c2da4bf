//! Fields of the document's `maintenance` section.

use serde::{Deserialize, Serialize};

const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;

/// How instances are maintained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MaintenanceFields {
    /// Every instance is maintained once in this time.
    pub period_days: u32,
    /// Instances under maintenance at once.
    pub parallel_instances: u32,
    /// Instances of one pool under maintenance at once.
    pub parallel_per_pool: u32,
    /// Hour of the day at which drains may begin, in UTC.
    pub window_start_hour: u32,
    /// Hours of a day in which drains may begin.
    pub window_hours: u32,
    /// A drain that takes longer is given up and tried again later.
    pub drain_limit_ms: u64,
    /// An instance that takes longer to return from its reboot has failed.
    pub return_limit_ms: u64,
    /// Share of a service's availability budget from which its pool is not maintained, in parts per
    /// million.
    pub pause_budget_ppm: u32,
    /// Failures after a reboot within a day that stop all maintenance.
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
    /// The period in milliseconds.
    #[must_use]
    pub const fn period_ms(&self) -> u64 {
        self.period_days as u64 * DAY_MS
    }
}
