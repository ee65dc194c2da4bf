//! Admission while a queue asks for three times what its workers can do.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::schedule::pressure::{Admission, Pressure};
use scheduler_harness::{SchedulerHarness, job, step};

const WORKERS: usize = 4;
const RUN_MS: u64 = 500;
/// Jobs of half a second on two workers: the four workers do four a second.
const ARRIVAL_INTERVAL_MS: u64 = 80;
const FLOOD_MS: u64 = 20_000;
/// Three times the objective, 1.6 times the run time and 600 ms.
const USEFUL_MS: u64 = 3 * 1_400;
const PUBLISH_INTERVAL_MS: u64 = 300;
const TICK_MS: u64 = 10;

#[derive(Debug, Default)]
struct Outcome {
    accepted: usize,
    refused: usize,
    /// Jobs that were completed while their results were useful.
    useful: usize,
    retry_after_ms: Vec<u64>,
}

/// Plays the flood and the time after it. Every 300 ms the daemons learn the pressure.
fn play(with_admission: bool) -> Outcome {
    let mut harness = SchedulerHarness::new(WORKERS);
    let begin = harness.now;
    let mut outcome = Outcome::default();
    let mut pressure = Pressure::default();
    let mut open: Vec<(String, Millis)> = Vec::new();
    let mut started = 0;
    let mut ends: Vec<(Millis, String)> = Vec::new();
    while harness.now.ms_since(begin) < FLOOD_MS + 10_000 {
        let now_ms = harness.now.ms_since(begin);
        if now_ms.is_multiple_of(PUBLISH_INTERVAL_MS) && with_admission {
            pressure = harness.scheduler.pressure(harness.now);
        }
        if now_ms < FLOOD_MS && now_ms.is_multiple_of(ARRIVAL_INTERVAL_MS) {
            let id = format!("job{now_ms:05}");
            let record = job(vec![step(8)], 3);
            match pressure.admit(&id, &record) {
                Admission::Accept => {
                    outcome.accepted += 1;
                    harness.submit(&id, record);
                    open.push((id, harness.now));
                }
                Admission::Refuse { retry_after_ms, .. } => {
                    outcome.refused += 1;
                    outcome.retry_after_ms.push(retry_after_ms);
                }
            }
        }
        harness.run_for(TICK_MS);
        for (at, task, _) in &harness.starts[started..] {
            ends.push((at.after_ms(RUN_MS), task.clone()));
        }
        started = harness.starts.len();
        let now = harness.now;
        ends.retain(|(at, task)| {
            if *at <= now {
                harness.end_task(task, RunEndKind::Done);
            }
            *at > now
        });
        open.retain(|(id, since)| {
            let completed = harness.state(id) == JobState::Completed;
            if completed && now.ms_since(*since) <= USEFUL_MS {
                outcome.useful += 1;
            }
            !completed
        });
    }
    outcome
}

/// Load pattern: a flood of three times the capacity for 20 s. Guards against hopeless jobs that are
/// accepted and keep their callers waiting, and against refusals of jobs that could have been useful.
#[test]
fn hopeless_jobs_are_refused_at_once_and_no_useful_one_is_lost() {
    let (without, with) = (play(false), play(true));
    let useless = |outcome: &Outcome| outcome.accepted - outcome.useful;
    assert_eq!(without.refused, 0);
    assert!(
        useless(&with) * 2 <= useless(&without),
        "useless jobs: {} of {} without admission, {} of {} with it",
        useless(&without),
        without.accepted,
        useless(&with),
        with.accepted
    );
    assert!(
        with.useful * 100 >= without.useful * 97,
        "{with:?} {without:?}"
    );
}

/// Guards against refused callers that all return at the same moment.
#[test]
fn refused_callers_return_at_different_times() {
    let mut times = play(true).retry_after_ms;
    assert!(times.len() >= 20, "{times:?}");
    assert!(
        times.iter().all(|ms| (1_000..=12_000).contains(ms)),
        "{times:?}"
    );
    times.sort_unstable();
    times.dedup();
    assert!(times.len() >= 10, "{times:?}");
}

/// Guards against refusals of work that is worth as much later: long-running jobs and recurring ones.
#[test]
fn long_running_work_is_not_refused() {
    let mut harness = SchedulerHarness::new(1);
    for index in 0..80 {
        harness.submit(&format!("job{index:02}"), job(vec![step(4)], 3));
    }
    harness.run_for(100);
    let pressure = harness.scheduler.pressure(harness.now);
    let finite = job(vec![step(8)], 3);
    assert!(matches!(
        pressure.admit("a", &finite),
        Admission::Refuse { .. }
    ));
    let lasting = StepSpec {
        long_running: true,
        ..step(8)
    };
    assert_eq!(
        pressure.admit("b", &job(vec![lasting], 3)),
        Admission::Accept
    );
    let small = job(vec![step(1)], 3);
    assert_eq!(
        pressure.admit("c", &small),
        Admission::Accept,
        "it comes first"
    );
}
