//! Replays of the loads of several workspaces against the scheduler harness.

use rosemaryscale_domain::job::{JobRecord, JobState, StepSpec};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::schedule::pressure::{Admission, Pressure};
use rosemaryscale_domain::workspace::Workspace;

use crate::scheduler_harness::{SchedulerHarness, job};

const TICK_MS: u64 = 10;
const PUBLISH_INTERVAL_MS: u64 = 300;
/// Run time of a task, as declared.
const RUN_MS: u64 = 500;
/// Objective of a job of one step: 1.6 times the run time and 600 ms.
const OBJECTIVE_MS: u64 = 1_400;
const USEFUL_MS: u64 = 3 * OBJECTIVE_MS;

pub(crate) fn workspace(name: &str, weight_milli: u64) -> Workspace {
    Workspace {
        name: name.into(),
        weight_milli,
        priority: 0,
        quota: Resources::default(),
    }
}

/// The job as submitted with a key of the workspace.
pub(crate) fn owned(record: JobRecord, workspace: &Workspace) -> JobRecord {
    JobRecord {
        workspace: Some(workspace.clone()),
        ..record
    }
}

/// Regular submissions of a workspace.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) workspace: Workspace,
    pub(crate) interval_ms: u64,
    pub(crate) offset_ms: u64,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    pub(crate) steps: Vec<StepSpec>,
}

/// What happened to the jobs of a workspace.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) accepted: usize,
    pub(crate) refused: usize,
    /// Completed within the objective.
    pub(crate) in_time: usize,
    /// Completed while the result was useful.
    pub(crate) useful: usize,
}

struct OpenJob {
    id: String,
    workspace: Arc<str>,
    since: Millis,
}

/// A replay and its results.
pub(crate) struct Replay {
    pub(crate) counts: FastMap<Arc<str>, Counts>,
    /// Time that the processors ran tasks of each workspace while there was load.
    pub(crate) busy_ms: FastMap<Arc<str>, u64>,
    pub(crate) retry_after_ms: Vec<u64>,
    harness: SchedulerHarness,
    begin: Millis,
    loads: Vec<Load>,
    pressure: Pressure,
    open: Vec<OpenJob>,
    ends: Vec<(Millis, String)>,
    started: usize,
}

impl Replay {
    /// Plays the loads and 10 s after them. With admission, the daemons learn the pressure every 300 ms.
    pub(crate) fn of(workers: usize, loads: Vec<Load>, with_admission: bool) -> Self {
        let harness = SchedulerHarness::new(workers);
        let end_ms = loads.iter().map(|load| load.until_ms).max().unwrap_or(0);
        let mut replay = Self {
            counts: FastMap::default(),
            busy_ms: FastMap::default(),
            retry_after_ms: Vec::new(),
            begin: harness.now,
            harness,
            loads,
            pressure: Pressure::default(),
            open: Vec::new(),
            ends: Vec::new(),
            started: 0,
        };
        loop {
            let now_ms = replay.harness.now.ms_since(replay.begin);
            if now_ms >= end_ms + 10_000 {
                return replay;
            }
            if with_admission && now_ms.is_multiple_of(PUBLISH_INTERVAL_MS) {
                replay.pressure = replay.harness.scheduler.pressure(replay.harness.now);
            }
            replay.submit_due(now_ms);
            replay.harness.run_for(TICK_MS);
            replay.end_runs(now_ms < end_ms);
            replay.count_completions();
        }
    }

    fn submit_due(&mut self, now_ms: u64) {
        for (index, load) in self.loads.clone().iter().enumerate() {
            let is_active = (load.from_ms..load.until_ms).contains(&now_ms);
            if !is_active || !(now_ms + load.offset_ms).is_multiple_of(load.interval_ms) {
                continue;
            }
            let name = Arc::clone(&load.workspace.name);
            let id = format!("{name}-{index}-{now_ms:05}");
            let record = owned(job(load.steps.clone(), 3), &load.workspace);
            let counts = self.counts.entry(Arc::clone(&name)).or_default();
            match self.pressure.admit(&id, &record) {
                Admission::Accept => {
                    counts.accepted += 1;
                    self.harness.submit(&id, record);
                    self.open.push(OpenJob {
                        id,
                        workspace: name,
                        since: self.harness.now,
                    });
                }
                Admission::Refuse { retry_after_ms, .. } => {
                    counts.refused += 1;
                    self.retry_after_ms.push(retry_after_ms);
                }
            }
        }
    }

    fn end_runs(&mut self, is_loaded: bool) {
        for (at, task, _) in &self.harness.starts[self.started..] {
            let workspace = task.split('-').next().unwrap_or_default();
            if is_loaded {
                *self.busy_ms.entry(workspace.into()).or_default() += RUN_MS;
            }
            self.ends.push((at.after_ms(RUN_MS), task.clone()));
        }
        self.started = self.harness.starts.len();
        let now = self.harness.now;
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        for (_, task) in due {
            self.harness.end_task(&task, RunEndKind::Done);
        }
    }

    fn count_completions(&mut self) {
        let (harness, counts) = (&self.harness, &mut self.counts);
        self.open.retain(|open| {
            let is_completed = harness.state(&open.id) == JobState::Completed;
            if is_completed && let Some(counts) = counts.get_mut(&open.workspace) {
                let latency_ms = harness.now.ms_since(open.since);
                counts.in_time += usize::from(latency_ms <= OBJECTIVE_MS);
                counts.useful += usize::from(latency_ms <= USEFUL_MS);
            }
            !is_completed
        });
    }
}
