//! Handles the reports of workers: starts, ends, usage and restarts.

use crate::prelude::*;

use super::job::{FAILED_WORKERS_MAX, Job, JobOutcome, Lifecycle, Run, StopReason};
use super::records::PlacementRecord;
use super::resources::Resources;
use super::{PlacementAction, Planner};

/// Reported usage lowers a reservation only after this time; during start-up it is not
/// representative.
const STARTUP_MS: u64 = 60_000;
/// A quarter is added to reported usage as a margin, since reports lag behind.
const USAGE_MARGIN_DIVISOR: u64 = 4;
/// At most this fraction of the workers is quarantined; if more fail, the jobs are the likelier
/// cause.
const QUARANTINE_DIVISOR: usize = 10;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task succeeded.
    Done,
    /// The task ran and failed.
    Failed,
    /// The worker could not start the task; it certainly did not run.
    NotStarted,
    /// The worker ran short of memory and killed the task.
    OutOfMemory {
        /// Memory that the task used at that time.
        used_mb: u64,
    },
    /// The task was checkpointed and can resume elsewhere.
    Checkpointed,
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// A running task in a report.
#[derive(Clone, Debug)]
pub struct TaskReport {
    /// Name of the job.
    pub name: Arc<str>,
    /// Fencing token of the run.
    pub token: u64,
    /// Measured usage.
    pub usage: Resources,
}

/// A snapshot of the state of a worker.
#[derive(Clone, Debug)]
pub struct Report {
    /// Incarnation of the worker; it increases with each restart.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; it refuses starts with this or a lower
    /// token.
    pub fencing_token: u64,
    /// All running tasks.
    pub tasks: Vec<TaskReport>,
    /// Tokens and ends of runs that have not been acknowledged.
    pub ended: Vec<(u64, RunEnd)>,
}

impl Planner {
    /// Handles a report of a worker. Lost, duplicate and delayed reports are harmless.
    pub fn report(&mut self, key: WorkerKey, report: &Report, now: Millis) {
        self.now = self.now.max(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let position = (report.incarnation, report.sequence);
        if worker.last_report_at.is_some() && position <= (worker.incarnation, worker.sequence) {
            return;
        }
        worker.last_report_at = Some(now);
        (worker.incarnation, worker.sequence) = position;
        for (token, end) in &report.ended {
            self.run_ended(key, *token, *end, now);
        }
        let mut has_unknown_tasks = false;
        for task in &report.tasks {
            has_unknown_tasks |= !self.task_reported(key, report.incarnation, task);
        }
        self.detect_ended_runs(key, report);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.needs_report = has_unknown_tasks;
        }
        self.relieve_overload(key);
        self.update_indexes(key);
    }

    /// Handles a running task in a report. Returns false if the task is unknown.
    fn task_reported(&mut self, key: WorkerKey, incarnation: u64, task: &TaskReport) -> bool {
        if self
            .recently_ended_tokens
            .iter()
            .any(|set| set.contains(&task.token))
        {
            return true;
        }
        let known = self.jobs_by_token.get(&task.token).copied();
        let known = known.or_else(|| self.adopt(key, incarnation, task));
        let Some(job) = known else {
            let worker = key;
            let token = task.token;
            self.actions.push(PlacementAction::Stop { worker, token });
            return false;
        };
        self.run_started(key, task.token, self.now);
        self.adjust_reservation(job, task.usage);
        true
    }

    /// Adopts the run of a repeatable job that a former controller started.
    fn adopt(&mut self, worker: WorkerKey, incarnation: u64, task: &TaskReport) -> Option<JobKey> {
        self.recovery_end?;
        let job = *self.jobs_by_name.get(&task.name)?;
        let Lifecycle::Waiting(waiting) = self.jobs.get(job)?.lifecycle else {
            return None;
        };
        let run = Run {
            worker,
            token: task.token,
            incarnation,
            borrowed: !self.is_within_quota(&waiting),
            reserved: waiting.need.max(task.usage),
            peak: task.usage,
        };
        self.transition(job, Lifecycle::Running(waiting.adopt(run, self.now)));
        Some(job)
    }

