//! Placement of jobs on workers: quotas by team, urgency, checkpoints and fencing.
//!
//! [`Planner`] takes submissions, cancellations, reports of workers and confirmations of writes.
//! [`Planner::step`] returns what to do. A run is over when its worker says so: by its end, by a
//! report whose fence has passed the run's token and that does not list it, or by a new incarnation.
//! A lease that lapsed proves nothing, so a job that must not be repeated waits for one of these.

mod accounting;
mod fit_index;
mod job;
mod planning;
mod records;
mod reports;
mod resources;
mod room;
mod worker;

use std::collections::{BTreeSet, VecDeque};

use snafu::Snafu;

use crate::prelude::*;

use fit_index::FitIndex;
use records::Records;
use worker::Worker;

pub use job::{
    FAILED_WORKERS_MAX, Finished, History, Job, JobInfo, JobOutcome, Life, Run, Running, Starting,
    StopReason, Stopping, Urgency, Waiting,
};
pub use records::{BATCH_RECORDS, JobRecord, JobWrite};
pub use reports::{Report, RunEnd, TaskReport};
pub use resources::Resources;
pub use worker::{Health, QUARANTINE_FAILURES, QUARANTINE_FIRST_MS, QUARANTINE_MAX_MS};

/// Urgent work of a team within its quota starts within this time.
pub const URGENT_START_MS: u64 = 6_700;
/// Waiting low work ranks like normal work that was submitted this much later.
pub const LOW_RANK_MS: u64 = 600_000;
/// A new controller places nothing before all workers have reported, or for this time.
pub const RECOVERY_MS: u64 = 30_000;

/// Why a job is refused at once.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JobRefused {
    /// It can never be placed.
    #[snafu(display(
        "job {name} fits no worker: it declares {declared:?}; declare less or split the job"
    ))]
    FitsNoWorker {
        /// The job.
        name: Arc<str>,
        /// What it declared.
        declared: Resources,
    },
    /// It can never be within its team's quota.
    #[snafu(display(
        "job {name} exceeds the quota of team {team}, {quota:?}: declare less or raise the quota"
    ))]
    ExceedsQuota {
        /// The job.
        name: Arc<str>,
        /// The team.
        team: Arc<str>,
        /// Its quota.
        quota: Resources,
    },
    /// Its team is not known.
    #[snafu(display("the team of job {name} is unknown: add it to the document"))]
    UnknownTeam {
        /// The job.
        name: Arc<str>,
    },
    /// Another job has its name.
    #[snafu(display("job {name} exists: choose another name, or ask for its state"))]
    Exists {
        /// The job.
        name: Arc<str>,
    },
}

/// What the task around the planner must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Give a job to a worker. Sent again with the same token until the worker reports it.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The job.
        job: JobKey,
        /// Fencing token.
        token: u64,
        /// Process of the worker that may accept it; a later process refuses it.
        incarnation: u64,
    },
    /// Checkpoint a task and end it.
    Checkpoint {
        /// The worker.
        worker: WorkerKey,
        /// Fencing token.
        token: u64,
    },
    /// Stop a task. A worker that does not know the token raises its fence to it.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// Fencing token.
        token: u64,
    },
    /// Slow a task down.
    Throttle {
        /// The worker.
        worker: WorkerKey,
        /// Fencing token.
        token: u64,
    },
    /// The worker may forget how a run ended.
    Acknowledge {
        /// The worker.
        worker: WorkerKey,
        /// Fencing token.
        token: u64,
    },
    /// Write records in one transaction that holds only under the controller's epoch.
    Write(Vec<JobWrite>),
    /// Tell the caller how its job ended.
    Finished {
        /// The job.
        job: JobKey,
        /// How.
        outcome: JobOutcome,
    },
}

#[derive(Debug)]
struct Team {
    name: Arc<str>,
    quota: Resources,
    /// Held by all its runs.
    used: Resources,
    /// Held by its runs that are not on borrowed quota; never above the quota.
    owned: Resources,
    /// The part of `owned` that urgent runs hold.
    urgent_owned: Resources,
    /// Runs that can change to borrowed quota when urgent work of the team needs the team's own.
    lendable: BTreeSet<(Urgency, JobKey)>,
    promised: Resources,
    /// Waits longest for the team's quota; no other job takes it, so that small ones do not pass a
    /// large one for ever.
    quota_held_for: Option<JobKey>,
    urgent: BTreeSet<(u64, JobKey)>,
    other: BTreeSet<(u64, JobKey)>,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    life: Life,
    /// Rank among the jobs of its team; fixed, so that a wait is never lengthened.
    order_ms: u64,
    recorded: bool,
    /// A run whose end may be forgotten once the next record is written.
    acknowledge: Option<(WorkerKey, u64)>,
}

