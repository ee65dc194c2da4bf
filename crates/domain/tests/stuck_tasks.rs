//! States from which a task that could run must not stay unplaced.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, Repeat, StepSpec, TaskName, TaskPosition};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{RunEndKind, WaveRequest};
use rosemaryscale_domain::workspace::Workspaces;
use scheduler_harness::{SchedulerHarness, job, step};

/// A harness of one pool whose workers are on instances.
fn fleet(workers: usize) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    for index in 0..workers {
        let worker = format!("w{index}");
        harness.add_instance(&format!("machine-{worker}"), "service", Some(&worker));
        harness.add_worker(&worker, "service");
    }
    // The list of instances is read once a second while none of them changes.
    harness.run_for(1_100);
    harness
}

/// Guards against a worker that takes no work for good: its entry expired and came back before the next
/// batch, so that the list of workers to record was the same as before and the batch omitted it.
#[test]
fn a_worker_that_is_listed_again_before_the_next_batch_takes_work() {
    let mut harness = SchedulerHarness::new(1);
    harness.run_for(1_000);
    harness.scheduler.worker_unlisted("w0");
    harness.run_for(50);
    let report = harness.workers[0].report.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.run_for(500);
    harness.submit("job", job(vec![step(2)], 3));
    harness.run_for(500);
    assert_eq!(harness.running().len(), 2);
}

/// Guards against a worker that stays cordoned for good: one reading of the list lacked its instance while the
/// instance was being emptied for another pool, and the operation was forgotten without the cordon.
#[test]
fn an_instance_that_one_list_lacks_takes_tasks_again() {
    let mut harness = fleet(1);
    harness.submit("job", job(vec![step(4)], 3));
    let service = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit("service", job_of("other", vec![service]));
    harness.run_for(500);
    let instances = std::mem::take(&mut harness.instances);
    harness.run_for(400);
    harness.instances = instances;
    harness.cancel("service");
    harness.run_for(400);
    harness.end_all_runs(RunEndKind::Done);
    harness.submit("next", job(vec![step(1)], 3));
    harness.run_for(6_000);
    assert_eq!(harness.running(), ["next.0.0.0"]);
}

/// Guards against an instance that stays reserved for good: its move was accepted, but the list goes on to
/// show it in its former pool, since the order had taken effect before and the instance was moved back.
#[test]
fn an_accepted_move_without_effect_releases_the_instance() {
    let mut harness = fleet(2);
    harness.moved_before = true;
    harness.submit("moving", job_of("other", vec![step(1)]));
    harness.run_for(100);
    assert_eq!(harness.instance_orders.len(), 1, "one instance is moved");
    harness.cancel("moving");
    harness.run_for(500);
    harness.submit("job", job(vec![step(8)], 3));
    harness.run_for(3_000);
    assert_eq!(harness.running().len(), 8, "both workers take tasks");
}

fn job_of(service: &str, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps, 3);
    record.queue = service.into();
    record.policy.service = service.into();
    record
}

/// Guards against an occurrence that never ends: a worker listed a run of it before this leader's clock had
/// reached its time, and the other tasks of the occurrence then waited for a recovery that had ended.
#[test]
fn tasks_of_an_occurrence_that_a_worker_named_start() {
    let mut harness = SchedulerHarness::new(1);
    let mut record = job(vec![step(2)], 3);
    record.spec.repeat = Some(Repeat {
        count: 1,
        start_wall_ms: harness.now.as_ms() + 60_000,
        interval_ms: 1_000,
    });
    harness.submit("repeated", record);
    harness.submit("job", job(vec![step(1)], 3));
    harness.run_for(100);
    let listed = TaskName {
        job: "repeated".into(),
        position: TaskPosition {
            occurrence: 0,
            step: 0,
            index: 0,
        },
    };
    harness.workers[0].running.push((listed, 1));
    harness.run_for(500);
    let expected = ["job.0.0.0", "repeated.0.0.0", "repeated.0.0.1"];
    assert_eq!(harness.running(), expected);
}

/// Guards against a service without usable workers: a long-running task that fails soon after each start had
/// all of them quarantined one after another, each for up to 30 s, and other tasks waited beside free room.
#[test]
fn a_task_that_fails_on_all_workers_does_not_quarantine_them_all() {
    let mut harness = SchedulerHarness::new(4);
    let failing = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit("failing", job(vec![failing], 3));
    for _ in 0..100 {
        harness.run_for(200);
        harness.end_all_runs(RunEndKind::Failed);
    }
    harness.submit("job", job(vec![step(2)], 3));
    let mut started_after_ms = 0;
    while harness.start_count("job.0.0.1") == 0 && started_after_ms < 60_000 {
        started_after_ms += 50;
        harness.run_for(50);
        harness.end_task("failing.0.0.0", RunEndKind::Failed);
    }
    assert!(started_after_ms <= 1_000, "{started_after_ms} ms");
}

/// Guards against a job that waits for the next change of the configuration: a daemon with an older
/// configuration accepted it for a service that the queue no longer names and that has no worker.
#[test]
fn a_job_accepted_with_an_older_route_runs_on_the_service_of_its_queue() {
    let mut harness = SchedulerHarness::new(1);
    let record = job(vec![step(1)], 3);
    let policies = [(Arc::clone(&record.queue), record.policy.clone())];
    let policies = policies.into_iter().collect();
    harness
        .scheduler
        .configure(&policies, &Workspaces::default());
    let mut accepted = record;
    accepted.policy.service = "former".into();
    harness.submit("job", accepted);
    harness.run_for(500);
    assert_eq!(harness.running(), ["job.0.0.0"]);
}

/// Guards against a task that waits for good beside room: the only worker with room for it is being emptied
/// for maintenance, which waits for the task, since its step may miss no other one.
#[test]
fn an_instance_that_cannot_be_emptied_takes_tasks_again() {
    let mut harness = fleet(2);
    let service = StepSpec {
        long_running: true,
        may_miss: Some(1),
        processors_milli: 1_500,
        ..step(2)
    };
    harness.submit("service", job(vec![service], 3));
    harness.run_for(500);
    let wave = WaveRequest {
        number: 1,
        instances: vec!["machine-w0".into()],
        duration_ms: 60_000,
        down_max: 1,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    while harness.stop_causes.is_empty() {
        harness.run_for(10);
    }
    let large = StepSpec {
        long_running: true,
        processors_milli: 4_000,
        ..step(1)
    };
    harness.submit("large", job(vec![large], 3));
    harness.run_for(3_000);
    let expected = ["large.0.0.0", "service.0.0.0", "service.0.0.1"];
    assert_eq!(harness.running(), expected);
}
