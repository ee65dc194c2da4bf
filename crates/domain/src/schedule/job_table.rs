//! Jobs and their tasks.

use super::Acceptance;
use super::order::StepKey;
use crate::job::{
    AdvicePolicy, JobProgress, JobRecord, JobState, QueuePolicy, StepSpec, TaskName, TaskPosition,
    TaskProgress,
};
use crate::placement::Resources;
use crate::prelude::*;

/// Factor of the latency objective after which the result of a job has no more value.
pub(super) const USEFUL_LATENCY_FACTOR: u64 = 3;

/// Lower bound of a declared run time: even an empty task costs a start and an end.
const ESTIMATE_MIN_MS: u64 = 50;

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStatus {
    /// Waits for earlier steps, or its job is held.
    Blocked,
    /// A run of a former leader may exist; the task waits for recovery.
    AwaitingRecovery,
    /// Can start.
    Ready,
    /// Has an active run.
    Placed(RunKey),
    /// Done, or its job has ended.
    Finished,
}

/// A task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub job: JobKey,
    pub position: TaskPosition,
    pub status: TaskStatus,
    /// Whether the task has completed.
    pub done: bool,
    /// Highest run number so far.
    pub last_run_number: u32,
    /// Numbers of the failed runs; not kept for long-running tasks.
    pub failed_runs: Vec<u32>,
    /// Latest checkpoint within the bounds.
    pub checkpoint: Arc<str>,
    /// Length of the last checkpoint that was dropped.
    pub dropped_checkpoint_bytes: usize,
    /// Worker of the last failed run, which is the last choice for the next one.
    pub avoid_worker: Option<WorkerKey>,
    /// Earliest time of the next start.
    pub not_before: Millis,
    /// Workers in a row that have crashed soon after they started the task.
    pub early_crashes: u32,
    /// Workers that have crashed with the task; not kept for long-running tasks.
    pub crashes: u32,
    /// Whether its last run was lost with its worker, so that the outcome is unknown.
    pub last_run_lost: bool,
    /// Start of the current outage of a long-running task.
    pub not_running_since: Option<Millis>,
}

/// The service and the workspace of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobOwner {
    pub service: ServiceKey,
    pub workspace: Option<WorkspaceKey>,
}

/// A job and its tasks.
#[derive(Debug)]
pub(super) struct Job {
    pub id: Arc<str>,
    pub record: JobRecord,
    pub policy: QueuePolicy,
    /// Service whose workers run the tasks.
    pub service: ServiceKey,
    /// Workspace that it belongs to.
    pub workspace: Option<WorkspaceKey>,
    /// Whether its workspace had submitted more than its rate allows.
    pub is_excess: bool,
    pub state: JobState,
    /// State as last stored.
    pub written_state: JobState,
    pub ended_wall_ms: u64,
    /// Whether a former leader may know the job.
    pub accepted_before_term: bool,
    /// When it was received, on this process's clock; the clock's origin if that was before the
    /// process started.
    pub received_at: Millis,
    /// Why it gets no tasks: an earlier version has accepted it beyond the limits of this one.
    pub refusal: Option<&'static str>,
    /// Latency objective of the job.
    pub objective_ms: u64,
    /// Declared time from the start of each step to the end of the job.
    pub remaining_paths_ms: Vec<u64>,
    /// Tasks by occurrence, step and index.
    pub occurrences: Vec<Vec<Vec<TaskKey>>>,
    /// Tasks that have not completed.
    pub unfinished_tasks: usize,
    /// Tasks that have not completed, by step.
    pub unfinished_by_step: Vec<u64>,
    /// Tasks that have not completed, by occurrence and step.
    unfinished_by_occurrence: Vec<Vec<u64>>,
    /// Bytes of the checkpoints of unfinished tasks, as encoded in the progress.
    pub checkpoint_bytes: usize,
    /// Whether any checkpoint was dropped in this term.
    pub has_dropped_checkpoints: bool,
    /// Whether the stored progress is out of date.
    pub dirty: bool,
    /// Whether its finite tasks do not start, because it is not known which of them are done.
    pub is_held: bool,
}

impl Job {
    pub(super) fn step(&self, number: u16) -> Option<&StepSpec> {
        self.record.spec.steps.get(usize::from(number))
    }

