//! Scheduling, instance moves and maintenance waves, tested against simulated workers.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::order::{InstanceState, RunEndKind, WaveRequest};
use scheduler_harness::{SchedulerHarness, job, step};

/// Guards against starting a step before the steps it depends on are done, and against a job that never
/// becomes completed.
#[test]
fn steps_run_in_order_and_complete_the_job() {
    let mut harness = SchedulerHarness::new(2);
    let second = StepSpec {
        after: vec![0],
        ..step(2)
    };
    harness.submit("a", job(vec![step(2), second], 3));
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.0.0", "a.0.0.1"]);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.0.1"]);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.1.0", "a.0.1.1"]);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(200);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against exceeding a worker's capacity: a run uses its resources until its end is reported, also
/// after a stop was ordered.
#[test]
fn a_stopping_run_keeps_its_capacity() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(50);
    assert_eq!(harness.running().len(), 4);
    harness.lose_stops = true;
    harness.cancel("a");
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(200);
    assert_eq!(
        harness.running().len(),
        4,
        "nothing starts before the stopped runs have ended"
    );
    harness.lose_stops = false;
    harness.run_for(1_000);
    assert_eq!(harness.running(), ["b.0.0.0"]);
}

/// Guards against two concurrent runs of one task: a start without a response may still take effect, so
/// the task starts on another worker only after the first one has accepted a stop of that run.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_again() {
    let mut harness = SchedulerHarness::new(2);
    harness.lose_starts = true;
    harness.lose_stops = true;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(400);
    assert_eq!(
        harness.ordered_run_numbers("a.0.0.0"),
        [1],
        "only the run with an unknown outcome was ordered"
    );
    harness.lose_starts = false;
    harness.lose_stops = false;
    harness.run_for(1_000);
    assert_eq!(harness.running(), ["a.0.0.0"]);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against maintenance that interrupts more tasks of a step than its `may_miss` allows. With a limit
/// of one, the wave evacuates the instances of the step one at a time, and orders each only when it runs
/// nothing (asserted by the harness).
#[test]
fn a_wave_respects_the_unavailability_limit_of_a_step() {
    let mut harness = SchedulerHarness::new(3);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "service", Some("w1"));
    harness.add_instance("m2", "service", Some("w2"));
    harness.add_instance("m3", "spare", None);
    harness.scheduler.set_spare_services(&["spare".into()]);
    let long_running = StepSpec {
        long_running: true,
        per_worker_max: 1,
        may_miss: Some(1),
        ..step(2)
    };
    harness.submit("a", job(vec![long_running], 3));
    harness.run_for(500);
    let wave = WaveRequest {
        number: 1,
        instances: vec!["m0".into(), "m1".into(), "m2".into(), "m3".into()],
        duration_ms: 20_000,
        down_max: 2,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    let mut unavailable_max = 0;
    for _ in 0..1_000 {
        harness.run_for(10);
        unavailable_max = unavailable_max.max(2 - harness.running().len());
    }
    let maintained = harness
        .instance_orders
        .iter()
        .filter(|(_, pool)| pool.is_none())
        .count();
    assert_eq!(maintained, 4, "{:?}", harness.instance_orders);
    assert_eq!(unavailable_max, 1);
    assert_eq!(harness.running(), ["a.0.0.0", "a.0.0.1"]);
}

/// Guards against tasks that wait while spare instances are available, and against instances that stay in
/// a pool that no longer needs them.
#[test]
fn instances_move_to_busy_pools_and_return_when_idle() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "spare", None);
    harness.scheduler.set_spare_services(&["spare".into()]);
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(1_500);
    assert_eq!(harness.running().len(), 8);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(6_000);
    let returns = harness
        .instance_orders
        .iter()
        .filter(|(_, pool)| pool.as_deref() == Some("spare"));
    assert!(
        returns.count() >= 1,
        "an idle instance returns to the spare pool: {:?}",
        harness.instance_orders
    );
}

