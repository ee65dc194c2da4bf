//! The simulated fleet: 970 workers, lagging reports, restarts, one bad worker.

use std::collections::VecDeque;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::placement::{
    JobInfo, JobOutcome, PlacementAction, Planner, Report, Resources, RunEnd,
};
use rosemaryscale_domain::prelude::*;

use crate::work::{Planned, RUN_MS, TEAMS};
use crate::worker::{EndedTask, Task, WorkerModel};

const WORKERS: usize = 970;
const ACCELERATED_WORKERS: usize = 350;
const STEP_MS: u64 = 100;
const REPORT_STEPS: u64 = 100;
const REPORT_LAG_MS: u64 = 10_000;
const RESTART_MS: u64 = 20_000;
/// 19 restarts a day, 24 times as often.
const RESTARTS: u64 = 19 * 24 * RUN_MS / 86_400_000;
const BAD_WORKER: usize = 5;

/// What the simulated fleet needs of a planner.
pub trait Scheduler {
    fn add_team(&mut self, name: Arc<str>, quota: Resources) -> TeamKey;
    fn add_worker(&mut self, name: Arc<str>, capacity: Resources) -> WorkerKey;
    fn submit(&mut self, name: Arc<str>, info: JobInfo, now: Millis) -> Option<JobKey>;
    fn cancel(&mut self, job: JobKey, now: Millis);
    fn report(&mut self, key: WorkerKey, report: &Report, now: Millis);
    fn started(&mut self, worker: WorkerKey, token: u64, now: Millis);
    fn ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis);
    fn written(&mut self, now: Millis);
    fn step(&mut self, now: Millis) -> Vec<PlacementAction>;
}

impl Scheduler for Planner {
    fn add_team(&mut self, name: Arc<str>, quota: Resources) -> TeamKey {
        Self::add_team(self, name, quota)
    }
    fn add_worker(&mut self, name: Arc<str>, capacity: Resources) -> WorkerKey {
        Self::add_worker(self, name, capacity)
    }
    fn submit(&mut self, name: Arc<str>, info: JobInfo, now: Millis) -> Option<JobKey> {
        Self::submit(self, name, info, now).ok()
    }
    fn cancel(&mut self, job: JobKey, now: Millis) {
        Self::cancel(self, job, now);
    }
    fn report(&mut self, key: WorkerKey, report: &Report, now: Millis) {
        Self::report(self, key, report, now);
    }
    fn started(&mut self, worker: WorkerKey, token: u64, now: Millis) {
        Self::started(self, worker, token, now);
    }
    fn ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis) {
        Self::ended(self, worker, token, end, now);
    }
    fn written(&mut self, now: Millis) {
        Self::written(self, now);
    }
    fn step(&mut self, now: Millis) -> Vec<PlacementAction> {
        Self::step(self, now)
    }
}

/// What the run measured.
#[derive(Default)]
pub struct Result {
    /// Time from submission to the first start by job; none if it never started.
    pub waits_ms: Vec<Option<u64>>,
    pub submitted: usize,
    pub done: usize,
    pub cancelled: usize,
    pub stopped_as_failing: usize,
    pub unknown: usize,
    pub starts: usize,
    pub starts_on_bad_worker: usize,
    pub starts_of_faulty: usize,
    pub worker_restarts: usize,
    pub checkpoints: usize,
    pub checkpoint_ms: u64,
    pub lost_run_ms: u64,
    pub useful_run_ms: u64,
    pub out_of_memory: usize,
    pub writes: usize,
    pub records: usize,
    pub most_stops_in_step: usize,
    pub processor_use: f64,
    pub accelerator_use: f64,
    pub decisions: usize,
    pub step_us: Vec<u64>,
    pub planner_ms: u64,
}

pub struct Model<'a, S> {
    scheduler: S,
    planned: &'a [Planned],
    tasks: Vec<Option<Task>>,
    keys: Vec<Option<JobKey>>,
    jobs: FastMap<JobKey, usize>,
    names: FastMap<Arc<str>, usize>,
    workers: Vec<WorkerModel>,
    worker_keys: Vec<WorkerKey>,
    indexes: FastMap<WorkerKey, usize>,
    reports: VecDeque<(Millis, usize, Report)>,
    written: bool,
    random: StdRng,
    samples: u32,
    busy: std::time::Duration,
    result: Result,
}

fn capacity(index: usize) -> Resources {
    let accelerated = index < ACCELERATED_WORKERS;
    Resources {
        processors_milli: if accelerated { 64_000 } else { 32_000 },
        memory_mb: if accelerated { 256_000 } else { 128_000 },
        accelerators: if accelerated { 4 } else { 0 },
    }
}

pub fn total() -> Resources {
    (0..WORKERS)
        .map(capacity)
        .fold(Resources::default(), Resources::plus)
}

