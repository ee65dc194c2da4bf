//! Which task runs on which worker, and what must be known before it may.
//!
//! The scheduler runs at one daemon, the holder. It applies what workers list, keeps their leases,
//! starts and stops runs, and says what must be written before an end may be acknowledged.

mod book;
mod fleet;
mod load;
mod observe;
pub mod order;
mod pace;
mod persist;
mod place;
mod run;
mod worker;

use crate::job::{JobProgress, JobRecord, JobState, QueuePolicy};
use crate::placement::Resources;
use crate::prelude::*;
use book::{Book, TaskStatus};
use fleet::Fleet;
pub use fleet::WaveRecord;
use load::LoadMeter;
use order::{Action, LookOrder, Note, OrderResult, Refusal, StopOrder, WorkerReport};
pub use persist::{Batch, JobWrite, RecordedWorker};
use run::PlacedRun;
use worker::Worker;

/// Runs of one task in the term of one holder: far more than a task of a day ever has.
const RUNS_PER_TERM: u32 = 1_000;
/// A stop that the former holder ordered is done and listed within this time after its workers are
/// fenced; planned stops of this one must not come on top.
const FORMER_STOPS_MS: u64 = 2_000;
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
    /// Number of this holder's term, from 1.
    pub term: u32,
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
}

/// A new holder's wait for the workers of the former one.
#[derive(Debug)]
struct Recovery {
    awaited: FastSet<WorkerKey>,
    until: Millis,
}

/// Counters for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Starts sent.
    pub starts: u64,
    /// Stops sent.
    pub stops: u64,
    /// Looks sent.
    pub looks: u64,
    /// Runs whose lease ended at a silent worker.
    pub lapses: u64,
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
    recovery: Option<Recovery>,
    /// Planned work ends no run before this time.
    planned_from: Millis,
    ready: Vec<TaskKey>,
    repeated: Vec<JobKey>,
    place_wanted: bool,
    actions: Vec<Action>,
    notes: Vec<Note>,
    batch_sequence: u64,
    batch_in_flight: bool,
    batch_due: Option<Millis>,
    counters: Counters,
    fenced: bool,
}

impl Scheduler {
    /// A scheduler that waits for the workers of the former holder.
    #[must_use]
    pub fn new(settings: ScheduleSettings, recorded: Vec<RecordedWorker>, now: Millis) -> Self {
        let mut scheduler = Self {
            settings,
            book: Book::default(),
            runs: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            workers_by_id: FastMap::default(),
            services: SlotMap::with_key(),
            services_by_name: FastMap::default(),
            fleet: Fleet::default(),
            recovery: None,
            planned_from: Millis::ZERO,
            ready: Vec::new(),
            repeated: Vec::new(),
            place_wanted: true,
            actions: Vec::new(),
            notes: Vec::new(),
            batch_sequence: 0,
            batch_in_flight: false,
            batch_due: Some(now),
            counters: Counters::default(),
            fenced: false,
        };
        let lease_end = scheduler.former_leases_end(now);
        let mut awaited = FastSet::default();
        for worker in recorded {
            let key = scheduler.insert_worker(worker.into_report(), lease_end);
            if let Some(worker) = scheduler.workers.get_mut(key) {
                worker.listed = false;
                worker.recorded = true;
            }
            awaited.insert(key);
        }
        scheduler.recovery = Some(Recovery {
            awaited,
            until: lease_end,
        });
        scheduler
    }

