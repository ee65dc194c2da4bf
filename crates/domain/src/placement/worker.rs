//! A worker: its resources, reports and health.

use crate::prelude::*;

use super::resources::Resources;

/// A worker is quarantined after failures of this many different jobs without a success in between.
pub const QUARANTINE_FAILURES: usize = 3;
/// Initial pause of a quarantine; it doubles with each failed probe.
pub const QUARANTINE_FIRST_MS: u64 = 60_000;
/// Maximum pause of a quarantine.
pub const QUARANTINE_MAX_MS: u64 = 3_600_000;

/// Whether a worker gets tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The worker gets tasks.
    Usable,
    /// The worker gets no task until a time, and then one probe at a time until one succeeds.
    Quarantined {
        /// When the next probe may start.
        until: Millis,
        /// Current length of the pause.
        pause_ms: u64,
    },
}

/// State of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) name: Arc<str>,
    pub(super) capacity: Resources,
    pub(super) reserved: Resources,
    pub(super) nominated: Resources,
    /// Resources of runs that urgent jobs may preempt.
    pub(super) preemptible: Resources,
    /// Resources of runs on borrowed quota that the owner of the quota may preempt.
    pub(super) reclaimable: Resources,
    pub(super) tasks: FastSet<JobKey>,
    pub(super) suspect_tasks: u32,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) last_report_at: Option<Millis>,
    /// Gets no task before its next report, since it has unknown tasks, did not respond, or ran
    /// short of memory.
    pub(super) needs_report: bool,
    /// Distinct jobs that failed here since the last success.
    pub(super) failed: FastSet<JobKey>,
    pub(super) health: Health,
    /// Starving job for which the worker is held; it gets no other job.
    pub(super) held_for: Option<JobKey>,
}

impl Worker {
    pub(super) fn new(name: Arc<str>, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            reserved: Resources::default(),
            nominated: Resources::default(),
            preemptible: Resources::default(),
            reclaimable: Resources::default(),
            tasks: FastSet::default(),
            suspect_tasks: 0,
            incarnation: 0,
            sequence: 0,
            last_report_at: None,
            needs_report: false,
            failed: FastSet::default(),
            health: Health::Usable,
            held_for: None,
        }
    }

    /// Whether the last report is not older than a limit.
    pub(super) fn has_recent_report(&self, now: Millis, limit_ms: u64) -> bool {
        self.last_report_at
            .is_some_and(|at| now.ms_since(at) <= limit_ms)
    }

    /// Whether the worker's health permits another task.
    pub(super) fn allows_task(&self, now: Millis) -> bool {
        match self.health {
            Health::Usable => true,
            Health::Quarantined { until, .. } => now >= until && self.tasks.is_empty(),
        }
    }

    pub(super) const fn is_quarantined(&self) -> bool {
        matches!(self.health, Health::Quarantined { .. })
    }

    /// Records a successful run, which ends a quarantine.
    pub(super) fn record_success(&mut self) {
        self.failed.clear();
        self.health = Health::Usable;
    }

    /// Records a failed job. `may_quarantine` is false while too many workers are quarantined.
    pub(super) fn record_failure(&mut self, job: JobKey, now: Millis, may_quarantine: bool) {
        self.failed.insert(job);
        let pause_ms = match self.health {
            // Failures of runs that were assigned before the quarantine do not extend it.
            Health::Quarantined { until, .. } if now < until => return,
            Health::Quarantined { pause_ms, .. } => (pause_ms * 2).min(QUARANTINE_MAX_MS),
            Health::Usable if self.failed.len() < QUARANTINE_FAILURES || !may_quarantine => return,
            Health::Usable => QUARANTINE_FIRST_MS,
        };
        let until = now.after_ms(pause_ms);
        self.health = Health::Quarantined { until, pause_ms };
    }

    /// Retracts a failure that turned out to be caused by the job.
    pub(super) fn retract_failure(&mut self, job: JobKey) {
        if self.failed.remove(&job) && self.failed.len() < QUARANTINE_FAILURES {
            self.health = Health::Usable;
        }
    }
}
