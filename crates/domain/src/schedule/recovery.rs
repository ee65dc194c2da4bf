//! Recovery of the runs that the former leader started.
//!
//! A task that the former leader may have started must not start elsewhere until its run is found
//! or cannot exist any more. A worker that has answered this leader accepts no order of the former
//! one, and lists its runs, and its ends in one or more answers.

use super::job_table::{Job, TaskStatus};
use super::order::SchedulerEvent;
use super::{FormerTerm, RecordedWorker, Scheduler};
use crate::placement::Resources;
use crate::prelude::*;

/// Time for a poll to report the end of a run that was stopped, beyond the time a worker takes to stop
/// it. A new leader plans no stops before that, so that its stops and those of the former leader
/// together do not exceed the limits.
pub(super) const STOP_LISTED_MS: u64 = 1_100;
/// Time after the end of a worker's process for which a former leader may still start tasks on its next
/// incarnation: the age of the last answer with which it starts anything, an order, and a poll of ours.
const NEXT_INCARNATION_WAIT_MS: u64 = 1_000;

/// State of the recovery after a change of the leader.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Workers that may still have unknown runs of the former leader, or ends that are still to be read, and the end
    /// of the last lease that such a run can have.
    awaited: FastMap<WorkerKey, Millis>,
    /// Awaited workers whose process has ended, and until when their next incarnation is awaited.
    ended: FastMap<WorkerKey, Millis>,
    /// Whether the platform's complete list of workers has been applied.
    is_list_known: bool,
    /// Whether workers that are not recorded may have such runs. Nothing but time shows that they are over.
    unknown_workers: bool,
    /// All workers that the former leader stored.
    recorded: FastSet<WorkerKey>,
    /// End of the last lease that a run can have on a process that the former leader did not know of.
    unknown_process_until: Millis,
    /// Whether tasks may have become ready since the last check.
    changed: bool,
    began_at: Millis,
}

