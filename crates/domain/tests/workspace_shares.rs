//! Division of a service among workspaces, and admission by workspace, in replays of load patterns.

mod scheduler_harness;
mod workspace_replay;

use rosemaryscale_domain::job::{JobState, StepSpec};
use rosemaryscale_domain::schedule::order::RunEndKind;
use rosemaryscale_domain::schedule::pressure::{Admission, Pressure};
use scheduler_harness::{SchedulerHarness, job, step};
use workspace_replay::{Counts, Load, Replay, owned, workspace};

/// Workers of the replays: 40 tasks at once, so 20 jobs of 4 tasks of half a second each second.
const WORKERS: usize = 10;
const FLOOD_BEGIN_MS: u64 = 2_000;
const FLOOD_END_MS: u64 = 8_000;
const END_MS: u64 = 10_000;

/// Six workspaces that together ask for 83% of the service.
fn steady_loads() -> Vec<Load> {
    (0..6)
        .map(|index| Load {
            workspace: workspace(&format!("steady{index}"), 2_800),
            interval_ms: 360,
            offset_ms: 60 * index,
            from_ms: 0,
            until_ms: END_MS,
            steps: vec![step(4)],
        })
        .collect()
}

/// The steady loads; the first workspace submits at `factor` times its rate for 6 s.
fn flood_loads(factor: u64) -> Vec<Load> {
    let mut loads = steady_loads();
    let flood = Load {
        interval_ms: 360 / factor / 10 * 10,
        from_ms: FLOOD_BEGIN_MS,
        until_ms: FLOOD_END_MS,
        ..loads[0].clone()
    };
    loads.push(flood);
    loads
}

fn others(replay: &Replay, count: fn(&Counts) -> usize) -> usize {
    let counts = replay.counts.iter();
    counts
        .filter(|(name, _)| &***name != "steady0")
        .map(|(_, counts)| count(counts))
        .sum()
}

/// Load pattern: one workspace at 5 and at 8 times its rate for 6 s, the others at 83% of the capacity
/// together. Guards against a flood that takes the others' share, and against refusals of anybody else.
#[test]
fn a_flood_of_one_workspace_leaves_the_others_their_share() {
    let calm = Replay::of(WORKERS, steady_loads(), true);
    for factor in [5, 8] {
        for with_admission in [false, true] {
            let flood = Replay::of(WORKERS, flood_loads(factor), with_admission);
            let (with, without) = (
                others(&flood, |counts| counts.in_time),
                others(&calm, |counts| counts.in_time),
            );
            assert!(
                with * 100 >= without * 98,
                "x{factor} admission {with_admission}: {with} of {without} in time, {:?}",
                flood.counts
            );
            assert_eq!(others(&flood, |counts| counts.refused), 0);
        }
    }
}

/// Load pattern: as above, at 8 times the rate. Guards against a flood that is accepted although it cannot be
/// useful, and that the threshold of waiting steps hides: its jobs are few and large.
#[test]
fn admission_refuses_the_flood_and_nobody_else() {
    let mut loads = flood_loads(8);
    if let Some(flood) = loads.last_mut() {
        flood.interval_ms = 320;
        flood.steps = vec![step(64)];
    }
    let replay = Replay::of(WORKERS, loads, true);
    let flooder = &replay.counts["steady0"];
    assert!(flooder.refused >= 8, "{:?}", replay.counts);
    assert_eq!(others(&replay, |counts| counts.refused), 0);
}

/// Load pattern: as above, at 8 times the rate. Guards against refused callers that come back at once or together,
/// and against a time to come back that ignores the backlog.
#[test]
fn refused_callers_of_a_flood_return_at_different_times() {
    let replay = Replay::of(WORKERS, flood_loads(8), true);
    let mut times = replay.retry_after_ms.clone();
    assert!(times.len() >= 20, "{times:?}");
    let count = times.len();
    let mean_ms = times.iter().sum::<u64>() / count as u64;
    assert!(mean_ms >= 1_500, "{times:?}");
    assert!(
        times.iter().all(|ms| (1_000..=12_000).contains(ms)),
        "{times:?}"
    );
    times.sort_unstable();
    times.dedup();
    assert!(times.len() * 2 >= count, "{times:?}");
}

