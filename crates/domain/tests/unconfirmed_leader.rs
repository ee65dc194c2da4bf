//! A leader that may have been replaced: it was stopped, or the store does not confirm its lease.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::WaveRequest;
use scheduler_harness::{RUN_LEASE_MS, SchedulerHarness, job, step};

/// Two workers on instances of a pool that needs neither, beside one spare instance.
fn idle_pool() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(0);
    harness.scheduler.set_spare_services(&["spare".into()]);
    for index in 0..2 {
        let worker = format!("w{index}");
        harness.add_instance(&format!("machine-{worker}"), "service", Some(&worker));
        harness.add_worker(&worker, "service");
    }
    harness.add_instance("spare0", "spare", None);
    harness.run_for(1_100);
    assert!(harness.instance_orders.is_empty(), "not yet idle for long");
    harness
}

fn wave() -> WaveRequest {
    WaveRequest {
        number: 1,
        instances: vec!["machine-w0".into(), "machine-w1".into()],
        duration_ms: 60_000,
        down_max: 1,
    }
}

/// Guards against a move that ends the work which the next leader has started on an instance: a leader that was stopped knows
/// the instance as idle, and the platform has seen no higher fencing token for it (review/4).
#[test]
fn an_unconfirmed_leader_moves_no_instances() {
    let mut harness = idle_pool();
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.run_for(6_000);
    assert!(
        harness.instance_orders.is_empty(),
        "{:?}",
        harness.instance_orders
    );
    harness.scheduler.set_leadership_unconfirmed(false);
    harness.run_for(3_000);
    assert_eq!(harness.instance_orders.len(), 2, "both are idle");
}

/// Guards against a maintenance beside that of the next leader, which may have begun as many as the wave allows.
#[test]
fn an_unconfirmed_leader_begins_no_maintenance() {
    let mut harness = idle_pool();
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.scheduler.wave_requested(wave(), harness.now);
    harness.run_for(3_000);
    assert!(harness.instance_orders.is_empty());
    harness.scheduler.set_leadership_unconfirmed(false);
    harness.run_for(500);
    assert!(!harness.instance_orders.is_empty());
}

/// Guards against an order that is sent again after a freeze: the platform has not carried out the first one, and the
/// instance may have got work from the next leader.
#[test]
fn an_unconfirmed_leader_repeats_no_order_to_an_instance() {
    let mut harness = idle_pool();
    harness.lose_next_orders = 1;
    while harness.instance_orders.is_empty() {
        harness.run_for(10);
    }
    let sent = harness.instance_orders.len();
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.run_for(2_000);
    assert_eq!(harness.instance_orders.len(), sent);
}

/// Guards against stopping a task for an evacuation while the next leader may do the same with another task of its step.
#[test]
fn an_unconfirmed_leader_evacuates_no_instances() {
    let mut harness = idle_pool();
    let long_running = StepSpec {
        long_running: true,
        may_miss: Some(1),
        ..step(1)
    };
    harness.submit("a", job(vec![long_running], 3));
    harness.run_for(300);
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.scheduler.wave_requested(wave(), harness.now);
    harness.run_for(3_000);
    assert!(harness.stop_causes.is_empty(), "{:?}", harness.stop_causes);
    assert_eq!(harness.running(), ["a.0.0.0"]);
}

/// Guards against a start on the word of a worker that was given before a freeze: the next leader has polled it
/// meanwhile, or it has restarted and no longer knows that.
#[test]
fn an_answer_counts_from_when_it_was_asked_for() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(300);
    harness.freeze_leader(2_000);
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.workers[0].partitioned = true;
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(100);
    assert_eq!(harness.start_count("b.0.0.0"), 0);
}

/// Guards against stopping a run as stalled because its leader was stopped: the first answer after that may have been
/// given before it.
#[test]
fn the_time_for_which_a_leader_was_stopped_is_not_time_without_progress() {
    let mut harness = SchedulerHarness::new(2);
    harness.progress_reports.insert("a.0.0.0".into(), (50, 0));
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(300);
    assert_eq!(harness.running(), ["a.0.0.0"]);
    harness.freeze_leader(2_600);
    assert!(harness.stop_causes.is_empty(), "{:?}", harness.stop_causes);
    harness.progress_reports.insert("a.0.0.0".into(), (60, 0));
    harness.run_for(300);
    assert!(harness.stop_causes.is_empty(), "{:?}", harness.stop_causes);
}

/// Guards against two runs of a task at the same time: a leader has not reached a worker since it took over, and its successor,
/// of which it does not know, has reached the worker and renews its leases.
#[test]
fn an_unconfirmed_leader_takes_no_lease_of_its_predecessor_as_ended() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.release();
    harness.partition(worker);
    harness.change_leader();
    harness.run_for(1_000);
    harness.scheduler.set_leadership_unconfirmed(true);
    for _ in 0..9 {
        harness.workers[worker].renew_lease(RUN_LEASE_MS, harness.now);
        harness.run_for(1_000);
    }
    assert_eq!(harness.start_count("a.0.0.0"), 1);
    harness.run_for(RUN_LEASE_MS);
    harness.scheduler.set_leadership_unconfirmed(false);
    harness.run_for(100);
    assert_eq!(harness.start_count("a.0.0.0"), 2);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against a second run of a task that is done: a leader has not reached a worker since it took over, its successor has
/// read the end of the run, and then the worker ends.
#[test]
fn an_unconfirmed_leader_starts_nothing_for_a_worker_that_has_ended() {
    let mut harness = SchedulerHarness::new(2);
    for worker in ["w0", "w1"] {
        harness.add_instance(&format!("machine-{worker}"), "service", Some(worker));
    }
    harness.run_for(1_200);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.release();
    harness.partition(worker);
    harness.change_leader();
    harness.run_for(100);
    harness.scheduler.set_leadership_unconfirmed(true);
    harness.crash(worker);
    let id = Arc::clone(&harness.workers[worker].report.id);
    harness.scheduler.worker_unlisted(&id);
    harness.instances[worker].worker = Some("w9".into());
    harness.run_for(8_000);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
    harness.scheduler.set_leadership_unconfirmed(false);
    harness.run_for(100);
    assert_eq!(harness.start_count("a.0.0.0"), 2);
}
