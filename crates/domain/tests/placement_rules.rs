//! Single rules of placement: bounds for urgent and low work, quotas, failing jobs and workers,
//! corrected sizes, cancellation waves and changes of the controller.

#![allow(clippy::unwrap_used, clippy::panic, reason = "test code fails loudly")]

mod placement_world;

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::placement::{
    Health, JobOutcome, JobRecord, JobRefused, LOW_RANK_MS, Life, PlacementAction, Planner,
    QUARANTINE_FIRST_MS, Report, TaskReport, URGENT_START_MS, Urgency,
};
use rosemaryscale_domain::prelude::*;

use placement_world::worker::TaskFault;
use placement_world::{CAPACITY, TEAMS, WORKERS, World, size};

const SEEDS: [u64; 3] = [3, 20_261_204, 0x5eed];
const LONG_MS: u64 = 3_600_000;

fn ready() -> World {
    let mut world = World::new();
    world.run_ms(2_000);
    world
}

fn check(property: fn(Vec<u8>) -> bool) {
    for seed in SEEDS {
        let source = Gen::from_size_and_seed(24, seed);
        QuickCheck::new().rng(source).tests(40).quickcheck(property);
    }
}

fn submit(world: &mut World, team: usize, urgency: Urgency, processors: u64) -> Arc<str> {
    let info = world.info(team, urgency, processors);
    world.submit(info, LONG_MS, TaskFault::None).unwrap()
}

fn waited_ms(world: &World, name: &str) -> Option<u64> {
    let known = &world.jobs[name];
    known.started.map(|at| at.ms_since(known.submitted))
}

/// Guards against urgent work that waits for less urgent work of any team, with one frozen worker.
#[test]
fn urgent_work_starts_within_its_bound_through_checkpoints() {
    fn property(sizes: Vec<u8>) -> bool {
        let mut world = ready();
        for (index, processors) in sizes.iter().enumerate() {
            let processors = 1_000 * (1 + u64::from(processors % 8));
            submit(&mut world, index % TEAMS, Urgency::Low, processors);
        }
        world.run_ms(5_000);
        let frozen = sizes.len() % WORKERS;
        world.models[frozen].frozen_until = world.now.after_ms(LONG_MS);
        // Each of the three other workers has room for two of these, in whatever order they start.
        let urgent = [(); 4].map(|()| submit(&mut world, 0, Urgency::Urgent, 4_000));
        world.run_ms(URGENT_START_MS + 200);
        let in_time = |name: &Arc<str>| waited_ms(&world, name) <= Some(URGENT_START_MS);
        urgent
            .iter()
            .all(|name| waited_ms(&world, name).is_some() && in_time(name))
    }
    check(property);
}

/// Guards against low work that waits for ever behind a stream of normal work.
#[test]
fn low_work_starts_under_a_lasting_flood_of_normal_work() {
    let mut world = ready();
    let mut low = None;
    for round in 0..(LOW_RANK_MS / 2_000) {
        for _ in 0..3 {
            let info = world.info(0, Urgency::Normal, 6_000);
            world.submit(info, 10_000, TaskFault::None);
        }
        world.run_ms(4_000);
        if round == 5 {
            low = Some(submit(&mut world, 0, Urgency::Low, 8_000));
        }
    }
    let low = low.unwrap();
    let waited_ms = waited_ms(&world, &low).unwrap();
    assert!(waited_ms <= 2 * LOW_RANK_MS, "{waited_ms}");
}

/// Guards against a large job that small ones pass for ever, since each fills the next gap.
#[test]
fn a_large_job_is_not_passed_for_ever_by_small_ones() {
    let mut world = ready();
    let small = |world: &mut World, run_ms| {
        let mut info = world.info(1, Urgency::Normal, 1_000);
        info.checkpointable = false;
        world.submit(info, run_ms, TaskFault::None);
        let mut info = world.info(0, Urgency::Normal, 1_000);
        info.checkpointable = false;
        world.submit(info, run_ms, TaskFault::None);
    };
    for round in 0..40 {
        small(&mut world, 8_000 + 400 * round);
    }
    world.run_ms(500);
    let large = submit(&mut world, 0, Urgency::Normal, 8_000);
    for _ in 0..600 {
        small(&mut world, 20_000);
        world.run_ms(1_000);
    }
    let waited_ms = waited_ms(&world, &large);
    assert!(
        waited_ms.is_some_and(|waited_ms| waited_ms <= 300_000),
        "{waited_ms:?}"
    );
}

/// Guards against borrowed quota that its owner does not get back.
#[test]
fn borrowed_quota_is_returned_within_a_bound() {
    let mut world = ready();
    for _ in 0..8 {
        submit(&mut world, 0, Urgency::Normal, 4_000);
    }
    world.run_ms(5_000);
    let running = world
        .models
        .iter()
        .map(|model| model.tasks.len())
        .sum::<usize>();
    assert_eq!(running, 8, "the other team's quota is lent");
    let owner = [0, 1].map(|_| submit(&mut world, 1, Urgency::Low, 8_000));
    world.run_ms(30_000);
    for name in owner {
        assert!(
            waited_ms(&world, &name).is_some(),
            "the owner waits for its own quota"
        );
    }
}

