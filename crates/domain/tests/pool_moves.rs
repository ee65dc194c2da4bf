//! Moves of instances between pools while several pools want them.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::WaveRequest;
use scheduler_harness::{SchedulerHarness, job, step};

/// A harness whose pools have workers on instances: pool and number of workers of each.
fn harness(pools: &[(&str, usize)], spares: usize) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    harness.scheduler.set_spare_services(&["spare".into()]);
    for (pool, count) in pools {
        for index in 0..*count {
            let worker = format!("{pool}{index}");
            harness.add_instance(&format!("machine-{worker}"), pool, Some(&worker));
            harness.add_worker(&worker, pool);
        }
    }
    for index in 0..spares {
        harness.add_instance(&format!("spare{index}"), "spare", None);
    }
    // The list of instances is read once a second while none of them changes.
    harness.run_for(1_100);
    harness
}

fn job_of(service: &str, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps, 3);
    record.queue = service.into();
    record.policy.service = service.into();
    record
}

/// A step of long-running tasks with this much memory each, of the 4,000 MB of a worker.
fn long_running(count: u32, memory_mb: u64) -> StepSpec {
    StepSpec {
        memory_mb,
        long_running: true,
        ..step(count)
    }
}

/// Orders of moves to a pool.
fn moves_to(harness: &SchedulerHarness, pool: &str) -> usize {
    let to_pool = |(_, to): &&(Arc<str>, Option<Arc<str>>)| to.as_deref() == Some(pool);
    harness.instance_orders.iter().filter(to_pool).count()
}

/// Guards against a long-running task that waits for minutes beside fragments of free room: four workers
/// have 47% of their memory free each, and the fifth task needs 53% of one.
#[test]
fn a_long_running_task_that_fits_on_no_worker_gets_an_instance() {
    let mut harness = harness(&[("a", 4)], 2);
    harness.submit("job", job_of("a", vec![long_running(5, 2_100)]));
    harness.run_for(500);
    assert_eq!(moves_to(&harness, "a"), 1);
    harness.run_for(500);
    assert_eq!(harness.running().len(), 5);
}

/// Load pattern: one queue's burst takes all instances, and a long-running task of another pool fails.
/// Guards against a task that waits until the burst has ended.
#[test]
fn a_long_running_task_gets_an_instance_from_a_burst() {
    let mut harness = harness(&[("a", 1), ("b", 6)], 0);
    harness.submit("lasting", job_of("a", vec![long_running(1, 3_000)]));
    harness.submit("burst", job_of("b", vec![step(60)]));
    harness.run_for(300);
    assert_eq!(harness.running().len(), 25, "both pools are full");
    harness.submit("second", job_of("a", vec![long_running(1, 3_000)]));
    harness.run_for(200);
    harness.end_runs_of_job("burst");
    harness.run_for(500);
    assert_eq!(moves_to(&harness, "a"), 1, "{:?}", harness.instance_orders);
    assert!(harness.worker_running("second.0.0.0").is_some());
}

/// Guards against a wave that ends late because its instances are emptied one after the other: four
/// instances must be maintained within two evacuations.
#[test]
fn a_wave_with_little_time_empties_several_instances_at_once() {
    let mut harness = harness(&[("a", 4)], 4);
    harness.submit("job", job_of("a", vec![long_running(4, 3_000)]));
    harness.run_for(300);
    assert_eq!(harness.running().len(), 4);
    harness.scheduler.wave_requested(
        WaveRequest {
            number: 1,
            instances: (0..4).map(|i| format!("machine-a{i}").into()).collect(),
            duration_ms: 6_500,
            down_max: 4,
        },
        harness.now,
    );
    while moves_to(&harness, "a") == 0 {
        harness.run_for(10);
    }
    assert_eq!(moves_to(&harness, "a"), 2, "in the first planning pass");
}
