//! Readable entries of another writer under the id of a live worker, which change only what the worker itself does
//! not report: capacity, service, instance, labels or state.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, StepSpec};
use rosemaryscale_domain::schedule::order::{RunEndKind, WorkerReport};
use scheduler_harness::{SchedulerHarness, job, step};

/// One worker of `service` that the list of instances shows on an instance of its own.
fn harness_with_instance() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.run_for(1_500);
    harness
}

/// Applies the entry of the worker with a change that the worker itself knows nothing of.
fn list_odd(harness: &mut SchedulerHarness, change: impl Fn(&mut WorkerReport)) {
    let mut report = harness.workers[0].report.clone();
    change(&mut report);
    harness.scheduler.worker_listed(report, harness.now);
}

fn name_large_capacity(report: &mut WorkerReport) {
    report.capacity.processors_milli = 64_000;
    report.capacity.memory_mb = 64_000;
}

fn job_of(service: &str) -> JobRecord {
    let mut record = job(vec![step(1)], 3);
    record.queue = service.into();
    record.policy.service = service.into();
    record
}

fn job_with_requirement(label: &str) -> JobRecord {
    let required = StepSpec {
        requirement: Some(label.into()),
        ..step(1)
    };
    job(vec![required], 3)
}

/// Guards against starts beyond the room of a worker whose entry names more than its instance has.
#[test]
fn a_capacity_beyond_the_instance_starts_nothing_beyond_it() {
    let mut harness = harness_with_instance();
    list_odd(&mut harness, name_large_capacity);
    harness.submit("a", job(vec![step(12)], 3));
    harness.run_for(1_500);
    assert_eq!(harness.running().len(), 4);
    let status = harness.scheduler.status(harness.now);
    assert_eq!(status.worker_capacity.processors_milli, 4_000);
}

/// Guards against the same while a list lacks the instance, or when the entry names another instance, too.
#[test]
fn the_bound_of_the_capacity_outlasts_a_list_without_the_instance() {
    for instance in ["machine-w0", "machine-odd"] {
        let mut harness = harness_with_instance();
        harness.instances.clear();
        harness.run_for(1_500);
        list_odd(&mut harness, |report| {
            name_large_capacity(report);
            report.instance = instance.into();
        });
        harness.submit("a", job(vec![step(12)], 3));
        harness.run_for(1_500);
        assert_eq!(harness.running().len(), 4);
    }
}

/// Guards against a bound that outlasts its reason: the instance has grown, or a new process has registered.
#[test]
fn the_capacity_grows_with_the_instance() {
    let mut harness = harness_with_instance();
    harness.instances[0].capacity.processors_milli = 2_000;
    harness.run_for(1_500);
    harness.submit("a", job(vec![step(4)], 3));
    harness.run_for(500);
    assert_eq!(harness.running().len(), 2);
    harness.instances[0].capacity.processors_milli = 4_000;
    harness.run_for(1_500);
    assert_eq!(harness.running().len(), 4);
}

/// Guards against a worker that gets tasks of a service that it does not belong to, and none of its own.
#[test]
fn a_live_worker_keeps_its_service() {
    let mut harness = harness_with_instance();
    list_odd(&mut harness, |report| report.service = "other".into());
    harness.submit("a", job_of("other"));
    harness.submit("b", job_of("service"));
    harness.run_for(3_000);
    assert_eq!(harness.running(), ["b.0.0.0"]);
    harness.instances[0].pool = "other".into();
    harness.run_for(1_500);
    assert_eq!(harness.running(), ["a.0.0.0", "b.0.0.0"]);
}

/// Guards against tasks of a service that the first entry of a worker claims, and against a worker that stays
/// excluded once entry and list agree.
#[test]
fn a_worker_in_the_pool_of_another_service_takes_no_tasks_until_they_agree() {
    for is_entry_mended in [true, false] {
        let mut harness = SchedulerHarness::new(0);
        harness.add_instance("machine-w0", "service", Some("w0"));
        harness.add_worker("w0", "other");
        harness.run_for(3_000);
        harness.submit("a", job_of("other"));
        harness.run_for(1_500);
        list_odd(&mut harness, |report| report.service = "third".into());
        harness.run_for(1_500);
        list_odd(&mut harness, |report| report.service = "other".into());
        harness.run_for(1_500);
        assert!(harness.running().is_empty(), "{:?}", harness.running());
        if is_entry_mended {
            harness.workers[0].report.service = "service".into();
            list_odd(&mut harness, |_| ());
            harness.submit("b", job_of("service"));
            harness.run_for(100);
            assert_eq!(harness.running(), ["b.0.0.0"]);
        } else {
            harness.instances[0].pool = "other".into();
            harness.run_for(1_500);
            assert_eq!(harness.running(), ["a.0.0.0"]);
        }
    }
}

/// Guards against a worker that waits because the list shows its former pool for another second after a move.
#[test]
fn a_list_that_lags_does_not_keep_a_moved_worker_from_taking_tasks() {
    for is_same_process in [true, false] {
        let mut harness = SchedulerHarness::new(0);
        harness.add_instance("machine-w0", "former", Some("w0"));
        if !is_same_process {
            harness.add_worker("w0", "former");
        }
        harness.run_for(1_500);
        if is_same_process {
            harness.add_worker("w0", "service");
        } else {
            harness.workers[0].report.service = "service".into();
            harness.restart(0);
        }
        harness.run_for(100);
        for index in 0..10 {
            harness.submit(&format!("job{index}"), job_of("service"));
            harness.run_for(100);
            assert_eq!(harness.running().len(), 1);
            harness.end_all_runs(RunEndKind::Done);
            harness.run_for(50);
        }
    }
}

