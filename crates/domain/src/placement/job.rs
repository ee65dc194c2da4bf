//! Life cycle of a job: `Waiting`, `Starting`, `Running`, `Stopping`, `Finished`. A job returns to
//! `Waiting` when its run ends before the job is finished, for example after a checkpoint.

use crate::prelude::*;

use super::resources::Resources;

/// A job that failed on this many different workers is not tried again.
pub const FAILED_WORKERS_MAX: usize = 3;

/// Urgency of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Background work, such as rebuilds.
    Low,
    /// Default.
    Normal,
    /// Starts within [`super::URGENT_START_MS`] as long as the team is within its quota.
    Urgent,
}

/// Properties that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobInfo {
    /// Team whose quota the job uses.
    pub team: TeamKey,
    /// How soon it must start.
    pub urgency: Urgency,
    /// Declared size.
    pub declared: Resources,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Whether the job can be checkpointed and resumed elsewhere.
    pub checkpointable: bool,
}

/// A run of a job on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Worker that the run is assigned to.
    pub worker: WorkerKey,
    /// Fencing token. A worker refuses a start whose token is not above the highest it has seen.
    pub token: u64,
    /// Incarnation of the worker that the run was assigned to.
    pub incarnation: u64,
    /// Whether the run uses unused quota of other teams.
    pub borrowed: bool,
    /// Resources reserved for the run on the worker.
    pub reserved: Resources,
    /// Highest reported usage.
    pub peak: Resources,
}

/// Data of a job that waits for a worker.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// When the wait began.
    pub since: Millis,
    /// Worker on which other tasks are preempted for the job, and when that began.
    pub nominated_worker: Option<(WorkerKey, Millis)>,
}

/// Data of a job that was assigned to a worker.
#[derive(Clone, Copy, Debug)]
pub struct Starting {
    /// The run to start.
    pub run: Run,
    /// When the job was assigned.
    pub assigned_at: Millis,
    /// Whether the start was sent. For a job that must not be repeated, the record is written
    /// first.
    pub sent: bool,
}

/// Data of a job that its worker runs.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// The current run.
    pub run: Run,
    /// When the run was first confirmed.
    pub since: Millis,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It is preempted, and the job returns to the queue.
    Checkpoint,
    /// The caller cancelled the job.
    Cancel,
}

/// Data of a job whose worker was asked to stop it.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// The run to stop.
    pub run: Run,
    /// Why the run is stopped.
    pub reason: StopReason,
    /// When the stop was first requested.
    pub requested_at: Millis,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It succeeded.
    Done,
    /// The caller cancelled it.
    Cancelled,
    /// It failed and must not be repeated.
    Failed,
    /// It failed on [`FAILED_WORKERS_MAX`] different workers.
    FailedOnSeveralWorkers,
    /// Its measured size exceeds every worker or the quota of its team.
    TooLarge,
    /// It must not be repeated, and the result of its run is unknown.
    Unknown,
}

impl JobOutcome {
    /// Advice for the caller; `None` if nothing went wrong.
    #[must_use]
    pub const fn remedy(self) -> Option<&'static str> {
        match self {
            Self::Done | Self::Cancelled => None,
            Self::Failed | Self::FailedOnSeveralWorkers => {
                Some("read the job's log, correct the job and submit it again")
            }
            Self::TooLarge => Some("split the job or raise the team's quota"),
            Self::Unknown => Some("check the job's effects before submitting it again"),
        }
    }
}

/// Data of a job that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Outcome of the job.
    pub outcome: JobOutcome,
}

/// Failures of earlier runs of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// Distinct workers on which the job failed.
    pub failed_on: [Option<WorkerKey>; FAILED_WORKERS_MAX],
    /// Whether a worker restarted or disappeared while it ran the job.
    pub suspect: bool,
}

impl History {
    /// Records a failure on a worker and returns the number of distinct workers with failures.
    pub fn record_failure(&mut self, worker: WorkerKey) -> usize {
        if !self.failed_on.contains(&Some(worker))
            && let Some(free) = self.failed_on.iter_mut().find(|entry| entry.is_none())
        {
            *free = Some(worker);
        }
        self.failed_on.iter().flatten().count()
    }
}

/// A job whose type parameter is the state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Job<S> {
    /// What the decisions need to know of it.
    pub info: JobInfo,
    /// Size of the next run: the declared size, with more memory if an earlier run ran out of it.
    pub need: Resources,
    /// Failures of earlier runs.
    pub history: History,
    /// Data of the current state.
    pub state: S,
}

