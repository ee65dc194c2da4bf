//! The life cycle of a job: `Waiting`, `Starting`, `Running`, `Stopping`, `Finished`. A checkpoint
//! leads from `Stopping` back to `Waiting`.

use crate::prelude::*;

use super::resources::Resources;

/// Failures on this many different workers end a job.
pub const FAILED_WORKERS_MAX: usize = 3;

/// How soon a job must start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Rebuilds and other work that waits its turn.
    Low,
    /// Usual work.
    Normal,
    /// Starts within [`super::URGENT_START_MS`] while its team is within its quota.
    Urgent,
}

/// What the decisions need to know of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobInfo {
    /// Whose quota it uses.
    pub team: TeamKey,
    /// How soon it must start.
    pub urgency: Urgency,
    /// Declared size.
    pub declared: Resources,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether it can be checkpointed and resumed.
    pub checkpointable: bool,
}

/// One run of a job on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The worker.
    pub worker: WorkerKey,
    /// Fencing token; a worker refuses a start with a token that is not above its highest.
    pub token: u64,
    /// Process of the worker that the run was given to.
    pub incarnation: u64,
    /// Whether it uses quota of other teams.
    pub borrowed: bool,
    /// What is set aside for it on the worker.
    pub reserved: Resources,
    /// Highest usage seen.
    pub peak: Resources,
}

/// State of a job that waits for a worker.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Since when it waits.
    pub since: Millis,
    /// Worker where tasks are being checkpointed for it, and since when.
    pub promised: Option<(WorkerKey, Millis)>,
}

/// State of a job whose worker was chosen.
#[derive(Clone, Copy, Debug)]
pub struct Starting {
    /// The run.
    pub run: Run,
    /// When the worker was chosen.
    pub at: Millis,
    /// Whether the start was sent. The record of a job that must not be repeated is written first.
    pub sent: bool,
}

/// State of a job that its worker runs.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// The run.
    pub run: Run,
    /// When that was first known.
    pub since: Millis,
}

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It makes room and goes back to waiting.
    Checkpoint,
    /// Its caller cancelled it.
    Cancel,
}

/// State of a job whose worker was asked to stop it.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    /// The run.
    pub run: Run,
    /// Why.
    pub reason: StopReason,
    /// When it was asked.
    pub at: Millis,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It ran to its end.
    Done,
    /// Its caller cancelled it.
    Cancelled,
    /// It ran, failed and must not be repeated.
    Failed,
    /// It failed on several different workers.
    FailsEverywhere,
    /// Its measured size fits no worker or not its team's quota.
    Outgrown,
    /// It must not be repeated, and its run ended without a known result.
    Unknown,
}

impl JobOutcome {
    /// What the caller can do; none if nothing is wrong.
    #[must_use]
    pub const fn remedy(self) -> Option<&'static str> {
        match self {
            Self::Done | Self::Cancelled => None,
            Self::Failed | Self::FailsEverywhere => {
                Some("read the job's log, correct the job and submit it again")
            }
            Self::Outgrown => Some("split the job or raise the team's quota"),
            Self::Unknown => Some("check the job's effects before submitting it again"),
        }
    }
}

/// State of a job that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// How.
    pub outcome: JobOutcome,
}

/// What earlier runs showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// Different workers on which it failed.
    pub failed_on: [Option<WorkerKey>; FAILED_WORKERS_MAX],
    /// Whether a worker vanished while it ran there.
    pub suspect: bool,
}

impl History {
    /// Adds a worker; returns the number of different workers.
    pub fn fail(&mut self, worker: WorkerKey) -> usize {
        if !self.failed_on.contains(&Some(worker))
            && let Some(free) = self.failed_on.iter_mut().find(|entry| entry.is_none())
        {
            *free = Some(worker);
        }
        self.failed_on.iter().flatten().count()
    }
}

/// A job in one state of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Job<S> {
    /// What the decisions need to know of it.
    pub info: JobInfo,
    /// Size for its next run: declared, or measured if that was larger.
    pub need: Resources,
    /// What earlier runs showed.
    pub history: History,
    /// Data of the current state.
    pub state: S,
}

/// A job in any state.
#[derive(Clone, Copy, Debug)]
pub enum Life {
    /// Waits for a worker.
    Waiting(Job<Waiting>),
    /// Its worker was chosen.
    Starting(Job<Starting>),
    /// Its worker runs it.
    Running(Job<Running>),
    /// Its worker was asked to stop it.
    Stopping(Job<Stopping>),
    /// Has ended.
    Finished(Job<Finished>),
}

impl Life {
    /// The run that may be going on.
    #[must_use]
    pub const fn run(&self) -> Option<Run> {
        match self {
            Self::Starting(job) => Some(job.state.run),
            Self::Running(job) => Some(job.state.run),
            Self::Stopping(job) => Some(job.state.run),
            Self::Waiting(_) | Self::Finished(_) => None,
        }
    }

    /// The run that may be going on, to correct its reservation.
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

    /// The job without its state.
    #[must_use]
    pub const fn stateless(&self) -> Job<()> {
        match self {
            Self::Waiting(job) => job.with_none(),
            Self::Starting(job) => job.with_none(),
            Self::Running(job) => job.with_none(),
            Self::Stopping(job) => job.with_none(),
            Self::Finished(job) => job.with_none(),
        }
    }
}

impl<S> Job<S> {
    /// The job without its state.
    #[must_use]
    pub const fn with_none(&self) -> Job<()> {
        self.with(())
    }

    const fn with<T>(&self, state: T) -> Job<T> {
        Job {
            info: self.info,
            need: self.need,
            history: self.history,
            state,
        }
    }
}

impl Job<()> {
    /// The job after its run is known to be over.
    #[must_use]
    pub const fn wait(self, now: Millis) -> Job<Waiting> {
        self.with(Waiting {
            since: now,
            promised: None,
        })
    }

    /// Ends the job.
    #[must_use]
    pub const fn finish(self, outcome: JobOutcome) -> Job<Finished> {
        self.with(Finished { outcome })
    }
}

impl Job<Waiting> {
    /// A job that was just submitted.
    #[must_use]
    pub fn new(info: JobInfo, now: Millis) -> Self {
        Self {
            info,
            need: info.declared,
            history: History::default(),
            state: Waiting {
                since: now,
                promised: None,
            },
        }
    }

    /// Chooses a run.
    #[must_use]
    pub const fn start(self, run: Run, now: Millis, sent: bool) -> Job<Starting> {
        self.with(Starting { run, at: now, sent })
    }

    /// Takes over a run that a worker reported to a new controller, or that its record names.
    #[must_use]
    pub const fn adopt(self, run: Run, now: Millis) -> Job<Running> {
        self.with(Running { run, since: now })
    }
}

impl Job<Starting> {
    /// Its worker runs it.
    #[must_use]
    pub const fn run(self, now: Millis) -> Job<Running> {
        self.with(Running {
            run: self.state.run,
            since: now,
        })
    }

    /// Asks its worker to stop it.
    #[must_use]
    pub const fn stop(self, reason: StopReason, now: Millis) -> Job<Stopping> {
        let run = self.state.run;
        self.with(Stopping {
            run,
            reason,
            at: now,
        })
    }
}

impl Job<Running> {
    /// Asks its worker to stop it.
    #[must_use]
    pub const fn stop(self, reason: StopReason, now: Millis) -> Job<Stopping> {
        let run = self.state.run;
        self.with(Stopping {
            run,
            reason,
            at: now,
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
