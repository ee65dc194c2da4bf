//! Job specifications as submitted by callers, and the stored records of jobs.

mod done;

use serde::{Deserialize, Serialize};

use crate::placement::Resources;
use crate::prelude::*;
use crate::workspace::Workspace;

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Processors per task, in thousandths.
    pub processors_milli: u64,
    /// Memory per task, in megabytes.
    pub memory_mb: u64,
    /// Accelerators per task.
    pub accelerators: u64,
    /// Declared run time of a task, which is often inaccurate.
    pub estimate_ms: u64,
    /// Indices of the steps that must be completed before this one starts.
    pub after: Vec<u16>,
    /// Whether a stopped task can resume from a checkpoint.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower when spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub requirement: Option<Arc<str>>,
    /// Rack close to the data; the tasks are slower elsewhere.
    pub affinity: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    pub per_worker_max: u32,
    /// Whether speculative duplicates of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run.
    pub image: Arc<str>,
    /// Tail latency objective of a task that serves requests itself; 0 means none.
    pub target_ms: u64,
    /// Whether the tasks use only processors that other tasks leave idle.
    pub fills: bool,
    /// Maximum number of tasks that planned maintenance may make unavailable at the same time.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Resources that one task reserves on a worker.
    #[must_use]
    pub const fn need(&self) -> Resources {
        Resources {
            processors_milli: if self.fills { 0 } else { self.processors_milli },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }

    /// Resources that a start needs: those of one task, or of the whole gang.
    #[must_use]
    pub const fn need_at_once(&self) -> Resources {
        let tasks = if self.gang { self.count as u64 } else { 1 };
        self.need().times(tasks)
    }
}

/// Repetition schedule of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Wall-clock time of the first occurrence, in milliseconds since the Unix epoch.
    pub start_wall_ms: u64,
    /// Time between the starts of two occurrences.
    pub interval_ms: u64,
}

impl Repeat {
    /// Why the schedule is invalid for occurrences of this number of tasks; `None` if it is valid.
    fn validation_error(self, tasks: u64, limit: &TaskLimit) -> Option<&'static str> {
        if self.count > OCCURRENCES_MAX {
            return Some("a job may have at most 1,000,000 occurrences");
        }
        if self.interval_ms < OCCURRENCE_INTERVAL_MIN_MS
            && u64::from(self.count) * tasks > limit.tasks_max
        {
            return Some(limit.occurrences_error);
        }
        let length_ms = self.interval_ms.checked_mul(u64::from(self.count));
        if length_ms
            .and_then(|ms| self.start_wall_ms.checked_add(ms))
            .is_none()
        {
            return Some("the last occurrence is due at a time that cannot be represented");
        }
        None
    }

    /// Wall-clock time at which an occurrence is due.
    pub(crate) const fn due_wall_ms(self, occurrence: u32) -> u64 {
        self.start_wall_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to every task.
    pub text: Arc<str>,
    /// Steps of the job, each after the steps it depends on.
    pub steps: Vec<StepSpec>,
    /// Repetition schedule, if the job recurs.
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Why the specification is invalid or exceeds a limit; `None` if it is valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        self.error_beyond(&NEW_JOB)
    }

    /// Why a stored job of this specification cannot be scheduled; `None` if it can. Earlier versions accepted
    /// more tasks than this one does.
    #[must_use]
    pub fn stored_error(&self) -> Option<&'static str> {
        self.error_beyond(&STORED_JOB)
    }

    fn error_beyond(&self, limit: &TaskLimit) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step");
        }
        if self.steps.len() > STEPS_MAX {
            return Some("a job may have at most 1,000 steps");
        }
        if self.steps.iter().any(|step| step.count == 0) {
            return Some("a step needs at least one task");
        }
        if self.task_count() > limit.tasks_max {
            return Some(limit.steps_error);
        }
        let is_within = |step: &StepSpec| {
            let amounts = [step.processors_milli, step.memory_mb, step.accelerators];
            amounts.iter().all(|amount| *amount <= AMOUNT_MAX)
        };
        if !self.steps.iter().all(is_within) {
            return Some("a task may need at most 1,000,000,000 of each resource");
        }
        if self
            .steps
            .iter()
            .any(|step| step.estimate_ms > ESTIMATE_MAX_MS)
        {
            return Some("the estimated run time of a task may be at most 31 days");
        }
        let order_valid = self.steps.iter().enumerate().all(|(number, step)| {
            step.after
                .iter()
                .all(|earlier| usize::from(*earlier) < number)
        });
        if !order_valid {
            return Some("a step may only come after earlier steps");
        }
        self.repeat
            .and_then(|repeat| repeat.validation_error(self.task_count(), limit))
    }

    /// Number of tasks of one occurrence.
    fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Length of the critical path in declared run time.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        self.remaining_paths_ms().into_iter().max().unwrap_or(0)
    }

    /// Remaining path of each step: the longest declared time from its start to the end of the job.
    #[must_use]
    pub fn remaining_paths_ms(&self) -> Vec<u64> {
        self.remaining_paths_with(|_, step| step.estimate_ms)
    }

    /// Remaining path of each step by the expected run times of its tasks.
    pub fn remaining_paths_with(&self, expected_ms: impl Fn(u16, &StepSpec) -> u64) -> Vec<u64> {
        let steps_ms: Vec<u64> = (0..=u16::MAX)
            .zip(&self.steps)
            .map(|(number, step)| expected_ms(number, step))
            .collect();
        let mut remaining_paths = steps_ms.clone();
        for later in (0..steps_ms.len()).rev() {
            for earlier in &self.steps[later].after {
                let earlier = usize::from(*earlier);
                if earlier < later {
                    let path_ms = steps_ms[earlier].saturating_add(remaining_paths[later]);
                    remaining_paths[earlier] = remaining_paths[earlier].max(path_ms);
                }
            }
        }
        remaining_paths
    }
}