    fn former_leases_end(&self, now: Millis) -> Millis {
        now.after_ms(self.settings.holder_grace_ms)
            .after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS)
    }

    /// Adds a job that the store has.
    pub fn restore(&mut self, stored: StoredJob, now: Millis, wall: Millis) {
        let received = received_at(&stored.record, now, wall);
        let Some(key) = self.book.add(stored.id, stored.record, received) else {
            return;
        };
        let is_final = stored.progress.as_ref().is_some_and(|p| p.state.is_final());
        if !is_final && self.book.jobs[key].record.spec.repeat.is_none() {
            self.book.open_occurrence(key, true);
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

    /// Adds a job that was accepted while this daemon is the holder.
    pub fn submit(&mut self, id: Arc<str>, record: JobRecord, now: Millis, wall: Millis) {
        let received = received_at(&record, now, wall);
        let repeated = record.spec.repeat.is_some();
        let Some(key) = self.book.add(Arc::clone(&id), record, received) else {
            return;
        };
        if repeated {
            self.repeated.push(key);
            return;
        }
        self.note_load(key, now);
        // A former holder hears of the job too, and may start it until its workers are fenced.
        let listed = self.is_listed_unknown(&id);
        self.book
            .open_occurrence(key, self.recovery.is_some() || listed);
        if listed {
            self.adopt_unknown(&id, now);
        }
        if listed && self.recovery.is_none() {
            self.release_unaccounted();
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
                job.policy = policy.clone();
            }
        }
        self.place_wanted = true;
    }

    /// Takes a worker from the platform's list.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Millis) {
        let Some(key) = self.workers_by_id.get(&report.id).copied() else {
            let lease_end = now.after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS);
            self.insert_worker(report, lease_end);
            self.want_batch(now);
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.listed = true;
        let before = worker.report.started_wall_ms;
        let other_life =
            before != 0 && report.started_wall_ms != 0 && before != report.started_wall_ms;
        // An entry that is older than what the worker has said of itself changes nothing.
        if other_life && report.started_wall_ms < before {
            return;
        }
        let moved = worker.report.service != report.service;
        let readdressed = worker.report.address != report.address;
        let report = WorkerReport {
            started_wall_ms: report.started_wall_ms.max(before),
            ..report
        };
        worker.report = report.clone();
        if other_life {
            self.end_life(key, now);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.begin_life(report);
            }
        }
        if moved {
            self.join_service(key);
        }
        if readdressed || other_life {
            self.actions.push(Action::Disconnect(key));
            self.actions.push(Action::Connect(key));
        }
        self.place_wanted = true;
    }

    /// Takes a worker off that the platform no longer lists.
    pub fn worker_unlisted(&mut self, id: &str) {
        if let Some(worker) = self
            .workers_by_id
            .get(id)
            .and_then(|key| self.workers.get_mut(*key))
        {
            worker.listed = false;
        }
    }

    /// Takes workers off that a whole listing lacks.
    pub fn workers_listed(&mut self, listed: &FastSet<Arc<str>>) {
        for worker in self.workers.values_mut() {
            worker.listed &= listed.contains(&worker.report.id);
        }
    }

    fn insert_worker(&mut self, report: WorkerReport, lease_end: Millis) -> WorkerKey {
        let id = Arc::clone(&report.id);
        let key = self.workers.insert(Worker::new(report, lease_end));
        self.workers_by_id.insert(id, key);
        self.join_service(key);
        self.actions.push(Action::Connect(key));
        key
    }

    fn join_service(&mut self, key: WorkerKey) {
        for service in self.services.values_mut() {
            service.workers.retain(|worker| *worker != key);
        }
        let Some(name) = self
            .workers
            .get(key)
            .map(|worker| Arc::clone(&worker.report.service))
        else {
            return;
        };
        let service = self.service_key(&name);
        self.services[service].workers.push(key);
    }

    fn service_key(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: Arc::clone(name),
            workers: Vec::new(),
            load: LoadMeter::default(),
        });
        self.services_by_name.insert(Arc::clone(name), key);
        key
    }

    /// What a worker's link needs to know.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(|worker| &worker.report)
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

    /// Counters since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether a new holder still waits for workers of the former one.
    #[must_use]
    pub const fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Applies how a start ended.
    pub fn started(&mut self, worker: WorkerKey, run: RunKey, result: OrderResult, now: Millis) {
        if !self.runs.contains_key(run) {
            return;
        }
        match result {
            OrderResult::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.saw_clock(clock_ms, now);
                }
                if let Some(run) = self.runs.get_mut(run) {
                    run.confirm(now);
                }
            }
            OrderResult::Refused(Refusal::OtherLife) | OrderResult::NotListening => {
                self.end_life(worker, now);
            }
            OrderResult::Refused(refusal) => {
                self.fenced |= refusal == Refusal::Fenced;
                self.pause_worker(worker, refusal, now);
                self.drop_run(run, now);
            }
            OrderResult::NotSent => self.drop_run(run, now),
            OrderResult::Unanswered => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause(now);
                }
                self.stop_run(run, now);
            }
        }
    }

    /// Applies how a stop ended.
    pub fn stopped(
        &mut self,
        worker: WorkerKey,
        run: Option<RunKey>,
        result: OrderResult,
        now: Millis,
    ) {
        if let OrderResult::Refused(Refusal::OtherLife) | OrderResult::NotListening = result {
            self.end_life(worker, now);
            return;
        }
        self.fenced |= result == OrderResult::Refused(Refusal::Fenced);
        let Some(run) = run.and_then(|run| self.runs.get_mut(run)) else {
            return;
        };
        run.stop_in_flight = false;
        match result {
            OrderResult::Accepted { .. } => {
                run.stop_accepted_at = Some(now);
                run.stop_again_at = Millis::MAX;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_look = worker.next_look.min(now);
                }
            }
            _ => run.stop_again_at = now.after_ms(STOP_AGAIN_MS),
        }
    }

    fn pause_worker(&mut self, key: WorkerKey, refusal: Refusal, now: Millis) {
        if let Some(worker) = self.workers.get_mut(key)
            && matches!(
                refusal,
                Refusal::Unhealthy | Refusal::NoRoom | Refusal::Malformed
            )
        {
            worker.pause(now);
        }
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

    fn check_recovery(&mut self, now: Millis) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let workers = &self.workers;
        recovery.awaited.retain(|key| {
            let worker = workers.get(*key);
            worker.is_some_and(|worker| !worker.known || !worker.unknown_runs.is_empty())
        });
        if !recovery.awaited.is_empty() && now < recovery.until {
            return;
        }
        self.recovery = None;
        self.planned_from = now.after_ms(FORMER_STOPS_MS);
        self.release_unaccounted();
    }

    /// Lets tasks start of which no run of a former holder can exist any more.
    fn release_unaccounted(&mut self) {
        let unaccounted: Vec<TaskKey> = self
            .book
            .tasks
            .iter()
            .filter(|(_, task)| task.status == TaskStatus::Unaccounted)
            .map(|(key, _)| key)
            .collect();
        for key in unaccounted {
            self.release_task(key);
        }
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
                self.queue_ready(*key);
            }
            false
        });
        self.repeated = repeated;
    }

    /// Frees the runs of silent workers whose lease has ended, and forgets workers that are gone.
    fn check_workers(&mut self, now: Millis) {
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.silent && worker.lease_end < now && worker.known)
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.counters.lapses += self.workers[key].runs.len() as u64;
            self.end_life(key, now);
        }
        let gone: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                !worker.listed && worker.runs.is_empty() && (worker.known || worker.lease_end < now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.forget_worker(key, now);
        }
    }

    fn forget_worker(&mut self, key: WorkerKey, now: Millis) {
        for service in self.services.values_mut() {
            service.workers.retain(|worker| *worker != key);
        }
        if let Some(worker) = self.workers.remove(key) {
            self.workers_by_id.remove(&worker.report.id);
        }
        self.actions.push(Action::Disconnect(key));
        self.want_batch(now.after_ms(LAZY_BATCH_MS));
    }

    fn repeat_stops(&mut self, now: Millis) {
        let due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_stopping() && !run.stop_in_flight && run.stop_again_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.send_stop(key);
        }
    }

    fn look(&mut self, now: Millis) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let idle = worker.runs.is_empty() && worker.unknown_runs.is_empty();
            let untold = worker.told < worker.acknowledged;
            let wanted = !worker.known || !idle || untold;
            if worker.looking || !wanted || worker.next_look > now {
                continue;
            }
            let waits = worker.known && !worker.silent && !idle;
            let deadline_ms = match worker.clock_at(now) {
                Some(clock) if worker.known && !worker.silent => {
                    let end = now.after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS);
                    worker.lease_end = worker.lease_end.max(end);
                    Some(clock + self.settings.run_lease_ms)
                }
                _ => None,
            };
            worker.looking = true;
            worker.look_sent_at = now;
            worker.told = worker.acknowledged;
            self.counters.looks += 1;
            self.actions.push(Action::Look(
                key,
                LookOrder {
                    deadline_ms,
                    acknowledged: worker.acknowledged,
                    wait_ms: if waits { self.settings.look_wait_ms } else { 0 },
                },
            ));
        }
    }

    fn queue_ready(&mut self, key: JobKey) {
        let Some(job) = self.book.jobs.get(key) else {
            return;
        };
        let tasks = job.occurrences.iter().flatten().flatten().copied();
        let ready = tasks.filter(|task| {
            self.book
                .tasks
                .get(*task)
                .is_some_and(|task| task.status == TaskStatus::Ready)
        });
        self.ready.extend(ready);
        self.place_wanted = true;
    }

    /// Gives a task without a run its status, and queues it if it can start.
    fn release_task(&mut self, key: TaskKey) {
        let status = self.book.idle_status(key);
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
        self.want_batch(now.after_ms(FINAL_BATCH_MS));
    }

    fn stop_run(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        run.stop(now);
        self.send_stop(key);
    }

    fn send_stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(task) = self.book.name(run.facts().task) else {
            return;
        };
        run.stop_in_flight = true;
        self.counters.stops += 1;
        let order = StopOrder {
            run: Some(key),
            task,
            number: run.facts().number,
        };
        self.actions.push(Action::Stop(run.facts().worker, order));
    }

    /// Takes a run out that is certainly over, and releases its task.
    fn drop_run(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let facts = *run.facts();
        if let Some(worker) = self.workers.get_mut(facts.worker) {
            worker.runs.retain(|run| *run != key);
            worker.used = worker.used.minus(facts.need);
        }
        self.place_wanted = true;
        let long_running = self
            .book
            .step_of(facts.task)
            .is_some_and(|step| step.long_running);
        let Some(task) = self.book.tasks.get_mut(facts.task) else {
            return;
        };
        if task.status != TaskStatus::Placed(key) {
            return;
        }
        if long_running {
            task.not_before = now.after_ms(RESTART_MS);
            task.away_since = task.away_since.or(Some(now));
        }
        self.release_task(facts.task);
    }

    /// Ends everything that a life of a worker ran.
    fn end_life(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.known {
            self.notes.push(Note::WorkerLost {
                worker: Arc::clone(&worker.report.id),
                runs: worker.runs.len(),
                silent: worker.silent,
            });
        }
        worker.known = false;
        worker.lease_end = now;
        worker.unknown_runs.clear();
        worker.unknown_since = None;
        worker.next_look = now.after_ms(SILENT_LOOK_MS);
        for run in worker.runs.clone() {
            self.drop_run(run, now);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.awaited.remove(&key);
        }
    }

    fn want_batch(&mut self, at: Millis) {
        self.batch_due = Some(self.batch_due.map_or(at, |due| due.min(at)));
    }

    /// Use of each pool, for reports.
    pub fn pool_uses(&self) -> impl Iterator<Item = PoolUse> {
        self.services.iter().map(|(key, service)| {
            let workers = service
                .workers
                .iter()
                .filter_map(|key| self.workers.get(*key));
            let known: Vec<&Worker> = workers
                .filter(|worker| worker.listed && worker.known)
                .collect();
            let sum = |part: fn(&Worker) -> Resources| {
                known
                    .iter()
                    .map(|worker| part(worker))
                    .fold(Resources::default(), Resources::plus)
            };
            let waiting = self
                .ready
                .iter()
                .filter(|task| self.service_of(**task) == Some(key));
            PoolUse {
                service: Arc::clone(&service.name),
                workers: known.len(),
                capacity: sum(|worker| worker.report.capacity),
                used: sum(|worker| worker.used),
                tasks_waiting: waiting.count(),
            }
        })
    }

    fn service_of(&self, task: TaskKey) -> Option<ServiceKey> {
        let job = self.book.jobs.get(self.book.tasks.get(task)?.job)?;
        self.services_by_name.get(&job.policy.service).copied()
    }
}

/// When a job was received, on this process's clock.
fn received_at(record: &JobRecord, now: Millis, wall: Millis) -> Millis {
    let age_ms = wall.ms_since(Millis::from_ms(record.received_wall_ms));
    Millis::from_ms(now.as_ms().saturating_sub(age_ms))
}
