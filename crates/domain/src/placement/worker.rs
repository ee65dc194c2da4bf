//! A worker: its room, its reports and its health.

use crate::prelude::*;

use super::resources::Resources;

/// Failures of this many different jobs in a row put a worker into quarantine.
pub const QUARANTINE_FAILURES: usize = 3;
/// First pause of a quarantine; it doubles with each failed probe.
pub const QUARANTINE_FIRST_MS: u64 = 60_000;
/// Longest pause of a quarantine.
pub const QUARANTINE_MAX_MS: u64 = 3_600_000;

/// Whether a worker gets tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It gets tasks.
    Usable,
    /// It gets none until then, then one at a time until one succeeds.
    Quarantined {
        /// When the next probe may start.
        until: Millis,
        /// Its pause.
        pause_ms: u64,
    },
}

/// State of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) name: Arc<str>,
    pub(super) capacity: Resources,
    pub(super) reserved: Resources,
    pub(super) promised: Resources,
    /// Held by tasks that urgent work may checkpoint.
    pub(super) less_urgent: Resources,
    /// Held by tasks on borrowed quota that their owners may checkpoint.
    pub(super) borrowed: Resources,
    pub(super) tasks: FastSet<JobKey>,
    pub(super) suspects: u32,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) heard: Option<Millis>,
    /// Has tasks that the planner does not know, does not answer, or was short of memory: it gets no
    /// task before its next report.
    pub(super) unsure: bool,
    /// Different jobs that failed here since the last success.
    pub(super) failed: FastSet<JobKey>,
    pub(super) health: Health,
    /// Gets only this job, which waits for room here.
    pub(super) held_for: Option<JobKey>,
}

impl Worker {
    pub(super) fn new(name: Arc<str>, capacity: Resources) -> Self {
        Self {
            name,
            capacity,
            reserved: Resources::default(),
            promised: Resources::default(),
            less_urgent: Resources::default(),
            borrowed: Resources::default(),
            tasks: FastSet::default(),
            suspects: 0,
            incarnation: 0,
            sequence: 0,
            heard: None,
            unsure: false,
            failed: FastSet::default(),
            health: Health::Usable,
            held_for: None,
        }
    }

    /// Whether the last report is young enough to add a task.
    pub(super) fn is_fresh(&self, now: Millis, limit_ms: u64) -> bool {
        self.heard.is_some_and(|at| now.ms_since(at) <= limit_ms)
    }

    /// Whether its health allows another task.
    pub(super) fn allows_task(&self, now: Millis) -> bool {
        match self.health {
            Health::Usable => true,
            Health::Quarantined { until, .. } => now >= until && self.tasks.is_empty(),
        }
    }

    pub(super) const fn is_quarantined(&self) -> bool {
        matches!(self.health, Health::Quarantined { .. })
    }

    /// Records a success.
    pub(super) fn succeed(&mut self) {
        self.failed.clear();
        self.health = Health::Usable;
    }

    /// Records a failure; `may_quarantine` is false while too many workers are in quarantine.
    pub(super) fn fail(&mut self, job: JobKey, now: Millis, may_quarantine: bool) {
        self.failed.insert(job);
        let pause_ms = match self.health {
            // Several runs may have been given to it before the first failure was known.
            Health::Quarantined { until, .. } if now < until => return,
            Health::Quarantined { pause_ms, .. } => (pause_ms * 2).min(QUARANTINE_MAX_MS),
            Health::Usable if self.failed.len() < QUARANTINE_FAILURES || !may_quarantine => return,
            Health::Usable => QUARANTINE_FIRST_MS,
        };
        let until = now.after_ms(pause_ms);
        self.health = Health::Quarantined { until, pause_ms };
    }

    /// Takes back a failure that was the job's own fault.
    pub(super) fn excuse(&mut self, job: JobKey) {
        if self.failed.remove(&job) && self.failed.len() < QUARANTINE_FAILURES {
            self.health = Health::Usable;
        }
    }
}