    /// Whether all tasks of a step of an occurrence are done. It is asked for each task that waits for the step, so the
    /// tasks are counted and not searched.
    pub(super) fn is_step_done(&self, occurrence: u32, step: u16) -> bool {
        let steps = self.unfinished_by_occurrence.get(occurrence as usize);
        steps.and_then(|steps| steps.get(usize::from(step))) == Some(&0)
    }

    pub(super) fn occurrences_total(&self) -> u32 {
        self.record.spec.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Wall-clock time of the next occurrence, if there is one.
    pub(super) fn next_due_wall_ms(&self) -> Option<u64> {
        let created = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        if self.state.is_final() || created >= self.occurrences_total() {
            return None;
        }
        let repeat = self.record.spec.repeat;
        Some(repeat.map_or(0, |repeat| repeat.due_wall_ms(created)))
    }

    pub(super) fn task_at(&self, position: TaskPosition) -> Option<TaskKey> {
        let steps = self.occurrences.get(position.occurrence as usize)?;
        let tasks = steps.get(usize::from(position.step))?;
        tasks.get(position.index as usize).copied()
    }

    /// Whether the result would still be useful if the job completed now.
    pub(super) fn is_useful(&self, now: Millis) -> bool {
        let useful_ms = self.objective_ms.saturating_mul(USEFUL_LATENCY_FACTOR);
        self.long_running() || now.ms_since(self.received_at) <= useful_ms
    }

    pub(super) fn long_running(&self) -> bool {
        self.record.spec.steps.iter().any(|step| step.long_running)
    }
}

/// All jobs and their tasks.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    pub jobs: SlotMap<JobKey, Job>,
    pub tasks: SlotMap<TaskKey, Task>,
    pub jobs_by_id: FastMap<Arc<str>, JobKey>,
    /// Whether the queue of any job has had an advisor.
    pub has_advised_jobs: bool,
}

impl JobTable {
    /// Adds a job; returns `None` if it is already known.
    pub(super) fn add(
        &mut self,
        id: Arc<str>,
        record: JobRecord,
        owner: JobOwner,
        received_at: Millis,
        acceptance: Acceptance,
    ) -> Option<JobKey> {
        if self.jobs_by_id.contains_key(&id) {
            return None;
        }
        self.has_advised_jobs |= record.policy.advice.is_some();
        let key = self.jobs.insert(Job {
            id: Arc::clone(&id),
            policy: record.policy.clone(),
            refusal: record.spec.stored_error(),
            objective_ms: record.objective_ms(),
            remaining_paths_ms: record.spec.remaining_paths_ms(),
            unfinished_by_step: vec![0; record.spec.steps.len()],
            unfinished_by_occurrence: Vec::new(),
            service: owner.service,
            workspace: owner.workspace,
            is_excess: false,
            record,
            state: JobState::Queued,
            written_state: JobState::Queued,
            ended_wall_ms: 0,
            accepted_before_term: acceptance == Acceptance::BeforeTerm,
            received_at,
            occurrences: Vec::new(),
            unfinished_tasks: 0,
            checkpoint_bytes: 0,
            has_dropped_checkpoints: false,
            dirty: false,
            is_held: false,
        });
        self.jobs_by_id.insert(id, key);
        Some(key)
    }