/// Decides which job runs where.
#[derive(Debug)]
pub struct Planner {
    epoch: u32,
    tokens_given: u32,
    now: Millis,
    teams: SlotMap<TeamKey, Team>,
    workers: SlotMap<WorkerKey, Worker>,
    jobs: SlotMap<JobKey, Entry>,
    names: FastMap<Arc<str>, JobKey>,
    tokens: FastMap<u64, JobKey>,
    ended_tokens: [FastSet<u64>; 2],
    unacknowledged: FastSet<u64>,
    free: FitIndex,
    after_checkpoints: FitIndex,
    after_returns: FitIndex,
    shapes: Vec<Resources>,
    total_quota: Resources,
    total_used: Resources,
    records: Records,
    actions: Vec<PlacementAction>,
    timers: BTreeSet<(Millis, JobKey)>,
    stops: VecDeque<JobKey>,
    promised: BTreeSet<JobKey>,
    holds: FastMap<JobKey, WorkerKey>,
    quarantined: usize,
    recovering: Option<Millis>,
    checked_at: Millis,
    rotated_at: Millis,
}

impl Planner {
    /// A planner for the holder of the controller lease. Its epoch is above those of all earlier
    /// holders, and so are its tokens.
    #[must_use]
    pub fn new(epoch: u32, now: Millis) -> Self {
        Self {
            epoch,
            tokens_given: 0,
            now,
            teams: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            names: FastMap::default(),
            tokens: FastMap::default(),
            ended_tokens: [FastSet::default(), FastSet::default()],
            unacknowledged: FastSet::default(),
            free: FitIndex::default(),
            after_checkpoints: FitIndex::default(),
            after_returns: FitIndex::default(),
            shapes: Vec::new(),
            total_quota: Resources::default(),
            total_used: Resources::default(),
            records: Records::default(),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            stops: VecDeque::new(),
            promised: BTreeSet::new(),
            holds: FastMap::default(),
            quarantined: 0,
            recovering: Some(now.after_ms(RECOVERY_MS)),
            checked_at: now,
            rotated_at: now,
        }
    }

    /// Adds a team.
    pub fn add_team(&mut self, name: Arc<str>, quota: Resources) -> TeamKey {
        self.total_quota = self.total_quota.plus(quota);
        self.teams.insert(Team {
            name,
            quota,
            used: Resources::default(),
            owned: Resources::default(),
            urgent_owned: Resources::default(),
            lendable: BTreeSet::new(),
            promised: Resources::default(),
            quota_held_for: None,
            urgent: BTreeSet::new(),
            other: BTreeSet::new(),
        })
    }

    /// Adds a worker of the platform's list. It gets tasks after its first report.
    pub fn add_worker(&mut self, name: Arc<str>, capacity: Resources) -> WorkerKey {
        if !self.shapes.contains(&capacity) {
            self.shapes.push(capacity);
        }
        self.workers.insert(Worker::new(name, capacity))
    }

