//! A store and workers small enough to script, around the scheduler.

#![allow(dead_code, reason = "each test file uses a part")]

mod advisor;
mod process;

use rosemaryscale_domain::job::{JobProgress, JobRecord, JobSpec, JobState, QueuePolicy, StepSpec};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{
    Action, ListedRun, Listing, LookOrder, LookResult, MachineReport, MachineResult, MachineState,
    OrderResult, Refusal, RunEndKind, StartOrder, StopOrder, WorkerReport,
};
use rosemaryscale_domain::schedule::{
    Acceptance, Batch, FormerTerm, RecordedWorker, ScheduleSettings, Scheduler, StoredJob,
};

pub(crate) use advisor::Advisor;
use process::{WorkerProcess, text};

const STEP_MS: u64 = 10;
const RUN_LEASE_MS: u64 = 5_000;
const HOLDER_GRACE_MS: u64 = 9_000;
const STOP_GRACE_MS: u64 = 900;

/// A step of tasks that take a quarter of a worker each.
pub(crate) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        processors_milli: 1_000,
        memory_mb: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

/// A job of the service that all workers have.
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
        spec: JobSpec {
            text: "text".into(),
            steps,
            repeat: None,
        },
    }
}

/// What the store has.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) jobs: Vec<(Arc<str>, JobRecord)>,
    pub(crate) cancelled: FastSet<Arc<str>>,
    pub(crate) progress: FastMap<Arc<str>, JobProgress>,
    pub(crate) workers: Vec<RecordedWorker>,
    pub(crate) released: bool,
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

/// The scheduler, the store and the workers.
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) scheduler: Scheduler,
    pub(crate) store: Store,
    pub(crate) workers: Vec<WorkerProcess>,
    pub(crate) keys: FastMap<WorkerKey, usize>,
    pub(crate) term: u32,
    pub(crate) hold_stops: bool,
    /// Whether batches stay under way.
    pub(crate) hold_writes: bool,
    pub(crate) lose_starts: bool,
    pub(crate) fence_refused: bool,
    /// Starts that get no answer and are not carried out.
    pub(crate) lose_next_starts: usize,
    /// Looks that get no answer.
    pub(crate) lose_next_looks: usize,
    /// Orders to instances that get no answer and are not carried out.
    pub(crate) lose_next_orders: usize,
    /// Time, task and run of each start.
    pub(crate) starts: Vec<(Millis, String, u32)>,
    pub(crate) paces: Vec<(String, u32)>,
    pub(crate) machines: Vec<MachineReport>,
    /// Whether orders to instances are carried out; otherwise they stay under way.
    pub(crate) answer_orders: bool,
    /// Orders to instances: name, and the pool of a move.
    pub(crate) machine_orders: Vec<(Arc<str>, Option<Arc<str>>)>,
    /// Percent and gauge that a worker reports of a task; 100 and 0 if none is set.
    pub(crate) rows: FastMap<String, (u32, u64)>,
    pub(crate) most_at_once: FastMap<String, usize>,
    pub(crate) advisor: Advisor,
}