    /// Handles the confirmation of a worker that it runs a task.
    pub fn run_started(&mut self, worker: WorkerKey, token: u64, now: Millis) {
        self.now = self.now.max(now);
        let Some(job) = self.jobs_by_token.get(&token).copied() else {
            return;
        };
        let Some(Lifecycle::Starting(starting)) = self.job(job).copied() else {
            return;
        };
        if starting.state.run.worker == worker {
            self.transition(job, Lifecycle::Running(starting.confirm(now)));
        }
    }

    /// Adjusts a reservation to reported usage: raises it at once, and lowers it only after
    /// start-up. Accelerators are exclusive devices and are never lowered.
    fn adjust_reservation(&mut self, job: JobKey, usage: Resources) {
        let Some(Lifecycle::Running(running)) = self.job(job).copied() else {
            return;
        };
        let run = running.state.run;
        let peak = run.peak.max(usage);
        let past_startup = self.now.ms_since(running.state.since) >= STARTUP_MS;
        let need = running.need;
        // The margin never raises a reservation above both the declared and the measured size.
        let corrected = |peak: u64, need: u64| {
            let margin = peak + peak / USAGE_MARGIN_DIVISOR;
            if past_startup {
                margin.min(need.max(peak))
            } else {
                need.max(peak)
            }
        };
        let reserved = Resources {
            processors_milli: corrected(peak.processors_milli, need.processors_milli),
            memory_mb: corrected(peak.memory_mb, need.memory_mb),
            accelerators: need.accelerators,
        };
        let mut next = running;
        next.state.run.peak = peak;
        next.state.run.reserved = reserved;
        self.transition(job, Lifecycle::Running(next));
    }