/// Limit on the steps of a job. The placement ranks the ready tasks by step.
const STEPS_MAX: usize = 1_000;
/// Limit on the tasks of a job, or of one occurrence. Its progress must fit into a value of 1 MiB, the largest
/// that the store accepts, with 200 bytes for a task with a checkpoint and failed runs.
pub(crate) const JOB_TASKS_MAX: u64 = 5_000;
/// Limit on the tasks of a job that an earlier version has accepted. With every other task completed, which takes
/// the most bytes, and half of the rest failed, its progress still fits into a value of 1 MiB.
const STORED_JOB_TASKS_MAX: u64 = 15_000;
/// Limit on the tasks of a job, and what is said about a job beyond it.
struct TaskLimit {
    tasks_max: u64,
    steps_error: &'static str,
    occurrences_error: &'static str,
}
/// Limit of a submission.
const NEW_JOB: TaskLimit = TaskLimit {
    tasks_max: JOB_TASKS_MAX,
    steps_error: "the steps of a job may have at most 5,000 tasks together",
    occurrences_error: "occurrences less than 100 ms apart may have at most 5,000 tasks together",
};
/// Limit of a stored job.
const STORED_JOB: TaskLimit = TaskLimit {
    tasks_max: STORED_JOB_TASKS_MAX,
    steps_error: "the steps of a stored job may have at most 15,000 tasks together",
    occurrences_error: "occurrences less than 100 ms apart of a stored job may have at most 15,000 tasks together",
};
/// Limit on each resource that a task needs: a million processors, or a petabyte of memory.
const AMOUNT_MAX: u64 = 1_000_000_000;
/// Limit on a declared run time.
const ESTIMATE_MAX_MS: u64 = 31 * 24 * 60 * 60 * 1_000;
/// Limit on the occurrences of a job, of which the leader keeps those that have come due in memory.
const OCCURRENCES_MAX: u32 = 1_000_000;
/// Below this interval, all occurrences count as one, since they come due before the first of them has ended.
const OCCURRENCE_INTERVAL_MIN_MS: u64 = 100;

/// Configuration of a queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts_max: u32,
    /// Factor by which the latency objective grows with the critical path.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub objective_ms: u64,
    /// Parameters of the advisor, if one restricts the workers that may run a step.
    #[serde(default)]
    pub advice: Option<AdvicePolicy>,
}

/// Response times of the advisor of a queue and the validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed part of the time to answer a call.
    pub decision_ms: u64,
    /// Additional time for each worker named in a call.
    pub per_worker_us: u64,
    /// Validity of a ticket.
    pub valid_ms: u64,
}

/// A job as stored at acceptance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Policy of the queue at acceptance, in case the queue is removed later.
    pub policy: QueuePolicy,
    /// When the job was received, in milliseconds since the Unix epoch.
    pub received_wall_ms: u64,
    /// Workspace of the caller as configured at acceptance, in case it is removed later; `None` for a public
    /// route or a configuration without workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Workspace>,
    /// Specification of the job.
    pub spec: JobSpec,
}

impl JobRecord {
    /// Name of the workspace that the job belongs to.
    #[must_use]
    pub fn workspace_name(&self) -> Option<&Arc<str>> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }

    /// Latency objective of the job.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let critical_path_ms = self.spec.critical_path_ms() as f64;
        ((critical_path_ms * self.policy.stretch) as u64).saturating_add(self.policy.objective_ms)
    }
}

/// State of a job as visible to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed in `attempts_max` runs, or crashed several workers.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Position of a task in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskPosition {
    /// Occurrence of a repeated job; 0 for other jobs.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task in the step.
    pub index: u32,
}

/// Identity of a task in messages between processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Position in the job.
    pub position: TaskPosition,
}

/// Progress of an unfinished task, stored for the next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task.
    pub position: TaskPosition,
    /// Numbers of the failed runs. Numbers instead of a count, since a worker reports an end again
    /// until it is acknowledged, also to the next leader, and the ends from different workers
    /// arrive in any order.
    pub failed_runs: Vec<u32>,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Workers in a row that have crashed soon after they started the task.
    #[serde(default)]
    pub early_crashes: u32,
    /// Workers that have crashed with the task; not kept for long-running tasks.
    #[serde(default)]
    pub crashes: u32,
}

/// Progress of a job, stored for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobProgress {
    /// State of the job.
    pub state: JobState,
    /// When the job ended, in milliseconds since the Unix epoch; 0 while it has not.
    pub ended_wall_ms: u64,
    /// Completed tasks.
    #[serde(with = "done")]
    pub done: Vec<TaskPosition>,
    /// Unfinished tasks with failures, crashes or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}
