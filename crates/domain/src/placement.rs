//! Places jobs on workers, with quotas per team, urgencies, preemption by checkpoint, and fencing
//! tokens.
//!
//! [`Planner`] takes submissions, cancellations, worker reports and confirmations of writes, and
//! [`Planner::step`] returns the actions to carry out. A run counts as over only when its worker
//! proves it: by reporting its end, by a report that does not list the run although its fencing
//! token has reached the run's token, or by a new incarnation. An expired lease is no proof, so a
//! job that must not be repeated waits for one of these.

mod accounting;
mod fit_index;
mod job;
mod planning;
mod preemption;
mod records;
mod reports;
mod resources;
mod worker;

use std::collections::{BTreeSet, VecDeque};

use snafu::Snafu;

use crate::prelude::*;

use fit_index::FitIndex;
use records::Records;
use worker::Worker;

pub use job::{
    FAILED_WORKERS_MAX, Finished, History, Job, JobInfo, JobOutcome, Lifecycle, Run, Running,
    Starting, StopReason, Stopping, Urgency, Waiting,
};
pub use records::{BATCH_RECORDS, JobWrite, PlacementRecord};
pub use reports::{Report, RunEnd, TaskReport};
pub use resources::Resources;
pub use worker::{Health, QUARANTINE_FAILURES, QUARANTINE_FIRST_MS, QUARANTINE_MAX_MS};

/// Upper bound on the time until an urgent job starts, for a team within its quota.
pub const URGENT_START_MS: u64 = 6_700;
/// A job of low urgency ranks like a normal one that was submitted this much later, so it cannot
/// starve.
pub const LOW_RANK_DELAY_MS: u64 = 600_000;
/// A new controller places no job until every worker has reported or this time has passed.
pub const RECOVERY_MS: u64 = 30_000;

/// Why a submission is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JobRefused {
    /// No worker is large enough.
    #[snafu(display(
        "job {name} does not fit on any worker: it declares {declared:?}; declare less or split the job"
    ))]
    FitsNoWorker {
        /// Name of the job.
        name: Arc<str>,
        /// Declared size.
        declared: Resources,
    },
    /// The declared size exceeds the quota of the team.
    #[snafu(display(
        "job {name} exceeds the quota {quota:?} of team {team}: declare less or raise the quota"
    ))]
    ExceedsQuota {
        /// Name of the job.
        name: Arc<str>,
        /// Name of the team.
        team: Arc<str>,
        /// Quota of the team.
        quota: Resources,
    },
    /// The team does not exist.
    #[snafu(display("job {name} belongs to an unknown team: add the team to the document"))]
    UnknownTeam {
        /// Name of the job.
        name: Arc<str>,
    },
    /// The name is already in use.
    #[snafu(display("job {name} already exists: choose another name, or query its state"))]
    Exists {
        /// Name of the job.
        name: Arc<str>,
    },
}

/// An action for the caller of the planner to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Starts a job on a worker. Repeated with the same token until the worker confirms the run.
    Start {
        /// Worker that is to run the job.
        worker: WorkerKey,
        /// Job to start.
        job: JobKey,
        /// Fencing token of the run.
        token: u64,
        /// Incarnation of the worker that may accept the start; a later one refuses it.
        incarnation: u64,
    },
    /// Checkpoints a task and ends its run.
    Checkpoint {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Fencing token of the run.
        token: u64,
    },
    /// Stops a task without a checkpoint. A worker that does not know the token raises its fencing
    /// token to it, so that it refuses a delayed start.
    Stop {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Fencing token of the run.
        token: u64,
    },
    /// Throttles a task.
    Throttle {
        /// Worker that runs the task.
        worker: WorkerKey,
        /// Fencing token of the run.
        token: u64,
    },
    /// Lets the worker discard the end of a run.
    Acknowledge {
        /// Worker that reported the end.
        worker: WorkerKey,
        /// Fencing token of the run.
        token: u64,
    },
    /// Writes records in one transaction, conditional on the controller's epoch.
    Write(Vec<JobWrite>),
    /// Reports the outcome of a job to its caller.
    Finished {
        /// Job that ended.
        job: JobKey,
        /// Outcome of the job.
        outcome: JobOutcome,
    },
}

