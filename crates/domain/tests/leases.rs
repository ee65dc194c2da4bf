//! Leases of runs on workers whose clocks are slow, or are those of another process than the leader knows.

mod scheduler_harness;

use rosemaryscale_domain::schedule::order::InstanceState;
use scheduler_harness::{RUN_LEASE_MAX_MS, RUN_LEASE_MS, SchedulerHarness, job, step};

/// Runs a task on the first of two workers, cuts that worker off, and plays until any lease must have ended.
fn cut_off_after_a_start(harness: &mut SchedulerHarness) {
    harness.submit("a", job(vec![step(1)], 3));
    while harness.start_count("a.0.0.0") == 0 {
        harness.run_for(10);
    }
    assert_eq!(harness.worker_running("a.0.0.0"), Some(0));
    harness.partition(0);
    harness.run_for(RUN_LEASE_MAX_MS + 2_000);
    assert_eq!(harness.start_count("a.0.0.0"), 2, "it runs again");
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against two runs of a task at the same time: the clock of an idle worker is 2% slow, so a deadline reckoned from
/// a reading of a minute ago is more than a second late.
#[test]
fn the_lease_of_a_worker_that_was_idle_is_not_underrated() {
    let mut harness = SchedulerHarness::new(2);
    harness.workers[0].clock_percent = 98;
    harness.run_for(90_000);
    cut_off_after_a_start(&mut harness);
}

/// Guards against the same by a start that a new process of the worker has accepted with a deadline on the clock of the
/// former one: it holds the run for as long as it may.
#[test]
fn the_lease_of_a_new_process_is_not_underrated() {
    let mut harness = SchedulerHarness::new(2);
    harness.run_for(20_000);
    harness.restart_unlisted(0);
    cut_off_after_a_start(&mut harness);
}

/// Guards against the same if the former process was read early in its life (review/11): its last reading is close to the
/// first ones of the new process, and only the time since tells the two apart.
#[test]
fn the_lease_of_the_next_process_of_a_young_one_is_not_underrated() {
    for age_ms in [1_000, 1_900, 8_000, 15_000] {
        let mut harness = SchedulerHarness::new(2);
        harness.restart(0);
        harness.run_for(age_ms);
        harness.restart_unlisted(0);
        // The poll after the start waits for an end.
        harness.lose_next_polls = 1;
        cut_off_after_a_start(&mut harness);
    }
}

/// Guards against the same once the new process has answered: an order with such a deadline was sent before.
#[test]
fn the_lease_of_a_new_process_that_has_answered_is_not_underrated() {
    let mut harness = SchedulerHarness::new(2);
    harness.run_for(20_000);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.restart_unlisted(0);
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.partition(0);
    harness.run_for(RUN_LEASE_MAX_MS + 2_000);
    assert_eq!(harness.concurrent_runs_max("b.0.0.0"), 1);
}

/// Guards against the same for a process that has replaced one of less than 2 s, whose clock is too close to tell the two apart.
#[test]
fn the_lease_of_a_process_with_a_similar_clock_is_not_underrated() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("filler", job(vec![step(4)], 3));
    harness.run_for(100);
    harness.add_worker("new", "service");
    harness.workers[1].clock_origin = harness.now;
    harness.run_for(1_900);
    harness.restart_unlisted(1);
    harness.lose_next_polls = 1;
    harness.submit("a", job(vec![step(1)], 3));
    while harness.start_count("a.0.0.0") == 0 {
        harness.run_for(10);
    }
    assert_eq!(harness.worker_running("a.0.0.0"), Some(1));
    harness.partition(1);
    harness.end_runs_of_job("filler");
    harness.run_for(RUN_LEASE_MAX_MS + 2_000);
    assert_eq!(harness.start_count("a.0.0.0"), 2, "it runs again");
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Two workers on instances. The first one has been restarted under its id, and has begun a task whose start is not answered.
fn unanswered_start_on_a_restarted_worker() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(2);
    for worker in ["w0", "w1"] {
        harness.add_instance(&format!("machine-{worker}"), "service", Some(worker));
    }
    harness.run_for(20_000);
    harness.restart_unlisted(0);
    harness.lose_next_start_answers = 1;
    harness.lose_next_polls = 1;
    harness.submit("a", job(vec![step(1)], 3));
    while harness.start_count("a.0.0.0") == 0 {
        harness.run_for(10);
    }
    assert_eq!(harness.worker_running("a.0.0.0"), Some(0));
    harness.partition(0);
    harness
}

/// Guards against the same if the answer to the start was lost, so that nothing shows that another process has begun the run.
#[test]
fn the_lease_of_a_run_whose_start_was_not_answered_is_not_underrated() {
    let mut harness = unanswered_start_on_a_restarted_worker();
    harness.run_for(RUN_LEASE_MAX_MS + 2_000);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.worker_running("a.0.0.0"), Some(1), "it runs again");
}

/// Guards against the same after a planned stop of the leader.
#[test]
fn an_unanswered_start_is_handed_over_with_the_longest_lease() {
    let mut harness = unanswered_start_on_a_restarted_worker();
    harness.release();
    // The entry of the new process is not written yet.
    harness.workers[0].report.started_wall_ms -= 1;
    harness.change_leader();
    harness.run_for(RUN_LEASE_MAX_MS + 2_000);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.worker_running("a.0.0.0"), Some(1), "it runs again");
}

/// Guards against a task that waits for the longest lease although the list of instances shows that no process of its
/// worker can have begun it.
#[test]
fn an_unanswered_start_on_a_crashed_worker_delays_its_task_no_longer_than_the_usual_lease() {
    let mut harness = unanswered_start_on_a_restarted_worker();
    harness.crash(0);
    harness.instances[0].worker = None;
    harness.instances[0].state = InstanceState::Down;
    harness.run_for(RUN_LEASE_MS + 1_000);
    assert_eq!(harness.worker_running("a.0.0.0"), Some(1));
}

/// Guards against a worker that gets no start because the last reading of its clock is old.
#[test]
fn a_worker_that_was_idle_for_long_takes_tasks_at_once() {
    let mut harness = SchedulerHarness::new(1);
    harness.workers[0].clock_percent = 98;
    harness.run_for(600_000);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(30);
    assert_eq!(harness.running(), ["a.0.0.0"]);
    harness.run_for(RUN_LEASE_MS * 2);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
}
