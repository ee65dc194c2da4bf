//! Which task runs on which worker, and what must be known before it may.
//!
//! The scheduler runs at one daemon, the holder. It applies what workers list, keeps their leases,
//! starts and stops runs, and says what must be written before an end may be acknowledged.

mod advice;
mod book;
mod fleet;
mod load;
mod observe;
pub mod order;
mod pace;
mod persist;
mod place;
mod recovery;
mod roster;
mod run;
mod runs;
mod worker;

use crate::job::{JobProgress, JobRecord, JobState, QueuePolicy};
use crate::placement::Resources;
use crate::prelude::*;
use advice::Advice;
use book::{Book, TaskStatus};
use fleet::Fleet;
pub use fleet::WaveRecord;
use load::LoadMeter;
use order::{Action, Note};
pub use persist::{Batch, JobWrite, RecordedWorker};
use recovery::Recovery;
use run::PlacedRun;
use worker::Worker;

/// Runs of one task in the term of one holder: far more than a task of a day ever has.
const RUNS_PER_TERM: u32 = 1_000;
/// A worker's clock may be 2% slow; the rest covers the age of the last reading of its clock.
const LEASE_MARGIN_MS: u64 = 500;
/// Pause before a worker that gave no answer is looked at again.
const SILENT_LOOK_MS: u64 = 250;
/// Pause between looks, so that several ends share one.
const LOOK_GAP_MS: u64 = 25;
/// Longest pause of looks while ends wait to be written.
const UNWRITTEN_LOOK_MS: u64 = 250;
/// Pause before an acknowledgement is sent for its own sake.
const ACKNOWLEDGE_MS: u64 = 500;
/// Pause before a stop without an answer is sent again.
const STOP_AGAIN_MS: u64 = 300;
/// Pause before a task that runs until cancelled is started again.
const RESTART_MS: u64 = 50;
/// A batch that only says that jobs have begun can wait for others.
const LAZY_BATCH_MS: u64 = 400;
/// Ends are written together for this long, unless a job is over.
const END_BATCH_MS: u64 = 60;
/// Ends that complete a job are written together for this long.
const FINAL_BATCH_MS: u64 = 15;

/// What the scheduler is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Length of the lease that an order gives to all that runs on a worker.
    pub run_lease_ms: u64,
    /// Longest wait of a look for an end.
    pub look_wait_ms: u64,
    /// Time for which a former holder may still give orders.
    pub holder_grace_ms: u64,
    /// Time that a worker takes to stop a run.
    pub stop_grace_ms: u64,
    /// Number of this holder's term, from 1.
    pub term: u32,
}

/// When a job was accepted, seen from a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// Before the holder's term: the former holder may have heard of it and may still start it.
    BeforeTerm,
    /// During the holder's term: no former holder starts it.
    InTerm,
}

/// What the former holder recorded, for a new one.
#[derive(Clone, Debug, Default)]
pub struct FormerTerm {
    /// Workers that may run something.
    pub workers: Vec<RecordedWorker>,
    /// Queues whose work has gone to more than one service.
    pub rerouted: Vec<Arc<str>>,
}

/// A job that the store has, for a new holder.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// Its id.
    pub id: Arc<str>,
    /// What was accepted.
    pub record: JobRecord,
    /// What has happened, if anything was written.
    pub progress: Option<JobProgress>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// When it was accepted.
    pub acceptance: Acceptance,
}

/// Use of a pool.
#[derive(Clone, Debug)]
pub struct PoolUse {
    /// Its service.
    pub service: Arc<str>,
    /// Workers that can be used.
    pub workers: usize,
    /// What they have.
    pub capacity: Resources,
    /// What runs take of it.
    pub used: Resources,
    /// Tasks that could start.
    pub tasks_waiting: usize,
}

/// A service.
#[derive(Debug)]
struct Service {
    name: Arc<str>,
    workers: Vec<WorkerKey>,
    load: LoadMeter,
}