#[derive(Debug)]
struct Team {
    name: Arc<str>,
    quota: Resources,
    /// Resources of all runs of the team.
    used: Resources,
    /// Resources of the runs on the team's own quota; never above the quota.
    own_used: Resources,
    /// Part of `own_used` that belongs to urgent runs.
    urgent_own_used: Resources,
    /// Runs that can move to borrowed quota when urgent jobs of the team need the team's own.
    movable_to_borrowed: BTreeSet<(Urgency, JobKey)>,
    nominated: Resources,
    /// Starving job for which the quota of the team is held. Only urgent jobs may use it meanwhile;
    /// otherwise a stream of small jobs would starve a large one.
    quota_held_for: Option<JobKey>,
    urgent: BTreeSet<(u64, JobKey)>,
    other: BTreeSet<(u64, JobKey)>,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    lifecycle: Lifecycle,
    /// Rank among the jobs of the team. It never changes, so later submissions cannot push the job
    /// back.
    rank_ms: u64,
    recorded: bool,
    /// Run whose end is acknowledged to its worker once the next record is written.
    acknowledge: Option<(WorkerKey, u64)>,
}

/// Assigns jobs to workers.
#[derive(Debug)]
pub struct Planner {
    epoch: u32,
    tokens_issued: u32,
    now: Millis,
    teams: SlotMap<TeamKey, Team>,
    workers: SlotMap<WorkerKey, Worker>,
    jobs: SlotMap<JobKey, Entry>,
    jobs_by_name: FastMap<Arc<str>, JobKey>,
    jobs_by_token: FastMap<u64, JobKey>,
    recently_ended_tokens: [FastSet<u64>; 2],
    pending_acknowledgements: FastSet<u64>,
    free_index: FitIndex,
    preemption_index: FitIndex,
    reclaim_index: FitIndex,
    worker_shapes: Vec<Resources>,
    total_quota: Resources,
    total_used: Resources,
    records: Records,
    actions: Vec<PlacementAction>,
    timers: BTreeSet<(Millis, JobKey)>,
    pending_stops: VecDeque<JobKey>,
    nominated_jobs: BTreeSet<JobKey>,
    held_workers: FastMap<JobKey, WorkerKey>,
    quarantined_workers: usize,
    recovery_end: Option<Millis>,
    checked_at: Millis,
    tokens_rotated_at: Millis,
}

impl Planner {
    /// Creates the planner of a holder of the controller lease. The epoch must be above those of
    /// all earlier holders; it forms the upper bits of the fencing tokens, which are thus above all
    /// earlier ones.
    #[must_use]
    pub fn new(epoch: u32, now: Millis) -> Self {
        Self {
            epoch,
            tokens_issued: 0,
            now,
            teams: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            jobs_by_name: FastMap::default(),
            jobs_by_token: FastMap::default(),
            recently_ended_tokens: [FastSet::default(), FastSet::default()],
            pending_acknowledgements: FastSet::default(),
            free_index: FitIndex::default(),
            preemption_index: FitIndex::default(),
            reclaim_index: FitIndex::default(),
            worker_shapes: Vec::new(),
            total_quota: Resources::default(),
            total_used: Resources::default(),
            records: Records::default(),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            pending_stops: VecDeque::new(),
            nominated_jobs: BTreeSet::new(),
            held_workers: FastMap::default(),
            quarantined_workers: 0,
            recovery_end: Some(now.after_ms(RECOVERY_MS)),
            checked_at: now,
            tokens_rotated_at: now,
        }
    }

