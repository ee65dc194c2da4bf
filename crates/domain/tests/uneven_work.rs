//! Replays of jobs with uneven run times, with and without the answers to them.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use std::hash::{Hash, Hasher};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemaryscale_domain::job::{JobRecord, JobState, StepSpec, TaskName};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::UnevenWork;
use scheduler_harness::{SchedulerHarness, job, step};

const TICK_MS: u64 = 10;
const DECLARED_MS: u64 = 500;
/// Factors by which the declared run times of the queues are off.
const FACTORS: [f64; 4] = [1.0 / 1.9, 0.8, 1.3, 1.9];
const STRAGGLER_PERCENT: u32 = 3;
const STRAGGLER_FACTOR: f64 = 7.0;

/// What a replay varies.
#[derive(Clone, Copy)]
struct Load {
    workers: usize,
    /// Time between two jobs.
    interval_ms: u64,
    /// Steps of a job, each after the one before.
    steps: u16,
    tasks: u32,
    /// Worker on which all tasks take twice as long.
    slow_worker: Option<usize>,
    stragglers: bool,
    /// Whether demand alternates between 4 s at five times its mean and 12 s at a twentieth.
    in_turns: bool,
}

impl Load {
    /// Times at which jobs arrive.
    fn arrivals(&self, jobs: usize) -> Vec<u64> {
        let mut at_ms = 0.0;
        let arrivals = (0..jobs).map(|_| {
            let arrived_ms = at_ms as u64;
            let rate = match arrived_ms % 16_000 {
                _ if !self.in_turns => 1.0,
                0..4_000 => 5.0,
                _ => 0.05,
            };
            at_ms += self.interval_ms as f64 / rate;
            arrived_ms
        });
        arrivals.collect()
    }
}

#[derive(Debug)]
struct Outcome {
    on_time_percent: f64,
    /// Run time of runs that did not complete their task, in percent of all run time.
    thrown_away_percent: f64,
}

/// A run in progress: when it started and when it ends.
type Active = FastMap<(TaskName, u32), (Millis, Millis)>;

struct Replay {
    harness: SchedulerHarness,
    load: Load,
    seed: u64,
    active: Active,
    run_ms: u64,
    thrown_away_ms: u64,
}

impl Replay {
    fn new(load: Load, uneven_work: UnevenWork, seed: u64) -> Self {
        Self {
            harness: SchedulerHarness::with_uneven_work(load.workers, uneven_work),
            load,
            seed,
            active: Active::default(),
            run_ms: 0,
            thrown_away_ms: 0,
        }
    }

    fn record(&self, number: usize) -> JobRecord {
        let steps = (0..self.load.steps).map(|number| StepSpec {
            estimate_ms: DECLARED_MS,
            speculative: true,
            after: number.checked_sub(1).into_iter().collect(),
            ..step(self.load.tasks)
        });
        let queue = format!("queue-{}", number % FACTORS.len());
        JobRecord {
            queue: queue.into(),
            ..job(steps.collect(), 3)
        }
    }

    /// Run time of a run. It differs for each run of a task, but not with the order of the runs.
    fn draw_run_ms(&self, task: &TaskName, run: u32, worker: usize) -> u64 {
        let number: usize = task.job[1..].parse().expect("the id of a job is a number");
        let position = task.position;
        let mut hasher = rustc_hash::FxHasher::default();
        (self.seed, number, position, run).hash(&mut hasher);
        let mut rng = StdRng::seed_from_u64(hasher.finish());
        let mut run_ms = DECLARED_MS as f64 * FACTORS[number % FACTORS.len()];
        run_ms *= rng.random_range(0.7..1.3);
        if rng.random_range(0..100) < STRAGGLER_PERCENT && self.load.stragglers {
            run_ms *= STRAGGLER_FACTOR;
        }
        if self.load.slow_worker == Some(worker) {
            run_ms *= 2.0;
        }
        run_ms as u64
    }