impl World {
    pub(crate) fn new(workers: usize) -> Self {
        let mut world = Self {
            now: Millis::from_ms(100_000),
            scheduler: Scheduler::new(settings(1), FormerTerm::default(), Millis::from_ms(100_000)),
            store: Store::default(),
            workers: Vec::new(),
            keys: FastMap::default(),
            term: 1,
            hold_stops: false,
            hold_writes: false,
            lose_starts: false,
            fence_refused: false,
            lose_next_starts: 0,
            lose_next_looks: 0,
            lose_next_orders: 0,
            starts: Vec::new(),
            paces: Vec::new(),
            machines: Vec::new(),
            answer_orders: true,
            machine_orders: Vec::new(),
            rows: FastMap::default(),
            most_at_once: FastMap::default(),
            advisor: Advisor::default(),
        };
        for index in 0..workers {
            world.add_worker(&format!("w{index}"), "service");
        }
        world.run_for(100);
        world
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
            machine: format!("machine-{id}").into(),
            started_wall_ms: 1,
            draining: false,
        };
        self.scheduler.worker_listed(report.clone(), self.now);
        self.workers.push(WorkerProcess {
            report,
            running: Vec::new(),
            ended: Vec::new(),
            all_ends: Vec::new(),
            sequence: 0,
            lease_end_ms: 0,
            cut: false,
            closed: FastMap::default(),
        });
    }

    pub(crate) fn submit(&mut self, id: &str, record: JobRecord) {
        self.hear_of(id, record, Acceptance::InTerm);
    }

    /// A job that was accepted before the term of the holder, which hears of it now.
    pub(crate) fn submit_before_term(&mut self, id: &str, record: JobRecord) {
        self.hear_of(id, record, Acceptance::BeforeTerm);
    }

    fn hear_of(&mut self, id: &str, mut record: JobRecord, acceptance: Acceptance) {
        record.received_wall_ms = self.now.as_ms();
        self.store.jobs.push((id.into(), record.clone()));
        self.scheduler
            .submit(id.into(), record, acceptance, self.now, self.now);
    }

    pub(crate) fn cancel(&mut self, id: &str) {
        self.store.cancelled.insert(id.into());
        self.scheduler.cancel(id, self.now, self.now);
    }

    pub(crate) fn cut(&mut self, worker: usize) {
        self.workers[worker].cut = true;
    }

    /// Ends a worker's process: what it runs is over, and it answers no more.
    pub(crate) fn crash(&mut self, worker: usize) {
        self.workers[worker].cut = true;
        self.workers[worker].running.clear();
    }

    /// Starts a worker again under its id.
    pub(crate) fn restart(&mut self, worker: usize) {
        let process = &mut self.workers[worker];
        process.cut = false;
        process.running.clear();
        process.ended.clear();
        process.closed.clear();
        process.sequence = 0;
        process.report.started_wall_ms += 1;
        self.scheduler
            .worker_listed(process.report.clone(), self.now);
    }

    /// Another daemon takes over, from what the store has.
    pub(crate) fn change_holder(&mut self) {
        self.term += 1;
        self.keys.clear();
        let recorded = self.store.workers.clone();
        let mut settings = settings(self.term);
        if self.store.released {
            settings.holder_grace_ms = 0;
        }
        let former = FormerTerm::with_workers(recorded);
        self.scheduler = Scheduler::new(settings, former, self.now);
        for (id, record) in self.store.jobs.clone() {
            let stored = StoredJob {
                progress: self.store.progress.get(&id).cloned(),
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

    /// Lists all ends again, as if no acknowledgement had arrived.
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
            .flat_map(|worker| worker.running.iter().map(|(task, _)| text(task)))
            .collect();
        names.sort();
        names
    }

    pub(crate) fn worker_of(&self, task: &str) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| worker.running.iter().any(|(name, _)| text(name) == task))
    }

    pub(crate) fn starts_of(&self, task: &str) -> usize {
        self.starts
            .iter()
            .filter(|(_, name, _)| name == task)
            .count()
    }

    /// Numbers of the runs of a task that were ordered.
    pub(crate) fn run_numbers_of(&self, task: &str) -> Vec<u32> {
        let starts = self.starts.iter().filter(|(_, name, _)| name == task);
        let mut numbers: Vec<u32> = starts.map(|(_, _, number)| *number).collect();
        numbers.dedup();
        numbers
    }

    pub(crate) fn runs_at_once_max(&self, task: &str) -> usize {
        self.most_at_once.get(task).copied().unwrap_or(0)
    }

    pub(crate) fn end_all(&mut self, kind: RunEndKind) {
        for task in self.running() {
            self.end_one(&task, kind);
        }
    }

    /// Ends everything on one worker.
    pub(crate) fn end_on(&mut self, worker: usize, kind: RunEndKind) {
        self.workers[worker].end(|_, _| true, kind);
    }

    pub(crate) fn end_one(&mut self, task: &str, kind: RunEndKind) {
        for worker in &mut self.workers {
            worker.end(|name, _| text(name) == task, kind);
        }
    }

    /// Runs the world in steps of 10 ms.
    pub(crate) fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.after_ms(STEP_MS);
            for worker in &mut self.workers {
                if worker.lease_end_ms < self.now.as_ms() {
                    worker.end(|_, _| true, RunEndKind::Lapsed);
                }
            }
            for action in self.scheduler.advance(self.now, self.now) {
                self.carry_out(action);
            }
            if let Some(batch) = self.scheduler.take_batch(self.now)
                && !self.hold_writes
            {
                self.write(&batch);
            }
            self.count_runs();
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
        self.store.released = batch.released;
        self.scheduler.batch_written(batch, self.now);
    }

    fn count_runs(&mut self) {
        let mut counts: FastMap<String, usize> = FastMap::default();
        for name in self.running() {
            *counts.entry(name).or_default() += 1;
        }
        for (name, count) in counts {
            let most = self.most_at_once.entry(name).or_default();
            *most = (*most).max(count);
        }
        for worker in &self.workers {
            assert!(worker.running.len() <= 4, "a worker is over its capacity");
        }
    }

    fn process(&mut self, key: WorkerKey) -> Option<usize> {
        self.keys.get(&key).copied()
    }

    fn carry_out(&mut self, action: Action) {
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
                    self.keys.insert(key, index);
                }
            }
            Action::Disconnect(key) => {
                self.keys.remove(&key);
            }
            Action::Start(key, order) => {
                let result = self.start(key, &order);
                self.scheduler.started(key, order.run, result, self.now);
            }
            Action::Stop(key, order) => {
                let result = self.stop(key, &order);
                self.scheduler.stopped(key, order.run, result, self.now);
            }
            Action::Advise(order) => {
                let result = self.advisor.answer(&order, self.now);
                self.scheduler.advised(result, self.now);
            }
            Action::ListMachines => {
                let reports = Some(self.machines.clone());
                self.scheduler.machines_listed(reports, self.now);
            }
            Action::Move(machine, pool) => self.order_machine(machine, Some(pool)),
            Action::Maintain(machine, _) => self.order_machine(machine, None),
            Action::Pace(_, order) => self.paces.push((text(&order.task), order.percent)),
            Action::Look(key, order) => {
                let result = self.look(key, order);
                self.scheduler.looked(key, result, self.now, self.now);
            }
        }
    }

    /// An instance that carries out its orders at once and comes back as another worker.
    fn order_machine(&mut self, key: MachineKey, pool: Option<Arc<str>>) {
        let name = self.scheduler.machine_name(key).cloned();
        let Some(index) = self
            .machines
            .iter()
            .position(|report| Some(&report.name) == name.as_ref())
        else {
            return;
        };
        if self.lose_next_orders > 0 {
            self.lose_next_orders -= 1;
            let name = Arc::clone(&self.machines[index].name);
            self.machine_orders.push((name, pool));
            self.scheduler
                .machine_ordered(key, MachineResult::Unanswered, self.now);
            return;
        }
        if !self.answer_orders {
            let name = Arc::clone(&self.machines[index].name);
            self.machine_orders.push((name, pool));
            return;
        }
        if let Some(id) = self.machines[index].worker.take() {
            for worker in self
                .workers
                .iter_mut()
                .filter(|worker| worker.report.id == id)
            {
                assert!(
                    worker.running.is_empty(),
                    "an order ends everything on the instance"
                );
                worker.cut = true;
            }
            self.scheduler.worker_unlisted(&id);
        }
        if let Some(pool) = &pool {
            self.machines[index].pool = Arc::clone(pool);
        }
        let id: Arc<str> = format!("new{}", self.machine_orders.len()).into();
        let report = &mut self.machines[index];
        self.machine_orders.push((Arc::clone(&report.name), pool));
        let pool_now = Arc::clone(&report.pool);
        if &*pool_now != "spare" {
            report.worker = Some(Arc::clone(&id));
        }
        self.scheduler
            .machine_ordered(key, MachineResult::Accepted, self.now);
        if &*pool_now != "spare" {
            self.add_worker(&id, &pool_now);
        }
    }

    /// Adds an instance; one of the spare pool has no worker.
    pub(crate) fn add_machine(&mut self, name: &str, pool: &str, worker: Option<&str>) {
        self.machines.push(MachineReport {
            name: name.into(),
            pool: pool.into(),
            state: MachineState::Up,
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
            .push((self.now, text(&order.task), order.number));
        if self.fence_refused {
            return OrderResult::Refused(Refusal::Fenced);
        }
        let Some(index) = self.process(key).filter(|index| !self.workers[*index].cut) else {
            return OrderResult::Unanswered;
        };
        if self.lose_starts || self.lose_next_starts > 0 {
            self.lose_next_starts = self.lose_next_starts.saturating_sub(1);
            return OrderResult::Unanswered;
        }
        let worker = &mut self.workers[index];
        if !self.advisor.accepts(order, &worker.report.id, self.now) {
            return OrderResult::Refused(Refusal::Ticket);
        }
        if worker
            .closed
            .get(&text(&order.task))
            .is_some_and(|closed| *closed >= order.number)
        {
            return OrderResult::Refused(Refusal::OldRun);
        }
        let run = (order.task.clone(), order.number);
        if !worker.running.contains(&run) {
            worker.running.push(run);
        }
        worker.lease_end_ms = worker.lease_end_ms.max(order.deadline_ms);
        self.accepted()
    }

    fn stop(&mut self, key: WorkerKey, order: &StopOrder) -> OrderResult {
        let reached = self.process(key).filter(|index| !self.workers[*index].cut);
        let (Some(index), false) = (reached, self.hold_stops) else {
            return OrderResult::Unanswered;
        };
        let worker = &mut self.workers[index];
        worker.close(&text(&order.task), order.number);
        worker.end(
            |task, number| *task == order.task && number == order.number,
            RunEndKind::Stopped,
        );
        self.accepted()
    }

    fn look(&mut self, key: WorkerKey, order: LookOrder) -> LookResult {
        if self.fence_refused {
            return LookResult::Refused(Refusal::Fenced);
        }
        if self.lose_next_looks > 0 {
            self.lose_next_looks -= 1;
            return LookResult::Unanswered;
        }
        let now_ms = self.now.as_ms();
        let Some(index) = self.process(key).filter(|index| !self.workers[*index].cut) else {
            return LookResult::Unanswered;
        };
        let worker = &mut self.workers[index];
        worker.ended.retain(|end| end.sequence > order.acknowledged);
        if let Some(deadline_ms) = order.deadline_ms {
            worker.lease_end_ms = worker.lease_end_ms.max(deadline_ms);
        }
        let running = worker
            .running
            .iter()
            .map(|(task, number)| {
                let (percent, gauge) = self.rows.get(&text(task)).copied().unwrap_or((100, 0));
                ListedRun {
                    task: task.clone(),
                    number: *number,
                    checkpoint: "".into(),
                    percent,
                    gauge,
                }
            })
            .collect();
        LookResult::Listed(Listing {
            clock_ms: now_ms,
            started_wall_ms: worker.report.started_wall_ms,
            running,
            ended: worker.ended.clone(),
        })
    }

    fn accepted(&self) -> OrderResult {
        OrderResult::Accepted {
            clock_ms: self.now.as_ms(),
        }
    }
}

fn settings(term: u32) -> ScheduleSettings {
    ScheduleSettings {
        run_lease_ms: RUN_LEASE_MS,
        look_wait_ms: 0,
        holder_grace_ms: HOLDER_GRACE_MS,
        stop_grace_ms: STOP_GRACE_MS,
        term,
    }
}