impl Scheduler {
    pub(super) fn begin_recovery(&mut self, former: FormerTerm, now: Millis) {
        let settings = self.settings;
        let known_process_until = settings.lease_from(now.after_ms(settings.leader_grace_ms));
        // A process that has replaced the known one under its id gives an order of before the takeover the longest
        // lease.
        let unknown_process_until = known_process_until
            .max(settings.longest_lease_from(now.after_ms(former.order_age_max_ms)));
        // What a leader has learnt since its last batch is not in its record, unless it has released its term.
        let unrecorded_until = if former.released {
            known_process_until
        } else {
            unknown_process_until
        };
        let longest_lease_ms = settings.longest_lease_ms();
        let mut awaited = FastMap::default();
        for worker in former.workers {
            let lease_ms = worker.lease_ms.unwrap_or(longest_lease_ms);
            // A start that it had sent to a gateway may be carried out later by this time.
            let recorded_until = now.after_ms(former.order_age_max_ms + lease_ms);
            let lease_end = unrecorded_until.max(recorded_until);
            let was_shown = worker.was_shown;
            let key = self.insert_worker(worker.into_report(), lease_end);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.listed = false;
                worker.recorded = true;
                // Its process may have begun just now, so that a list may still show the state before.
                worker.began_by = now;
                worker.entry.service_since = now;
                worker.entry.was_shown = was_shown;
            }
            awaited.insert(key, lease_end);
        }
        self.unseen_use.request_renewal();
        self.recovery = Some(Recovery {
            recorded: awaited.keys().copied().collect(),
            awaited,
            ended: FastMap::default(),
            is_list_known: false,
            unknown_workers: former.unknown_workers,
            unknown_process_until,
            changed: true,
            began_at: now,
        });
    }

    /// Whether the scheduler still waits for workers of the former leader.
    #[must_use]
    pub const fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Longest time for which the recovery still waits for a worker that does not answer.
    #[must_use]
    pub fn recovery_wait_ms(&self, now: Millis) -> u64 {
        let recovery = self.recovery.as_ref();
        recovery.map_or(0, |recovery| {
            let awaited_until = recovery.awaited.values().max().copied();
            let until = awaited_until.unwrap_or(recovery.unknown_process_until);
            until.ms_since(now)
        })
    }

    /// Whether workers that are not recorded may have runs of a former leader.
    #[must_use]
    pub fn awaits_unknown_workers(&self) -> bool {
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| recovery.unknown_workers)
    }

    /// Ids of the workers that the recovery still waits for.
    pub fn awaited_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let awaited = self
            .recovery
            .iter()
            .flat_map(|recovery| recovery.awaited.keys());
        awaited.filter_map(|key| Some(&self.workers.get(*key)?.report.id))
    }

    pub(super) fn is_awaited(&self, key: WorkerKey) -> bool {
        self.recovery
            .as_ref()
            .is_some_and(|recovery| recovery.awaited.contains_key(&key))
    }

    /// Stops waiting for a worker whose process has ended, once the former leader can no longer start anything
    /// on its next incarnation. Until then, the first listing of that incarnation decides.
    pub(super) fn stop_awaiting(&mut self, key: WorkerKey, now: Millis) {
        let wait_ms = NEXT_INCARNATION_WAIT_MS.min(self.settings.leader_grace_ms);
        if let Some(recovery) = &mut self.recovery
            && recovery.awaited.contains_key(&key)
        {
            let until = now.after_ms(wait_ms);
            recovery.ended.entry(key).or_insert(until);
        }
    }

    /// Notes that the platform's complete list of workers has been applied.
    pub(super) const fn worker_list_known(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.is_list_known = true;
        }
    }

    /// Whether the recovery waits for the next incarnation of a worker whose process has ended.
    pub(super) fn awaits_next_incarnation(&self, key: WorkerKey) -> bool {
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| recovery.ended.contains_key(&key))
    }

    /// Waits for the new process of a recorded worker: a start order of the former leader may have
    /// reached it before it was listed, and it has not seen the new fencing token.
    pub(super) fn await_next_incarnation(&mut self, key: WorkerKey) {
        if let Some(recovery) = &mut self.recovery
            && recovery.recorded.contains(&key)
        {
            let until = recovery.awaited.entry(key).or_default();
            *until = recovery.unknown_process_until.max(*until);
            recovery.ended.remove(&key);
            self.unseen_use.request_renewal();
        }
    }

    /// Capacity of the workers that may still have unknown runs of the former leader; `None` if that of one of
    /// them is not known.
    pub(super) fn awaited_capacity(&self) -> Option<Resources> {
        if self.awaits_unknown_workers() {
            return None;
        }
        let awaited = self
            .recovery
            .iter()
            .flat_map(|recovery| recovery.awaited.keys());
        awaited
            .filter_map(|key| self.workers.get(*key))
            .map(|worker| Some(worker.full_capacity).filter(|full| *full != Resources::default()))
            .try_fold(Resources::default(), |sum, full| Some(sum.plus(full?)))
    }

    pub(super) fn recheck_recovery(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.changed = true;
        }
    }

    /// Workers whose process has ended and that have left: the platform no longer lists them, or lists their
    /// instance as moving, under maintenance, or with another worker. The list of workers keeps one that has left
    /// for some seconds.
    fn left_workers(&self) -> FastSet<WorkerKey> {
        let Some(recovery) = &self.recovery else {
            return FastSet::default();
        };
        let has_left = |key: &&WorkerKey| {
            self.workers.get(**key).is_some_and(|worker| {
                (recovery.is_list_known && !worker.listed)
                    || self.is_instance_without(&worker.report)
            })
        };
        recovery.ended.keys().filter(has_left).copied().collect()
    }

    pub(super) fn check_recovery(&mut self, now: Millis) {
        let left = self.left_workers();
        // A successor that this leader does not know of may have renewed the leases of a worker, or read its ends
        // before it ended.
        let may_be_replaced = self.leadership_unconfirmed;
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let workers = &self.workers;
        let before = recovery.awaited.len();
        let events = &mut self.events;
        recovery.awaited.retain(|key, until| {
            let worker = workers.get(*key);
            let has_ended =
                left.contains(key) || recovery.ended.get(key).is_some_and(|until| *until <= now);
            let is_over = has_ended && !may_be_replaced;
            let Some(worker) = worker.filter(|_| !is_over) else {
                return false;
            };
            let is_lease_over = now >= *until && !may_be_replaced;
            let may_have_runs = !worker.synced
                || !worker.unknown_runs.is_empty()
                || !worker.unknown_ends.is_empty();
            if !worker.synced && is_lease_over {
                events.push(SchedulerEvent::AwaitedWorkerGivenUp {
                    worker: Arc::clone(&worker.report.id),
                    waited_ms: now.ms_since(recovery.began_at),
                });
            }
            // The lease of the runs says nothing about ends that they had before.
            worker.has_unread_ends() || (may_have_runs && !is_lease_over)
        });
        recovery
            .ended
            .retain(|key, _| recovery.awaited.contains_key(key));
        let changed = std::mem::take(&mut recovery.changed) || recovery.awaited.len() != before;
        recovery.unknown_workers &= now < recovery.unknown_process_until || may_be_replaced;
        if recovery.awaited.is_empty() && !recovery.unknown_workers {
            self.recovery = None;
            self.interruptions_allowed_from =
                now.after_ms(self.settings.stop_grace_ms + STOP_LISTED_MS);
            self.release_recovered();
            self.release_recovery_holds(now);
            // The next leader need not wait for workers that no longer have runs.
            self.request_batch(now);
        } else if changed {
            self.unseen_use.request_renewal();
            self.release_recovered();
        }
    }

    /// Releases tasks that can no longer have a run of the former leader.
    fn release_recovered(&mut self) {
        let awaited = self.awaited_services();
        let recovered: Vec<TaskKey> = self
            .job_table
            .tasks
            .iter()
            .filter(|(_, task)| task.status == TaskStatus::AwaitingRecovery)
            .filter(|(_, task)| {
                let job = self.job_table.jobs.get(task.job);
                job.is_none_or(|job| !self.may_have_run_on(job, &awaited))
            })
            .map(|(key, _)| key)
            .collect();
        for key in recovered {
            self.release_task(key);
        }
    }

    /// Releases the tasks of a job for which no run was found.
    pub(super) fn release_job(&mut self, key: JobKey) {
        for task in self
            .job_table
            .tasks_with_status(key, TaskStatus::AwaitingRecovery)
        {
            self.release_task(task);
        }
    }

    /// Whether the former leader may still start the task on a worker that the recovery waits for.
    pub(super) fn former_leader_may_start(&self, key: TaskKey) -> bool {
        if self.recovery.is_none() {
            return false;
        }
        let task = self.job_table.tasks.get(key);
        let job = task.and_then(|task| self.job_table.jobs.get(task.job));
        job.is_some_and(|job| {
            job.accepted_before_term && self.may_have_run_on(job, &self.awaited_services())
        })
    }

    /// Services of the workers that the recovery waits for.
    fn awaited_services(&self) -> FastSet<Arc<str>> {
        let awaited = self
            .recovery
            .iter()
            .flat_map(|recovery| recovery.awaited.keys());
        awaited
            .filter_map(|key| Some(self.workers.get(*key)?.service_of_runs()))
            .collect()
    }

    /// Whether tasks of the job may have started on workers of these services, or on unknown ones.
    fn may_have_run_on(&self, job: &Job, services: &FastSet<Arc<str>>) -> bool {
        let may_have_run = !services.is_empty()
            && (services.contains(&job.policy.service)
                || services.contains(&job.record.policy.service)
                || self.rerouted.contains(&job.record.queue)
                // An empty name is a worker whose service is unknown; it may run any job.
                || services.iter().any(|service| service.is_empty()));
        may_have_run || self.awaits_unknown_workers()
    }

    pub(super) fn rerouted_queues(&self) -> Vec<Arc<str>> {
        self.rerouted.iter().cloned().collect()
    }
}

impl FormerTerm {
    /// Creates the state of a former leader that stored these workers.
    #[must_use]
    pub fn with_workers(workers: Vec<RecordedWorker>) -> Self {
        Self {
            workers,
            ..Self::default()
        }
    }
}