/// Guards against jobs that are accepted although they can never run.
#[test]
fn jobs_that_can_never_be_placed_are_refused_with_a_remedy() {
    let mut world = ready();
    let refuse = |world: &mut World, declared| {
        let mut info = world.info(0, Urgency::Low, 1_000);
        info.declared = declared;
        world
            .planner
            .submit("large".into(), info, world.now)
            .unwrap_err()
    };
    let no_worker = refuse(&mut world, size(9_000, 100, 0));
    assert!(
        matches!(no_worker, JobRefused::FitsNoWorker { .. }),
        "{no_worker}"
    );
    let no_quota = refuse(&mut world, size(1_000, 100, 5));
    assert!(
        matches!(no_quota, JobRefused::ExceedsQuota { .. }),
        "{no_quota}"
    );
    assert!(no_worker.to_string().contains("declare less"));
}

/// Guards against a job that is tried for ever, and against blaming the workers that it fails on
/// or takes down.
#[test]
fn a_job_that_fails_everywhere_is_stopped_and_no_worker_is_blamed() {
    for fault in [TaskFault::Fails, TaskFault::KillsWorker] {
        let mut world = ready();
        let info = world.info(0, Urgency::Normal, 2_000);
        let name = world.submit(info, LONG_MS, fault).unwrap();
        world.run_ms(120_000);
        let known = &world.jobs[&name];
        assert_eq!(known.outcomes, [JobOutcome::FailsEverywhere]);
        assert_eq!(known.begun, 3);
        for key in &world.keys {
            assert_eq!(world.planner.health(*key), Some(Health::Usable));
        }
    }
}

/// Guards against a fleet in quarantine because of jobs that take their workers down.
#[test]
fn jobs_that_kill_workers_do_not_quarantine_the_fleet() {
    let mut world = ready();
    for _ in 0..12 {
        let info = world.info(0, Urgency::Normal, 2_000);
        world.submit(info, LONG_MS, TaskFault::KillsWorker);
    }
    world.run_ms(300_000);
    let quarantined = world
        .keys
        .iter()
        .filter(|key| world.planner.health(**key) != Some(Health::Usable));
    assert!(quarantined.count() <= 1);
    let name = submit(&mut world, 1, Urgency::Normal, 2_000);
    world.run_ms(30_000);
    assert!(waited_ms(&world, &name).is_some());
}

/// Guards against a worker that fails everything and is given all work, since it is always free;
/// and against quarantine of workers that were never given work.
#[test]
fn a_worker_that_fails_everything_is_probed_with_growing_pauses() {
    let mut world = ready();
    world.models[0].bad = true;
    for _ in 0..20 {
        submit(&mut world, 0, Urgency::Normal, 1_000);
    }
    world.run_ms(20_000);
    let Some(Health::Quarantined { pause_ms, .. }) = world.planner.health(world.keys[0]) else {
        panic!("the worker is not in quarantine");
    };
    assert_eq!(pause_ms, QUARANTINE_FIRST_MS);
    for key in &world.keys[1..] {
        assert_eq!(world.planner.health(*key), Some(Health::Usable));
    }
    for _ in 0..30 {
        let info = world.info(1, Urgency::Normal, 8_000);
        world.submit(info, 20_000, TaskFault::None);
    }
    world.run_ms(2 * QUARANTINE_FIRST_MS);
    let health = world.planner.health(world.keys[0]);
    let grown = Health::Quarantined {
        until: Millis::MAX,
        pause_ms: 2 * QUARANTINE_FIRST_MS,
    };
    assert!(
        matches!((health, grown), (Some(Health::Quarantined { pause_ms: a, .. }), Health::Quarantined { pause_ms: b, .. }) if a == b),
        "{health:?}"
    );
    world.models[0].bad = false;
    for _ in 0..30 {
        let info = world.info(1, Urgency::Normal, 8_000);
        world.submit(info, 20_000, TaskFault::None);
    }
    world.run_ms(4 * QUARANTINE_FIRST_MS);
    assert_eq!(world.planner.health(world.keys[0]), Some(Health::Usable));
}

/// A planner with one worker and one team, driven by hand.
fn single() -> (Planner, TeamKey, WorkerKey) {
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
        fence: 0,
        tasks,
        ended: Vec::new(),
    }
}

/// Starts a job and returns its token.
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
    planner.written(now);
    let actions = planner.step(now);
    let token = actions.iter().find_map(|action| match action {
        PlacementAction::Start { token, worker, .. } => Some((*token, *worker)),
        _ => None,
    });
    planner.written(now);
    let (token, worker) = token.unwrap();
    planner.started(worker, token, now);
    token
}

fn usage(name: &str, token: u64, memory_mb: u64) -> TaskReport {
    TaskReport {
        name: name.into(),
        token,
        usage: size(1_000, memory_mb, 0),
    }
}