impl<'a, S: Scheduler> Model<'a, S> {
    pub fn new(scheduler: S, planned: &'a [Planned], seed: u64) -> Self {
        let mut workers: Vec<_> = (0..WORKERS)
            .map(|index| WorkerModel::new(capacity(index)))
            .collect();
        workers[BAD_WORKER].bad = true;
        let result = Result {
            waits_ms: vec![None; planned.len()],
            ..Result::default()
        };
        Self {
            scheduler,
            planned,
            tasks: vec![None; planned.len()],
            keys: vec![None; planned.len()],
            jobs: FastMap::default(),
            names: FastMap::default(),
            workers,
            worker_keys: Vec::new(),
            indexes: FastMap::default(),
            reports: VecDeque::new(),
            written: false,
            random: StdRng::seed_from_u64(seed),
            samples: 0,
            busy: std::time::Duration::ZERO,
            result,
        }
    }

    pub fn run(mut self) -> Result {
        let total = total();
        let quota = |whole: u64| whole / TEAMS as u64;
        let quota = Resources {
            processors_milli: quota(total.processors_milli),
            memory_mb: quota(total.memory_mb),
            accelerators: quota(total.accelerators),
        };
        let teams: Vec<TeamKey> = (0..TEAMS)
            .map(|team| {
                self.scheduler
                    .add_team(format!("team-{team}").into(), quota)
            })
            .collect();
        for index in 0..WORKERS {
            let name = format!("worker-{index}").into();
            let key = self.scheduler.add_worker(name, capacity(index));
            self.worker_keys.push(key);
            self.indexes.insert(key, index);
        }
        let mut next = 0;
        let mut cancels: Vec<usize> = (0..self.planned.len()).collect();
        cancels.retain(|index| self.planned[*index].cancel_at_ms.is_some());
        for step in 1..=RUN_MS / STEP_MS {
            let now = Millis::from_ms(step * STEP_MS);
            self.run_workers(now, step);
            while self
                .planned
                .get(next)
                .is_some_and(|job| job.at_ms <= now.as_ms())
            {
                self.submit(next, &teams, now);
                next += 1;
            }
            if cancels
                .first()
                .is_some_and(|index| self.planned[*index].cancel_at_ms <= Some(now.as_ms()))
            {
                for index in std::mem::take(&mut cancels) {
                    if let Some(job) = self.keys[index] {
                        self.timed(|scheduler| scheduler.cancel(job, now));
                    }
                }
            }
            self.plan(now);
        }
        self.result.planner_ms = self.busy.as_millis() as u64;
        self.result.processor_use /= f64::from(self.samples);
        self.result.accelerator_use /= f64::from(self.samples);
        self.result
    }

    fn timed<T>(&mut self, call: impl FnOnce(&mut S) -> T) -> T {
        let from = Instant::now();
        let result = call(&mut self.scheduler);
        self.busy += from.elapsed();
        result
    }

    fn submit(&mut self, index: usize, teams: &[TeamKey], now: Millis) {
        let planned = &self.planned[index];
        let name: Arc<str> = format!("job-{index}").into();
        let info = JobInfo {
            team: teams[planned.team],
            urgency: planned.urgency,
            declared: planned.declared,
            repeatable: planned.repeatable,
            checkpointable: planned.checkpointable,
        };
        self.result.submitted += 1;
        let submitted = name.clone();
        if let Some(job) = self.timed(|scheduler| scheduler.submit(submitted, info, now)) {
            self.jobs.insert(job, index);
            self.keys[index] = Some(job);
        }
        self.names.insert(name.clone(), index);
        self.tasks[index] = Some(Task {
            name,
            usage: planned.usage,
            left_ms: planned.run_ms,
            checkpoint_ms: self.random.random_range(300..1_500),
            fault: planned.fault,
        });
    }

