//! Simulation of a planner with its workers and store, in which messages are lost, delayed or
//! duplicated.

#![allow(clippy::unwrap_used, reason = "test code fails loudly")]
#![allow(
    dead_code,
    unreachable_pub,
    reason = "shared by several tests and an example"
)]

#[path = "../../examples/placement/worker.rs"]
pub mod worker;

use std::collections::BTreeMap;

use rosemaryscale_domain::placement::{
    JobInfo, JobOutcome, JobWrite, PlacementAction, PlacementRecord, Planner, Report, Resources,
    RunEnd, Urgency,
};
use rosemaryscale_domain::prelude::*;
use worker::{SimulatedWorker, Task, TaskFault};

pub const TICK_MS: u64 = 100;
pub const REPORT_MS: u64 = 1_000;
pub const WORKERS: usize = 4;
pub const TEAMS: usize = 2;
pub const CAPACITY: Resources = size(8_000, 16_000, 2);
pub const QUOTA: Resources = size(16_000, 32_000, 4);

pub const fn size(processors_milli: u64, memory_mb: u64, accelerators: u64) -> Resources {
    Resources {
        processors_milli,
        memory_mb,
        accelerators,
    }
}

/// State of a job as tracked by the test.
pub struct TrackedJob {
    pub task: Task,
    pub info: JobInfo,
    /// Number of started runs; a run resumed from a checkpoint is not counted again.
    pub runs_begun: usize,
    pub checkpointed: bool,
    pub outcomes: Vec<JobOutcome>,
    pub submitted: Millis,
    pub started: Option<Millis>,
    pub stored: bool,
}

pub struct PlacementHarness {
    pub now: Millis,
    pub epoch: u32,
    pub planner: Planner,
    pub teams: Vec<TeamKey>,
    pub keys: Vec<WorkerKey>,
    pub workers: Vec<SimulatedWorker>,
    pub jobs: BTreeMap<Arc<str>, TrackedJob>,
    pub store: BTreeMap<Arc<str>, (JobInfo, PlacementRecord)>,
    pub in_flight: Option<Vec<JobWrite>>,
    pub names_by_job: FastMap<JobKey, Arc<str>>,
    pub drop_percent: u8,
    pub random: u64,
    pub delayed_reports: Vec<(usize, Report)>,
    pub writes: usize,
    pub violations: Vec<String>,
}

impl PlacementHarness {
    pub fn new() -> Self {
        let workers = (0..WORKERS).map(|_| SimulatedWorker::new(CAPACITY));
        let mut harness = Self {
            now: Millis::from_ms(1),
            epoch: 1,
            planner: Planner::new(1, Millis::from_ms(1)),
            teams: Vec::new(),
            keys: Vec::new(),
            workers: workers.collect(),
            jobs: BTreeMap::new(),
            store: BTreeMap::new(),
            in_flight: None,
            names_by_job: FastMap::default(),
            drop_percent: 0,
            random: 1,
            delayed_reports: Vec::new(),
            writes: 0,
            violations: Vec::new(),
        };
        harness.register();
        harness
    }

    pub fn register(&mut self) {
        let team = |team| format!("team-{team}").into();
        self.teams = (0..TEAMS)
            .map(|index| self.planner.add_team(team(index), QUOTA))
            .collect();
        let worker = |index| format!("worker-{index}").into();
        let keys = (0..WORKERS).map(|index| self.planner.add_worker(worker(index), CAPACITY));
        self.keys = keys.collect();
    }

    pub fn drops_message(&mut self) -> bool {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        ((self.random >> 33) % 100) < u64::from(self.drop_percent)
    }

    pub fn submit(&mut self, info: JobInfo, run_ms: u64, fault: TaskFault) -> Option<Arc<str>> {
        let name: Arc<str> = format!("job-{}", self.jobs.len()).into();
        let job = self.planner.submit(name.clone(), info, self.now).ok()?;
        self.names_by_job.insert(job, name.clone());
        let task = Task {
            name: name.clone(),
            usage: size(
                info.declared.processors_milli / 2,
                info.declared.memory_mb / 2,
                info.declared.accelerators,
            ),
            remaining_ms: run_ms,
            checkpoint_ms: 500,
            fault,
        };
        let tracked = TrackedJob {
            task,
            info,
            runs_begun: 0,
            checkpointed: false,
            outcomes: Vec::new(),
            submitted: self.now,
            started: None,
            stored: false,
        };
        self.jobs.insert(name.clone(), tracked);
        Some(name)
    }

