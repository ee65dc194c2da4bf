//! Simulated fleet of 970 workers with delayed reports, restarts and one faulty worker.

use std::collections::VecDeque;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::placement::{
    JobInfo, JobOutcome, PlacementAction, Planner, Report, Resources, RunEnd,
};
use rosemaryscale_domain::prelude::*;

use crate::work::{PlannedJob, RUN_MS, TEAMS};
use crate::worker::{EndedTask, SimulatedWorker, Task};

const WORKERS: usize = 970;
const ACCELERATED_WORKERS: usize = 350;
const STEP_MS: u64 = 100;
const REPORT_STEPS: u64 = 100;
const REPORT_LAG_MS: u64 = 10_000;
const RESTART_MS: u64 = 20_000;
/// 19 restarts per day, accelerated 24 times.
const RESTARTS: u64 = 19 * 24 * RUN_MS / 86_400_000;
const FAULTY_WORKER: usize = 5;

/// Interface between the simulated fleet and a scheduler.
pub trait Scheduler {
    fn add_team(&mut self, name: Arc<str>, quota: Resources) -> TeamKey;
    fn add_worker(&mut self, name: Arc<str>, capacity: Resources) -> WorkerKey;
    fn submit(&mut self, name: Arc<str>, info: JobInfo, now: Millis) -> Option<JobKey>;
    fn cancel(&mut self, job: JobKey, now: Millis);
    fn report(&mut self, key: WorkerKey, report: &Report, now: Millis);
    fn run_started(&mut self, worker: WorkerKey, token: u64, now: Millis);
    fn run_ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis);
    fn write_succeeded(&mut self, now: Millis);
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
    fn run_started(&mut self, worker: WorkerKey, token: u64, now: Millis) {
        Self::run_started(self, worker, token, now);
    }
    fn run_ended(&mut self, worker: WorkerKey, token: u64, end: RunEnd, now: Millis) {
        Self::run_ended(self, worker, token, end, now);
    }
    fn write_succeeded(&mut self, now: Millis) {
        Self::write_succeeded(self, now);
    }
    fn step(&mut self, now: Millis) -> Vec<PlacementAction> {
        Self::step(self, now)
    }
}

/// Measurements of a simulation run.
#[derive(Default)]
pub struct Measurements {
    /// Time from submission to the first start of each job; `None` if it never started.
    pub waits_ms: Vec<Option<u64>>,
    pub submitted: usize,
    pub done: usize,
    pub cancelled: usize,
    pub stopped_as_failing: usize,
    pub unknown: usize,
    pub starts: usize,
    pub starts_on_faulty_worker: usize,
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

pub struct Simulation<'a, S> {
    scheduler: S,
    planned: &'a [PlannedJob],
    tasks: Vec<Option<Task>>,
    job_keys: Vec<Option<JobKey>>,
    jobs: FastMap<JobKey, usize>,
    indexes_by_name: FastMap<Arc<str>, usize>,
    workers: Vec<SimulatedWorker>,
    worker_keys: Vec<WorkerKey>,
    worker_indexes: FastMap<WorkerKey, usize>,
    reports: VecDeque<(Millis, usize, Report)>,
    write_pending: bool,
    random: StdRng,
    samples: u32,
    busy: std::time::Duration,
    result: Measurements,
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

impl<'a, S: Scheduler> Simulation<'a, S> {
    pub fn new(scheduler: S, planned: &'a [PlannedJob], seed: u64) -> Self {
        let mut workers: Vec<_> = (0..WORKERS)
            .map(|index| SimulatedWorker::new(capacity(index)))
            .collect();
        workers[FAULTY_WORKER].fails_all_starts = true;
        let result = Measurements {
            waits_ms: vec![None; planned.len()],
            ..Measurements::default()
        };
        Self {
            scheduler,
            planned,
            tasks: vec![None; planned.len()],
            job_keys: vec![None; planned.len()],
            jobs: FastMap::default(),
            indexes_by_name: FastMap::default(),
            workers,
            worker_keys: Vec::new(),
            worker_indexes: FastMap::default(),
            reports: VecDeque::new(),
            write_pending: false,
            random: StdRng::seed_from_u64(seed),
            samples: 0,
            busy: std::time::Duration::ZERO,
            result,
        }
    }

    pub fn run(mut self) -> Measurements {
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
            self.worker_indexes.insert(key, index);
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
                    if let Some(job) = self.job_keys[index] {
                        self.timed(|scheduler| scheduler.cancel(job, now));
                    }
                }
            }
            self.run_scheduler(now);
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
            self.job_keys[index] = Some(job);
        }
        self.indexes_by_name.insert(name.clone(), index);
        self.tasks[index] = Some(Task {
            name,
            usage: planned.usage,
            remaining_ms: planned.run_ms,
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
                if let Some(task) = &mut self.tasks[self.indexes_by_name[&end.task.name]] {
                    task.remaining_ms = end.task.remaining_ms;
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
        self.timed(|scheduler| scheduler.run_ended(key, end.token, end.end, now));
    }

    fn sample(&mut self) {
        let used = self.workers.iter().flat_map(|worker| worker.tasks.values());
        let used = used.fold(Resources::default(), |sum, task| sum.plus(task.task.usage));
        let total = total();
        self.samples += 1;
        self.result.processor_use += used.processors_milli as f64 / total.processors_milli as f64;
        self.result.accelerator_use += used.accelerators as f64 / total.accelerators as f64;
    }

    fn run_scheduler(&mut self, now: Millis) {
        if std::mem::take(&mut self.write_pending) {
            self.timed(|scheduler| scheduler.write_succeeded(now));
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
            self.perform(action, now);
        }
    }

    fn perform(&mut self, action: PlacementAction, now: Millis) {
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
                self.workers[self.worker_indexes[&worker]].checkpoint(token, now);
            }
            PlacementAction::Stop { worker, token } => {
                self.result.decisions += 1;
                let index = self.worker_indexes[&worker];
                if let Some(end) = self.workers[index].stop(token) {
                    self.ended(index, end, now);
                }
            }
            PlacementAction::Acknowledge { worker, token } => {
                self.workers[self.worker_indexes[&worker]].acknowledge(token);
            }
            PlacementAction::Write(writes) => {
                self.result.writes += 1;
                self.result.records += writes.len();
                self.write_pending = true;
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
        let (index, job) = (self.worker_indexes[&worker], self.jobs[&job]);
        let model = &mut self.workers[index];
        let Some(task) = self.tasks[job].clone() else {
            return;
        };
        if now < model.frozen_until {
            return;
        }
        self.result.starts += 1;
        self.result.starts_on_faulty_worker += usize::from(index == FAULTY_WORKER);
        let faulty = self.planned[job].fault != crate::worker::TaskFault::None;
        self.result.starts_of_faulty += usize::from(faulty);
        if model.start(token, incarnation, task) {
            let wait_ms = now.as_ms() - self.planned[job].at_ms;
            self.result.waits_ms[job].get_or_insert(wait_ms);
            self.timed(|scheduler| scheduler.run_started(worker, token, now));
        } else {
            for (token, end) in self.workers[index].unacknowledged() {
                self.timed(|scheduler| scheduler.run_ended(worker, token, end, now));
            }
        }
    }
}
