//! What a leader knows about the leases of workers, and its successor must reckon with.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::{InstanceState, RunEndKind};
use scheduler_harness::{RUN_LEASE_MAX_MS, RUN_LEASE_MS, SchedulerHarness, job, step};

const TASK: &str = "a.0.0.0";
/// Time after which a process has a clock far ahead of that of its next one.
const IDLE_MS: u64 = 20_000;
/// Time after which any lease has ended, and the task runs again.
const ALL_LEASES_MS: u64 = RUN_LEASE_MAX_MS + 2_000;

/// Two workers; the first one has been restarted under its id and runs a task, with a deadline on the clock of its
/// former process.
fn running_on_a_restarted_worker() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2);
    harness.run_for(IDLE_MS);
    harness.restart_unlisted(0);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    assert_eq!(harness.worker_running(TASK), Some(0));
    harness
}

fn assert_runs_again_without_overlap(harness: &SchedulerHarness) {
    assert_eq!(harness.concurrent_runs_max(TASK), 1);
    assert_eq!(harness.start_count(TASK), 2, "it runs again");
}

/// Guards against two runs of a task at the same time (review/11): a worker was restarted under its id, so that its run
/// has the longest lease, and the leader that knew this was stopped as planned.
#[test]
fn a_planned_stop_hands_over_the_longer_lease_of_a_restarted_worker() {
    let mut harness = running_on_a_restarted_worker();
    harness.release();
    harness.partition(0);
    harness.change_leader();
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against the same over several planned stops, none of whose successors reaches the worker.
#[test]
fn several_planned_stops_hand_over_the_longer_lease() {
    let mut harness = running_on_a_restarted_worker();
    harness.release();
    harness.partition(0);
    for _ in 0..3 {
        harness.change_leader();
        harness.run_for(300);
        harness.release();
    }
    harness.change_leader();
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against a successor that waits for the longest lease although the long one has ended.
#[test]
fn a_longer_lease_that_has_ended_is_not_handed_over() {
    let mut harness = running_on_a_restarted_worker();
    harness.run_for(RUN_LEASE_MAX_MS + 1_000);
    harness.release();
    harness.partition(0);
    harness.change_leader();
    harness.run_for(RUN_LEASE_MS + 1_000);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against a successor that waits longer than its predecessor would have: the time since counts.
#[test]
fn the_time_before_a_planned_stop_counts_towards_a_longer_lease() {
    let mut harness = running_on_a_restarted_worker();
    harness.partition(0);
    harness.run_for(3_000);
    harness.release();
    harness.change_leader();
    harness.run_for(RUN_LEASE_MAX_MS - 3_000 + 1_000);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against two runs of a task at the same time: a leader that is cut off from the store renews the lease of a worker that
/// its successor can't reach, and the successor is stopped as planned before that time is over.
#[test]
fn a_planned_stop_hands_over_the_orders_that_a_former_leader_may_still_send() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    let worker = harness.worker_running(TASK).expect("it runs");
    harness.partition(worker);
    harness.change_leader();
    harness.run_for(100);
    harness.release();
    harness.change_leader();
    for _ in 0..8 {
        harness.run_for(1_000);
        harness.workers[worker].renew_lease(RUN_LEASE_MS, harness.now);
    }
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against two runs of a task at the same time: the record of an earlier version does not state the leases.
#[test]
fn a_record_without_leases_is_read_with_the_longest_one() {
    let mut harness = running_on_a_restarted_worker();
    harness.release();
    for worker in &mut harness.store.workers {
        worker.lease_ms = None;
    }
    harness.partition(0);
    harness.change_leader();
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against a finished task that is held back: the worker has answered the successor, so its lease is of no matter.
#[test]
fn a_longer_lease_delays_nothing_once_the_worker_has_answered() {
    let mut harness = running_on_a_restarted_worker();
    harness.release();
    harness.change_leader();
    harness.run_for(300);
    assert!(!harness.scheduler.is_recovering());
    harness.end_task(TASK, RunEndKind::Done);
    harness.run_for(300);
    assert_eq!(harness.start_count(TASK), 1);
}

/// Guards against two runs of a task at the same time: the leader is killed, the same daemon leads again at once, and what it
/// knew about a restarted worker is in no record.
#[test]
fn a_daemon_that_leads_again_waits_for_the_longest_lease() {
    let mut harness = running_on_a_restarted_worker();
    harness.partition(0);
    for worker in &mut harness.store.workers {
        worker.lease_ms = Some(RUN_LEASE_MS + 500);
    }
    harness.change_leader_in_same_daemon();
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against two runs of a task at the same time: the record of the workers can't be read, and a worker that it named was
/// restarted under the former leader.
#[test]
fn unknown_workers_are_reckoned_with_the_longest_lease() {
    let mut harness = running_on_a_restarted_worker();
    harness.release();
    harness.store.workers.clear();
    harness.store.unknown_workers = true;
    let lost = harness.workers.remove(0);
    harness.change_leader();
    harness.workers.push(lost);
    harness.partition(1);
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}

/// Guards against two runs of a task at the same time: a worker has just begun when the leader changes, it is cut off, and the
/// list of instances still lacks it.
#[test]
fn a_list_that_lags_behind_ends_no_worker_that_had_just_begun() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-new", "service", None);
    harness.run_for(1_100);
    harness.add_worker("new", "service");
    harness.run_for(100);
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(100);
    assert_eq!(harness.running().len(), 8);
    harness.end_runs_on_worker(0, RunEndKind::Done);
    harness.release();
    harness.partition(1);
    harness.change_leader();
    harness.run_for(1_000);
    harness.instances[1].worker = Some("new".into());
    harness.run_for(1_000);
    harness.workers[1].partitioned = false;
    harness.run_for(500);
    assert_eq!(harness.running().len(), 4);
    let tasks = (0..8).map(|index| format!("a.0.0.{index}"));
    for task in tasks {
        assert_eq!(harness.start_count(&task), 1, "{task}");
    }
}

/// Guards against the same if the list still shows that the former process of the worker has ended.
#[test]
fn a_list_that_lags_behind_ends_no_worker_that_was_restarted_before_the_hand_over() {
    let mut harness = running_on_a_restarted_worker();
    for worker in ["w0", "w1"] {
        harness.add_instance(&format!("machine-{worker}"), "service", Some(worker));
    }
    harness.run_for(1_200);
    harness.release();
    harness.instances[0].worker = None;
    harness.instances[0].state = InstanceState::Down;
    harness.partition(0);
    harness.change_leader();
    harness.run_for(1_000);
    harness.instances[0].worker = Some("w0".into());
    harness.instances[0].state = InstanceState::Up;
    harness.run_for(ALL_LEASES_MS);
    assert_runs_again_without_overlap(&harness);
}
