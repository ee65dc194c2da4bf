//! Settings of a scheduler.

use super::LEASE_MARGIN_MS;
use super::locality::PlacementWait;
use crate::prelude::*;

/// Settings of a scheduler, fixed for its term.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Duration of the lease that each poll renews for all runs of a worker.
    pub run_lease_ms: u64,
    /// Longest lease that a worker gives, whatever an order asks for.
    pub run_lease_max_ms: u64,
    /// Longest time that a poll waits for a run to end.
    pub poll_wait_ms: u64,
    /// Time for which a former leader may still send orders.
    pub leader_grace_ms: u64,
    /// Time that a worker may take to stop a run.
    pub stop_grace_ms: u64,
    /// Number of this leader's term; the first is 1.
    pub term: u32,
    /// How uneven run times are answered.
    pub uneven_work: UnevenWork,
    /// How long tasks wait for a place near their data or group.
    pub placement_wait: PlacementWait,
}

impl ScheduleSettings {
    /// Time for which an order keeps the runs of a known process, with a margin.
    pub(super) const fn usual_lease_ms(&self) -> u64 {
        self.run_lease_ms + LEASE_MARGIN_MS
    }

    /// End of the lease that an order sent from this time on gives the runs of a known process.
    pub(super) const fn lease_from(&self, now: Millis) -> Millis {
        now.after_ms(self.usual_lease_ms())
    }

    /// End of the longest lease that a worker can give at this time: its process may have got an order with a deadline
    /// on the clock of the former one.
    pub(super) const fn longest_lease_from(&self, now: Millis) -> Millis {
        now.after_ms(self.longest_lease_ms())
    }

    /// End of a lease that a worker has given for this time on its clock.
    pub(super) fn end_of_lease(&self, lease_ms: u64, now: Millis) -> Millis {
        now.after_ms(lease_ms.min(self.run_lease_max_ms) + LEASE_MARGIN_MS)
    }

    /// The longest time for which a worker keeps a run without another order, with a margin.
    pub(super) const fn longest_lease_ms(&self) -> u64 {
        self.run_lease_max_ms + LEASE_MARGIN_MS
    }
}

/// Switches of the answers to uneven run times. By default all are off.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnevenWork {
    /// Whether decisions use learned run times instead of declared ones.
    pub learned_durations: bool,
    /// Whether the choice of a worker considers its learned speed.
    pub learned_speed: bool,
    /// Share of the running finite tasks that may have a speculative copy; 0 means no copies.
    pub copy_budget_percent: u32,
}
