//! Runs the scheduler against a simulated store, platform, advisor and workers, in discrete time steps.

#![allow(dead_code, reason = "each test file uses only a part of the harness")]

mod address;
mod advisor;
mod worker;

use rosemaryscale_domain::job::{
    JobProgress, JobRecord, JobSpec, JobState, QueuePolicy, StepSpec, TaskName,
};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::locality::PlacementWait;
use rosemaryscale_domain::schedule::order::{
    Action, InstanceListing, InstanceOrderResult, InstanceReport, InstanceState, ListedRun,
    Listing, OrderResult, PollOrder, PollReception, PollResult, Refusal, RunEndKind, StartOrder,
    StopOrder, UnreadableRows, WorkerReport,
};
use rosemaryscale_domain::schedule::stop_reason::StopCause;
use rosemaryscale_domain::schedule::{
    Acceptance, Batch, FormerTerm, InstanceOrderRecord, RecordedWorker, ScheduleSettings,
    Scheduler, StoredJob, UnevenWork,
};
use rosemaryscale_domain::workspace::Caller;

pub(crate) use address::AddressAnswer;
pub(crate) use advisor::Advisor;
use worker::{SimulatedWorker, task_path};

const TICK_MS: u64 = 10;
pub(crate) const RUN_LEASE_MS: u64 = 5_000;
/// Longest lease that a worker gives to its runs.
pub(crate) const RUN_LEASE_MAX_MS: u64 = 10_000;
const LEADER_GRACE_MS: u64 = 9_000;
const STOP_GRACE_MS: u64 = 900;

/// Returns a step whose tasks use a quarter of a worker each.
pub(crate) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        processors_milli: 1_000,
        memory_mb: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

/// Returns a job of the default service `service`.
pub(crate) fn job(steps: Vec<StepSpec>, attempts_max: u32) -> JobRecord {
    JobRecord {
        queue: "queue".into(),
        policy: QueuePolicy {
            service: "service".into(),
            priority: 0,
            attempts_max,
            stretch: 1.6,
            objective_ms: 600,
            advice: None,
        },
        received_wall_ms: 0,
        workspace: None,
        spec: JobSpec {
            text: "text".into(),
            steps,
            repeat: None,
        },
    }
}

/// Contents of the simulated store.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) jobs: Vec<(Arc<str>, JobRecord)>,
    pub(crate) cancelled: FastSet<Arc<str>>,
    pub(crate) progress: FastMap<Arc<str>, JobProgress>,
    /// Jobs whose progress cannot be decoded by the next leader.
    pub(crate) unreadable: FastSet<Arc<str>>,
    pub(crate) workers: Vec<RecordedWorker>,
    /// Whether other workers may have runs of a former leader.
    pub(crate) unknown_workers: bool,
    pub(crate) released: bool,
    pub(crate) instance_orders: Vec<InstanceOrderRecord>,
}

impl Store {
    pub(crate) fn failures(&self, id: &str) -> usize {
        self.progress.get(id).map_or(0, |progress| {
            progress
                .tasks
                .iter()
                .map(|task| task.failed_runs.len())
                .sum()
        })
    }
}