    /// Adds a team.
    pub fn add_team(&mut self, name: Arc<str>, quota: Resources) -> TeamKey {
        self.total_quota = self.total_quota.plus(quota);
        self.teams.insert(Team {
            name,
            quota,
            used: Resources::default(),
            own_used: Resources::default(),
            urgent_own_used: Resources::default(),
            movable_to_borrowed: BTreeSet::new(),
            nominated: Resources::default(),
            quota_held_for: None,
            urgent: BTreeSet::new(),
            other: BTreeSet::new(),
        })
    }

    /// Adds a worker that the platform lists. It gets tasks only after its first report.
    pub fn add_worker(&mut self, name: Arc<str>, capacity: Resources) -> WorkerKey {
        if !self.worker_shapes.contains(&capacity) {
            self.worker_shapes.push(capacity);
        }
        self.workers.insert(Worker::new(name, capacity))
    }

    /// Accepts a job unless it can never run. The job is placed, and its caller may be answered,
    /// only once its record is written.
    ///
    /// # Errors
    ///
    /// Refuses a job whose name is taken, whose team is unknown, or whose size exceeds every worker
    /// or the quota of its team.
    pub fn submit(
        &mut self,
        name: Arc<str>,
        info: JobInfo,
        now: Millis,
    ) -> Result<JobKey, JobRefused> {
        self.now = self.now.max(now);
        if self.jobs_by_name.contains_key(&name) {
            return Err(JobRefused::Exists { name });
        }
        let Some(team) = self.teams.get(info.team) else {
            return Err(JobRefused::UnknownTeam { name });
        };
        if !info.declared.fits(team.quota) {
            let (team, quota) = (team.name.clone(), team.quota);
            return Err(JobRefused::ExceedsQuota { name, team, quota });
        }
        let declared = info.declared;
        if !self.worker_shapes.iter().any(|shape| declared.fits(*shape)) {
            return Err(JobRefused::FitsNoWorker { name, declared });
        }
        let job = self.insert(name, info, false);
        self.records.put(job, PlacementRecord::Accepted);
        Ok(job)
    }

    /// Restores a stored job after a change of controller. The worker in its record must have been
    /// added before.
    pub fn restore(&mut self, name: Arc<str>, info: JobInfo, record: PlacementRecord) -> JobKey {
        let job = self.insert(name, info, true);
        let waiting = Job::new(info, self.now);
        match record {
            PlacementRecord::Accepted => {}
            PlacementRecord::MayRun {
                worker,
                token,
                incarnation,
            } => {
                // The start is sent again with its old token; a worker that already runs it ignores
                // the repetition.
                let run = Run {
                    worker,
                    token,
                    incarnation,
                    borrowed: !self.is_within_quota(&waiting),
                    reserved: info.declared,
                    peak: Resources::default(),
                };
                let starting = Lifecycle::Starting(waiting.start(run, self.now, true));
                self.transition(job, starting);
                self.timers.insert((self.now, job));
            }
            PlacementRecord::Ended(outcome) => {
                let finished = Lifecycle::Finished(waiting.without_state().finish(outcome));
                self.transition(job, finished);
            }
        }
        job
    }

    fn insert(&mut self, name: Arc<str>, info: JobInfo, recorded: bool) -> JobKey {
        let rank_delay_ms = match info.urgency {
            Urgency::Low => LOW_RANK_DELAY_MS,
            Urgency::Normal | Urgency::Urgent => 0,
        };
        let waiting = Lifecycle::Waiting(Job::new(info, self.now));
        let job = self.jobs.insert(Entry {
            name: name.clone(),
            lifecycle: waiting,
            rank_ms: self.now.after_ms(rank_delay_ms).as_ms(),
            recorded,
            acknowledge: None,
        });
        self.jobs_by_name.insert(name, job);
        self.account(job, &waiting, true);
        job
    }