/// Guards against a worker that runs out of memory because declared sizes are believed: the least
/// urgent task is checkpointed. Also guards against a lowered reservation before a task settled,
/// and against new tasks on a worker whose report is old.
#[test]
fn reported_usage_corrects_reservations_in_the_safe_direction() {
    let (mut planner, team, worker) = single();
    let now = Millis::from_ms(1_000);
    let normal = start(&mut planner, team, "normal", Urgency::Normal, now);
    let low = start(&mut planner, team, "low", Urgency::Low, now);
    let small = vec![usage("normal", normal, 1_000), usage("low", low, 1_000)];
    planner.report(worker, &report(2, small.clone()), now.after_ms(10_000));
    assert_eq!(
        planner.reserved(worker).unwrap().0.memory_mb,
        8_000,
        "not settled"
    );
    planner.report(worker, &report(3, small), now.after_ms(70_000));
    assert_eq!(planner.reserved(worker).unwrap().0.memory_mb, 2_500);
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
    planner.written(late);
    let actions = planner.step(late);
    let started = actions
        .iter()
        .any(|action| matches!(action, PlacementAction::Start { .. }));
    assert!(!started, "the report is too old");
}

/// Guards against a burst of stops and writes when thousands of jobs are cancelled at once, and
/// against urgent work that waits for the wave.
#[test]
fn a_cancellation_wave_causes_few_writes_and_no_burst_of_stops() {
    let mut world = ready();
    for index in 0..3_000 {
        submit(&mut world, index % TEAMS, Urgency::Low, 1_000);
    }
    world.run_ms(10_000);
    let before = world.writes;
    for name in world.jobs.keys() {
        let job = world.planner.job_named(name).unwrap();
        world.planner.cancel(job, world.now);
    }
    let urgent = submit(&mut world, 0, Urgency::Urgent, 8_000);
    let now = world.now;
    let actions = world.planner.step(now);
    let stops = actions
        .iter()
        .filter(|action| matches!(action, PlacementAction::Stop { .. }));
    assert!(stops.count() <= 20);
    for action in actions {
        world.act(action);
    }
    world.run_ms(30_000);
    assert!(waited_ms(&world, &urgent).unwrap() <= URGENT_START_MS);
    assert!(
        world.writes - before <= 3_000 / 100 + 10,
        "{}",
        world.writes - before
    );
    let cancelled = world
        .jobs
        .values()
        .filter(|known| known.outcomes == [JobOutcome::Cancelled]);
    assert_eq!(cancelled.count(), 3_000);
}

/// Guards against a second run of a job that must not be repeated while its worker is silent, and
/// against a repeatable job that waits for that worker.
#[test]
fn a_lapsed_lease_reruns_only_repeatable_work() {
    let mut world = ready();
    let repeatable = submit(&mut world, 0, Urgency::Normal, 2_000);
    let mut info = world.info(0, Urgency::Normal, 2_000);
    info.repeatable = false;
    let once = world.submit(info, LONG_MS, TaskFault::None).unwrap();
    world.run_ms(3_000);
    for model in &mut world.models {
        if !model.tasks.is_empty() {
            model.frozen_until = world.now.after_ms(200_000);
        }
    }
    world.run_ms(100_000);
    assert_eq!(world.jobs[&repeatable].begun, 2);
    assert_eq!(world.jobs[&once].begun, 1);
    let life = world
        .planner
        .job(world.planner.job_named(&once).unwrap())
        .unwrap();
    assert!(matches!(life, Life::Running(_)), "its end is not known");
    for model in &mut world.models {
        model.restart();
    }
    world.run_ms(250_000);
    assert_eq!(world.jobs[&once].begun, 1);
    assert_eq!(world.jobs[&once].outcomes, [JobOutcome::Unknown]);
}

/// Guards against accepted jobs that are lost with a controller, and against a second start of one
/// whose start was stored and never sent.
#[test]
fn a_new_controller_takes_over_stored_jobs_and_running_tasks() {
    let mut world = ready();
    let running = submit(&mut world, 0, Urgency::Normal, 2_000);
    let mut info = world.info(0, Urgency::Normal, 2_000);
    info.repeatable = false;
    let once = world.submit(info, 50_000, TaskFault::None).unwrap();
    let unsent = world.submit(info, 50_000, TaskFault::None).unwrap();
    world.run_ms(3_000);
    // A start that the former controller stored and did not send.
    let token = 1 << 32 | 999;
    let worker = world.keys[WORKERS - 1];
    let incarnation = 1;
    let stored = JobRecord::MayRun {
        worker,
        token,
        incarnation,
    };
    let lost: Arc<str> = "job-3".into();
    world.submit(info, 50_000, TaskFault::None).unwrap();
    world.store.insert(lost.clone(), (info, stored));
    world.change_controller();
    world.run_ms(60_000);
    assert_eq!(world.jobs[&running].begun, 1, "the running task is adopted");
    for name in [&once, &unsent, &lost] {
        assert_eq!(world.jobs[name].begun, 1);
        assert_eq!(world.jobs[name].outcomes, [JobOutcome::Done]);
    }
}
