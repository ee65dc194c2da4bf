//! Quarantine of workers on which task after task fails.
//!
//! A failure may be the fault of the worker or of the task. Tasks that fail wherever they run would have all
//! workers of a service quarantined, so only a part of them is at the same time: a worker is quarantined for
//! being worse than the others. Long-running tasks that no other worker can take are still tried on it.

use super::Scheduler;
use crate::prelude::*;

/// Consecutive first failures of tasks, with no success between them, after which a worker is
/// quarantined.
const FAILURES_IN_ROW_MAX: u32 = 3;
/// Duration of the first quarantine; each further one doubles it.
const QUARANTINE_MS: u64 = 4_000;
/// Longest quarantine; a working day is well over ten times as long.
const QUARANTINE_MAX_MS: u64 = 30_000;
/// One of this many workers of a service may be quarantined at a time; of a few workers, one.
const WORKERS_PER_QUARANTINE: usize = 4;

/// Time between two tries of a quarantined worker.
const TRY_INTERVAL_MS: u64 = 1_000;

/// Failures of tasks on a worker, and its quarantine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Quarantine {
    failures_in_row: u32,
    /// Number of quarantines so far.
    count: u32,
    until: Millis,
    /// When tasks were last started on the worker in its quarantine; until then, when that began.
    tried_at: Millis,
}

impl Quarantine {
    pub(super) fn is_active(&self, now: Millis) -> bool {
        self.until > now
    }

    pub(super) fn count_success(&mut self) {
        self.failures_in_row = 0;
    }

    /// Counts the first failure of a task. Returns whether a quarantine is due; after one, a single failure
    /// is enough for the next.
    fn count_failure(&mut self) -> bool {
        self.failures_in_row = (self.failures_in_row + 1).min(FAILURES_IN_ROW_MAX);
        self.failures_in_row == FAILURES_IN_ROW_MAX
    }

    fn begin(&mut self, now: Millis) {
        let duration_ms = (QUARANTINE_MS << self.count.min(8)).min(QUARANTINE_MAX_MS);
        self.until = self.until.max(now.after_ms(duration_ms));
        self.tried_at = now;
        self.count += 1;
    }

    /// Whether tasks may be tried on the worker now. All tasks of a placement pass make up one try.
    pub(super) fn is_try_due(&self, now: Millis) -> bool {
        self.tried_at == now || now.ms_since(self.tried_at) >= TRY_INTERVAL_MS
    }

    /// Notes that a task was started on the worker.
    pub(super) fn note_start(&mut self, now: Millis) {
        if self.is_active(now) {
            self.tried_at = now;
        }
    }
}

impl Scheduler {
    /// Counts the first failure of a task on a worker, and quarantines the worker if that is due.
    pub(super) fn count_worker_failure(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.quarantine.count_failure() && self.may_quarantine(key, now) {
            self.workers[key].quarantine.begin(now);
        }
    }

    /// Whether few enough workers of its service are quarantined, and another one can take its tasks.
    fn may_quarantine(&self, key: WorkerKey, now: Millis) -> bool {
        let service = self.workers.get(key).and_then(|worker| worker.service);
        let workers = service.and_then(|service| self.services.get(service));
        let others = workers
            .into_iter()
            .flat_map(|service| &service.workers)
            .filter(|other| **other != key)
            .filter_map(|other| self.workers.get(*other))
            .filter(|other| other.listed);
        let (quarantined, free): (Vec<_>, Vec<_>) =
            others.partition(|other| other.quarantine.is_active(now));
        let workers_max = (quarantined.len() + free.len() + 1).div_ceil(WORKERS_PER_QUARANTINE);
        quarantined.len() < workers_max && !free.is_empty()
    }
}
