//! Runs that workers list for jobs that this leader does not know.

use super::Scheduler;
use super::order::{Action, ListedRun, StopOrder};
use super::stop_reason::{StopCause, StopReason};
use crate::prelude::*;

/// Time after which a run of an unknown job is stopped, and its end acknowledged. A new job becomes known within a few watch
/// intervals; this is well above them.
pub(super) const UNKNOWN_JOB_GRACE_MS: u64 = 3_000;

impl Scheduler {
    /// Records runs of jobs that this leader does not know. The job was stored before the run
    /// started, so it becomes known soon; a run without a stored job is stopped.
    pub(super) fn update_unknown_runs(
        &mut self,
        key: WorkerKey,
        unknown: Vec<ListedRun>,
        now: Millis,
    ) {
        let worker = &mut self.workers[key];
        worker.unknown_runs_since = match worker.unknown_runs_since {
            _ if unknown.is_empty() => None,
            None => Some(now),
            since => since,
        };
        worker.unknown_runs = unknown;
        if worker
            .unknown_runs_since
            .is_none_or(|since| now.ms_since(since) < UNKNOWN_JOB_GRACE_MS)
        {
            return;
        }
        for listed_run in &worker.unknown_runs {
            let order = StopOrder {
                run: None,
                task: listed_run.task.clone(),
                number: listed_run.number,
            };
            let cause = StopCause {
                reason: StopReason::UnknownJob,
                attempt: 1,
            };
            self.actions.push(Action::Stop(key, order, cause));
        }
    }

    /// Adopts the runs of a job that workers listed before this leader knew the job.
    pub(super) fn adopt_unknown_runs(&mut self, job: &str, now: Millis) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let listed_runs = std::mem::take(&mut self.workers[key].unknown_runs);
            let (known, unknown): (Vec<_>, Vec<_>) = listed_runs
                .into_iter()
                .partition(|listed_run| &*listed_run.task.job == job);
            self.workers[key].unknown_runs = unknown;
            for listed_run in known {
                if let Some(task) = self.find_listed(&listed_run.task)
                    && self.run_at(key, task, listed_run.number).is_none()
                {
                    self.adopt_run(key, task, &listed_run, now);
                }
            }
        }
    }

    /// Whether a worker lists runs of this job as unknown.
    pub(super) fn has_unknown_runs(&self, job: &str) -> bool {
        let mut listed_runs = self
            .workers
            .values()
            .flat_map(|worker| &worker.unknown_runs);
        listed_runs.any(|listed_run| &*listed_run.task.job == job)
    }
}
