//! Worker entries of another writer: capacities and start times that no worker has.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::placement::Resources;
use scheduler_harness::{SchedulerHarness, job, step};

const HUGE: Resources = Resources {
    processors_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

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
        assert_eq!(harness.scheduler.pool_uses(harness.now).count(), 1);
    }
}
