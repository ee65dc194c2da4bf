//! Jobs of steps as callers submit them, and what is recorded of them.

use serde::{Deserialize, Serialize};

use crate::placement::Resources;
use crate::prelude::*;

/// Tasks of one step that do the same work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Processors of one task, in thousandths.
    pub processors_milli: u64,
    /// Memory of one task.
    pub memory_mb: u64,
    /// Accelerators of one task.
    pub accelerators: u64,
    /// Declared run time; often far off.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a stopped task can go on from a checkpoint.
    pub checkpointing: bool,
    /// Whether the tasks only work while all of them are present.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub requirement: Option<Arc<str>>,
    /// Rack near the data; the tasks are slower elsewhere.
    pub affinity: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 is no limit.
    pub per_worker_max: u32,
    /// Whether several runs of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run.
    pub image: Arc<str>,
    /// Bound of the tail latency of a task that serves users of its own; 0 is none.
    pub target_ms: u64,
    /// Whether the tasks use only processors that other tasks leave.
    pub fills: bool,
    /// Tasks that may be unavailable at once through planned work.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// What one task takes of a worker's capacity.
    #[must_use]
    pub const fn need(&self) -> Resources {
        Resources {
            processors_milli: if self.fills { 0 } else { self.processors_milli },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

/// Repetition of a job's steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Wall-clock time of the first one, in milliseconds since the Unix epoch.
    pub start_wall_ms: u64,
    /// Time between two of them.
    pub interval_ms: u64,
}

/// What a caller submits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is passed on with every start.
    pub text: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Repetition, for scheduled jobs.
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Why the job can't be accepted, if so.
    #[must_use]
    pub fn problem(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step");
        }
        let counts_fit = self
            .steps
            .iter()
            .all(|step| (1..=TASKS_OF_STEP_MAX).contains(&step.count));
        if !counts_fit {
            return Some("a step needs between 1 and 10,000 tasks");
        }
        let ordered = self.steps.iter().enumerate().all(|(number, step)| {
            step.after
                .iter()
                .all(|earlier| usize::from(*earlier) < number)
        });
        if !ordered {
            return Some("a step may only come after earlier steps");
        }
        None
    }

    /// Declared time of the longest chain of steps.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        self.tails_ms().into_iter().max().unwrap_or(0)
    }

    /// Declared time from the start of each step to the end of the job.
    #[must_use]
    pub fn tails_ms(&self) -> Vec<u64> {
        let mut tails: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        for later in (0..self.steps.len()).rev() {
            for earlier in &self.steps[later].after {
                let earlier = usize::from(*earlier);
                if earlier < later {
                    tails[earlier] =
                        tails[earlier].max(self.steps[earlier].estimate_ms + tails[later]);
                }
            }
        }
        tails
    }
}

/// A job record of 1 MB, the largest value of the store, cannot describe more tasks usefully.
const TASKS_OF_STEP_MAX: u32 = 10_000;

/// What the configuration says of a queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task that end its job.
    pub attempts_max: u32,
    /// Factor from the longest chain to the latency objective.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub objective_ms: u64,
    /// How the advisor is asked, if it names the workers that may run a step.
    #[serde(default)]
    pub advice: Option<AdvicePolicy>,
}

/// How long the advisor of a queue takes, and how long its tickets hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time for any answer.
    pub decision_ms: u64,
    /// Further time for each worker that a call names.
    pub per_worker_us: u64,
    /// Time for which a ticket is valid.
    pub valid_ms: u64,
}

/// A job as it is stored at its acceptance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue.
    pub queue: Arc<str>,
    /// The queue's policy at acceptance, in case that the queue is removed.
    pub policy: QueuePolicy,
    /// When the job was received, in milliseconds since the Unix epoch.
    pub received_wall_ms: u64,
    /// The job.
    pub spec: JobSpec,
}

/// State of a job as callers see it.
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
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether the job is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Position of a task in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskPosition {
    /// Occurrence of a repeated job; 0 for others.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
}

/// Name of a task in messages between processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskName {
    /// The job's id.
    pub job: Arc<str>,
    /// Position in the job.
    pub position: TaskPosition,
}

/// What outlives the leader about a task that is not done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task.
    pub position: TaskPosition,
    /// Numbers of the runs that ended failed. A worker lists an end again until it is acknowledged,
    /// also to the next leader, and ends of different workers arrive in any order.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// What outlives the leader about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobProgress {
    /// State.
    pub state: JobState,
    /// When the job was over, in milliseconds since the Unix epoch; 0 while it is not.
    pub ended_wall_ms: u64,
    /// Tasks that are done.
    pub done: Vec<TaskPosition>,
    /// Tasks with failures or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}