/// Load pattern: three workspaces with weights 1, 2 and 5, each at twice what its share can do, for 10 s.
/// Guards against a division by the sizes of jobs or by the order of arrival.
#[test]
fn overload_divides_the_service_by_weight() {
    let weights = [10_000, 20_000, 50_000];
    let loads = weights
        .iter()
        .enumerate()
        .map(|(index, weight_milli)| Load {
            workspace: workspace(&format!("workspace{index}"), *weight_milli),
            interval_ms: [400, 100, 80][index],
            offset_ms: 0,
            from_ms: 0,
            until_ms: END_MS,
            // The sizes differ, so that the order by size alone would serve one workspace only.
            steps: vec![step([8, 4, 8][index])],
        });
    let replay = Replay::of(WORKERS, loads.collect(), false);
    let total: u64 = replay.busy_ms.values().sum();
    for (index, weight_milli) in weights.iter().enumerate() {
        let share = replay.busy_ms[&*format!("workspace{index}")] * 100 / total;
        let fair = weight_milli * 100 / 80_000;
        assert!(
            share.abs_diff(fair) * 10 <= fair.max(10),
            "share {share}% of {fair}%: {:?}",
            replay.busy_ms
        );
    }
}

/// Load pattern: a workspace whose tasks need a whole worker, and three that keep the service full of small
/// tasks, for 10 s. Guards against large tasks that find no worker empty, and against small ones that wait for them.
#[test]
fn neither_large_nor_small_jobs_starve() {
    let large_step = StepSpec {
        processors_milli: 4_000,
        ..step(1)
    };
    let mut loads: Vec<Load> = (0..3)
        .map(|index| Load {
            workspace: workspace(&format!("small{index}"), 10_000),
            interval_ms: 60,
            offset_ms: 10 * index,
            from_ms: 0,
            until_ms: END_MS,
            steps: vec![step(1)],
        })
        .collect();
    loads.push(Load {
        workspace: workspace("large", 2_000),
        interval_ms: 1_000,
        offset_ms: 0,
        from_ms: 1_000,
        until_ms: 8_000,
        steps: vec![large_step],
    });
    let replay = Replay::of(4, loads, false);
    let large = &replay.counts["large"];
    assert!(
        large.useful * 10 >= large.accepted * 8,
        "{:?}",
        replay.counts
    );
    // 16 small tasks at once are 320 in 10 s; seven large ones take the room of 28.
    let small = |index| replay.counts[&*format!("small{index}")].useful;
    assert!(
        (0..3).all(|index| small(index) >= 80),
        "{:?}",
        replay.counts
    );
    assert!(
        (0..3).map(small).sum::<usize>() >= 270,
        "{:?}",
        replay.counts
    );
}

/// Load pattern: one workspace fills an idle service, then another one of the same weight comes with as
/// much work. Guards against shares that are not lent, and against a loan that is not returned as runs end.
#[test]
fn an_unused_share_is_lent_and_comes_back() {
    let mut harness = SchedulerHarness::new(4);
    let (a, b) = (workspace("a", 20_000), workspace("b", 20_000));
    for index in 0..40 {
        harness.submit(&format!("a{index:02}"), owned(job(vec![step(1)], 3), &a));
    }
    harness.run_for(100);
    assert_eq!(harness.running().len(), 16, "the whole service is lent");
    for index in 0..40 {
        harness.submit(&format!("b{index:02}"), owned(job(vec![step(1)], 3), &b));
    }
    harness.run_for(100);
    assert!(
        harness.running().iter().all(|task| task.starts_with('a')),
        "nothing is stopped"
    );
    for task in harness.running().into_iter().take(8) {
        harness.end_task(&task, RunEndKind::Done);
    }
    harness.run_for(100);
    let of_b = harness
        .running()
        .iter()
        .filter(|task| task.starts_with('b'))
        .count();
    // The first workspace may start one more task when it is exactly at its share.
    assert!((7..=8).contains(&of_b), "{:?}", harness.running());
}