    /// Ends the runs that a report proves to be over.
    fn detect_ended_runs(&mut self, key: WorkerKey, report: &Report) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let listed: FastSet<u64> = report.tasks.iter().map(|task| task.token).collect();
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        let mut restarted_with = None;
        for job in tasks {
            let Some(lifecycle) = self.job(job).copied() else {
                continue;
            };
            let Some(run) = lifecycle.run() else { continue };
            if run.incarnation < report.incarnation {
                self.run_lost_with_worker(job, &lifecycle);
                restarted_with = Some(job);
            } else if run.token <= report.fencing_token && !listed.contains(&run.token) {
                match lifecycle {
                    Lifecycle::Starting(_) => {
                        self.mark_token_ended(&lifecycle);
                        self.requeue(job, lifecycle.without_state());
                    }
                    _ => self.run_lost(job, &lifecycle),
                }
            }
        }
        // A restart counts as one failure, however many tasks ran, since one of them may be the
        // cause.
        if let Some(job) = restarted_with {
            self.worker_failed(key, job);
        }
    }

    /// Removes a worker that the platform has removed for good, which proves its runs to be over.
    pub fn worker_removed(&mut self, key: WorkerKey, now: Millis) {
        self.now = self.now.max(now);
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<JobKey> = worker.tasks.iter().copied().collect();
        for job in tasks {
            if let Some(lifecycle) = self.job(job).copied() {
                self.run_lost_with_worker(job, &lifecycle);
            }
        }
        let nominated: Vec<JobKey> = self.nominated_jobs.iter().copied().collect();
        for job in nominated {
            if let Some(Lifecycle::Waiting(waiting)) = self.job(job).copied()
                && waiting
                    .state
                    .nominated_worker
                    .is_some_and(|(worker, _)| worker == key)
            {
                self.transition(
                    job,
                    Lifecycle::Waiting(waiting.without_state().requeue(waiting.state.since)),
                );
            }
        }
        self.held_workers.retain(|_, worker| *worker != key);
        self.free_index.set(key, None);
        self.preemption_index.set(key, None);
        self.reclaim_index.set(key, None);
        if let Some(worker) = self.workers.remove(key) {
            self.quarantined_workers -= usize::from(worker.is_quarantined());
        }
    }

    /// Handles a run that ended with its worker. The job may be the cause, so the failure is
    /// counted and the job no longer shares a worker with other suspects.
    fn run_lost_with_worker(&mut self, job: JobKey, lifecycle: &Lifecycle) {
        let mut stateless = lifecycle.without_state();
        stateless.history.suspect = true;
        let worker = lifecycle.run().map(|run| run.worker).unwrap_or_default();
        let unsent = matches!(lifecycle, Lifecycle::Starting(starting) if !starting.state.sent);
        let failures = stateless.history.record_failure(worker);
        self.mark_token_ended(lifecycle);
        if unsent {
            self.requeue(job, lifecycle.without_state());
        } else if !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Unknown);
        } else if failures >= FAILED_WORKERS_MAX {
            self.finish(job, stateless, JobOutcome::FailedOnSeveralWorkers);
        } else {
            self.requeue(job, stateless);
        }
    }

    /// Handles a run that is over with an unknown result.
    pub(super) fn run_lost(&mut self, job: JobKey, lifecycle: &Lifecycle) {
        self.mark_token_ended(lifecycle);
        let stateless = lifecycle.without_state();
        match lifecycle {
            Lifecycle::Stopping(stopping) if stopping.state.reason == StopReason::Cancel => {
                self.finish(job, stateless, JobOutcome::Cancelled);
            }
            _ if stateless.info.repeatable => self.requeue(job, stateless),
            _ => self.finish(job, stateless, JobOutcome::Unknown),
        }
    }

    fn mark_token_ended(&mut self, lifecycle: &Lifecycle) {
        if let Some(run) = lifecycle.run() {
            self.recently_ended_tokens[0].insert(run.token);
        }
    }

    /// Returns a job whose run is over to the queue.
    pub(super) fn requeue(&mut self, job: JobKey, stateless: Job<()>) {
        let cancelled = matches!(
            self.job(job),
            Some(Lifecycle::Stopping(stopping)) if stopping.state.reason == StopReason::Cancel
        );
        if cancelled {
            return self.finish(job, stateless, JobOutcome::Cancelled);
        }
        self.transition(job, Lifecycle::Waiting(stateless.requeue(self.now)));
        if !stateless.info.repeatable {
            self.records.put(job, PlacementRecord::Accepted);
        }
    }

    /// Handles the end of a run. Workers report it again until it is acknowledged.
    pub fn run_ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis) {
        self.now = self.now.max(now);
        let job = self.jobs_by_token.get(&token).copied();
        let lifecycle = job.and_then(|job| self.job(job).copied());
        let run = lifecycle.and_then(|lifecycle| lifecycle.run());
        let (Some(job), Some(lifecycle), Some(run)) = (job, lifecycle, run) else {
            self.acknowledge_unknown_run(worker, token);
            return;
        };
        if run.worker != worker {
            return;
        }
        self.mark_token_ended(&lifecycle);
        let stateless = lifecycle.without_state();
        let cancelled = matches!(
            lifecycle,
            Lifecycle::Stopping(stopping) if stopping.state.reason == StopReason::Cancel
        );
        match end {
            RunEnd::Done => {
                self.worker_succeeded(worker);
                self.finish(job, stateless, JobOutcome::Done);
            }
            _ if cancelled => self.finish(job, stateless, JobOutcome::Cancelled),
            RunEnd::Checkpointed => self.requeue(job, stateless),
            RunEnd::Stopped if stateless.info.repeatable => self.requeue(job, stateless),
            RunEnd::Stopped => self.finish(job, stateless, JobOutcome::Unknown),
            RunEnd::OutOfMemory { used_mb } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.needs_report = true;
                }
                self.out_of_memory(job, stateless, used_mb);
            }
            RunEnd::Failed | RunEnd::NotStarted => self.handle_failure(job, stateless, worker, end),
        }
        self.acknowledge_after_write(job, worker, token);
        self.update_indexes(worker);
    }

    fn acknowledge_unknown_run(&mut self, worker: WorkerKey, token: u64) {
        if !self.pending_acknowledgements.contains(&token) {
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
    }

    /// Acknowledges the end of a run, after the resulting record is stored if there is one. A
    /// worker that discarded the end before could not report it to the next controller.
    fn acknowledge_after_write(&mut self, job: JobKey, worker: WorkerKey, token: u64) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let ended = matches!(entry.lifecycle, Lifecycle::Finished(_));
        if ended || !entry.lifecycle.info().repeatable {
            entry.acknowledge = Some((worker, token));
            self.pending_acknowledgements.insert(token);
        } else {
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
    }

    /// Handles a job that was killed for lack of memory. If it exceeded its size, the next run
    /// gets the used memory plus the margin; otherwise another task caused the shortage and the
    /// size stays.
    fn out_of_memory(&mut self, job: JobKey, mut stateless: Job<()>, used_mb: u64) {
        if used_mb > stateless.need.memory_mb {
            stateless.need.memory_mb = used_mb + used_mb / USAGE_MARGIN_DIVISOR;
        }
        let need = stateless.need;
        let quota = self.teams.get(stateless.info.team).map(|team| team.quota);
        let fits = self.worker_shapes.iter().any(|shape| need.fits(*shape))
            && quota.is_some_and(|quota| need.fits(quota));
        if !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Failed);
        } else if fits {
            self.requeue(job, stateless);
        } else {
            self.finish(job, stateless, JobOutcome::TooLarge);
        }
    }

    /// Attributes a failure to the worker if it is the first one of the job, and to the job once it
    /// has failed on a second worker.
    fn handle_failure(
        &mut self,
        job: JobKey,
        mut stateless: Job<()>,
        worker: WorkerKey,
        end: RunEnd,
    ) {
        for entry in &mut stateless.history.failed_on {
            let known = entry.and_then(|failed| self.workers.get(failed));
            if known.is_none_or(|failed| failed.is_quarantined()) {
                *entry = None;
            }
        }
        let failures = stateless.history.record_failure(worker);
        if failures == 1 {
            self.worker_failed(worker, job);
        } else {
            for failed_worker in stateless.history.failed_on.into_iter().flatten() {
                self.retract_worker_failure(failed_worker, job);
            }
        }
        if end == RunEnd::Failed && !stateless.info.repeatable {
            self.finish(job, stateless, JobOutcome::Failed);
        } else if failures >= FAILED_WORKERS_MAX {
            self.finish(job, stateless, JobOutcome::FailedOnSeveralWorkers);
        } else {
            self.requeue(job, stateless);
        }
    }

    fn worker_failed(&mut self, key: WorkerKey, job: JobKey) {
        let may_quarantine = self.quarantined_workers * QUARANTINE_DIVISOR < self.workers.len();
        let now = self.now;
        self.change_health(key, |worker| {
            worker.record_failure(job, now, may_quarantine)
        });
    }

    fn worker_succeeded(&mut self, key: WorkerKey) {
        self.change_health(key, super::worker::Worker::record_success);
    }

    fn retract_worker_failure(&mut self, key: WorkerKey, job: JobKey) {
        self.change_health(key, |worker| worker.retract_failure(job));
    }

    fn change_health(&mut self, key: WorkerKey, change: impl FnOnce(&mut super::worker::Worker)) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = worker.is_quarantined();
        change(worker);
        let after = worker.is_quarantined();
        self.quarantined_workers =
            self.quarantined_workers + usize::from(after) - usize::from(before);
        self.update_indexes(key);
    }
}
