//! Tests of individual placement rules: start bounds of urgent and low jobs, quotas, failing jobs
//! and workers, adjusted reservations, mass cancellations and changes of the controller.

#![allow(clippy::unwrap_used, clippy::panic, reason = "test code fails loudly")]

mod placement_harness;

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::placement::{
    Health, JobOutcome, JobRefused, LOW_RANK_DELAY_MS, Lifecycle, PlacementAction, PlacementRecord,
    Planner, QUARANTINE_FIRST_MS, Report, TaskReport, URGENT_START_MS, Urgency,
};
use rosemaryscale_domain::prelude::*;

use placement_harness::worker::TaskFault;
use placement_harness::{CAPACITY, PlacementHarness, TEAMS, WORKERS, size};

const SEEDS: [u64; 3] = [3, 20_261_204, 0x5eed];
const LONG_MS: u64 = 3_600_000;

fn started_world() -> PlacementHarness {
    let mut harness = PlacementHarness::new();
    harness.run_ms(2_000);
    harness
}

fn check(property: fn(Vec<u8>) -> bool) {
    for seed in SEEDS {
        let source = Gen::from_size_and_seed(24, seed);
        QuickCheck::new().rng(source).tests(40).quickcheck(property);
    }
}

fn submit(
    harness: &mut PlacementHarness,
    team: usize,
    urgency: Urgency,
    processors: u64,
) -> Arc<str> {
    let info = harness.info(team, urgency, processors);
    harness.submit(info, LONG_MS, TaskFault::None).unwrap()
}

fn waited_ms(harness: &PlacementHarness, name: &str) -> Option<u64> {
    let tracked = &harness.jobs[name];
    tracked.started.map(|at| at.ms_since(tracked.submitted))
}

/// Guards against urgent jobs that wait for less urgent ones of any team while one worker is
/// frozen.
#[test]
fn urgent_jobs_start_within_the_bound_by_preemption() {
    fn property(sizes: Vec<u8>) -> bool {
        let mut harness = started_world();
        for (index, processors) in sizes.iter().enumerate() {
            let processors = 1_000 * (1 + u64::from(processors % 8));
            submit(&mut harness, index % TEAMS, Urgency::Low, processors);
        }
        harness.run_ms(5_000);
        let frozen = sizes.len() % WORKERS;
        harness.workers[frozen].frozen_until = harness.now.after_ms(LONG_MS);
        // Each of the three other workers can hold two of these, in whatever order they start.
        let urgent = [(); 4].map(|()| submit(&mut harness, 0, Urgency::Urgent, 4_000));
        harness.run_ms(URGENT_START_MS + 200);
        let in_time = |name: &Arc<str>| waited_ms(&harness, name) <= Some(URGENT_START_MS);
        urgent
            .iter()
            .all(|name| waited_ms(&harness, name).is_some() && in_time(name))
    }
    check(property);
}

/// Guards against starvation of low jobs by a stream of normal ones.
#[test]
fn low_jobs_start_under_a_steady_stream_of_normal_jobs() {
    let mut harness = started_world();
    let mut low = None;
    for round in 0..(LOW_RANK_DELAY_MS / 2_000) {
        for _ in 0..3 {
            let info = harness.info(0, Urgency::Normal, 6_000);
            harness.submit(info, 10_000, TaskFault::None);
        }
        harness.run_ms(4_000);
        if round == 5 {
            low = Some(submit(&mut harness, 0, Urgency::Low, 8_000));
        }
    }
    let low = low.unwrap();
    let waited_ms = waited_ms(&harness, &low).unwrap();
    assert!(waited_ms <= 2 * LOW_RANK_DELAY_MS, "{waited_ms}");
}

/// Guards against starvation of a large job by small ones, each of which fits into the next gap.
#[test]
fn small_jobs_do_not_starve_a_large_job() {
    let mut harness = started_world();
    let small = |harness: &mut PlacementHarness, run_ms| {
        let mut info = harness.info(1, Urgency::Normal, 1_000);
        info.checkpointable = false;
        harness.submit(info, run_ms, TaskFault::None);
        let mut info = harness.info(0, Urgency::Normal, 1_000);
        info.checkpointable = false;
        harness.submit(info, run_ms, TaskFault::None);
    };
    for round in 0..40 {
        small(&mut harness, 8_000 + 400 * round);
    }
    harness.run_ms(500);
    let large = submit(&mut harness, 0, Urgency::Normal, 8_000);
    for _ in 0..600 {
        small(&mut harness, 20_000);
        harness.run_ms(1_000);
    }
    let waited_ms = waited_ms(&harness, &large);
    assert!(
        waited_ms.is_some_and(|waited_ms| waited_ms <= 300_000),
        "{waited_ms:?}"
    );
}

