//! How long tasks wait for a place near their data or group. Replays compare the decision with no wait and with
//! a fixed wait; `cargo test -- --nocapture` shows their figures.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, JobState, StepSpec};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::locality::PlacementWait;
use rosemaryscale_domain::schedule::order::RunEndKind;
use scheduler_harness::{SchedulerHarness, job, step};

const TICK_MS: u64 = 10;
const FIXED: PlacementWait = PlacementWait::Fixed { wait_ms: 1_000 };
/// Rack `a` has room for 8 tasks, `b` for 16.
const RACKS: [&str; 6] = ["a", "a", "b", "b", "b", "b"];

/// A job of a replay: when it arrives, what it declares, and how long its tasks run near their data.
#[derive(Clone)]
struct Arrival {
    at_ms: u64,
    step: StepSpec,
    run_ms: u64,
    stretch: f64,
    /// Whether its latency counts.
    is_measured: bool,
}

fn near(rack: &str, count: u32, run_ms: u64) -> StepSpec {
    StepSpec {
        affinity: Some(rack.into()),
        estimate_ms: run_ms,
        ..step(count)
    }
}

fn arrival(at_ms: u64, step: StepSpec) -> Arrival {
    Arrival {
        at_ms,
        run_ms: step.estimate_ms,
        step,
        stretch: 3.0,
        is_measured: true,
    }
}

fn record(arrival: &Arrival) -> JobRecord {
    let mut record = job(vec![arrival.step.clone()], 3);
    record.policy.stretch = arrival.stretch;
    record.policy.objective_ms = 300;
    record
}

#[derive(Debug)]
struct Outcome {
    /// Time from the arrival to the end of each job, in order of arrival.
    latencies_ms: Vec<u64>,
    on_time: usize,
    begun: u64,
    paid: u64,
}

impl Outcome {
    fn mean_ms(&self) -> u64 {
        self.latencies_ms.iter().sum::<u64>() / self.latencies_ms.len() as u64
    }

    fn percentile_95_ms(&self) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() - 1) * 95 / 100]
    }
}

/// Time at which a run ends, if its job is known and all members of its gang run.
fn end_at(
    harness: &SchedulerHarness,
    path: &str,
    arrivals: &[Arrival],
    factor: f64,
) -> Option<Millis> {
    let arrival = &arrivals[path.split('.').next()?.parse::<usize>().ok()?];
    let rack = |path: &str| {
        let worker = harness.worker_running(path)?;
        harness.workers[worker].report.labels.last().cloned()
    };
    let own = rack(path);
    let job = path.split('.').next()?;
    let is_near = match &arrival.step.affinity {
        Some(preferred) => own.as_ref() == Some(preferred),
        None if arrival.step.same_rack => {
            (0..arrival.step.count).all(|index| rack(&format!("{job}.0.0.{index}")) == own)
        }
        None => true,
    };
    let factor = if is_near { 1.0 } else { factor };
    Some(
        harness
            .now
            .after_ms((arrival.run_ms as f64 * factor) as u64),
    )
}

/// Plays arrivals until all jobs are done.
fn replay(racks: &[&str], wait: PlacementWait, factor: f64, arrivals: &[Arrival]) -> Outcome {
    let mut harness = SchedulerHarness::with_racks(racks, wait);
    let start = harness.now;
    let mut ends: FastMap<String, Millis> = FastMap::default();
    let mut latencies: Vec<Option<u64>> = vec![None; arrivals.len()];
    let mut submitted = 0;
    while latencies.contains(&None) {
        assert!(harness.now.ms_since(start) < 300_000, "all jobs end");
        while submitted < arrivals.len() && start.after_ms(arrivals[submitted].at_ms) <= harness.now
        {
            harness.submit(&submitted.to_string(), record(&arrivals[submitted]));
            submitted += 1;
        }
        harness.run_for(TICK_MS);
        for path in harness.running() {
            let at = end_at(&harness, &path, arrivals, factor).unwrap_or(Millis::MAX);
            ends.entry(path).or_insert(at);
        }
        let now = harness.now;
        for path in harness.running().iter().filter(|path| ends[*path] <= now) {
            harness.end_task(path, RunEndKind::Done);
        }
        for (index, latency) in latencies.iter_mut().enumerate().take(submitted) {
            if latency.is_none() && harness.state(&index.to_string()) == JobState::Completed {
                *latency = Some(harness.now.ms_since(start.after_ms(arrivals[index].at_ms)));
            }
        }
    }
    let latencies_ms: Vec<u64> = latencies.into_iter().flatten().collect();
    let (latencies_ms, arrivals): (Vec<u64>, Vec<&Arrival>) = latencies_ms
        .into_iter()
        .zip(arrivals)
        .filter(|(_, arrival)| arrival.is_measured)
        .unzip();
    let jobs = latencies_ms.iter().zip(arrivals);
    let counts = harness.scheduler.placement_wait_counts();
    Outcome {
        on_time: jobs
            .filter(|(latency_ms, arrival)| **latency_ms <= record(arrival).objective_ms())
            .count(),
        latencies_ms,
        begun: counts.begun,
        paid: counts.paid,
    }
}

/// Plays arrivals with no wait, a fixed wait and the decision, and prints the figures.
fn compare(name: &str, racks: &[&str], factor: f64, arrivals: &[Arrival]) -> [Outcome; 3] {
    let policies = [
        PlacementWait::Off,
        FIXED,
        PlacementWait::from_factor(factor),
    ];
    let outcomes = policies.map(|policy| replay(racks, policy, factor, arrivals));
    for (policy, outcome) in ["no wait", "1 s", "decision"].iter().zip(&outcomes) {
        println!(
            "{name}, factor {factor}, {policy}: mean {} ms, 95% {} ms, on time {} of {}, waits {} paid {}",
            outcome.mean_ms(),
            outcome.percentile_95_ms(),
            outcome.on_time,
            outcome.latencies_ms.len(),
            outcome.begun,
            outcome.paid
        );
    }
    outcomes
}