/// A job in any state.
#[derive(Clone, Copy, Debug)]
pub enum Lifecycle {
    /// Waits for a worker.
    Waiting(Job<Waiting>),
    /// Was assigned to a worker, which has not yet confirmed the run.
    Starting(Job<Starting>),
    /// Runs on a worker.
    Running(Job<Running>),
    /// Its worker was asked to stop it.
    Stopping(Job<Stopping>),
    /// Has ended.
    Finished(Job<Finished>),
}

impl Lifecycle {
    /// The run that may be in progress.
    #[must_use]
    pub const fn run(&self) -> Option<Run> {
        match self {
            Self::Starting(job) => Some(job.state.run),
            Self::Running(job) => Some(job.state.run),
            Self::Stopping(job) => Some(job.state.run),
            Self::Waiting(_) | Self::Finished(_) => None,
        }
    }

    /// The run that may be in progress, for changes to its reservation.
    pub const fn run_mut(&mut self) -> Option<&mut Run> {
        match self {
            Self::Starting(job) => Some(&mut job.state.run),
            Self::Running(job) => Some(&mut job.state.run),
            Self::Stopping(job) => Some(&mut job.state.run),
            Self::Waiting(_) | Self::Finished(_) => None,
        }
    }

    /// What the decisions need to know of the job.
    #[must_use]
    pub const fn info(&self) -> JobInfo {
        match self {
            Self::Waiting(job) => job.info,
            Self::Starting(job) => job.info,
            Self::Running(job) => job.info,
            Self::Stopping(job) => job.info,
            Self::Finished(job) => job.info,
        }
    }

    /// The job without the data of its state.
    #[must_use]
    pub const fn without_state(&self) -> Job<()> {
        match self {
            Self::Waiting(job) => job.without_state(),
            Self::Starting(job) => job.without_state(),
            Self::Running(job) => job.without_state(),
            Self::Stopping(job) => job.without_state(),
            Self::Finished(job) => job.without_state(),
        }
    }
}

impl<S> Job<S> {
    /// The job without the data of its state.
    #[must_use]
    pub const fn without_state(&self) -> Job<()> {
        self.with_state(())
    }

    const fn with_state<T>(&self, state: T) -> Job<T> {
        Job {
            info: self.info,
            need: self.need,
            history: self.history,
            state,
        }
    }
}

impl Job<()> {
    /// Returns the job to the queue. Any run of it must be known to be over.
    #[must_use]
    pub const fn requeue(self, now: Millis) -> Job<Waiting> {
        self.with_state(Waiting {
            since: now,
            nominated_worker: None,
        })
    }

    /// Ends the job.
    #[must_use]
    pub const fn finish(self, outcome: JobOutcome) -> Job<Finished> {
        self.with_state(Finished { outcome })
    }
}

impl Job<Waiting> {
    /// Creates a submitted job.
    #[must_use]
    pub fn new(info: JobInfo, now: Millis) -> Self {
        Self {
            info,
            need: info.declared,
            history: History::default(),
            state: Waiting {
                since: now,
                nominated_worker: None,
            },
        }
    }

    /// Assigns the job to a worker.
    #[must_use]
    pub const fn start(self, run: Run, now: Millis, sent: bool) -> Job<Starting> {
        self.with_state(Starting {
            run,
            assigned_at: now,
            sent,
        })
    }

    /// Adopts a run that a worker reported to a new controller.
    #[must_use]
    pub const fn adopt(self, run: Run, now: Millis) -> Job<Running> {
        self.with_state(Running { run, since: now })
    }
}

impl Job<Starting> {
    /// Confirms that the worker runs the job.
    #[must_use]
    pub const fn confirm(self, now: Millis) -> Job<Running> {
        self.with_state(Running {
            run: self.state.run,
            since: now,
        })
    }

    /// Requests a stop of the run.
    #[must_use]
    pub const fn stop(self, reason: StopReason, now: Millis) -> Job<Stopping> {
        let run = self.state.run;
        self.with_state(Stopping {
            run,
            reason,
            requested_at: now,
        })
    }
}

impl Job<Running> {
    /// Requests a stop of the run.
    #[must_use]
    pub const fn stop(self, reason: StopReason, now: Millis) -> Job<Stopping> {
        let run = self.state.run;
        self.with_state(Stopping {
            run,
            reason,
            requested_at: now,
        })
    }
}

impl Job<Starting> {
    /// Records that the start was sent.
    #[must_use]
    pub const fn mark_sent(mut self) -> Self {
        self.state.sent = true;
        self
    }
}