/// Guards against a list that decides about a worker that it does not show.
#[test]
fn an_instance_that_the_list_lacks_decides_nothing() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_instance("machine-w1", "other", Some("w1"));
    harness.run_for(5_000);
    harness.submit("a", job_of("service"));
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.0.0"]);
}

/// Guards against the end of a run on a worker that is only cut off, since an entry names an instance that the
/// list shows with another worker.
#[test]
fn another_instance_does_not_end_a_worker_that_is_cut_off() {
    let mut harness = SchedulerHarness::new(2);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-w1", "service", Some("w1"));
    harness.run_for(1_500);
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(500);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    let other = 1 - worker;
    let mut report = harness.workers[worker].report.clone();
    report.instance = harness.workers[other].report.instance.clone();
    harness.scheduler.worker_listed(report, harness.now);
    harness.partition(worker);
    harness.run_for(3_000);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
}

/// Guards against a task on a worker that lacks the label it requires: labels of a process do not change, so none
/// counts that only one of its entries names.
#[test]
fn labels_count_only_while_the_entries_of_a_process_agree() {
    let mut harness = harness_with_instance();
    list_odd(&mut harness, |report| {
        report.labels = vec!["odd".into(), "rack".into()];
    });
    harness.submit("a", job_with_requirement("odd"));
    harness.submit("b", job_with_requirement("kind"));
    harness.submit("c", job_with_requirement("rack"));
    harness.run_for(500);
    assert_eq!(harness.running(), ["c.0.0.0"]);
    list_odd(&mut harness, |_| ());
    harness.run_for(500);
    assert_eq!(harness.running(), ["b.0.0.0", "c.0.0.0"]);
    harness.workers[0].report.labels = vec!["odd".into(), "rack".into()];
    harness.restart(0);
    harness.run_for(1_500);
    assert!(harness.running().contains(&"a.0.0.0".to_owned()));
}

/// Guards against a worker without labels for the rest of its process since it answered a new leader, which knows it
/// from the record of the former one, before it was listed.
#[test]
fn labels_of_a_recorded_worker_are_those_of_its_first_entry() {
    let mut harness = harness_with_instance();
    harness.submit("run", job_of("service"));
    harness.run_for(500);
    let workers = std::mem::take(&mut harness.workers);
    harness.change_leader();
    harness.workers = workers;
    harness.run_for(500);
    list_odd(&mut harness, |_| ());
    harness.run_for(500);
    harness.submit("a", job_with_requirement("kind"));
    harness.run_for(500);
    assert_eq!(harness.running(), ["a.0.0.0", "run.0.0.0"]);
}

/// Guards against a second run of a task after a change of the leader: an odd entry, before it or after it, names
/// another service for the worker that runs the task, so that nobody waits for its answer.
#[test]
fn a_new_leader_waits_for_a_worker_whose_entry_names_another_service() {
    for is_listed_before in [true, false] {
        let mut harness = SchedulerHarness::new(2);
        harness.submit("a", job_of("service"));
        harness.run_for(500);
        let worker = harness.worker_running("a.0.0.0").expect("it runs");
        let mut odd = harness.workers[worker].report.clone();
        odd.service = "other".into();
        if is_listed_before {
            harness.scheduler.worker_listed(odd.clone(), harness.now);
            harness.submit("c", job_of("other"));
            harness.run_for(1_000);
        }
        harness.partition(worker);
        harness.change_leader();
        harness.scheduler.worker_listed(odd, harness.now);
        harness.run_for(4_000);
        assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
        assert_eq!(harness.start_count("a.0.0.0"), 1);
    }
}

/// Guards against the same since the entry names the instance of another worker, which the list shows there.
#[test]
fn a_new_leader_waits_for_a_worker_whose_entry_names_another_instance() {
    let mut harness = SchedulerHarness::new(2);
    harness.add_instance("machine-w0", "service", Some("w0"));
    harness.add_instance("machine-w1", "service", Some("w1"));
    harness.submit("a", job_of("service"));
    harness.run_for(500);
    let worker = harness.worker_running("a.0.0.0").expect("it runs");
    let mut odd = harness.workers[worker].report.clone();
    odd.instance = harness.workers[1 - worker].report.instance.clone();
    harness.partition(worker);
    harness.change_leader();
    harness.scheduler.worker_listed(odd, harness.now);
    harness.run_for(4_000);
    assert_eq!(harness.concurrent_runs_max("a.0.0.0"), 1);
    assert_eq!(harness.start_count("a.0.0.0"), 1);
}

/// Guards against starts beyond the room of a worker that no list has shown yet.
#[test]
fn a_worker_that_no_list_has_shown_has_at_most_the_capacity_of_the_largest_instance() {
    let mut harness = SchedulerHarness::new(0);
    harness.add_instance("machine-w0", "service", None);
    harness.run_for(1_500);
    harness.add_worker("w0", "service");
    list_odd(&mut harness, name_large_capacity);
    harness.submit("a", job(vec![step(12)], 3));
    harness.run_for(1_500);
    assert_eq!(harness.running().len(), 4);
}

/// Guards against a start on a worker that is about to end, and against a worker that stays excluded after the
/// claim of another writer.
#[test]
fn draining_counts_at_once_and_until_the_next_entry() {
    let mut harness = harness_with_instance();
    list_odd(&mut harness, |report| report.draining = true);
    harness.submit("a", job_of("service"));
    harness.run_for(1_500);
    assert!(harness.running().is_empty());
    list_odd(&mut harness, |_| ());
    harness.run_for(100);
    assert_eq!(harness.running(), ["a.0.0.0"]);
}