/// Guards against borrowed quota that its owner cannot reclaim.
#[test]
fn borrowed_quota_is_reclaimed_within_a_bound() {
    let mut harness = started_world();
    for _ in 0..8 {
        submit(&mut harness, 0, Urgency::Normal, 4_000);
    }
    harness.run_ms(5_000);
    let running = harness
        .workers
        .iter()
        .map(|model| model.tasks.len())
        .sum::<usize>();
    assert_eq!(running, 8, "the other team's quota is borrowed");
    let owner = [0, 1].map(|_| submit(&mut harness, 1, Urgency::Low, 8_000));
    harness.run_ms(30_000);
    for name in owner {
        assert!(
            waited_ms(&harness, &name).is_some(),
            "the owner did not get its quota back"
        );
    }
}

/// Guards against the acceptance of jobs that can never run.
#[test]
fn jobs_that_can_never_be_placed_are_refused_with_a_remedy() {
    let mut harness = started_world();
    let refuse = |harness: &mut PlacementHarness, declared| {
        let mut info = harness.info(0, Urgency::Low, 1_000);
        info.declared = declared;
        harness
            .planner
            .submit("large".into(), info, harness.now)
            .unwrap_err()
    };
    let no_worker = refuse(&mut harness, size(9_000, 100, 0));
    assert!(
        matches!(no_worker, JobRefused::FitsNoWorker { .. }),
        "{no_worker}"
    );
    let no_quota = refuse(&mut harness, size(1_000, 100, 5));
    assert!(
        matches!(no_quota, JobRefused::ExceedsQuota { .. }),
        "{no_quota}"
    );
    assert!(no_worker.to_string().contains("declare less"));
}

/// Guards against endless retries of a job that fails or crashes its worker everywhere, and against
/// quarantine of those workers.
#[test]
fn a_job_that_always_fails_ends_without_quarantine_of_its_workers() {
    for fault in [TaskFault::Fails, TaskFault::CrashesWorker] {
        let mut harness = started_world();
        let info = harness.info(0, Urgency::Normal, 2_000);
        let name = harness.submit(info, LONG_MS, fault).unwrap();
        harness.run_ms(120_000);
        let tracked = &harness.jobs[&name];
        assert_eq!(tracked.outcomes, [JobOutcome::FailedOnSeveralWorkers]);
        assert_eq!(tracked.runs_begun, 3);
        for key in &harness.keys {
            assert_eq!(harness.planner.health(*key), Some(Health::Usable));
        }
    }
}

/// Guards against quarantine of the whole fleet because of jobs that crash their workers.
#[test]
fn jobs_that_crash_workers_do_not_quarantine_the_fleet() {
    let mut harness = started_world();
    for _ in 0..12 {
        let info = harness.info(0, Urgency::Normal, 2_000);
        harness.submit(info, LONG_MS, TaskFault::CrashesWorker);
    }
    harness.run_ms(300_000);
    let quarantined = harness
        .keys
        .iter()
        .filter(|key| harness.planner.health(**key) != Some(Health::Usable));
    assert!(quarantined.count() <= 1);
    let name = submit(&mut harness, 1, Urgency::Normal, 2_000);
    harness.run_ms(30_000);
    assert!(waited_ms(&harness, &name).is_some());
}