/// The scheduler under test and its simulated environment.
pub(crate) struct SchedulerHarness {
    pub(crate) now: Millis,
    pub(crate) scheduler: Scheduler,
    pub(crate) store: Store,
    pub(crate) workers: Vec<SimulatedWorker>,
    pub(crate) worker_indices: FastMap<WorkerKey, usize>,
    pub(crate) term: u32,
    pub(crate) lose_stops: bool,
    /// Whether no write of a batch completes. The one in flight completes once this ends, under the same leader.
    pub(crate) stall_writes: bool,
    stalled_batch: Option<Batch>,
    pub(crate) lose_starts: bool,
    /// Whether workers refuse starts as unhealthy ones do.
    pub(crate) refuse_starts: bool,
    pub(crate) refuse_fencing_token: bool,
    /// Whether starts stay in transit until [`SchedulerHarness::deliver_starts`].
    pub(crate) hold_starts: bool,
    held_starts: Vec<(WorkerKey, StartOrder)>,
    /// Number of next starts that are lost: no response and no effect.
    pub(crate) lose_next_starts: usize,
    /// Number of next starts that take effect without a response.
    pub(crate) lose_next_start_answers: usize,
    /// Number of next polls that get no response.
    pub(crate) lose_next_polls: usize,
    /// Number of next polls whose link is closed before the response.
    pub(crate) close_next_polls: usize,
    /// Whether the next poll that acknowledges ends stays in transit until
    /// [`SchedulerHarness::deliver_delayed_poll`], without a response.
    pub(crate) delay_next_acknowledgement: bool,
    /// Which process may receive the polls that get no response.
    pub(crate) poll_reception: PollReception,
    /// Worker and cursor of that poll.
    delayed_poll: Option<(usize, u64)>,
    /// Whether answers to polls wait until [`SchedulerHarness::freeze_leader`] has ended.
    hold_answers: bool,
    held_answers: Vec<(WorkerKey, PollResult)>,
    /// Number of next orders to instances that are lost: no response and no effect.
    pub(crate) lose_next_orders: usize,
    /// Time, task and run number of each start order.
    pub(crate) starts: Vec<(Millis, String, u32)>,
    /// An address at which no worker answers, and whether it refuses connects.
    pub(crate) dead_address: Option<(Arc<str>, bool)>,
    /// Another such address, and how starts, stops and polls end there.
    pub(crate) address_without_worker: Option<(Arc<str>, AddressAnswer)>,
    /// Number of polls sent.
    pub(crate) polls: usize,
    pub(crate) pace_orders: Vec<(String, u32)>,
    /// Task and cause of each stop order.
    pub(crate) stop_causes: Vec<(String, StopCause)>,
    pub(crate) instances: Vec<InstanceReport>,
    /// Whether orders of maintenance are accepted without effect, as if it had been carried out before.
    pub(crate) maintained_before: bool,
    /// Whether moves are accepted without effect, as if they had been carried out and reverted before.
    pub(crate) moved_before: bool,
    /// Whether orders to instances complete; otherwise they stay in progress.
    pub(crate) complete_orders: bool,
    /// Orders to instances: name, and target pool of a move (`None` for maintenance).
    pub(crate) instance_orders: Vec<(Arc<str>, Option<Arc<str>>)>,
    /// Progress percentage and gauge that workers report for a task; 100 and 0 by default.
    pub(crate) progress_reports: FastMap<String, (u32, u64)>,
    /// Instances whose rows in the list cannot be read.
    pub(crate) unreadable_instances: FastSet<Arc<str>>,
    /// Tasks whose rows in the answers of workers cannot be read.
    pub(crate) unreadable_tasks: FastSet<String>,
    /// Number of ends that an answer of a worker holds at most.
    pub(crate) ends_per_answer: usize,
    /// Checkpoint that workers report for a running task; none by default.
    pub(crate) checkpoints: FastMap<String, Arc<str>>,
    /// Checkpoint of the last start order for a task.
    pub(crate) started_from: FastMap<String, Arc<str>>,
    pub(crate) concurrent_runs_max: FastMap<String, usize>,
    pub(crate) advisor: Advisor,
    settings: ScheduleSettings,
}