/// Load pattern: a workspace submits ten jobs at once at a rate of one a second, beside a workspace within
/// its rate. Guards against excess jobs that come before others, and against excess jobs that wait beside free room.
#[test]
fn excess_jobs_run_where_room_is_left() {
    let mut harness = SchedulerHarness::new(2);
    let (excess, within) = (workspace("excess", 1_000), workspace("within", 40_000));
    for index in 0..10 {
        harness.submit(&format!("e{index}"), owned(job(vec![step(1)], 3), &excess));
    }
    for index in 0..5 {
        harness.submit(&format!("w{index}"), owned(job(vec![step(1)], 3), &within));
    }
    harness.run_for(100);
    let running = harness.running();
    let of_within = running.iter().filter(|task| task.starts_with('w')).count();
    assert_eq!((of_within, running.len()), (5, 8), "{running:?}");
    for _ in 0..4 {
        harness.end_all_runs(RunEndKind::Done);
        harness.run_for(200);
    }
    let done = (0..10).filter(|index| harness.state(&format!("e{index}")) == JobState::Completed);
    assert_eq!(done.count(), 10);
}

/// Guards against marks that are lost with a leader: excess jobs would then come before those of others.
#[test]
fn a_new_leader_knows_which_jobs_are_beyond_the_rate() {
    let mut harness = SchedulerHarness::new(1);
    let (excess, within) = (workspace("excess", 1_000), workspace("within", 40_000));
    harness.submit("hold", owned(job(vec![step(4)], 3), &within));
    harness.run_for(100);
    for index in 0..6 {
        harness.submit(&format!("e{index}"), owned(job(vec![step(1)], 3), &excess));
    }
    for index in 0..2 {
        harness.submit(&format!("w{index}"), owned(job(vec![step(1)], 3), &within));
    }
    harness.change_leader();
    harness.run_for(12_000);
    harness.end_all_runs(RunEndKind::Done);
    harness.run_for(200);
    let mut running = harness.running();
    running
        .retain(|task| task.starts_with('w') || task.starts_with("e0") || task.starts_with("e1"));
    assert_eq!(running.len(), 4, "{:?}", harness.running());
}

/// Guards against a record that the version before this one cannot read, or whose record this one cannot read.
#[test]
fn the_pressure_is_readable_by_and_from_the_version_before() {
    let before = r#"{"services":[{"service":"service","worker":{"processors_milli":4000,"memory_mb":4000,
        "accelerators":0},"waits":[{"work_ms":10,"on_time_wait_ms":90000,"wait_ms":90000}]}]}"#;
    let pressure: Pressure = serde_json::from_str(before).expect("the former record is readable");
    let record = owned(job(vec![step(8)], 3), &workspace("a", 1_000));
    assert!(
        matches!(pressure.admit("a", &record), Admission::Refuse { .. }),
        "global waits count"
    );
    let text = serde_json::to_value(&pressure).expect("the record is encodable");
    assert!(text["services"][0]["waits"][0]["wait_ms"].is_u64());
    assert!(text["services"][0].get("workspaces").is_none());
}

/// Guards against a time to come back that is the same for a long backlog and a short one.
#[test]
fn the_time_to_come_back_grows_with_the_own_backlog() {
    let record = owned(job(vec![step(8)], 3), &workspace("a", 1_000));
    let retry_after_ms = |backlog_ms: u64| {
        let text = format!(
            r#"{{"services":[{{"service":"service","worker":{{"processors_milli":4000,"memory_mb":4000,
            "accelerators":0}},"waits":[],"total_wait_ms":5000,"workspaces":[{{"workspace":"a","wait_ms":0,
            "total_wait_ms":{backlog_ms},"is_beyond_rate":true}}]}}]}}"#
        );
        let pressure: Pressure = serde_json::from_str(&text).expect("the record is readable");
        match pressure.admit("a", &record) {
            Admission::Refuse { retry_after_ms, .. } => retry_after_ms,
            Admission::Accept => 0,
        }
    };
    let times = [2_000, 4_000, 6_000].map(retry_after_ms);
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}