/// Decides about all jobs and workers.
#[derive(Debug)]
pub struct Scheduler {
    settings: ScheduleSettings,
    book: Book,
    runs: SlotMap<RunKey, PlacedRun>,
    workers: SlotMap<WorkerKey, Worker>,
    workers_by_id: FastMap<Arc<str>, WorkerKey>,
    services: SlotMap<ServiceKey, Service>,
    services_by_name: FastMap<Arc<str>, ServiceKey>,
    fleet: Fleet,
    advice: Advice,
    recovery: Option<Recovery>,
    rerouted: FastSet<Arc<str>>,
    /// Until when looks are shorter, since answers were lost.
    lossy_until: Millis,
    /// Whether another daemon may be the holder by now.
    unproved: bool,
    /// Planned work ends no run before this time.
    planned_from: Millis,
    ready: Vec<TaskKey>,
    repeated: Vec<JobKey>,
    place_wanted: bool,
    actions: Vec<Action>,
    notes: Vec<Note>,
    /// Workers that the newest batch has recorded.
    written_workers: Option<Vec<RecordedWorker>>,
    batch_sequence: u64,
    batch_in_flight: bool,
    batch_due: Option<Millis>,
    fenced: bool,
    released: bool,
}

impl Scheduler {
    /// A scheduler that waits for the workers of the former holder.
    #[must_use]
    pub fn new(settings: ScheduleSettings, former: FormerTerm, now: Millis) -> Self {
        let mut scheduler = Self {
            settings,
            book: Book::default(),
            runs: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            workers_by_id: FastMap::default(),
            services: SlotMap::with_key(),
            services_by_name: FastMap::default(),
            fleet: Fleet::default(),
            advice: Advice::default(),
            recovery: None,
            rerouted: former.rerouted.into_iter().collect(),
            lossy_until: Millis::ZERO,
            unproved: false,
            planned_from: Millis::ZERO,
            ready: Vec::new(),
            repeated: Vec::new(),
            place_wanted: true,
            actions: Vec::new(),
            notes: Vec::new(),
            written_workers: None,
            batch_sequence: 0,
            batch_in_flight: false,
            batch_due: Some(now),
            fenced: false,
            released: false,
        };
        scheduler.begin_recovery(former.workers, now);
        scheduler
    }

    /// Adds a job that the store has.
    pub fn restore(&mut self, stored: StoredJob, now: Millis, wall: Millis) {
        let received = received_at(&stored.record, now, wall);
        let Some(key) = self
            .book
            .add(stored.id, stored.record, received, stored.acceptance)
        else {
            return;
        };
        let restored = stored.acceptance == Acceptance::BeforeTerm;
        let is_final = stored.progress.as_ref().is_some_and(|p| p.state.is_final());
        if !is_final && self.book.jobs[key].record.spec.repeat.is_none() {
            self.book.open_occurrence(key, restored);
            self.queue_ready(key);
        }
        if let Some(progress) = stored.progress {
            self.book.restore(key, &progress);
        }
        if self.book.jobs[key].record.spec.repeat.is_some() {
            self.repeated.push(key);
        }
        if stored.cancelled {
            self.finish(key, JobState::Cancelled, now, wall);
        }
    }

    /// Adds a job that this holder hears of.
    pub fn submit(
        &mut self,
        id: Arc<str>,
        record: JobRecord,
        acceptance: Acceptance,
        now: Millis,
        wall: Millis,
    ) {
        let received = received_at(&record, now, wall);
        let repeated = record.spec.repeat.is_some();
        let Some(key) = self.book.add(Arc::clone(&id), record, received, acceptance) else {
            return;
        };
        if repeated {
            self.repeated.push(key);
            return;
        }
        self.note_load(key, now);
        let listed = self.is_listed_unknown(&id);
        let unaccounted = self.recovery.is_some() && acceptance == Acceptance::BeforeTerm;
        self.book.open_occurrence(key, unaccounted || listed);
        if listed {
            self.adopt_unknown(&id, now);
        }
        if unaccounted {
            self.recheck_recovery();
        } else if listed {
            self.release_job(key);
        }
        self.queue_ready(key);
    }

