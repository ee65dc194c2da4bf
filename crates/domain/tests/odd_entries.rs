//! Worker entries of another writer: capacities and start times that no worker has.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::schedule::order::{RunEndKind, WorkerReport};
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
        assert_eq!(harness.scheduler.pool_uses(harness.now).count(), 1);
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

/// Guards against a worker whose answers are ignored for good, and that is polled without pause, after an entry
/// with a start in the future; and against a second run of the task that it runs.
#[test]
fn a_start_in_the_future_does_not_end_a_live_worker() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    let polls = harness.polls;
    list_odd(&mut harness, worker, |report| {
        report.started_wall_ms = u64::MAX
    });
    harness.run_for(2_000);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
    assert!(
        harness.polls - polls < 150,
        "{} polls",
        harness.polls - polls
    );
    harness.submit("b", job(vec![step(8)], 3));
    harness.run_for(200);
    assert_eq!(harness.running().len(), 8, "both workers take tasks");
    list_odd(&mut harness, worker, |_| ());
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.state("a"), JobState::Completed);
}

/// Guards against a second run after odd and true entries of a live worker in turn, with no answer between them:
/// the true one refutes the claim, and the next odd one must be a claim again.
#[test]
fn odd_and_true_entries_in_turn_do_not_end_a_live_worker() {
    for address in ["10.0.0.250:1", ""] {
        let mut harness = SchedulerHarness::new(2);
        harness.submit("a", job(vec![step(1)], 3));
        harness.run_for(500);
        let worker = harness.worker_running("a.0.0.0").expect("it runs");
        harness.dead_address = Some(("10.0.0.250:1".into(), true));
        for _ in 0..3 {
            list_odd(&mut harness, worker, |report| {
                report.started_wall_ms = u64::MAX;
                if !address.is_empty() {
                    report.address = address.into();
                }
            });
            list_odd(&mut harness, worker, |_| ());
        }
        list_odd(&mut harness, worker, |report| {
            report.started_wall_ms = u64::MAX;
        });
        harness.run_for(2_000);
        assert_eq!(harness.start_count("a.0.0.0"), 1);
        assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    }
}

/// Guards against a worker that is never used since the first entry of it named a start in the future and an
/// address where nobody listens: its true entries count as older.
#[test]
fn a_true_entry_replaces_an_odd_one_that_nobody_answers_for() {
    let mut harness = SchedulerHarness::new(0);
    harness.dead_address = Some(("10.0.0.250:1".into(), true));
    let mut odd = silent_entry("w0", HUGE);
    odd.started_wall_ms = u64::MAX;
    harness.scheduler.worker_listed(odd, harness.now);
    harness.run_for(100);
    harness.add_worker("w0", "service");
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(2_000);
    assert_eq!(harness.running().len(), 4);
}

/// Guards against a worker that is never used since its first entry was an odd one.
#[test]
fn a_worker_whose_first_entry_names_a_start_in_the_future_is_used() {
    let mut harness = SchedulerHarness::new(1);
    harness.store.workers.clear();
    harness.workers[0].report.started_wall_ms = u64::MAX;
    harness.change_leader();
    harness.workers[0].report.started_wall_ms = 1;
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(1_000);
    assert_eq!(harness.running().len(), 4);
}

/// Guards against a run that counts as ended because nobody listens at the address of an odd entry, while its
/// worker still has it.
#[test]
fn an_odd_address_does_not_end_a_live_worker() {
    for start in [1, u64::MAX] {
        for is_refused in [true, false] {
            let mut harness = SchedulerHarness::new(2);
            harness.submit("a", job(vec![step(1)], 3));
            harness.run_for(500);
            let worker = harness.worker_running("a.0.0.0").expect("it runs");
            harness.dead_address = Some(("10.0.0.250:1".into(), is_refused));
            list_odd(&mut harness, worker, |report| {
                report.started_wall_ms = start;
                report.address = "10.0.0.250:1".into();
            });
            harness.run_for(3_000);
            assert_eq!(harness.running(), ["a.0.0.0"]);
            assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
            assert_eq!(harness.start_count("a.0.0.0"), 1);
            harness.submit("b", job(vec![step(7)], 3));
            harness.run_for(500);
            assert_eq!(harness.running().len(), 8, "both workers take tasks");
        }
    }
}

