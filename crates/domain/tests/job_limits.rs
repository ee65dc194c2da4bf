//! Jobs beyond the limits, and backlogs of repeated jobs.

mod scheduler_harness;

use rosemaryscale_domain::job::{JobRecord, JobState, Repeat};
use scheduler_harness::{SchedulerHarness, job, step};

/// A job of one task whose occurrences are due since long ago.
fn repeated(count: u32, interval_ms: u64) -> JobRecord {
    let mut record = job(vec![step(1)], 3);
    record.spec.repeat = Some(Repeat {
        count,
        start_wall_ms: 0,
        interval_ms,
    });
    record
}

/// Guards against a leader that creates the whole backlog of a repeated job at once, with a cost that grows
/// with the square of the backlog, and against occurrences that are skipped or started twice.
#[test]
fn a_backlog_of_occurrences_is_created_in_portions() {
    const COUNT: u32 = 2_000;
    let mut harness = SchedulerHarness::new(25);
    harness.submit("jjj", repeated(COUNT, 1));
    harness.run_for(10);
    let waiting: usize = harness
        .scheduler
        .pool_uses(harness.now)
        .map(|pool| pool.tasks_waiting)
        .sum();
    assert!(
        (1..=200).contains(&waiting),
        "{waiting} tasks in the first cycle"
    );
    for _ in 0..200 {
        harness.run_for(100);
        harness.end_runs_of_job("jjj");
    }
    harness.run_for(500);
    assert_eq!(harness.state("jjj"), JobState::Completed);
    let mut started: Vec<_> = harness.starts.iter().map(|(_, task, _)| task).collect();
    started.sort();
    started.dedup();
    assert_eq!(
        (started.len(), harness.starts.len()),
        (COUNT as usize, COUNT as usize)
    );
}

/// Guards against a job of an earlier version that is beyond the limits and stops each leader in turn: it fails,
/// and other jobs run.
#[test]
fn a_stored_job_beyond_the_limits_fails_alone() {
    let huge = |change: fn(&mut JobRecord)| {
        let mut record = repeated(1, 1_000);
        change(&mut record);
        record
    };
    let records = [
        huge(|record| record.spec.steps = vec![step(10_000); 2]),
        huge(|record| record.spec.steps[0].estimate_ms = u64::MAX),
        huge(|record| record.spec.steps[0].processors_milli = u64::MAX),
        repeated(20_000, 0),
        repeated(u32::MAX, u64::MAX),
    ];
    for record in records {
        let mut harness = SchedulerHarness::new(1);
        harness.submit("jjj", record);
        harness.submit("other", job(vec![step(1)], 3));
        harness.run_for(200);
        assert_eq!(harness.state("jjj"), JobState::Failed);
        harness.store.progress.remove("jjj");
        harness.change_leader();
        harness.run_for(200);
        assert_eq!(harness.state("jjj"), JobState::Failed);
        harness.end_runs_of_job("other");
        harness.run_for(500);
        assert_eq!(harness.state("other"), JobState::Completed);
    }
}
