//! Workload of the simulation: steady jobs, two bursts, a mass cancellation, and two jobs that
//! always fail.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::placement::{Resources, Urgency};

use crate::worker::TaskFault;

pub const TEAMS: usize = 21;
/// Teams that submit the burst of urgent jobs.
const BURST_TEAMS: Range<usize> = 4..7;
pub const RUN_MS: u64 = 1_800_000;
const STEADY_JOBS_PER_SECOND: f64 = 11.0;
/// Standard deviations of the logarithms of the ratio of real to declared size, and of the run
/// time.
const SIZE_SIGMA: f64 = 0.5;
const RUN_SIGMA: f64 = 0.8;

/// Group of jobs, one row of the result table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    Urgent,
    /// Steady urgent jobs of the teams in [`BURST_TEAMS`].
    UrgentOfBurstTeams,
    Normal,
    Low,
    UrgentBurst,
    LowBurst,
}

pub const GROUPS: [(Group, &str); 6] = [
    (Group::Urgent, "urgent, steady"),
    (Group::UrgentOfBurstTeams, "same, burst teams"),
    (Group::Normal, "normal, steady"),
    (Group::Low, "low, steady"),
    (Group::UrgentBurst, "urgent burst"),
    (Group::LowBurst, "low burst"),
];

/// A job with its declared and its real properties.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    pub at_ms: u64,
    pub team: usize,
    pub urgency: Urgency,
    pub group: Group,
    pub declared: Resources,
    pub usage: Resources,
    pub run_ms: u64,
    pub repeatable: bool,
    pub checkpointable: bool,
    pub fault: TaskFault,
    pub cancel_at_ms: Option<u64>,
}

/// Generates the jobs in the order of submission.
pub fn jobs(seed: u64) -> Vec<PlannedJob> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    steady(&mut random, &mut jobs);
    // First burst: low jobs of 4 teams, most of which are cancelled at the same time.
    for index in 0..6_000_u64 {
        let mut job = job(&mut random, 300_000 + index * 10, Group::LowBurst);
        job.team = random.random_range(0..4);
        job.cancel_at_ms = (index % 10 < 7).then_some(600_000);
        jobs.push(job);
    }
    // Second burst: urgent jobs of 3 other teams, beyond their quotas.
    for index in 0..3_000_u64 {
        let mut job = job(&mut random, 900_000 + index * 10, Group::UrgentBurst);
        job.team = random.random_range(BURST_TEAMS);
        jobs.push(job);
    }
    let faults = [TaskFault::Fails, TaskFault::CrashesWorker];
    for (index, fault) in faults.into_iter().enumerate() {
        let mut faulty = job(&mut random, 60_000, Group::Normal);
        faulty.team = 10 + index;
        faulty.repeatable = true;
        faulty.run_ms = 60_000;
        faulty.fault = fault;
        jobs.push(faulty);
    }
    jobs.sort_by_key(|job| job.at_ms);
    jobs
}

fn steady(random: &mut StdRng, jobs: &mut Vec<PlannedJob>) {
    let mut at_ms = 15_000.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_ms -= uniform.ln() * 1_000.0 / STEADY_JOBS_PER_SECOND;
        if at_ms >= RUN_MS as f64 {
            return;
        }
        let group = match random.random_range(0..10) {
            0 => Group::Urgent,
            1..=5 => Group::Normal,
            _ => Group::Low,
        };
        let mut job = job(random, at_ms as u64, group);
        if group == Group::Urgent && BURST_TEAMS.contains(&job.team) {
            job.group = Group::UrgentOfBurstTeams;
        }
        jobs.push(job);
    }
}

fn job(random: &mut StdRng, at_ms: u64, group: Group) -> PlannedJob {
    let (urgency, mean_run_ms) = match group {
        Group::Urgent | Group::UrgentOfBurstTeams | Group::UrgentBurst => {
            (Urgency::Urgent, 60_000.0)
        }
        Group::Normal => (Urgency::Normal, 150_000.0),
        Group::Low | Group::LowBurst => (Urgency::Low, 240_000.0),
    };
    let processors_milli = 1_000 * random.random_range(2..=16);
    let accelerated = random.random_range(0..5) == 0;
    let accelerators = if accelerated {
        random.random_range(1..=4)
    } else {
        0
    };
    let declared = Resources {
        processors_milli,
        memory_mb: processors_milli * random.random_range(2..=5),
        accelerators,
    };
    let scaled = |random: &mut StdRng, amount: u64, cap: u64| {
        let real = amount as f64 * (normal(random) * SIZE_SIGMA - 0.3).exp();
        (real as u64).clamp(1, cap)
    };
    let usage = Resources {
        processors_milli: scaled(random, declared.processors_milli, 32_000),
        memory_mb: scaled(random, declared.memory_mb, 110_000),
        accelerators,
    };
    PlannedJob {
        at_ms,
        team: random.random_range(0..TEAMS),
        urgency,
        group,
        declared,
        usage,
        run_ms: (mean_run_ms * (normal(random) * RUN_SIGMA).exp()) as u64 + 1_000,
        repeatable: random.random_range(0..10) != 0,
        checkpointable: random.random_range(0..10) != 0,
        fault: TaskFault::None,
        cancel_at_ms: None,
    }
}

fn normal(random: &mut StdRng) -> f64 {
    let radius = (-2.0 * random.random_range(f64::EPSILON..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random_range(0.0..1.0_f64)).cos()
}
