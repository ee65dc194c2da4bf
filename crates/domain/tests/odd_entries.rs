//! Worker entries of another writer: capacities and start times that no worker has.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::schedule::order::WorkerReport;
use scheduler_harness::{SchedulerHarness, job, step};

const HUGE: Resources = Resources {
    processors_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

/// A well-formed entry of a worker that answers no poll.
fn silent_entry(id: &str, capacity: Resources) -> WorkerReport {
    WorkerReport {
        id: id.into(),
        service: "service".into(),
        address: "10.0.0.250:1".into(),
        availability_zone: "zone".into(),
        labels: vec!["kind".into(), "rack".into()],
        capacity,
        instance: "".into(),
        started_wall_ms: 1,
        draining: false,
    }
}

/// One worker on an instance of its own, and four spare instances.
fn harness_with_spare_instances() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.scheduler.set_spare_services(&["spare".into()]);
    harness.add_instance("machine-w0", "service", Some("w0"));
    for index in 0..4 {
        harness.add_instance(&format!("spare{index}"), "spare", None);
    }
    harness.run_for(500);
    harness
}

/// Applies the entry of a worker with a change that the worker itself knows nothing of.
fn list_odd(harness: &mut SchedulerHarness, worker: usize, change: impl Fn(&mut WorkerReport)) {
    let mut report = harness.workers[worker].report.clone();
    change(&mut report);
    harness.scheduler.worker_listed(report, harness.now);
}

/// Guards against sums and shares that wrap around, or end the process in a debug build.
#[test]
fn sums_and_shares_of_huge_amounts_saturate() {
    let one = Resources {
        processors_milli: 1,
        memory_mb: 1,
        accelerators: 1,
    };
    assert_eq!(HUGE.plus(one), HUGE);
    assert_eq!(HUGE.times(3), HUGE);
    assert_eq!(HUGE.dominant_share_ppm(HUGE), 1_000_000);
    assert_eq!(HUGE.dominant_share_of_limits_ppm(HUGE), 1_000_000);
    assert_eq!(HUGE.dominant_share_ppm(one), u64::MAX);
    assert_eq!(HUGE.dominant_share_of_limits_ppm(Resources::default()), 0);
}

/// Guards against sums over workers and jobs that overflow with an entry of huge memory, or with one that has
/// next to none.
#[test]
fn odd_capacities_of_a_live_worker_end_nothing() {
    for memory_mb in [u64::MAX, 1] {
        let mut harness = SchedulerHarness::new(1);
        for index in 0..40 {
            let long = StepSpec {
                estimate_ms: 1_000_000,
                memory_mb: 1 << 20,
                ..step(100)
            };
            harness.submit(&format!("job{index}"), job(vec![long], 3));
        }
        harness.workers[0].report.capacity.memory_mb = memory_mb;
        let report = harness.workers[0].report.clone();
        harness.scheduler.worker_listed(report, harness.now);
        harness.run_for(100);
        let pressure = harness.scheduler.pressure(harness.now);
        assert_eq!(pressure.services.len(), 1);
        assert_eq!(harness.scheduler.pool_uses().count(), 1);
    }
}

/// Guards against pools that get next to no instances, and against jobs that count as no work, since an entry that
/// no worker stands behind names a huge capacity.
#[test]
fn a_capacity_without_a_worker_sizes_nothing() {
    let mut harness = harness_with_spare_instances();
    let entry = silent_entry("odd", HUGE);
    harness.scheduler.worker_listed(entry, harness.now);
    for index in 0..40 {
        harness.submit(&format!("job{index}"), job(vec![step(1)], 3));
    }
    harness.run_for(50);
    let pressure = harness.scheduler.pressure(harness.now);
    assert_eq!(pressure.services[0].worker.processors_milli, 4_000);
    harness.run_for(5_000);
    assert_eq!(harness.instance_orders.len(), 4, "all spare instances move");
}

/// Guards against room that counts as lost for good after one odd entry under the id of a live worker: its pool
/// would take all instances.
#[test]
fn a_capacity_that_no_instance_has_is_no_lost_room() {
    let mut harness = harness_with_spare_instances();
    list_odd(&mut harness, 0, |report| {
        report.capacity.processors_milli = 64_000;
        report.capacity.memory_mb = 64_000;
    });
    list_odd(&mut harness, 0, |_| ());
    harness.run_for(5_000);
    let mut pools = harness.instance_orders.iter().map(|(_, pool)| pool);
    assert!(pools.all(|pool| pool.as_deref() != Some("service")));
}
