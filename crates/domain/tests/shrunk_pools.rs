//! Sizes of pools whose workers have shrunk while another pool has a whole worker.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use scheduler_harness::{SchedulerHarness, job, step};

fn job_of(service: &str, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps, 3);
    record.queue = service.into();
    record.policy.service = service.into();
    record.policy.objective_ms = 60_000;
    record
}

/// Pool `a` of shrunk workers (1 processor of 4), pool `b` with a whole worker in use, four spare instances.
fn harness(shrunk: usize) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    harness.scheduler.set_spare_services(&["spare".into()]);
    for (pool, count) in [("a", shrunk), ("b", 1)] {
        for index in 0..count {
            let worker = format!("{pool}{index}");
            harness.add_instance(&format!("machine-{worker}"), pool, Some(&worker));
            harness.add_worker(&worker, pool);
        }
    }
    for index in 0..4 {
        harness.add_instance(&format!("spare{index}"), "spare", None);
    }
    harness.run_for(500);
    for index in 0..shrunk {
        let mut report = harness.workers[index].report.clone();
        report.capacity.processors_milli = 1_000;
        harness.workers[index].report = report.clone();
        harness.scheduler.worker_listed(report, harness.now);
    }
    let lasting = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit("lasting", job_of("b", vec![lasting]));
    harness.run_for(300);
    harness
}

/// Guards against a pool that counts its shrunk workers as whole ones.
#[test]
fn a_pool_of_shrunk_workers_gets_more_instances() {
    let mut harness = harness(4);
    harness.submit("job", job_of("a", vec![step(8)]));
    harness.run_for(20_000);
    assert_eq!(
        harness.running().len(),
        9,
        "orders {:?}",
        harness.instance_orders
    );
}

/// Guards against a task that fits on no worker of its pool since they have shrunk, though spare instances have
/// room for it.
#[test]
fn a_task_that_fits_on_no_shrunk_worker_gets_an_instance() {
    let mut harness = harness(2);
    let wide = StepSpec {
        processors_milli: 2_000,
        ..step(1)
    };
    harness.submit("job", job_of("a", vec![wide]));
    harness.run_for(20_000);
    assert_eq!(
        harness.running().len(),
        2,
        "orders {:?}",
        harness.instance_orders
    );
}