/// Guards against a worker that fails all starts and attracts all jobs because it is always free,
/// and against quarantine of the other workers.
#[test]
fn a_worker_that_fails_all_starts_is_probed_with_growing_pauses() {
    let mut harness = started_world();
    harness.workers[0].fails_all_starts = true;
    for _ in 0..20 {
        submit(&mut harness, 0, Urgency::Normal, 1_000);
    }
    harness.run_ms(20_000);
    let Some(Health::Quarantined { pause_ms, .. }) = harness.planner.health(harness.keys[0]) else {
        panic!("the worker is not quarantined");
    };
    assert_eq!(pause_ms, QUARANTINE_FIRST_MS);
    for key in &harness.keys[1..] {
        assert_eq!(harness.planner.health(*key), Some(Health::Usable));
    }
    for _ in 0..30 {
        let info = harness.info(1, Urgency::Normal, 8_000);
        harness.submit(info, 20_000, TaskFault::None);
    }
    harness.run_ms(2 * QUARANTINE_FIRST_MS);
    let health = harness.planner.health(harness.keys[0]);
    let expected = Health::Quarantined {
        until: Millis::MAX,
        pause_ms: 2 * QUARANTINE_FIRST_MS,
    };
    assert!(
        matches!((health, expected), (Some(Health::Quarantined { pause_ms: a, .. }), Health::Quarantined { pause_ms: b, .. }) if a == b),
        "{health:?}"
    );
    harness.workers[0].fails_all_starts = false;
    for _ in 0..30 {
        let info = harness.info(1, Urgency::Normal, 8_000);
        harness.submit(info, 20_000, TaskFault::None);
    }
    harness.run_ms(4 * QUARANTINE_FIRST_MS);
    assert_eq!(
        harness.planner.health(harness.keys[0]),
        Some(Health::Usable)
    );
}

/// Creates a planner with one worker and one team, without a placement harness.
fn single_worker_planner() -> (Planner, TeamKey, WorkerKey) {
    let mut planner = Planner::new(1, Millis::ZERO);
    let team = planner.add_team("team".into(), CAPACITY);
    let worker = planner.add_worker("worker".into(), CAPACITY);
    planner.report(worker, &report(1, Vec::new()), Millis::ZERO);
    (planner, team, worker)
}

fn report(sequence: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        incarnation: 1,
        sequence,
        fencing_token: 0,
        tasks,
        ended: Vec::new(),
    }
}

/// Starts a job and returns its fencing token.
fn start(planner: &mut Planner, team: TeamKey, name: &str, urgency: Urgency, now: Millis) -> u64 {
    let info = rosemaryscale_domain::placement::JobInfo {
        team,
        urgency,
        declared: size(2_000, 4_000, 0),
        repeatable: true,
        checkpointable: true,
    };
    planner.submit(name.into(), info, now).unwrap();
    planner.step(now);
    planner.write_succeeded(now);
    let actions = planner.step(now);
    let token = actions.iter().find_map(|action| match action {
        PlacementAction::Start { token, worker, .. } => Some((*token, *worker)),
        _ => None,
    });
    planner.write_succeeded(now);
    let (token, worker) = token.unwrap();
    planner.run_started(worker, token, now);
    token
}

fn usage(name: &str, token: u64, memory_mb: u64) -> TaskReport {
    TaskReport {
        name: name.into(),
        token,
        usage: size(1_000, memory_mb, 0),
    }
}

/// Guards against a worker that runs out of memory because a task uses more than declared: the
/// least urgent task is checkpointed. Also guards against a reservation that is lowered during
/// start-up, and against new tasks on a worker without a recent report.
#[test]
fn reported_usage_adjusts_reservations_conservatively() {
    let (mut planner, team, worker) = single_worker_planner();
    let now = Millis::from_ms(1_000);
    let normal = start(&mut planner, team, "normal", Urgency::Normal, now);
    let low = start(&mut planner, team, "low", Urgency::Low, now);
    let small = vec![usage("normal", normal, 1_000), usage("low", low, 1_000)];
    planner.report(worker, &report(2, small.clone()), now.after_ms(10_000));
    assert_eq!(
        planner.reserved_and_capacity(worker).unwrap().0.memory_mb,
        8_000,
        "still in start-up"
    );
    planner.report(worker, &report(3, small), now.after_ms(70_000));
    assert_eq!(
        planner.reserved_and_capacity(worker).unwrap().0.memory_mb,
        2_500
    );
    let large = vec![usage("normal", normal, 10_000), usage("low", low, 8_000)];
    planner.report(worker, &report(4, large), now.after_ms(80_000));
    let actions = planner.step(now.after_ms(80_000));
    assert!(
        actions.contains(&PlacementAction::Checkpoint { worker, token: low }),
        "{actions:?}"
    );
    let late = now.after_ms(115_000);
    let info = *planner.job(planner.job_named("low").unwrap()).unwrap();
    let mut info = info.info();
    info.declared = size(1_000, 100, 0);
    planner.submit("late".into(), info, late).unwrap();
    planner.step(late);
    planner.write_succeeded(late);
    let actions = planner.step(late);
    let started = actions
        .iter()
        .any(|action| matches!(action, PlacementAction::Start { .. }));
    assert!(!started, "the report is too old");
}