impl SchedulerHarness {
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_settings(workers, settings(1))
    }

    pub(crate) fn with_uneven_work(workers: usize, uneven_work: UnevenWork) -> Self {
        let settings = ScheduleSettings {
            uneven_work,
            ..settings(1)
        };
        Self::with_settings(workers, settings)
    }

    pub(crate) fn with_settings(workers: usize, settings: ScheduleSettings) -> Self {
        let now = Millis::from_ms(100_000);
        let mut harness = Self {
            now,
            scheduler: Scheduler::new(settings, FormerTerm::default(), now),
            store: Store::default(),
            workers: Vec::new(),
            worker_indices: FastMap::default(),
            term: 1,
            lose_stops: false,
            stall_writes: false,
            stalled_batch: None,
            lose_starts: false,
            refuse_starts: false,
            refuse_fencing_token: false,
            hold_starts: false,
            held_starts: Vec::new(),
            lose_next_starts: 0,
            lose_next_start_answers: 0,
            lose_next_polls: 0,
            close_next_polls: 0,
            delay_next_acknowledgement: false,
            poll_reception: PollReception::Unknown,
            delayed_poll: None,
            hold_answers: false,
            held_answers: Vec::new(),
            lose_next_orders: 0,
            starts: Vec::new(),
            dead_address: None,
            address_without_worker: None,
            polls: 0,
            pace_orders: Vec::new(),
            stop_causes: Vec::new(),
            instances: Vec::new(),
            maintained_before: false,
            moved_before: false,
            complete_orders: true,
            instance_orders: Vec::new(),
            progress_reports: FastMap::default(),
            unreadable_instances: FastSet::default(),
            unreadable_tasks: FastSet::default(),
            ends_per_answer: usize::MAX,
            checkpoints: FastMap::default(),
            started_from: FastMap::default(),
            concurrent_runs_max: FastMap::default(),
            advisor: Advisor::default(),
            settings,
        };
        for index in 0..workers {
            harness.add_worker(&format!("w{index}"), "service");
        }
        harness.run_for(100);
        harness
    }

    pub(crate) fn add_worker(&mut self, id: &str, service: &str) {
        let report = WorkerReport {
            id: id.into(),
            service: service.into(),
            address: format!("10.0.0.1:{}", 1_000 + self.workers.len()).into(),
            availability_zone: "zone".into(),
            labels: vec!["kind".into(), "rack".into()],
            capacity: Resources {
                processors_milli: 4_000,
                memory_mb: 4_000,
                accelerators: 0,
            },
            instance: format!("machine-{id}").into(),
            started_wall_ms: 1,
            draining: false,
        };
        self.scheduler.worker_listed(report.clone(), self.now);
        self.workers.push(SimulatedWorker {
            report,
            running: Vec::new(),
            ended: Vec::new(),
            all_ends: Vec::new(),
            sequence: 0,
            lease_end_ms: 0,
            clock_origin: Millis::ZERO,
            clock_percent: 100,
            partitioned: false,
            listening: true,
            closed: FastMap::default(),
        });
    }

    /// One worker for each named rack, and tasks that wait for a place by this policy.
    pub(crate) fn with_racks(racks: &[&str], placement_wait: PlacementWait) -> Self {
        let mut harness = Self::new(0);
        let settings = ScheduleSettings {
            placement_wait,
            ..settings(1)
        };
        harness.scheduler = Scheduler::new(settings, FormerTerm::default(), harness.now);
        for (index, rack) in racks.iter().enumerate() {
            harness.add_worker(&format!("w{index}"), "service");
            let report = &mut harness.workers[index].report;
            report.labels = vec!["kind".into(), (*rack).into()];
            harness.scheduler.worker_listed(report.clone(), harness.now);
        }
        harness.run_for(100);
        harness
    }

    pub(crate) fn submit(&mut self, id: &str, record: JobRecord) {
        self.submit_with(id, record, Acceptance::InTerm);
    }

    /// Delivers a job that was accepted before the term of the current leader.
    pub(crate) fn submit_before_term(&mut self, id: &str, record: JobRecord) {
        self.submit_with(id, record, Acceptance::BeforeTerm);
    }

    fn submit_with(&mut self, id: &str, mut record: JobRecord, acceptance: Acceptance) {
        record.received_wall_ms = self.now.as_ms();
        self.store.jobs.push((id.into(), record.clone()));
        self.scheduler
            .submit(id.into(), record, acceptance, self.now, self.now);
    }

    pub(crate) fn cancel(&mut self, id: &str) {
        self.store.cancelled.insert(id.into());
        self.scheduler
            .cancel(id, &Caller::default(), self.now, self.now);
    }

    pub(crate) fn partition(&mut self, worker: usize) {
        self.workers[worker].partitioned = true;
    }

    /// Crashes a worker: its runs end and it no longer responds.
    pub(crate) fn crash(&mut self, worker: usize) {
        self.workers[worker].partitioned = true;
        self.workers[worker].running.clear();
    }

    /// Delivers the starts in transit to whichever process listens now.
    pub(crate) fn deliver_starts(&mut self) {
        self.hold_starts = false;
        for (key, order) in std::mem::take(&mut self.held_starts) {
            self.execute(Action::Start(key, order));
        }
    }

    /// Stops the leader for a time, while the answers to its last polls wait for it.
    pub(crate) fn freeze_leader(&mut self, ms: u64) {
        self.hold_answers = true;
        self.run_for(100);
        self.hold_answers = false;
        self.now = self.now.after_ms(ms);
        for (key, answer) in std::mem::take(&mut self.held_answers) {
            self.scheduler.poll_ended(key, answer, self.now, self.now);
        }
    }

    /// Delivers the poll in transit to the process that the worker has now. Returns whether there was one.
    pub(crate) fn deliver_delayed_poll(&mut self) -> bool {
        let Some((index, cursor)) = self.delayed_poll.take() else {
            return false;
        };
        let ended = &mut self.workers[index].ended;
        ended.retain(|end| end.sequence > cursor);
        true
    }

    /// Restarts a worker under the same id, as a new incarnation.
    pub(crate) fn restart(&mut self, worker: usize) {
        self.restart_unlisted(worker);
        let report = self.workers[worker].report.clone();
        self.scheduler.worker_listed(report, self.now);
    }

    /// Restarts a worker under the same id before the platform lists its new incarnation.
    pub(crate) fn restart_unlisted(&mut self, worker: usize) {
        let restarted = &mut self.workers[worker];
        restarted.partitioned = false;
        restarted.listening = true;
        restarted.running.clear();
        restarted.ended.clear();
        restarted.closed.clear();
        restarted.sequence = 0;
        restarted.lease_end_ms = 0;
        restarted.clock_origin = self.now;
        restarted.report.started_wall_ms += 1;
    }

    /// Lets the leader store all that it knows and give no more orders, as at a planned stop.
    pub(crate) fn release(&mut self) {
        self.scheduler.release(self.now);
        if let Some(batch) = self.scheduler.take_batch(self.now) {
            self.write(&batch);
        }
        assert!(self.store.released, "no other batch is in flight");
    }

    /// Replaces the scheduler by one of a new leader, restored from the store.
    pub(crate) fn change_leader(&mut self) {
        let grace_ms = if self.store.released {
            0
        } else {
            self.settings.leader_grace_ms
        };
        self.start_leader(grace_ms);
    }

    /// Replaces the scheduler by one of the next process of the same daemon, so that the former one sends nothing more.
    pub(crate) fn change_leader_in_same_daemon(&mut self) {
        self.start_leader(0);
    }

    fn start_leader(&mut self, leader_grace_ms: u64) {
        self.term += 1;
        self.stalled_batch = None;
        self.worker_indices.clear();
        let recorded = self.store.workers.clone();
        let settings = ScheduleSettings {
            term: self.term,
            leader_grace_ms,
            ..self.settings
        };
        let former = FormerTerm {
            unknown_workers: self.store.unknown_workers,
            released: self.store.released,
            instance_orders: self.store.instance_orders.clone(),
            ..FormerTerm::with_workers(recorded)
        };
        self.scheduler = Scheduler::new(settings, former, self.now);
        for (id, record) in self.store.jobs.clone() {
            let is_progress_unreadable = self.store.unreadable.contains(&id);
            let progress = self.store.progress.get(&id).cloned();
            let state_only = |progress: JobProgress| JobProgress {
                state: progress.state,
                ..JobProgress::default()
            };
            let stored = StoredJob {
                progress: match is_progress_unreadable {
                    true => progress.map(state_only),
                    false => progress,
                },
                is_progress_unreadable,
                cancelled: self.store.cancelled.contains(&id),
                acceptance: Acceptance::BeforeTerm,
                id,
                record,
            };
            self.scheduler.restore(stored, self.now, self.now);
        }
        for worker in &self.workers {
            self.scheduler
                .worker_listed(worker.report.clone(), self.now);
        }
    }

    /// Reports all ends again, as if no acknowledgement had arrived.
    pub(crate) fn forget_acknowledgements(&mut self) {
        for worker in &mut self.workers {
            worker.ended = worker.all_ends.clone();
        }
    }

    pub(crate) fn state(&self, id: &str) -> JobState {
        self.store
            .progress
            .get(id)
            .map(|progress| progress.state)
            .unwrap_or_default()
    }

    pub(crate) fn running(&self) -> Vec<String> {
        let mut names: Vec<String> = self
            .workers
            .iter()
            .flat_map(|worker| worker.running.iter().map(|(task, _)| task_path(task)))
            .collect();
        names.sort();
        names
    }

    pub(crate) fn worker_running(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|worker| {
            worker
                .running
                .iter()
                .any(|(name, _)| task_path(name) == task)
        })
    }

    pub(crate) fn start_count(&self, task: &str) -> usize {
        self.starts
            .iter()
            .filter(|(_, name, _)| name == task)
            .count()
    }

    /// Returns the distinct run numbers of the start orders for a task.
    pub(crate) fn ordered_run_numbers(&self, task: &str) -> Vec<u32> {
        let starts = self.starts.iter().filter(|(_, name, _)| name == task);
        let mut numbers: Vec<u32> = starts.map(|(_, _, number)| *number).collect();
        numbers.dedup();
        numbers
    }

    pub(crate) fn concurrent_runs_max(&self, task: &str) -> usize {
        self.concurrent_runs_max.get(task).copied().unwrap_or(0)
    }

    pub(crate) fn end_all_runs(&mut self, kind: RunEndKind) {
        for task in self.running() {
            self.end_task(&task, kind);
        }
    }

    /// Ends all runs on one worker.
    pub(crate) fn end_runs_on_worker(&mut self, worker: usize, kind: RunEndKind) {
        self.workers[worker].end(|_, _| true, kind);
    }

    /// Ends one run as done.
    pub(crate) fn end_run(&mut self, worker: usize, task: &TaskName, number: u32) {
        let is_run = |name: &TaskName, at: u32| name == task && at == number;
        self.workers[worker].end(is_run, RunEndKind::Done);
    }

    /// Ends the active runs of one job as done.
    pub(crate) fn end_runs_of_job(&mut self, job: &str) {
        for worker in &mut self.workers {
            worker.end(|name, _| &*name.job == job, RunEndKind::Done);
        }
    }

    pub(crate) fn end_task(&mut self, task: &str, kind: RunEndKind) {
        for worker in &mut self.workers {
            worker.end(|name, _| task_path(name) == task, kind);
        }
    }

    /// Advances the simulation in steps of 10 ms.
    pub(crate) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now = self.now.after_ms(TICK_MS);
            for worker in &mut self.workers {
                if worker.lease_end_ms < worker.clock_ms(self.now) {
                    worker.end(|_, _| true, RunEndKind::Lapsed);
                }
            }
            for action in self.scheduler.advance(self.now, self.now) {
                self.execute(action);
            }
            let batch = self.scheduler.take_batch(self.now);
            self.stalled_batch = self.stalled_batch.take().or(batch);
            if !self.stall_writes
                && let Some(batch) = self.stalled_batch.take()
            {
                self.write(&batch);
            }
            self.record_concurrency();
        }
    }

    fn write(&mut self, batch: &Batch) {
        for job in &batch.jobs {
            self.store
                .progress
                .insert(Arc::clone(&job.id), job.progress.clone());
        }
        if let Some(workers) = &batch.workers {
            self.store.workers.clone_from(workers);
        }
        self.store.unknown_workers = batch.unknown_workers;
        self.store.released = batch.released;
        self.store
            .instance_orders
            .clone_from(&batch.instance_orders);
        self.scheduler.batch_written(batch, self.now);
    }

    fn record_concurrency(&mut self) {
        let mut counts: FastMap<String, usize> = FastMap::default();
        for name in self.running() {
            *counts.entry(name).or_default() += 1;
        }
        for (name, count) in counts {
            let maximum = self.concurrent_runs_max.entry(name).or_default();
            *maximum = (*maximum).max(count);
        }
        for worker in &self.workers {
            assert!(worker.running.len() <= 4, "a worker exceeds its capacity");
        }
    }

    fn worker_index(&mut self, key: WorkerKey) -> Option<usize> {
        self.worker_indices.get(&key).copied()
    }

    /// Carries out an action of the scheduler.
    pub(crate) fn execute(&mut self, action: Action) {
        match action {
            Action::Connect(key) => {
                let id = self
                    .scheduler
                    .worker(key)
                    .map(|report| Arc::clone(&report.id));
                let index = self
                    .workers
                    .iter()
                    .position(|worker| Some(&worker.report.id) == id.as_ref());
                if let Some(index) = index {
                    self.worker_indices.insert(key, index);
                }
            }
            Action::Disconnect(key) => {
                self.worker_indices.remove(&key);
            }
            Action::Start(key, order) if self.hold_starts => self.held_starts.push((key, order)),
            Action::Start(key, order) => {
                let result = self.start(key, &order);
                self.scheduler.started(key, order.run, result, self.now);
            }
            Action::Stop(key, order, cause) => {
                self.stop_causes.push((task_path(&order.task), cause));
                let result = self.stop(key, &order);
                self.scheduler.stopped(key, order.run, result, self.now);
            }
            Action::Advise(order) => {
                let result = self.advisor.answer(&order, self.now);
                self.scheduler.advised(result, self.now);
            }
            Action::ListInstances => {
                let mut reports = self.instances.clone();
                reports.retain(|report| !self.unreadable_instances.contains(&report.name));
                let listing = InstanceListing {
                    is_complete: self.unreadable_instances.is_empty(),
                    reports,
                };
                self.scheduler.instances_listed(Some(listing), self.now);
            }
            Action::Move(instance, pool) => self.order_instance(instance, Some(pool)),
            Action::Maintain(instance, _) => self.order_instance(instance, None),
            Action::Pace(_, order) => self
                .pace_orders
                .push((task_path(&order.task), order.percent)),
            Action::Poll(key, order) => {
                self.polls += 1;
                let result = self.poll_address(key, order);
                if self.hold_answers {
                    self.held_answers.push((key, result));
                    return;
                }
                self.scheduler.poll_ended(key, result, self.now, self.now);
            }
        }
    }

    /// Carries out an order to an instance at once; the instance comes back with a new worker.
    fn order_instance(&mut self, key: FleetInstanceKey, pool: Option<Arc<str>>) {
        let name = self.scheduler.instance_name(key).cloned();
        let Some(index) = self
            .instances
            .iter()
            .position(|report| Some(&report.name) == name.as_ref())
        else {
            return;
        };
        if self.lose_next_orders > 0 {
            self.lose_next_orders -= 1;
            let name = Arc::clone(&self.instances[index].name);
            self.instance_orders.push((name, pool));
            self.scheduler
                .instance_ordered(key, InstanceOrderResult::Unanswered, self.now);
            return;
        }
        let had_taken_effect = if pool.is_some() {
            self.moved_before
        } else {
            self.maintained_before
        };
        if had_taken_effect {
            let name = Arc::clone(&self.instances[index].name);
            self.instance_orders.push((name, pool));
            self.scheduler
                .instance_ordered(key, InstanceOrderResult::Accepted, self.now);
            return;
        }
        if !self.complete_orders {
            let name = Arc::clone(&self.instances[index].name);
            self.instance_orders.push((name, pool));
            return;
        }
        if let Some(id) = self.instances[index].worker.take() {
            for worker in self
                .workers
                .iter_mut()
                .filter(|worker| worker.report.id == id)
            {
                assert!(
                    worker.running.is_empty(),
                    "an order must not terminate runs on the instance"
                );
                worker.partitioned = true;
            }
            self.scheduler.worker_unlisted(&id);
        }
        if let Some(pool) = &pool {
            self.instances[index].pool = Arc::clone(pool);
        }
        let id: Arc<str> = format!("new{}", self.instance_orders.len()).into();
        let report = &mut self.instances[index];
        self.instance_orders.push((Arc::clone(&report.name), pool));
        let pool_now = Arc::clone(&report.pool);
        if &*pool_now != "spare" {
            report.worker = Some(Arc::clone(&id));
        }
        self.scheduler
            .instance_ordered(key, InstanceOrderResult::Accepted, self.now);
        if &*pool_now != "spare" {
            self.add_worker(&id, &pool_now);
        }
    }

    /// Adds an instance. Instances of the spare pool have no worker.
    pub(crate) fn add_instance(&mut self, name: &str, pool: &str, worker: Option<&str>) {
        self.instances.push(InstanceReport {
            name: name.into(),
            pool: pool.into(),
            state: InstanceState::Up,
            capacity: Resources {
                processors_milli: 4_000,
                memory_mb: 4_000,
                accelerators: 0,
            },
            worker: worker.map(Into::into),
        });
    }

    fn start(&mut self, key: WorkerKey, order: &StartOrder) -> OrderResult {
        self.starts
            .push((self.now, task_path(&order.task), order.number));
        if let Some(answer) = self.answer_without_worker(key) {
            return answer.to_order();
        }
        self.started_from
            .insert(task_path(&order.task), Arc::clone(&order.checkpoint));
        if self.refuse_fencing_token {
            return OrderResult::Refused(Refusal::Fenced);
        }
        let Some(index) = self
            .worker_index(key)
            .filter(|index| !self.workers[*index].partitioned)
        else {
            return OrderResult::Unanswered;
        };
        if self.lose_starts || self.lose_next_starts > 0 {
            self.lose_next_starts = self.lose_next_starts.saturating_sub(1);
            return OrderResult::Unanswered;
        }
        if self.refuse_starts {
            return OrderResult::Refused(Refusal::Unhealthy);
        }
        let worker = &mut self.workers[index];
        if !self.advisor.accepts(order, &worker.report.id, self.now) {
            return OrderResult::Refused(Refusal::Ticket);
        }
        if worker
            .closed
            .get(&task_path(&order.task))
            .is_some_and(|closed| *closed >= order.number)
        {
            return OrderResult::Refused(Refusal::OldRun);
        }
        let run = (order.task.clone(), order.number);
        if !worker.running.contains(&run) {
            worker.running.push(run);
        }
        worker.prolong_lease(order.deadline_ms, self.now);
        let clock_ms = worker.clock_ms(self.now);
        if self.lose_next_start_answers > 0 {
            self.lose_next_start_answers -= 1;
            return OrderResult::Unanswered;
        }
        OrderResult::Accepted { clock_ms }
    }

    fn stop(&mut self, key: WorkerKey, order: &StopOrder) -> OrderResult {
        if let Some(answer) = self.answer_without_worker(key) {
            return answer.to_order();
        }
        let reachable = self
            .worker_index(key)
            .filter(|index| !self.workers[*index].partitioned);
        let (Some(index), false) = (reachable, self.lose_stops) else {
            return OrderResult::Unanswered;
        };
        if !self.workers[index].listening {
            return OrderResult::NotListening;
        }
        let worker = &mut self.workers[index];
        worker.mark_closed(&task_path(&order.task), order.number);
        worker.end(
            |task, number| *task == order.task && number == order.number,
            RunEndKind::Stopped,
        );
        let clock_ms = worker.clock_ms(self.now);
        OrderResult::Accepted { clock_ms }
    }

    fn poll_address(&mut self, key: WorkerKey, order: PollOrder) -> PollResult {
        if let Some(answer) = self.answer_without_worker(key) {
            return answer.to_poll();
        }
        let address = self.scheduler.worker(key).map(|report| &report.address);
        match &self.dead_address {
            Some((dead, true)) if Some(dead) == address => PollResult::NotListening,
            Some((dead, false)) if Some(dead) == address => {
                PollResult::Unanswered(self.poll_reception)
            }
            _ => self.poll(key, order),
        }
    }

    fn poll(&mut self, key: WorkerKey, order: PollOrder) -> PollResult {
        if self.refuse_fencing_token {
            return PollResult::Refused(Refusal::Fenced);
        }
        if self.lose_next_polls > 0 {
            self.lose_next_polls -= 1;
            return PollResult::Unanswered(self.poll_reception);
        }
        if self.close_next_polls > 0 {
            self.close_next_polls -= 1;
            return PollResult::LinkClosed(PollReception::Unknown);
        }
        let Some(index) = self
            .worker_index(key)
            .filter(|index| !self.workers[*index].partitioned)
        else {
            return PollResult::Unanswered(self.poll_reception);
        };
        if !self.workers[index].listening {
            return PollResult::NotListening;
        }
        if self.delay_next_acknowledgement && order.acknowledged > 0 {
            self.delay_next_acknowledgement = false;
            self.delayed_poll = Some((index, order.acknowledged));
            return PollResult::Unanswered(self.poll_reception);
        }
        let worker = &mut self.workers[index];
        worker.ended.retain(|end| end.sequence > order.acknowledged);
        if let Some(deadline_ms) = order.deadline_ms {
            worker.prolong_lease(deadline_ms, self.now);
        }
        let running = worker
            .running
            .iter()
            .map(|(task, number)| {
                let (percent, gauge) = self
                    .progress_reports
                    .get(&task_path(task))
                    .copied()
                    .unwrap_or((100, 0));
                ListedRun {
                    task: task.clone(),
                    number: *number,
                    checkpoint: self
                        .checkpoints
                        .get(&task_path(task))
                        .cloned()
                        .unwrap_or_default(),
                    percent,
                    gauge,
                }
            })
            .collect();
        let mut ended = worker.ended.clone();
        ended.truncate(self.ends_per_answer);
        let listing = Listing {
            clock_ms: worker.clock_ms(self.now),
            started_wall_ms: worker.report.started_wall_ms,
            running,
            has_more_ends: ended.len() == self.ends_per_answer,
            ended,
        };
        self.read_rows(listing)
    }

    /// The answer without the rows that cannot be read.
    fn read_rows(&self, mut listing: Listing) -> PollResult {
        let is_readable = |task: &TaskName| !self.unreadable_tasks.contains(&task_path(task));
        let (runs, ends) = (listing.running.len(), listing.ended.len());
        let unreadable = listing.ended.iter().position(|end| !is_readable(&end.task));
        let last_before =
            |index: usize| listing.ended[..index].last().map_or(0, |end| end.sequence);
        let acknowledge_max = unreadable.map(last_before);
        listing.running.retain(|run| is_readable(&run.task));
        listing.ended.retain(|end| is_readable(&end.task));
        let rows = UnreadableRows {
            runs: (runs - listing.running.len()) as u32,
            ends: (ends - listing.ended.len()) as u32,
            acknowledge_max,
            reason: "malformed".into(),
        };
        if rows.runs + rows.ends == 0 {
            return PollResult::Listed(listing);
        }
        PollResult::ListedInPart(listing, rows)
    }
}

pub(crate) fn settings(term: u32) -> ScheduleSettings {
    ScheduleSettings {
        run_lease_ms: RUN_LEASE_MS,
        run_lease_max_ms: RUN_LEASE_MAX_MS,
        poll_wait_ms: 0,
        leader_grace_ms: LEADER_GRACE_MS,
        stop_grace_ms: STOP_GRACE_MS,
        term,
        uneven_work: UnevenWork::default(),
        placement_wait: PlacementWait::Off,
    }
}