    /// Creates the tasks of the next occurrence.
    pub(super) fn create_occurrence(&mut self, key: JobKey, restored: bool) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let occurrence = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
        let mut steps = Vec::with_capacity(job.record.spec.steps.len());
        for (number, step) in job.record.spec.steps.iter().enumerate() {
            let blocked = !step.after.is_empty();
            let status = match (blocked, restored) {
                (true, false) => TaskStatus::Blocked,
                (false, false) => TaskStatus::Ready,
                (_, true) => TaskStatus::AwaitingRecovery,
            };
            let tasks: Vec<TaskKey> = (0..step.count)
                .map(|index| {
                    self.tasks.insert(Task {
                        job: key,
                        position: TaskPosition {
                            occurrence,
                            step: u16::try_from(number).unwrap_or(u16::MAX),
                            index,
                        },
                        status,
                        done: false,
                        last_run_number: 0,
                        failed_runs: Vec::new(),
                        checkpoint: "".into(),
                        dropped_checkpoint_bytes: 0,
                        avoid_worker: None,
                        not_before: Millis::ZERO,
                        early_crashes: 0,
                        crashes: 0,
                        last_run_lost: false,
                        not_running_since: None,
                    })
                })
                .collect();
            job.unfinished_tasks += tasks.len();
            job.unfinished_by_step[number] += u64::from(step.count);
            steps.push(tasks);
        }
        let counts = steps.iter().map(|tasks| tasks.len() as u64);
        job.unfinished_by_occurrence.push(counts.collect());
        job.occurrences.push(steps);
    }

    /// Applies the stored progress of a job.
    pub(super) fn restore(&mut self, key: JobKey, progress: &JobProgress) {
        for position in &progress.done {
            self.create_occurrences_up_to(key, position.occurrence);
            if let Some(task) = self.task_at(key, *position) {
                self.mark_done(task);
            }
        }
        for stored in &progress.tasks {
            self.create_occurrences_up_to(key, stored.position.occurrence);
            let task_key = self.task_at(key, stored.position);
            if let Some(task_key) = task_key
                && let Some(task) = self.tasks.get_mut(task_key)
            {
                task.failed_runs.clone_from(&stored.failed_runs);
                task.early_crashes = stored.early_crashes;
                task.crashes = stored.crashes;
                self.put_checkpoint(task_key, &stored.checkpoint);
            }
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.state = progress.state;
            job.written_state = progress.state;
            job.ended_wall_ms = progress.ended_wall_ms;
        }
    }

    /// Creates the tasks of all occurrences up to one that a worker or the store has named.
    pub(super) fn create_occurrences_up_to(&mut self, key: JobKey, occurrence: u32) {
        while let Some(job) = self.jobs.get(key) {
            let created = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
            if created > occurrence || created >= job.occurrences_total() || job.refusal.is_some() {
                return;
            }
            self.create_occurrence(key, true);
        }
    }

    fn task_at(&self, key: JobKey, position: TaskPosition) -> Option<TaskKey> {
        self.jobs.get(key)?.task_at(position)
    }

    pub(super) fn find(&self, name: &TaskName) -> Option<TaskKey> {
        self.task_at(*self.jobs_by_id.get(&name.job)?, name.position)
    }

    pub(super) fn name(&self, key: TaskKey) -> Option<TaskName> {
        let task = self.tasks.get(key)?;
        Some(TaskName {
            job: Arc::clone(&self.jobs.get(task.job)?.id),
            position: task.position,
        })
    }

    pub(super) fn step_of(&self, key: TaskKey) -> Option<&StepSpec> {
        let task = self.tasks.get(key)?;
        self.jobs.get(task.job)?.step(task.position.step)
    }

    pub(super) fn advice_of(&self, task: TaskKey) -> Option<AdvicePolicy> {
        let task = self.tasks.get(task)?;
        self.jobs.get(task.job)?.policy.advice
    }

    pub(super) fn step_key(&self, task: TaskKey) -> Option<StepKey> {
        let task = self.tasks.get(task)?;
        Some(StepKey {
            job: task.job,
            occurrence: task.position.occurrence,
            step: task.position.step,
        })
    }

    /// Workspace of the task's job.
    pub(super) fn workspace_of(&self, key: TaskKey) -> Option<WorkspaceKey> {
        let task = self.tasks.get(key)?;
        self.jobs.get(task.job)?.workspace
    }

    pub(super) fn is_long_running(&self, key: TaskKey) -> bool {
        self.step_of(key).is_some_and(|step| step.long_running)
    }

    /// Whether the task exists and can start.
    pub(super) fn is_ready(&self, key: TaskKey) -> bool {
        let task = self.tasks.get(key);
        task.is_some_and(|task| task.status == TaskStatus::Ready)
    }

    /// Tasks of the newest occurrence.
    pub(super) fn newest_tasks(&self, key: JobKey) -> Vec<TaskKey> {
        let newest = self.jobs.get(key).and_then(|job| job.occurrences.last());
        newest.into_iter().flatten().flatten().copied().collect()
    }

    /// Tasks of a job with the given status.
    pub(super) fn tasks_with_status(&self, key: JobKey, status: TaskStatus) -> Vec<TaskKey> {
        let occurrences = self.jobs.get(key).map(|job| &job.occurrences);
        let tasks = occurrences.into_iter().flatten().flatten().flatten();
        tasks
            .copied()
            .filter(|task| {
                self.tasks
                    .get(*task)
                    .is_some_and(|task| task.status == status)
            })
            .collect()
    }

    /// Marks a task as completed; returns `false` if it already was.
    pub(super) fn mark_done(&mut self, key: TaskKey) -> bool {
        if self.tasks.get(key).is_none_or(|task| task.done) {
            return false;
        }
        self.put_checkpoint(key, &"".into());
        let Some(task) = self.tasks.get_mut(key) else {
            return false;
        };
        task.done = true;
        task.status = TaskStatus::Finished;
        let TaskPosition {
            occurrence, step, ..
        } = task.position;
        if let Some(job) = self.jobs.get_mut(task.job) {
            job.unfinished_tasks = job.unfinished_tasks.saturating_sub(1);
            let of_occurrence = job.unfinished_by_occurrence.get_mut(occurrence as usize);
            if let Some(count) = of_occurrence.and_then(|steps| steps.get_mut(usize::from(step))) {
                *count = count.saturating_sub(1);
            }
            if let Some(count) = job.unfinished_by_step.get_mut(usize::from(step)) {
                *count = count.saturating_sub(1);
            }
            job.dirty = true;
        }
        true
    }

    /// Status of a task that has no run.
    pub(super) fn status_without_run(&self, key: TaskKey) -> TaskStatus {
        let Some(task) = self.tasks.get(key) else {
            return TaskStatus::Finished;
        };
        let Some(job) = self.jobs.get(task.job) else {
            return TaskStatus::Finished;
        };
        if task.done || job.state.is_final() {
            return TaskStatus::Finished;
        }
        let ready = job.step(task.position.step).is_some_and(|step| {
            let is_held = job.is_held && !step.long_running;
            !is_held
                && step
                    .after
                    .iter()
                    .all(|earlier| job.is_step_done(task.position.occurrence, *earlier))
        });
        if ready {
            TaskStatus::Ready
        } else {
            TaskStatus::Blocked
        }
    }

    /// Progress of a job, to be stored.
    pub(super) fn progress(&self, key: JobKey) -> Option<JobProgress> {
        let job = self.jobs.get(key)?;
        let mut progress = JobProgress {
            state: job.state,
            ended_wall_ms: job.ended_wall_ms,
            ..JobProgress::default()
        };
        if job.state.is_final() {
            return Some(progress);
        }
        let tasks = job.occurrences.iter().flatten().flatten();
        for task in tasks.filter_map(|task| self.tasks.get(*task)) {
            if task.done {
                progress.done.push(task.position);
            } else if !task.failed_runs.is_empty()
                || !task.checkpoint.is_empty()
                || task.early_crashes + task.crashes > 0
            {
                progress.tasks.push(TaskProgress {
                    position: task.position,
                    failed_runs: task.failed_runs.clone(),
                    checkpoint: Arc::clone(&task.checkpoint),
                    early_crashes: task.early_crashes,
                    crashes: task.crashes,
                });
            }
        }
        Some(progress)
    }

    /// Remaining work of a job, in milliseconds of a whole worker.
    pub(super) fn remaining_work(&self, key: JobKey, capacity: Resources) -> u64 {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        let steps = job.record.spec.steps.iter();
        work_ms(steps.zip(job.unfinished_by_step.iter().copied()), capacity)
    }

    /// Removes a job that has been deleted from the store.
    pub(super) fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.jobs_by_id.remove(&job.id);
            for task in job.occurrences.into_iter().flatten().flatten() {
                self.tasks.remove(task);
            }
        }
    }
}

/// Converts the wall-clock time at which a job was received to this process's clock.
pub(super) fn received_at(record: &JobRecord, now: Millis, wall: Millis) -> Millis {
    let age_ms = wall.ms_since(Millis::from_ms(record.received_wall_ms));
    Millis::from_ms(now.as_ms().saturating_sub(age_ms))
}

/// Declared work of the given numbers of tasks of steps, in milliseconds of a whole worker.
pub(super) fn work_ms<'a>(
    steps: impl Iterator<Item = (&'a StepSpec, u64)>,
    worker: Resources,
) -> u64 {
    let work_ppm = steps
        .map(|(step, count)| {
            let share_ppm = step.need().dominant_share_ppm(worker);
            let task_ppm = share_ppm.saturating_mul(step.estimate_ms.max(ESTIMATE_MIN_MS));
            task_ppm.saturating_mul(count)
        })
        .fold(0, u64::saturating_add);
    work_ppm / 1_000_000
}