    fn note_load(&mut self, key: JobKey, now: Millis) {
        let Some(job) = self.book.jobs.get(key) else {
            return;
        };
        let ending = job
            .record
            .spec
            .steps
            .iter()
            .filter(|step| !step.long_running);
        let work = ending
            .map(|step| load::times(step.need(), step.estimate_ms * u64::from(step.count)))
            .fold(Resources::default(), Resources::plus);
        let service = Arc::clone(&job.policy.service);
        let service = self.service_key(&service);
        self.services[service].load.add(work, now);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &str, now: Millis, wall: Millis) {
        if let Some(key) = self.book.by_id.get(id).copied() {
            self.finish(key, JobState::Cancelled, now, wall);
        }
    }

    /// Takes the policies of the newest configuration; removed queues keep theirs.
    pub fn configure(&mut self, policies: &FastMap<Arc<str>, QueuePolicy>) {
        for job in self.book.jobs.values_mut() {
            if let Some(policy) = policies.get(&job.record.queue) {
                if job.policy.service != policy.service {
                    self.rerouted.insert(Arc::clone(&job.record.queue));
                }
                job.policy = policy.clone();
            }
        }
        self.place_wanted = true;
    }

    /// Says whether the holder's key may have gone to another daemon, as far as this one knows.
    pub fn set_unproved(&mut self, unproved: bool) {
        self.place_wanted |= self.unproved && !unproved;
        self.unproved = unproved;
    }

    /// Whether a worker has refused this holder because of a higher fence number.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What the scheduler has come to believe since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Does what is due, and returns what the task around the scheduler must do.
    pub fn advance(&mut self, now: Millis, wall: Millis) -> Vec<Action> {
        self.check_recovery(now);
        self.open_due_occurrences(wall);
        self.check_workers(now);
        self.repeat_stops(now);
        if self.place_wanted {
            self.place_wanted = false;
            self.place(now);
        }
        self.advance_fleet(now);
        self.look(now);
        std::mem::take(&mut self.actions)
    }

    fn open_due_occurrences(&mut self, wall: Millis) {
        let mut repeated = std::mem::take(&mut self.repeated);
        repeated.retain(|key| {
            while let Some(due) = self
                .book
                .jobs
                .get(*key)
                .and_then(book::Job::next_due_wall_ms)
            {
                if due > wall.as_ms() {
                    return true;
                }
                let restored = self.recovery.is_some();
                self.book.open_occurrence(*key, restored);
                self.recheck_recovery();
                self.queue_ready(*key);
            }
            false
        });
        self.repeated = repeated;
    }

    pub(super) fn queue_ready(&mut self, key: JobKey) {
        let ready = self.book.tasks_with(key, TaskStatus::Ready);
        self.ready.extend(ready);
        self.place_wanted = true;
    }

    /// Gives a task without a run its status, and queues it if it can start.
    pub(super) fn release_task(&mut self, key: TaskKey) {
        let mut status = self.book.idle_status(key);
        if status == TaskStatus::Ready && self.may_former_start(key) {
            status = TaskStatus::Unaccounted;
        }
        if let Some(task) = self.book.tasks.get_mut(key) {
            task.status = status;
        }
        if status == TaskStatus::Ready {
            self.ready.push(key);
            self.place_wanted = true;
        }
    }

    /// Ends a job and stops its runs.
    fn finish(&mut self, key: JobKey, state: JobState, now: Millis, wall: Millis) {
        let Some(job) = self.book.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_wall_ms = wall.as_ms();
        job.dirty = true;
        let tasks: Vec<TaskKey> = job
            .occurrences
            .iter()
            .flatten()
            .flatten()
            .copied()
            .collect();
        for task in tasks {
            let Some(task) = self.book.tasks.get_mut(task) else {
                continue;
            };
            if let TaskStatus::Placed(run) = task.status {
                self.stop_run(run, now);
            } else {
                task.status = TaskStatus::Over;
            }
        }
        self.advice.forget_job(key);
        self.want_batch(now.after_ms(FINAL_BATCH_MS));
    }

    pub(super) fn want_batch(&mut self, at: Millis) {
        self.batch_due = Some(self.batch_due.map_or(at, |due| due.min(at)));
    }
}

/// When a job was received, on this process's clock.
fn received_at(record: &JobRecord, now: Millis, wall: Millis) -> Millis {
    let age_ms = wall.ms_since(Millis::from_ms(record.received_wall_ms));
    Millis::from_ms(now.as_ms().saturating_sub(age_ms))
}