    /// Cancels a job. Running tasks are stopped a few per step, after the starts of that step.
    pub fn cancel(&mut self, job: JobKey, now: Millis) {
        self.now = self.now.max(now);
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        match entry.lifecycle {
            Lifecycle::Waiting(waiting) => {
                self.finish(job, waiting.without_state(), JobOutcome::Cancelled)
            }
            Lifecycle::Starting(starting) if !starting.state.sent => {
                self.finish(job, starting.without_state(), JobOutcome::Cancelled);
            }
            Lifecycle::Starting(_) | Lifecycle::Running(_) | Lifecycle::Stopping(_) => {
                self.pending_stops.push_back(job)
            }
            Lifecycle::Finished(_) => {}
        }
    }

    /// Confirms that the transaction of the last [`PlacementAction::Write`] was committed.
    pub fn write_succeeded(&mut self, now: Millis) {
        self.now = self.now.max(now);
        for (job, record) in self.records.complete() {
            self.record_written(job, record);
        }
    }

    /// Reports that the last transaction failed or that its reply was lost. Its records are written
    /// again.
    pub fn write_failed(&mut self) {
        self.records.retry();
    }

    fn record_written(&mut self, job: JobKey, record: PlacementRecord) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if let Some((worker, token)) = entry.acknowledge.take() {
            self.pending_acknowledgements.remove(&token);
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
        let lifecycle = entry.lifecycle;
        match (record, lifecycle) {
            (PlacementRecord::Accepted, Lifecycle::Waiting(_)) if !entry.recorded => {
                entry.recorded = true;
                self.account(job, &lifecycle, true);
            }
            (PlacementRecord::MayRun { token, .. }, Lifecycle::Starting(starting))
                if starting.state.run.token == token && !starting.state.sent =>
            {
                let run = starting.state.run;
                let sent = starting.mark_sent();
                self.transition(job, Lifecycle::Starting(sent));
                self.send_start(job, run);
            }
            (PlacementRecord::Ended(outcome), _) => {
                self.actions
                    .push(PlacementAction::Finished { job, outcome });
                if let Some(entry) = self.jobs.remove(job) {
                    self.jobs_by_name.remove(&entry.name);
                }
            }
            _ => {}
        }
    }

    /// The current state of a job; `None` once its outcome was stored and reported.
    #[must_use]
    pub fn job(&self, job: JobKey) -> Option<&Lifecycle> {
        self.jobs.get(job).map(|entry| &entry.lifecycle)
    }

    /// The job with a name.
    #[must_use]
    pub fn job_named(&self, name: &str) -> Option<JobKey> {
        self.jobs_by_name.get(name).copied()
    }

    /// The name of a worker.
    #[must_use]
    pub fn worker_name(&self, worker: WorkerKey) -> Option<&Arc<str>> {
        self.workers.get(worker).map(|worker| &worker.name)
    }

    /// The reserved resources and the capacity of a worker.
    #[must_use]
    pub fn reserved_and_capacity(&self, worker: WorkerKey) -> Option<(Resources, Resources)> {
        let worker = self.workers.get(worker)?;
        Some((worker.reserved, worker.capacity))
    }

    /// The health of a worker.
    #[must_use]
    pub fn health(&self, worker: WorkerKey) -> Option<Health> {
        self.workers.get(worker).map(|worker| worker.health)
    }

    /// The resources that a team uses of its own quota, and the quota. Runs on borrowed quota are
    /// not counted.
    #[must_use]
    pub fn own_quota_usage(&self, team: TeamKey) -> Option<(Resources, Resources)> {
        self.teams.get(team).map(|team| (team.own_used, team.quota))
    }

    /// Ends a job. The outcome is reported once its record is written.
    fn finish(&mut self, job: JobKey, stateless: Job<()>, outcome: JobOutcome) {
        self.transition(job, Lifecycle::Finished(stateless.finish(outcome)));
        self.records.put(job, PlacementRecord::Ended(outcome));
    }
}