    /// Ends the runs that are due, and notes those that have started or were stopped.
    fn advance_runs(&mut self) {
        let now = self.harness.now;
        let mut running = Vec::new();
        for (index, worker) in self.harness.workers.iter().enumerate() {
            let runs = worker.running.iter();
            running.extend(runs.map(|(task, number)| (index, task.clone(), *number)));
        }
        let mut active = Active::default();
        for (worker, task, number) in running {
            let key = (task.clone(), number);
            let (since, until) = match self.active.remove(&key) {
                Some(times) => times,
                None => (now, now.after_ms(self.draw_run_ms(&task, number, worker))),
            };
            if until <= now {
                self.run_ms += now.ms_since(since);
                self.harness.end_run(worker, &task, number);
            } else {
                active.insert(key, (since, until));
            }
        }
        for (since, _) in self.active.values() {
            self.run_ms += now.ms_since(*since);
            self.thrown_away_ms += now.ms_since(*since);
        }
        self.active = active;
    }

    fn play(mut self, jobs: usize) -> Outcome {
        let drain_ms = 20_000;
        let arrivals = self.load.arrivals(jobs);
        let end_ms = arrivals.last().copied().unwrap_or(0) + drain_ms;
        let mut submitted = 0;
        let mut received: Vec<(String, Millis, u64)> = Vec::new();
        for elapsed_ms in (0..end_ms).step_by(TICK_MS as usize) {
            while submitted < jobs && elapsed_ms >= arrivals[submitted] {
                let record = self.record(submitted);
                let id = format!("j{submitted}");
                received.push((id.clone(), self.harness.now, record.objective_ms()));
                self.harness.submit(&id, record);
                submitted += 1;
            }
            self.harness.run_for(TICK_MS);
            self.advance_runs();
        }
        let is_on_time = |(id, received, objective_ms): &&(String, Millis, u64)| {
            let progress = self.harness.store.progress.get(&**id);
            progress.is_some_and(|progress| {
                progress.state == JobState::Completed
                    && Millis::from_ms(progress.ended_wall_ms).ms_since(*received) <= *objective_ms
            })
        };
        let on_time = received.iter().filter(is_on_time).count();
        Outcome {
            on_time_percent: 100.0 * on_time as f64 / jobs as f64,
            thrown_away_percent: 100.0 * self.thrown_away_ms as f64 / self.run_ms as f64,
        }
    }
}

const OFF: UnevenWork = UnevenWork {
    learned_durations: false,
    learned_speed: false,
    copy_budget_percent: 0,
};

fn compare(name: &str, load: Load, with: UnevenWork, jobs: usize) -> Vec<(Outcome, Outcome)> {
    let outcomes = (1..=3).map(|seed| {
        let without = Replay::new(load, OFF, seed).play(jobs);
        let with = Replay::new(load, with, seed).play(jobs);
        println!("{name}, seed {seed}: without {without:?}, with {with:?}");
        (without, with)
    });
    outcomes.collect()
}

/// Guards against copies that start too late to help, and against copies that cost more work than they are worth.
#[test]
fn copies_bring_more_jobs_on_time() {
    let load = Load {
        workers: 16,
        interval_ms: 160,
        steps: 1,
        tasks: 8,
        slow_worker: None,
        stragglers: true,
        in_turns: false,
    };
    let copies = UnevenWork {
        copy_budget_percent: 20,
        ..OFF
    };
    for (without, with) in compare("copies", load, copies, 250) {
        assert!(with.on_time_percent >= without.on_time_percent + 5.0);
        assert!(with.thrown_away_percent <= 20.0);
    }
}

/// Guards against an order of work that trusts declared run times although ends have shown them to be wrong:
/// in a burst, jobs that can no longer be on time then take the room of those that can.
#[test]
fn learned_run_times_bring_more_jobs_on_time() {
    for (steps, tasks) in [(2, 4), (4, 2)] {
        let load = Load {
            workers: 16,
            interval_ms: 160,
            steps,
            tasks,
            slow_worker: None,
            stragglers: true,
            in_turns: true,
        };
        let learned = UnevenWork {
            learned_durations: true,
            ..OFF
        };
        for (without, with) in compare("run times", load, learned, 250) {
            assert!(with.on_time_percent >= without.on_time_percent + 5.0);
        }
    }
}

/// Guards against an instance on which tasks take twice as long and that gets as much work as others.
#[test]
fn a_slow_instance_is_the_last_choice() {
    let load = Load {
        workers: 16,
        interval_ms: 160,
        steps: 1,
        tasks: 8,
        slow_worker: Some(0),
        stragglers: false,
        in_turns: false,
    };
    let learned = UnevenWork {
        learned_speed: true,
        ..OFF
    };
    for (without, with) in compare("speed", load, learned, 250) {
        assert!(with.on_time_percent >= without.on_time_percent + 5.0);
    }
}
