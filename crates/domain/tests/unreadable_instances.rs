//! Lists of instances in which some rows cannot be decoded.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::WaveRequest;
use scheduler_harness::{SchedulerHarness, job, step};

/// Two workers on instances, and a list that has shown both.
fn harness() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    for index in 0..2 {
        let worker = format!("w{index}");
        harness.add_instance(&format!("machine-{worker}"), "service", Some(&worker));
        harness.add_worker(&worker, "service");
    }
    harness.run_for(1_100);
    harness
}

/// Guards against a second run beside the first one: a worker that is cut off and whose instance cannot be read in the
/// list has not ended.
#[test]
fn a_worker_whose_instance_is_unreadable_has_not_ended() {
    let mut harness = harness();
    harness.submit("j", job(vec![step(1)], 3));
    harness.run_for(300);
    let worker = harness.worker_running("j.0.0.0").expect("it runs");
    let instance = format!("machine-w{worker}");
    harness.unreadable_instances.insert(instance.into());
    harness.partition(worker);
    harness.run_for(4_000);
    assert_eq!(harness.start_count("j.0.0.0"), 1, "its lease has not ended");
}

/// Guards against a wave that counts as complete without the maintenance of an instance that cannot be read.
#[test]
fn a_wave_with_an_unreadable_instance_is_not_complete() {
    let mut harness = harness();
    harness.unreadable_instances.insert("machine-w9".into());
    let wave = WaveRequest {
        number: 1,
        instances: vec!["machine-w9".into()],
        duration_ms: 30_000,
        down_max: 1,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    harness.run_for(10_000);
    let is_complete = |harness: &mut SchedulerHarness| {
        harness.scheduler.release(harness.now);
        let batch = harness.scheduler.take_batch(harness.now);
        batch.is_some_and(|batch| batch.waves.iter().any(|wave| wave.completed))
    };
    assert!(!is_complete(&mut harness));
}
