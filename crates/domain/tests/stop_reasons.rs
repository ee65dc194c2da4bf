//! Reasons of stop orders, which the log names.

mod scheduler_harness;

use rosemaryscale_domain::job::StepSpec;
use rosemaryscale_domain::schedule::order::{RunEndKind, WaveRequest};
use rosemaryscale_domain::schedule::stop_reason::StopReason;
use scheduler_harness::{SchedulerHarness, job, step};

/// Reasons of the stop orders for a task. An order that is sent again repeats its reason.
fn reasons(harness: &SchedulerHarness, task: &str) -> Vec<StopReason> {
    let orders = harness.stop_causes.iter();
    let mut reasons: Vec<StopReason> = orders
        .filter(|(stopped, _)| stopped == task)
        .map(|(_, cause)| cause.reason)
        .collect();
    reasons.dedup();
    reasons
}

/// Guards against words that change with the code, so that operators' searches of the logs miss lines.
#[test]
fn the_words_of_reasons_in_log_lines_are_stable() {
    let words = [
        (StopReason::JobCancelled, "JobCancelled"),
        (StopReason::JobFailed, "JobFailed"),
        (StopReason::JobCompleted, "JobCompleted"),
        (StopReason::StartUnanswered, "StartUnanswered"),
        (StopReason::NotNeeded, "NotNeeded"),
        (StopReason::NoProgress, "NoProgress"),
        (StopReason::GangDone, "GangDone"),
        (StopReason::Evacuation, "Evacuation"),
        (StopReason::UnknownJob, "UnknownJob"),
    ];
    for (reason, word) in words {
        assert_eq!(reason.to_string(), word);
    }
}

/// Guards against a stop for which the log names no reason or the wrong one.
#[test]
fn stops_of_an_ended_job_name_its_end() {
    let mut harness = SchedulerHarness::new(1);
    harness.lose_stops = true;
    harness.submit("a", job(vec![step(1)], 3));
    harness.submit("b", job(vec![step(2)], 1));
    harness.run_for(100);
    harness.cancel("a");
    harness.end_task("b.0.0.0", RunEndKind::Failed);
    harness.run_for(1_000);
    assert_eq!(reasons(&harness, "a.0.0.0"), [StopReason::JobCancelled]);
    assert_eq!(reasons(&harness, "b.0.0.1"), [StopReason::JobFailed]);
    let orders = harness.stop_causes.iter();
    let attempts: Vec<u32> = orders
        .filter(|(stopped, _)| stopped == "a.0.0.0")
        .map(|(_, cause)| cause.attempt)
        .collect();
    assert!(attempts.len() > 1, "the stop is sent again");
    assert!(
        attempts.iter().copied().eq(1..=attempts.len() as u32),
        "{attempts:?}"
    );
}

/// Guards against a stop of a run with an unknown start for which the log names another reason, also after
/// the job was cancelled while the stop was on its way.
#[test]
fn a_stop_after_an_unanswered_start_keeps_its_reason() {
    let mut harness = SchedulerHarness::new(2);
    harness.lose_starts = true;
    harness.lose_stops = true;
    harness.submit("a", job(vec![step(1)], 3));
    harness.run_for(400);
    harness.cancel("a");
    harness.run_for(1_000);
    assert_eq!(reasons(&harness, "a.0.0.0"), [StopReason::StartUnanswered]);
}

/// Guards against a restart of a stalled task that the log does not explain.
#[test]
fn a_stop_of_a_stalled_run_names_the_missing_progress() {
    let mut harness = SchedulerHarness::new(2);
    harness.submit("a", job(vec![step(1)], 3));
    harness.progress_reports.insert("a.0.0.0".into(), (40, 0));
    harness.run_for(4_000);
    assert_eq!(reasons(&harness, "a.0.0.0"), [StopReason::NoProgress]);
}

/// Guards against a stop of a gang's other members that looks like a fault.
#[test]
fn stops_of_a_done_gang_name_the_gang() {
    let mut harness = SchedulerHarness::new(1);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    harness.submit("a", job(vec![gang], 3));
    harness.run_for(200);
    assert_eq!(harness.running(), ["a.0.0.0", "a.0.0.1"]);
    harness.end_task("a.0.0.0", RunEndKind::Done);
    harness.run_for(200);
    assert_eq!(reasons(&harness, "a.0.0.1"), [StopReason::GangDone]);
}

/// Guards against an interruption by planned maintenance that the log does not tell from a fault.
#[test]
fn a_stop_for_maintenance_names_the_evacuation() {
    let mut harness = SchedulerHarness::new(2);
    harness.add_instance("m0", "service", Some("w0"));
    harness.add_instance("m1", "service", Some("w1"));
    let long_running = StepSpec {
        long_running: true,
        per_worker_max: 1,
        may_miss: Some(1),
        ..step(1)
    };
    harness.submit("a", job(vec![long_running], 3));
    harness.run_for(1_500);
    let wave = WaveRequest {
        number: 1,
        instances: vec!["m0".into(), "m1".into()],
        duration_ms: 20_000,
        down_max: 1,
    };
    harness.scheduler.wave_requested(wave, harness.now);
    harness.run_for(10_000);
    assert_eq!(reasons(&harness, "a.0.0.0"), [StopReason::Evacuation]);
}

/// Guards against stops without a reason of runs that a former leader had started: one whose job the store
/// does not have, and one whose job was cancelled meanwhile.
#[test]
fn stops_of_runs_of_a_former_leader_name_why_they_are_not_kept() {
    let mut harness = SchedulerHarness::new(1);
    harness.submit("a", job(vec![step(1)], 3));
    harness.submit("b", job(vec![step(1)], 3));
    harness.run_for(100);
    harness.store.jobs.retain(|(id, _)| &**id != "a");
    harness.store.cancelled.insert("b".into());
    harness.change_leader();
    harness.run_for(5_000);
    assert_eq!(reasons(&harness, "a.0.0.0"), [StopReason::UnknownJob]);
    assert_eq!(reasons(&harness, "b.0.0.0"), [StopReason::NotNeeded]);
}