/// Guards against a worker that is never used: its process ends, an odd entry with another address and start replaces
/// its own, and a refused connect at its address ends all attempts there, where its next process listens.
#[test]
fn an_odd_address_between_two_processes_does_not_hide_the_next_one() {
    for is_refused in [true, false] {
        for is_listed_first in [true, false] {
            let mut harness = SchedulerHarness::new(1);
            harness.submit("a", job(vec![step(1)], 3));
            harness.run_for(500);
            harness.workers[0].running.clear();
            harness.workers[0].listening = false;
            if is_listed_first {
                harness.workers[0].report.started_wall_ms = 2;
                list_odd(&mut harness, 0, |_| ());
                harness.workers[0].report.started_wall_ms = 1;
                harness.run_for(20);
            }
            harness.dead_address = Some(("10.0.0.250:1".into(), is_refused));
            list_odd(&mut harness, 0, |report| {
                report.started_wall_ms = u64::MAX;
                report.address = "10.0.0.250:1".into();
            });
            harness.run_for(1_000);
            harness.restart_unlisted(0);
            harness.submit("b", job(vec![step(3)], 3));
            harness.run_for(1_500);
            assert_eq!(harness.running().len(), 4, "the next process is used");
            assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
            assert_eq!(harness.start_count("a.0.0.0"), 2);
        }
    }
}

/// Guards against ends of a process without a start that are ignored since the former one at another address had
/// reported more of them.
#[test]
fn the_next_process_at_another_address_counts_its_ends_anew() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(500);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    harness.workers[0].listening = false;
    harness.dead_address = Some((harness.workers[0].report.address.clone(), true));
    harness.workers[0].report.address = "10.0.0.251:1".into();
    list_odd(&mut harness, 0, |report| report.started_wall_ms = 0);
    harness.run_for(1_000);
    harness.restart_unlisted(0);
    harness.workers[0].report.started_wall_ms = 0;
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(1_500);
    assert_eq!(harness.running(), ["b.0.0.0"]);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(500);
    assert_eq!(harness.state("b"), JobState::Completed);
}

/// Guards against a restarted worker that is not found, or whose runs are kept, when it also has another address.
#[test]
fn a_worker_that_restarts_at_another_address_is_found() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    harness.dead_address = Some((harness.workers[0].report.address.clone(), true));
    harness.workers[0].report.address = "10.0.0.251:1".into();
    harness.lose_next_polls = 1;
    harness.restart(0);
    harness.run_for(1_500);
    assert_eq!(harness.start_count("a.0.0.0"), 2);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
}

/// Guards against a recovery that waits for the end of all leases because an entry names a start that its worker
/// does not have.
#[test]
fn a_start_in_the_future_does_not_stop_a_recovery() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    harness.change_leader();
    list_odd(&mut harness, worker, |report| {
        report.started_wall_ms = u64::MAX
    });
    harness.submit_before_term("b", job(vec![step(1)], 3));
    harness.run_for(1_500);
    assert!(!harness.scheduler.is_recovering());
    assert_eq!(harness.start_count("a.0.0.0"), 1, "its run is adopted");
    assert_eq!(harness.start_count("b.0.0.0"), 1);
}

/// Guards against a recovery that counts a run as ended because nobody listens at the address of an odd entry.
#[test]
fn an_odd_address_does_not_end_a_worker_of_the_former_leader() {
    for start in [1, u64::MAX] {
        let mut harness = SchedulerHarness::new(2);
        harness.submit("a", job(vec![step(1)], 3));
        harness.run_for(500);
        let worker = harness.worker_running("a.0.0.0").expect("it runs");
        harness.change_leader();
        harness.dead_address = Some(("10.0.0.250:1".into(), true));
        list_odd(&mut harness, worker, |report| {
            report.started_wall_ms = start;
            report.address = "10.0.0.250:1".into();
        });
        harness.run_for(3_000);
        assert!(!harness.scheduler.is_recovering());
        assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
        assert_eq!(harness.start_count("a.0.0.0"), 1, "its run is adopted");
    }
}

/// Guards against a recovery, or work, that waits for an entry without a worker.
#[test]
fn a_recovery_does_not_wait_for_an_entry_without_a_worker() {
    let mut harness = SchedulerHarness::new(1);
    let entry = silent_entry("odd", HUGE);
    harness.scheduler.worker_listed(entry.clone(), harness.now);
    harness.run_for(1_500);
    harness.change_leader();
    harness.scheduler.worker_listed(entry, harness.now);
    harness.submit_before_term("a", job(vec![step(4)], 3));
    harness.run_for(500);
    assert!(!harness.scheduler.is_recovering());
    assert_eq!(harness.running().len(), 4);
}