/// Guards against maintenance that interrupts a task while another task of its step is on an unresponsive worker
/// (kds-windhoek trouble-3 violated the rule AVAIL).
#[test]
fn a_task_on_an_unresponsive_worker_counts_as_unavailable() {
    let mut harness = SchedulerHarness::new(3);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "service", Some("w1"));
    harness.add_instance("m2", "service", Some("w2"));
    let long_running = StepSpec {
        long_running: true,
        per_worker_max: 1,
        may_miss: Some(1),
        ..step(2)
    };
    harness.submit("a", job(vec![long_running], 3));
    harness.run_for(1_000);
    let unresponsive = harness.worker_running("a.0.0.0").expect("it runs");
    let other = harness.worker_running("a.0.0.1").expect("it runs");
    harness.partition(unresponsive);
    harness.run_for(1_000);
    let wave = WaveRequest {
        number: 1,
        instances: vec![format!("m{other}").into()],
        duration_ms: 20_000,
        down_max: 2,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    harness.run_for(3_000);
    assert_eq!(
        harness.worker_running("a.0.0.1"),
        Some(other),
        "the last serving task is not interrupted"
    );
}

/// Guards against completing a wave before all its instances were maintained, because a single list omitted
/// one that still exists.
#[test]
fn a_wave_stays_open_while_the_list_omits_an_instance() {
    let mut harness = SchedulerHarness::new(1);
    harness.scheduler.set_spare_services(&["spare".into()]);
    let wave = WaveRequest {
        number: 1,
        instances: vec!["m0".into()],
        duration_ms: 20_000,
        down_max: 1,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    harness.run_for(1_000);
    harness.add_instance("m0", "spare", None);
    harness.run_for(3_000);
    let maintained = harness
        .instance_orders
        .iter()
        .filter(|(_, pool)| pool.is_none())
        .count();
    assert_eq!(maintained, 1);
}

/// Guards against backfill tasks that keep a serving task on the same worker above its target latency, and
/// against backfill tasks that stay throttled after it has recovered.
#[test]
fn filling_tasks_are_throttled_while_a_serving_task_misses_its_target() {
    let mut harness = SchedulerHarness::new(1);
    let serving = StepSpec {
        long_running: true,
        target_ms: 100,
        ..step(1)
    };
    let backfill = StepSpec {
        fills: true,
        ..step(1)
    };
    harness.submit("a", job(vec![serving], 3));
    harness.submit("b", job(vec![backfill], 3));
    harness
        .progress_reports
        .insert("a.0.0.0".into(), (100, 150));
    harness.run_for(3_000);
    assert_eq!(harness.pace_orders.last(), Some(&("b.0.0.0".into(), 0)));
    harness.progress_reports.insert("a.0.0.0".into(), (100, 20));
    harness.run_for(12_000);
    assert_eq!(harness.pace_orders.last(), Some(&("b.0.0.0".into(), 100)));
}

/// Guards against a task that never finishes because its run makes no progress on its worker.
#[test]
fn a_stalled_task_starts_on_another_worker() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.progress_reports.insert("a.0.0.0".into(), (40, 0));
    harness.run_for(1_000);
    let first = harness.worker_running("a.0.0.0");
    harness.run_for(3_000);
    assert!(harness.worker_running("a.0.0.0").is_some());
    assert_ne!(harness.worker_running("a.0.0.0"), first);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against tasks that wait although spare instances exist: with a limit per worker, free capacity in
/// the pool does not mean that a task can be placed (karam-logs quiet-1: waits of up to 10 s).
#[test]
fn tasks_with_a_per_worker_limit_get_separate_instances() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "spare", None);
    harness.add_instance("m2", "spare", None);
    harness.scheduler.set_spare_services(&["spare".into()]);
    let limited_per_worker = StepSpec {
        long_running: true,
        per_worker_max: 1,
        ..step(3)
    };
    harness.submit("a", job(vec![limited_per_worker], 3));
    harness.run_for(2_000);
    assert_eq!(harness.running().len(), 3);
}