    pub fn info(&self, team: usize, urgency: Urgency, processors: u64) -> JobInfo {
        JobInfo {
            team: self.teams[team],
            urgency,
            declared: size(processors, processors * 3 / 2, 0),
            repeatable: true,
            checkpointable: true,
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now.after_ms(TICK_MS);
        for index in 0..WORKERS {
            self.run_worker(index);
        }
        if let Some(writes) = self.in_flight.take() {
            self.store(writes);
        }
        for action in self.planner.step(self.now) {
            self.perform(action);
        }
        self.check();
    }

    pub fn run_worker(&mut self, index: usize) {
        let before = self.workers[index].incarnation;
        let ended = self.workers[index].run(self.now, TICK_MS);
        for end in ended {
            self.task_ended(&end);
            if before == self.workers[index].incarnation && !self.drops_message() {
                self.planner
                    .run_ended(self.keys[index], end.token, end.end, self.now);
            }
        }
        let frozen = self.now < self.workers[index].frozen_until;
        let due = self.now.as_ms() / TICK_MS % (REPORT_MS / TICK_MS) == index as u64;
        if frozen || !due {
            return;
        }
        let report = self.workers[index].report();
        // A report arrives on time, late or twice; a change of controller drops the late ones.
        let delayed: Vec<(usize, Report)> = std::mem::take(&mut self.delayed_reports);
        for (index, report) in delayed {
            self.planner.report(self.keys[index], &report, self.now);
        }
        if self.drops_message() {
            self.delayed_reports.push((index, report));
        } else {
            self.planner.report(self.keys[index], &report, self.now);
            if self.drops_message() {
                self.planner.report(self.keys[index], &report, self.now);
            }
        }
    }

    pub fn task_ended(&mut self, end: &worker::EndedTask) {
        let tracked = self.jobs.get_mut(&end.task.name).unwrap();
        if end.end == RunEnd::Checkpointed {
            tracked.task.remaining_ms = end.task.remaining_ms;
            tracked.checkpointed = true;
        }
        if matches!(end.end, RunEnd::OutOfMemory { .. }) {
            self.violations
                .push(format!("out of memory: {}", end.task.name));
        }
    }

    pub fn store(&mut self, writes: Vec<JobWrite>) {
        for write in &writes {
            self.store
                .insert(write.name.clone(), (write.info, write.record));
            self.jobs.get_mut(&write.name).unwrap().stored = true;
        }
        // The reply may be lost although the write was committed.
        if self.drops_message() {
            self.planner.write_failed();
        } else {
            self.planner.write_succeeded(self.now);
        }
    }

    pub fn perform(&mut self, action: PlacementAction) {
        match action {
            PlacementAction::Write(writes) => {
                self.writes += 1;
                self.in_flight = Some(writes);
            }
            PlacementAction::Finished { job, outcome } => {
                let tracked = self.jobs.get_mut(&self.names_by_job[&job]).unwrap();
                tracked.outcomes.push(outcome);
            }
            PlacementAction::Start {
                worker,
                job,
                token,
                incarnation,
            } => self.start(worker, job, token, incarnation),
            PlacementAction::Checkpoint { worker, token } => {
                if let Some(index) = self.reachable(worker) {
                    self.workers[index].checkpoint(token, self.now);
                }
            }
            PlacementAction::Stop { worker, token } => {
                if let Some(index) = self.reachable(worker)
                    && let Some(end) = self.workers[index].stop(token)
                {
                    self.task_ended(&end);
                }
            }
            PlacementAction::Acknowledge { worker, token } => {
                if let Some(index) = self.reachable(worker) {
                    self.workers[index].acknowledge(token);
                }
            }
            PlacementAction::Throttle { .. } => {}
        }
    }

    pub fn reachable(&mut self, worker: WorkerKey) -> Option<usize> {
        let index = self.keys.iter().position(|key| *key == worker)?;
        let frozen = self.now < self.workers[index].frozen_until;
        (!frozen && !self.drops_message()).then_some(index)
    }

    pub fn start(&mut self, worker: WorkerKey, job: JobKey, token: u64, incarnation: u64) {
        let Some(index) = self.reachable(worker) else {
            return;
        };
        let name = self.names_by_job[&job].clone();
        let tracked = self.jobs.get_mut(&name).unwrap();
        let running = self.workers[index].tasks.contains_key(&token);
        if !self.workers[index].start(token, incarnation, tracked.task.clone()) {
            return;
        }
        if !running {
            tracked.runs_begun += usize::from(!tracked.checkpointed);
            tracked.checkpointed = false;
            tracked.started.get_or_insert(self.now);
            if !tracked.info.repeatable && tracked.runs_begun > 1 {
                self.violations.push(format!("{name} ran twice"));
            }
            let elsewhere = self.workers.iter().flat_map(|model| model.tasks.values());
            let runs = elsewhere
                .filter(|running| running.task.name == name)
                .count();
            if !self.jobs[&name].info.repeatable && runs > 1 {
                self.violations
                    .push(format!("{name} is running on two workers"));
            }
        }
        if !self.drops_message() {
            self.planner.run_started(worker, token, self.now);
        }
    }

    /// Replaces the controller by one that has only the stored records and the workers' reports.
    pub fn change_controller(&mut self) {
        self.epoch += 1;
        self.in_flight = None;
        self.delayed_reports.clear();
        let old = std::mem::replace(&mut self.planner, Planner::new(self.epoch, self.now));
        let workers = self.keys.clone();
        drop(old);
        self.register();
        self.names_by_job.clear();
        for (name, (mut info, mut record)) in self.store.clone() {
            let team = self.jobs[&name].info.team;
            info.team = team;
            if let PlacementRecord::MayRun { worker, .. } = &mut record {
                let index = workers.iter().position(|key| key == worker).unwrap();
                *worker = self.keys[index];
            }
            if matches!(record, PlacementRecord::Ended(_)) {
                continue;
            }
            let job = self.planner.restore(name.clone(), info, record);
            self.names_by_job.insert(job, name);
        }
    }

    pub fn check(&mut self) {
        for key in &self.keys {
            let (reserved, capacity) = self.planner.reserved_and_capacity(*key).unwrap();
            if !reserved.fits(capacity) {
                self.violations
                    .push(format!("over-committed: {reserved:?}"));
            }
        }
        for team in &self.teams {
            let (own_used, quota) = self.planner.own_quota_usage(*team).unwrap();
            if !own_used.fits(quota) {
                self.violations
                    .push(format!("quota exceeded: {own_used:?}"));
            }
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.tick();
        }
    }
}