    /// Accepts a job, or says why it can never run. Its caller is answered once its record is
    /// written.
    ///
    /// # Errors
    ///
    /// A job that fits no worker or never its team's quota is refused.
    pub fn submit(
        &mut self,
        name: Arc<str>,
        info: JobInfo,
        now: Millis,
    ) -> Result<JobKey, JobRefused> {
        self.now = self.now.max(now);
        if self.names.contains_key(&name) {
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
        if !self.shapes.iter().any(|shape| declared.fits(*shape)) {
            return Err(JobRefused::FitsNoWorker { name, declared });
        }
        let job = self.insert(name, info, false);
        self.records.put(job, JobRecord::Accepted);
        Ok(job)
    }

    /// Takes over a stored job after a change of the controller. Its worker must have been added.
    pub fn restore(&mut self, name: Arc<str>, info: JobInfo, record: JobRecord) -> JobKey {
        let job = self.insert(name, info, true);
        let waiting = Job::new(info, self.now);
        match record {
            JobRecord::Accepted => {}
            JobRecord::MayRun {
                worker,
                token,
                incarnation,
            } => {
                // The start is sent again under its token: a worker that has it ignores that.
                let run = Run {
                    worker,
                    token,
                    incarnation,
                    borrowed: !self.is_within_quota(&waiting),
                    reserved: info.declared,
                    peak: Resources::default(),
                };
                let starting = Life::Starting(waiting.start(run, self.now, true));
                self.change(job, starting);
                self.timers.insert((self.now, job));
            }
            JobRecord::Ended(outcome) => {
                let finished = Life::Finished(waiting.with_none().finish(outcome));
                self.change(job, finished);
            }
        }
        job
    }

    fn insert(&mut self, name: Arc<str>, info: JobInfo, recorded: bool) -> JobKey {
        let rank_ms = match info.urgency {
            Urgency::Low => LOW_RANK_MS,
            Urgency::Normal | Urgency::Urgent => 0,
        };
        let waiting = Life::Waiting(Job::new(info, self.now));
        let job = self.jobs.insert(Entry {
            name: name.clone(),
            life: waiting,
            order_ms: self.now.after_ms(rank_ms).as_ms(),
            recorded,
            acknowledge: None,
        });
        self.names.insert(name, job);
        self.account(job, &waiting, true);
        job
    }

    /// Cancels a job. Tasks are stopped a few at a time, after the starts of the same step.
    pub fn cancel(&mut self, job: JobKey, now: Millis) {
        self.now = self.now.max(now);
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        match entry.life {
            Life::Waiting(waiting) => self.finish(job, waiting.with_none(), JobOutcome::Cancelled),
            Life::Starting(starting) if !starting.state.sent => {
                self.finish(job, starting.with_none(), JobOutcome::Cancelled);
            }
            Life::Starting(_) | Life::Running(_) | Life::Stopping(_) => self.stops.push_back(job),
            Life::Finished(_) => {}
        }
    }

    /// The transaction of the last [`PlacementAction::Write`] took effect.
    pub fn written(&mut self, now: Millis) {
        self.now = self.now.max(now);
        for (job, record) in self.records.written() {
            self.record_written(job, record);
        }
    }

    /// The last transaction failed, or its reply was lost; its records are written again.
    pub fn write_failed(&mut self) {
        self.records.retry();
    }

    fn record_written(&mut self, job: JobKey, record: JobRecord) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if let Some((worker, token)) = entry.acknowledge.take() {
            self.unacknowledged.remove(&token);
            let acknowledge = PlacementAction::Acknowledge { worker, token };
            self.actions.push(acknowledge);
        }
        let life = entry.life;
        match (record, life) {
            (JobRecord::Accepted, Life::Waiting(_)) if !entry.recorded => {
                entry.recorded = true;
                self.account(job, &life, true);
            }
            (JobRecord::MayRun { token, .. }, Life::Starting(starting))
                if starting.state.run.token == token && !starting.state.sent =>
            {
                let run = starting.state.run;
                let sent = starting.mark_sent();
                self.change(job, Life::Starting(sent));
                self.send_start(job, run);
            }
            (JobRecord::Ended(outcome), _) => {
                self.actions
                    .push(PlacementAction::Finished { job, outcome });
                if let Some(entry) = self.jobs.remove(job) {
                    self.names.remove(&entry.name);
                }
            }
            _ => {}
        }
    }

    /// State of a job; none once its end was stored and reported.
    #[must_use]
    pub fn job(&self, job: JobKey) -> Option<&Life> {
        self.jobs.get(job).map(|entry| &entry.life)
    }

    /// The job of a name.
    #[must_use]
    pub fn job_named(&self, name: &str) -> Option<JobKey> {
        self.names.get(name).copied()
    }

    /// Name of a worker.
    #[must_use]
    pub fn worker_name(&self, worker: WorkerKey) -> Option<&Arc<str>> {
        self.workers.get(worker).map(|worker| &worker.name)
    }

    /// What is set aside on a worker and what it has.
    #[must_use]
    pub fn reserved(&self, worker: WorkerKey) -> Option<(Resources, Resources)> {
        let worker = self.workers.get(worker)?;
        Some((worker.reserved, worker.capacity))
    }

    /// Whether a worker gets tasks.
    #[must_use]
    pub fn health(&self, worker: WorkerKey) -> Option<Health> {
        self.workers.get(worker).map(|worker| worker.health)
    }

    /// What a team's runs hold of its own quota, and the quota. Runs on borrowed quota come on top.
    #[must_use]
    pub fn team_use(&self, team: TeamKey) -> Option<(Resources, Resources)> {
        self.teams.get(team).map(|team| (team.owned, team.quota))
    }

    /// Ends a job; its caller is told once the record is written.
    fn finish(&mut self, job: JobKey, stateless: Job<()>, outcome: JobOutcome) {
        self.change(job, Life::Finished(stateless.finish(outcome)));
        self.records.put(job, JobRecord::Ended(outcome));
    }
}