/// Tasks of 1 s near rack `a`, at the given mean interval; the spacing varies by half of it.
fn stream(count: u64, interval_ms: u64) -> Vec<Arrival> {
    (0..count)
        .map(|index| {
            let shift_ms = index * 7_919 % interval_ms;
            arrival(index * interval_ms + shift_ms / 2, near("a", 1, 1_000))
        })
        .collect()
}

/// Tasks near rack `a` beside others that run anywhere and keep that rack full; one of its runs ends every 100 ms.
fn mixed() -> Vec<Arrival> {
    let filler = |at_ms| Arrival {
        is_measured: false,
        ..arrival(
            at_ms,
            StepSpec {
                estimate_ms: 800,
                ..step(1)
            },
        )
    };
    let fillers = (0..400).map(|index| filler(index * 40));
    let near = (0..30).map(|index| Arrival {
        stretch: 5.0,
        ..arrival(1_000 + index * 450, near("a", 1, 1_000))
    });
    let mut arrivals: Vec<Arrival> = fillers.chain(near).collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Guards against running elsewhere although the rack, which ends a run every 100 ms or so, soon has room.
#[test]
fn a_rack_that_often_frees_room_is_waited_for() {
    for factor in [1.5, 3.0] {
        let [no_wait, _, decision] = compare("(a) frees room often", &RACKS, factor, &mixed());
        assert!(decision.mean_ms() <= no_wait.mean_ms());
        assert!(decision.on_time >= no_wait.on_time);
        assert!(decision.paid > decision.begun / 2);
    }
}

/// Guards against a crowd that waits for one rack: there is room for half of it, and the rest must not wait.
#[test]
fn a_crowd_does_not_wait_for_one_rack() {
    let arrivals = stream(300, 60);
    let [no_wait, fixed, decision] = compare("(b) crowded rack", &RACKS, 1.5, &arrivals);
    assert!(decision.mean_ms() <= no_wait.mean_ms() + 100);
    assert!(decision.mean_ms() <= fixed.mean_ms());
}

/// Guards against waiting for a rack whose runs last long: the wait would exceed the loss.
#[test]
fn a_rack_with_long_runs_is_not_waited_for() {
    let long = (0..8).map(|index| arrival(index * 10, near("a", 1, 20_000)));
    let short = (0..20).map(|index| arrival(1_000 + index * 400, near("a", 1, 1_000)));
    let arrivals: Vec<Arrival> = long.chain(short).collect();
    let [no_wait, fixed, decision] = compare("(c) long runs", &RACKS, 3.0, &arrivals);
    assert_eq!(decision.begun, 0);
    assert_eq!(decision.latencies_ms, no_wait.latencies_ms);
    assert!(fixed.mean_ms() > decision.mean_ms());
}

/// Guards against a wait that makes a job late which is on time elsewhere.
#[test]
fn a_task_does_not_wait_past_its_objective() {
    let mut arrivals: Vec<Arrival> = (0..8).map(|_| arrival(0, near("a", 1, 1_500))).collect();
    for filler in &mut arrivals {
        filler.run_ms = 2_500;
    }
    let mut urgent = arrival(700, near("a", 1, 1_000));
    urgent.stretch = 2.0;
    arrivals.push(urgent);
    let [_, fixed, decision] = compare("(d) deadline near", &RACKS, 2.0, &arrivals);
    assert_eq!(decision.begun, 0);
    assert_eq!(decision.on_time, fixed.on_time + 1);
}

fn gang(run_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        same_rack: true,
        estimate_ms: run_ms,
        ..step(4)
    }
}

/// Guards against spreading a gang that fits on one rack, now or soon, and against waiting long for one.
#[test]
fn a_gang_starts_on_one_rack_if_that_pays() {
    let racks = ["a", "b"];
    let filled = |run_ms| {
        let fill = |rack: &str| arrival(0, near(rack, 3, run_ms));
        vec![
            fill("a"),
            fill("b"),
            arrival(
                100,
                StepSpec {
                    count: 2,
                    ..gang(1_000)
                },
            ),
        ]
    };
    let now = compare(
        "(e) gang fits now",
        &racks,
        2.0,
        &[arrival(0, near("a", 2, 500)), arrival(100, gang(1_000))],
    );
    assert!(now[2].latencies_ms[1] < 1_200);
    assert_eq!(now[2].begun, 0);
    let [no_wait, _, soon] = compare("(e) gang fits soon", &racks, 2.0, &filled(400));
    assert_eq!((soon.begun, soon.paid), (1, 1));
    assert!(soon.latencies_ms[2] < no_wait.latencies_ms[2]);
    let [_, _, late] = compare("(e) gang fits late", &racks, 2.0, &filled(10_000));
    assert_eq!(late.begun, 0);
    assert!(late.latencies_ms[2] < 2_200);
}

/// Guards against a wait in deployments that do not set the factor, or set it to 1.
#[test]
fn nothing_waits_without_the_setting() {
    assert_eq!(PlacementWait::from_factor(1.0), PlacementWait::Off);
    let outcome = replay(&RACKS, PlacementWait::default(), 3.0, &stream(40, 60));
    assert_eq!(outcome.begun, 0);
}