/// Guards against a burst of stops and writes when thousands of jobs are cancelled at once, and
/// against urgent jobs that wait behind the cancellations.
#[test]
fn a_mass_cancellation_causes_few_writes_and_no_burst_of_stops() {
    let mut harness = started_world();
    for index in 0..3_000 {
        submit(&mut harness, index % TEAMS, Urgency::Low, 1_000);
    }
    harness.run_ms(10_000);
    let before = harness.writes;
    for name in harness.jobs.keys() {
        let job = harness.planner.job_named(name).unwrap();
        harness.planner.cancel(job, harness.now);
    }
    let urgent = submit(&mut harness, 0, Urgency::Urgent, 8_000);
    let now = harness.now;
    let actions = harness.planner.step(now);
    let stops = actions
        .iter()
        .filter(|action| matches!(action, PlacementAction::Stop { .. }));
    assert!(stops.count() <= 20);
    for action in actions {
        harness.perform(action);
    }
    harness.run_ms(30_000);
    assert!(waited_ms(&harness, &urgent).unwrap() <= URGENT_START_MS);
    assert!(
        harness.writes - before <= 3_000 / 100 + 10,
        "{}",
        harness.writes - before
    );
    let cancelled = harness
        .jobs
        .values()
        .filter(|tracked| tracked.outcomes == [JobOutcome::Cancelled]);
    assert_eq!(cancelled.count(), 3_000);
}

/// Guards against a second run of a job that must not be repeated while its worker is unresponsive,
/// and against a repeatable job that waits for that worker.
#[test]
fn an_expired_lease_reruns_only_repeatable_jobs() {
    let mut harness = started_world();
    let repeatable = submit(&mut harness, 0, Urgency::Normal, 2_000);
    let mut info = harness.info(0, Urgency::Normal, 2_000);
    info.repeatable = false;
    let once = harness.submit(info, LONG_MS, TaskFault::None).unwrap();
    harness.run_ms(3_000);
    for model in &mut harness.workers {
        if !model.tasks.is_empty() {
            model.frozen_until = harness.now.after_ms(200_000);
        }
    }
    harness.run_ms(100_000);
    assert_eq!(harness.jobs[&repeatable].runs_begun, 2);
    assert_eq!(harness.jobs[&once].runs_begun, 1);
    let lifecycle = harness
        .planner
        .job(harness.planner.job_named(&once).unwrap())
        .unwrap();
    assert!(
        matches!(lifecycle, Lifecycle::Running(_)),
        "the end of the run is unknown"
    );
    for model in &mut harness.workers {
        model.restart();
    }
    harness.run_ms(250_000);
    assert_eq!(harness.jobs[&once].runs_begun, 1);
    assert_eq!(harness.jobs[&once].outcomes, [JobOutcome::Unknown]);
}

/// Guards against accepted jobs that are lost with their controller, and against a second run of a
/// job whose start was stored but never sent.
#[test]
fn a_new_controller_restores_stored_jobs_and_adopts_running_tasks() {
    let mut harness = started_world();
    let running = submit(&mut harness, 0, Urgency::Normal, 2_000);
    let mut info = harness.info(0, Urgency::Normal, 2_000);
    info.repeatable = false;
    let once = harness.submit(info, 50_000, TaskFault::None).unwrap();
    let unsent = harness.submit(info, 50_000, TaskFault::None).unwrap();
    harness.run_ms(3_000);
    // A start that the former controller stored but did not send.
    let token = 1 << 32 | 999;
    let worker = harness.keys[WORKERS - 1];
    let incarnation = 1;
    let stored = PlacementRecord::MayRun {
        worker,
        token,
        incarnation,
    };
    let lost: Arc<str> = "job-3".into();
    harness.submit(info, 50_000, TaskFault::None).unwrap();
    harness.store.insert(lost.clone(), (info, stored));
    harness.change_controller();
    harness.run_ms(60_000);
    assert_eq!(
        harness.jobs[&running].runs_begun, 1,
        "the running task is adopted"
    );
    for name in [&once, &unsent, &lost] {
        assert_eq!(harness.jobs[name].runs_begun, 1);
        assert_eq!(harness.jobs[name].outcomes, [JobOutcome::Done]);
    }
}