/// Guards against starting a task on an instance with an order in progress: a late order of the former
/// leader had put a new worker on it, which was not cordoned (kds-windhoek trouble-3, seed 964891533397,
/// violated the rule TWICE).
#[test]
fn a_new_worker_on_an_evacuating_instance_gets_no_tasks() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("m0", "service", Some("w0"));
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(1_500);
    let wave = WaveRequest {
        number: 1,
        instances: vec!["m0".into()],
        duration_ms: 20_000,
        down_max: 1,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    harness.run_for(200);
    assert!(harness.instance_orders.is_empty(), "it still runs tasks");
    harness.end_all_runs(RunEndKind::Done);
    harness.partition(0);
    harness.scheduler.worker_unlisted("w0");
    harness.instances[0].worker = Some("w1".into());
    harness.complete_orders = false;
    harness.run_for(1_500);
    harness.add_worker("w1", "service");
    harness.run_for(500);
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(500);
    assert_eq!(harness.instance_orders.len(), 1, "an order is in progress");
    assert_eq!(harness.start_count("b.0.0.0"), 0);
}

/// Guards against tasks of a crashed worker that wait for its lease to expire although the platform lists
/// the instance as down (seen in a trial: 4 s instead of 0.1 s).
#[test]
fn tasks_of_a_worker_whose_instance_is_down_start_elsewhere_at_once() {
    let mut harness = SchedulerHarness::new(2);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-w1", "service", Some("w1"));
    harness.run_for(1_500);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.crash(worker);
    harness.instances[worker].state = InstanceState::Down;
    harness.instances[worker].worker = None;
    harness.run_for(1_200);
    assert_eq!(harness.start_count("a.0.0.0"), 2);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against treating a lease as ended because a single list omitted the instance: an unreachable
/// worker continues its runs.
#[test]
fn an_unreachable_worker_keeps_its_tasks_while_it_is_listed() {
    let mut harness = SchedulerHarness::new(2);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-w1", "service", Some("w1"));
    harness.run_for(1_500);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.partition(worker);
    let unlisted = harness.instances.remove(worker);
    harness.run_for(900);
    harness.instances.insert(worker, unlisted);
    harness.run_for(3_000);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
}

/// Guards against stopping a run because one response was lost, which delays its task: the same start can
/// be sent again (day late-orders: half of the work late).
#[test]
fn a_start_without_a_response_is_sent_again_to_the_same_worker() {
    let mut harness = SchedulerHarness::new(2);
    harness.lose_next_starts = 1;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(50);
    assert_eq!(harness.running(), ["a.0.0.0"]);
    assert_eq!(harness.ordered_run_numbers("a.0.0.0"), [1]);
    harness.run_for(500);
    assert_eq!(harness.start_count("a.0.0.0"), 2, "the run is not stopped");
}

/// Guards against excluding a worker because the response to a single poll was lost, and against using one
/// that has failed to respond twice.
#[test]
fn one_lost_poll_does_not_exclude_a_worker() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.lose_next_polls = 1;
    harness.run_for(30);
    assert_eq!(
        harness.lose_next_polls, 0,
        "the response to a poll was lost"
    );
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(20);
    assert_eq!(harness.running(), ["a.0.0.0", "b.0.0.0"]);
    harness.partition(0);
    harness.run_for(200);
    harness.submit("c", job(vec![step(1)], 3));
    harness.run_for(300);
    assert_eq!(harness.start_count("c.0.0.0"), 0);
}

/// Guards against a worker that counts as unresponsive, or is not polled again, after the gateway that
/// held its link was lost several times.
#[test]
fn a_closed_link_does_not_exclude_a_worker() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.close_next_polls = 3;
    harness.run_for(200);
    assert_eq!(harness.close_next_polls, 0, "the polls were sent");
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(20);
    assert_eq!(harness.running(), ["a.0.0.0", "b.0.0.0"]);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(200);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against a start that is still on its way when its worker restarts under the same id: the new