    fn run_workers(&mut self, now: Millis, step: u64) {
        if step.is_multiple_of(RUN_MS / STEP_MS / (RESTARTS + 1)) {
            let index = self.random.random_range(0..WORKERS);
            self.workers[index].frozen_until = now.after_ms(RESTART_MS);
            let lost = self.workers[index].restart();
            self.restarted(lost);
        }
        for index in 0..WORKERS {
            let before = self.workers[index].incarnation;
            let ended = self.workers[index].run(now, STEP_MS);
            if before != self.workers[index].incarnation {
                self.workers[index].frozen_until = now.after_ms(RESTART_MS);
                self.restarted(ended);
                continue;
            }
            for end in ended {
                self.ended(index, end, now);
            }
            if step % REPORT_STEPS == index as u64 % REPORT_STEPS
                && now >= self.workers[index].frozen_until
            {
                let report = self.workers[index].report();
                self.reports
                    .push_back((now.after_ms(REPORT_LAG_MS), index, report));
            }
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, index, report)) = self.reports.pop_front() {
                let key = self.worker_keys[index];
                self.timed(|scheduler| scheduler.report(key, &report, now));
            }
        }
        if step.is_multiple_of(10) {
            self.sample();
        }
    }

    fn restarted(&mut self, lost: Vec<EndedTask>) {
        self.result.worker_restarts += 1;
        self.result.lost_run_ms += lost.iter().map(|task| task.ran_ms).sum::<u64>();
    }

    fn ended(&mut self, index: usize, end: EndedTask, now: Millis) {
        match end.end {
            RunEnd::Checkpointed => {
                self.result.checkpoints += 1;
                self.result.checkpoint_ms += end.task.checkpoint_ms;
                self.result.useful_run_ms += end.ran_ms;
                if let Some(task) = &mut self.tasks[self.names[&end.task.name]] {
                    task.left_ms = end.task.left_ms;
                }
            }
            RunEnd::Done => self.result.useful_run_ms += end.ran_ms,
            RunEnd::OutOfMemory { .. } => {
                self.result.out_of_memory += 1;
                self.result.lost_run_ms += end.ran_ms;
            }
            RunEnd::Failed | RunEnd::NotStarted | RunEnd::Stopped => {
                self.result.lost_run_ms += end.ran_ms;
            }
        }
        let key = self.worker_keys[index];
        self.timed(|scheduler| scheduler.ended(key, end.token, end.end, now));
    }

    fn sample(&mut self) {
        let used = self.workers.iter().flat_map(|worker| worker.tasks.values());
        let used = used.fold(Resources::default(), |sum, task| sum.plus(task.task.usage));
        let total = total();
        self.samples += 1;
        self.result.processor_use += used.processors_milli as f64 / total.processors_milli as f64;
        self.result.accelerator_use += used.accelerators as f64 / total.accelerators as f64;
    }

    fn plan(&mut self, now: Millis) {
        if std::mem::take(&mut self.written) {
            self.timed(|scheduler| scheduler.written(now));
        }
        let from = Instant::now();
        let actions = self.scheduler.step(now);
        let took = from.elapsed();
        self.busy += took;
        self.result.step_us.push(took.as_micros() as u64);
        let is_stop = |action: &&PlacementAction| matches!(action, PlacementAction::Stop { .. });
        let stops = actions.iter().filter(is_stop).count();
        self.result.most_stops_in_step = self.result.most_stops_in_step.max(stops);
        for action in actions {
            self.act(action, now);
        }
    }

    fn act(&mut self, action: PlacementAction, now: Millis) {
        match action {
            PlacementAction::Start {
                worker,
                job,
                token,
                incarnation,
            } => {
                self.result.decisions += 1;
                self.start(worker, job, token, incarnation, now);
            }
            PlacementAction::Checkpoint { worker, token } => {
                self.result.decisions += 1;
                self.workers[self.indexes[&worker]].checkpoint(token, now);
            }
            PlacementAction::Stop { worker, token } => {
                self.result.decisions += 1;
                let index = self.indexes[&worker];
                if let Some(end) = self.workers[index].stop(token) {
                    self.ended(index, end, now);
                }
            }
            PlacementAction::Acknowledge { worker, token } => {
                self.workers[self.indexes[&worker]].acknowledge(token);
            }
            PlacementAction::Write(writes) => {
                self.result.writes += 1;
                self.result.records += writes.len();
                self.written = true;
            }
            PlacementAction::Finished { outcome, .. } => match outcome {
                JobOutcome::Done => self.result.done += 1,
                JobOutcome::Cancelled => self.result.cancelled += 1,
                JobOutcome::Unknown => self.result.unknown += 1,
                _ => self.result.stopped_as_failing += 1,
            },
            PlacementAction::Throttle { .. } => {}
        }
    }

    fn start(&mut self, worker: WorkerKey, job: JobKey, token: u64, incarnation: u64, now: Millis) {
        let (index, job) = (self.indexes[&worker], self.jobs[&job]);
        let model = &mut self.workers[index];
        let Some(task) = self.tasks[job].clone() else {
            return;
        };
        if now < model.frozen_until {
            return;
        }
        self.result.starts += 1;
        self.result.starts_on_bad_worker += usize::from(index == BAD_WORKER);
        let faulty = self.planned[job].fault != crate::worker::TaskFault::None;
        self.result.starts_of_faulty += usize::from(faulty);
        if model.start(token, incarnation, task) {
            let wait_ms = now.as_ms() - self.planned[job].at_ms;
            self.result.waits_ms[job].get_or_insert(wait_ms);
            self.timed(|scheduler| scheduler.started(worker, token, now));
        } else {
            for (token, end) in self.workers[index].unacknowledged() {
                self.timed(|scheduler| scheduler.ended(worker, token, end, now));
            }
        }
    }
}
