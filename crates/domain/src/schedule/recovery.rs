//! A new holder's wait for the workers of the former one.
//!
//! A task that the former holder may have started must not start elsewhere until its run is found or
//! cannot exist. A worker that has answered this holder takes no order of the former one, and lists
//! what it runs.

use super::book::{Job, TaskStatus};
use super::{FormerTerm, LEASE_MARGIN_MS, RecordedWorker, Scheduler};
use crate::prelude::*;

/// A stop that the former holder ordered is done within the workers' stop time, and then listed by
/// the next look; planned stops of the new holder must not come on top.
const FORMER_STOPS_LISTED_MS: u64 = 1_100;

/// A new holder's wait.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Workers that may run something of the former holder.
    awaited: FastSet<WorkerKey>,
    /// All workers that the former holder recorded.
    recorded: FastSet<WorkerKey>,
    /// When no lease of such a run can be alive any more.
    until: Millis,
    /// Whether tasks may have become free to start since the last check.
    changed: bool,
}

impl Scheduler {
    pub(super) fn begin_recovery(&mut self, recorded: Vec<RecordedWorker>, now: Millis) {
        let lease_end = now
            .after_ms(self.settings.holder_grace_ms)
            .after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS);
        let mut awaited = FastSet::default();
        for worker in recorded {
            let key = self.insert_worker(worker.into_report(), lease_end);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.listed = false;
                worker.recorded = true;
            }
            awaited.insert(key);
        }
        self.recovery = Some(Recovery {
            recorded: awaited.clone(),
            awaited,
            until: lease_end,
            changed: true,
        });
    }

    /// Whether a new holder still waits for workers of the former one.
    #[must_use]
    pub const fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Workers of the former holder for which a new one still waits.
    pub fn awaited_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let awaited = self.recovery.iter().flat_map(|recovery| &recovery.awaited);
        awaited.filter_map(|key| Some(&self.workers.get(*key)?.report.id))
    }

    pub(super) fn is_awaited(&self, key: WorkerKey) -> bool {
        self.recovery
            .as_ref()
            .is_some_and(|recovery| recovery.awaited.contains(&key))
    }

    /// Ends the wait for a worker whose life is over.
    pub(super) fn stop_awaiting(&mut self, key: WorkerKey) {
        if let Some(recovery) = &mut self.recovery {
            recovery.changed |= recovery.awaited.remove(&key);
        }
    }

    /// Awaits the next life of a recorded worker: a start of the former holder may have reached it before
    /// anybody heard of it, and it has seen no fence.
    pub(super) fn await_next_life(&mut self, key: WorkerKey) {
        if let Some(recovery) = &mut self.recovery
            && recovery.recorded.contains(&key)
        {
            recovery.awaited.insert(key);
        }
    }

    pub(super) fn recheck_recovery(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.changed = true;
        }
    }

    pub(super) fn check_recovery(&mut self, now: Millis) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let workers = &self.workers;
        let before = recovery.awaited.len();
        recovery.awaited.retain(|key| {
            let worker = workers.get(*key);
            worker.is_some_and(|worker| !worker.known || !worker.unknown_runs.is_empty())
        });
        let changed = std::mem::take(&mut recovery.changed) || recovery.awaited.len() != before;
        if recovery.awaited.is_empty() || now >= recovery.until {
            self.recovery = None;
            self.planned_from = now.after_ms(self.settings.stop_grace_ms + FORMER_STOPS_LISTED_MS);
            self.release_accounted();
            // The next holder need not wait for workers that this one has given up.
            self.want_batch(now);
        } else if changed {
            self.release_accounted();
        }
    }

    /// Lets tasks start of which no run of the former holder can exist any more.
    fn release_accounted(&mut self) {
        let awaited = self.awaited_services();
        let free: Vec<TaskKey> = self
            .book
            .tasks
            .iter()
            .filter(|(_, task)| task.status == TaskStatus::Unaccounted)
            .filter(|(_, task)| {
                let job = self.book.jobs.get(task.job);
                job.is_none_or(|job| !self.may_run_on(job, &awaited))
            })
            .map(|(key, _)| key)
            .collect();
        for key in free {
            self.release_task(key);
        }
    }

    /// Lets the tasks of a job start of which no run was found.
    pub(super) fn release_job(&mut self, key: JobKey) {
        for task in self.book.tasks_with(key, TaskStatus::Unaccounted) {
            self.release_task(task);
        }
    }

    /// Whether the former holder may know of the task, and start it on a worker that is still awaited.
    pub(super) fn may_former_start(&self, key: TaskKey) -> bool {
        if self.recovery.is_none() {
            return false;
        }
        let task = self.book.tasks.get(key);
        let job = task.and_then(|task| self.book.jobs.get(task.job));
        job.is_some_and(|job| job.before_term && self.may_run_on(job, &self.awaited_services()))
    }

    /// Services of the workers that are still awaited.
    fn awaited_services(&self) -> FastSet<Arc<str>> {
        let awaited = self.recovery.iter().flat_map(|recovery| &recovery.awaited);
        awaited
            .filter_map(|key| Some(Arc::clone(&self.workers.get(*key)?.report.service)))
            .collect()
    }

    /// Whether tasks of the job may run on workers of these services.
    fn may_run_on(&self, job: &Job, services: &FastSet<Arc<str>>) -> bool {
        !services.is_empty()
            && (services.contains(&job.policy.service)
                || services.contains(&job.record.policy.service)
                || self.rerouted.contains(&job.record.queue)
                // The service of a worker is not known.
                || services.iter().any(|service| service.is_empty()))
    }

    pub(super) fn rerouted_queues(&self) -> Vec<Arc<str>> {
        self.rerouted.iter().cloned().collect()
    }
}

impl FormerTerm {
    /// The term of a holder that recorded these workers.
    #[must_use]
    pub fn with_workers(workers: Vec<RecordedWorker>) -> Self {
        Self {
            workers,
            ..Self::default()
        }
    }
}