/// incarnation does not know that the run has ended, and would run the task again.
#[test]
fn a_restarted_worker_is_told_to_refuse_late_starts() {
    let mut harness = SchedulerHarness::new(1);
    harness.lose_next_starts = 1;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(1_000);
    assert_eq!(harness.state("a"), JobState::Completed);
    harness.restart(0);
    harness.lose_stops = true;
    harness.run_for(200);
    harness.lose_stops = false;
    harness.run_for(500);
    assert_eq!(harness.workers[0].closed.get("a.0.0.0"), Some(&1));
    harness.submit("b", job(vec![step(4)], 3));
    harness.run_for(100);
    assert_eq!(harness.running().len(), 4, "all room is free again");
}

/// Guards against acknowledging an end that the leader has not seen: the worker has restarted unnoticed, and
/// a poll with the cursor of its former incarnation makes it drop the end of a task that then starts again
/// (takeover schedule of seed 1170 with restarts).
#[test]
fn a_restarted_worker_keeps_its_ends_until_they_are_seen() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(1_000);
    assert!(harness.workers[0].ended.is_empty(), "acknowledged");
    harness.restart_unlisted(0);
    harness.lose_next_polls = 1;
    harness.submit("b", job(vec![step(1)], 3));
    while harness.lose_next_polls > 0 {
        harness.run_for(10);
    }
    harness.end_task("b.0.0.0", RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.start_count("b.0.0.0"), 1);
    assert_eq!(harness.state("b"), JobState::Completed);
}

/// Guards against an instance that is unusable for 12.5 s because the response to an order was lost.
/// Repeating an order that was carried out has no further effect.
#[test]
fn an_instance_order_without_a_response_is_sent_again() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "spare", None);
    harness.scheduler.set_spare_services(&["spare".into()]);
    harness.run_for(300);
    harness.lose_next_orders = 1;
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(2_500);
    assert_eq!(harness.running().len(), 8, "the instance has moved");
    assert_eq!(harness.instance_orders.len(), 2);
    assert_eq!(harness.instance_orders[0], harness.instance_orders[1]);
}

/// Guards against an order that takes effect after a later one to the same instance: it would terminate
/// everything that has started there in the meantime.
#[test]
fn no_other_order_is_sent_while_a_lost_one_may_take_effect() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "spare", None);
    harness.scheduler.set_spare_services(&["spare".into()]);
    harness.run_for(300);
    harness.lose_next_orders = 1;
    harness.submit("a", job(vec![step(8)], 3));
    harness.run_for(2_500);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(8_000);
    let order_count = |harness: &SchedulerHarness| {
        let orders = harness.instance_orders.iter();
        orders.filter(|(name, _)| &**name == "m1").count()
    };
    assert_eq!(
        order_count(&harness),
        2,
        "no order follows while the lost one may take effect"
    );
    harness.run_for(6_000);
    assert_eq!(
        order_count(&harness),
        3,
        "the instance returns to the spare pool"
    );
}

/// Guards against an instance that takes no tasks for ever: a former leader had it maintained, the record
/// of that was lost in an outage of the store, and the platform accepts the new leader's order without
/// effect (kds-windhoek-grown, outages seed 317546413701, LOST).
#[test]
fn an_instance_that_was_maintained_before_takes_tasks_again() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.maintained_before = true;
    harness.run_for(1_200);
    harness.scheduler.wave_requested(
        WaveRequest {
            number: 1,
            instances: vec!["machine-w0".into()],
            duration_ms: 20_000,
            down_max: 1,
        },
        harness.now,
    );
    harness.run_for(2_000);
    assert_eq!(harness.instance_orders.len(), 1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    assert_eq!(harness.running(), ["a.0.0.0"]);
}
