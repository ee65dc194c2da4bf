//! The cases: what is sent, what goes wrong, and what is judged.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, Shape};
use crate::record::{self, RunSeen};

/// Result of a case.
pub struct Outcome {
    /// How the rule was broken.
    pub broken: Vec<String>,
    pub record: String,
}

pub fn play(name: &str, program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    match name {
        "takeover" => takeover(program, has_trouble),
        "busy-runner" => busy_runner(program, has_trouble),
        "failing-runner" => failing_runner(program, has_trouble),
        "rack-power" => rack_power(program, has_trouble),
        _ => Err(io::Error::other(format!("there is no case {name}"))),
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The leader is killed while small work units run. More than 500 of them end on one runner before the next leader
/// looks at it.
fn takeover(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    const JOBS: u64 = 30;
    const UNITS: u64 = 96;
    /// Time between two jobs; the units that run take nearly all cores, and about 480 of a runner end each second.
    const INTERVAL_MS: u64 = 100;
    /// Time after which the platform starts the process again.
    const DOWN_MS: u64 = 3_500;
    let shape = Shape {
        racks: vec![2],
        kind_b: 0,
        cpu: 32_000,
        daemons: 3,
    };
    let fleet = Fleet::start(program, &shape)?;
    let steps = json!([{"count": UNITS, "cpu": 40, "mem_mb": 16, "estimated_ms": 1600}]);
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("{:016x}", 0xa1_00 + number))
        .collect();
    let began = Instant::now();
    let mut most = 0;
    for (id, number) in ids.iter().zip(1..) {
        if !fleet.submit(id, &json!([{"ms": 1600}]), &steps) {
            return Err(io::Error::other("a job was not accepted"));
        }
        let next = Duration::from_millis(number * INTERVAL_MS);
        while began.elapsed() < next {
            most = fleet.most_kept_ends().max(most);
            pause(5);
        }
    }
    fleet
        .recorder
        .note(format!("at most {most} ends have waited on one runner"));
    if has_trouble {
        let Some(leader) = fleet.leader() else {
            return Err(io::Error::other("no daemon leads"));
        };
        fleet
            .recorder
            .note(format!("{}, which leads, is killed", leader.name));
        leader.kill();
        let killed = Instant::now();
        while killed.elapsed() < Duration::from_millis(DOWN_MS) {
            most = fleet.most_kept_ends().max(most);
            pause(5);
        }
        fleet.restart(leader)?;
        fleet.recorder.note(format!(
            "it is started again; at most {most} ends have waited on one runner"
        ));
    }
    for id in &ids {
        let state = fleet.final_state(id, Duration::from_secs(20));
        fleet.recorder.note(format!("{id} is shown as {state}"));
    }
    pause(1_500);
    let broken = record::run_twice(&fleet.recorder.runs());
    Ok(Outcome {
        broken,
        record: fleet.recorder.text(),
    })
}

/// The rack of a service loses power for 0.6 s while it works, and its runners start again under their ids.
fn rack_power(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    /// "if the 3 s and the 4 s before them are calm".
    const CALM_BEFORE_MS: u64 = 4_000;
    const WAIT_MAX_MS: u64 = 3_000;
    let shape = Shape {
        racks: vec![2],
        kind_b: 0,
        cpu: 32_000,
        daemons: 3,
    };
    let fleet = Fleet::start(program, &shape)?;
    let (load, later) = ("00000000000000c1", "00000000000000c2");
    let steps = json!([{"count": 1000, "cpu": 1000, "mem_mb": 64, "estimated_ms": 300}]);
    if !fleet.submit(load, &json!([{"ms": 300}]), &steps) {
        return Err(io::Error::other("the first job was not accepted"));
    }
    pause(2_000);
    if has_trouble {
        // A moment as it comes many times a second under this load.
        let until = Instant::now() + Duration::from_secs(1);
        while !fleet
            .runners
            .iter()
            .all(|runner| runner.has_acknowledging_poll())
            && Instant::now() < until
        {
            pause(1);
        }
        for runner in &fleet.runners {
            runner.lose_power();
        }
        pause(600);
        for runner in &fleet.runners {
            runner.power_on();
        }
    }
    let back_ms = fleet.recorder.now_ms();
    pause(1_500);
    let steps = json!([{"count": 1, "cpu": 2000, "mem_mb": 64, "estimated_ms": 500}]);
    if !fleet.submit(later, &json!([{"ms": 500}]), &steps) {
        return Err(io::Error::other("the second job was not accepted"));
    }
    let accepted_ms = fleet.recorder.now_ms();
    let state = fleet.final_state(later, Duration::from_secs(30));
    fleet
        .recorder
        .note(format!("the second job is shown as {state}"));
    let runs = fleet.recorder.runs();
    let first_start_ms = runs
        .iter()
        .filter(|run| run.task.starts_with(later))
        .map(|run| run.started_ms)
        .min();
    let from_ms = accepted_ms.max(back_ms + CALM_BEFORE_MS);
    let waited_to_ms = first_start_ms.unwrap_or_else(|| fleet.recorder.now_ms());
    let in_use = |at_ms: u64| {
        let is_open = |run: &&RunSeen| {
            run.started_ms <= at_ms && run.ended.is_none_or(|(ended, _)| ended > at_ms)
        };
        runs.iter().filter(is_open).count()
    };
    // Nothing else may run in the 3 s: the first job takes a core a unit, and 64 are there.
    let is_idle = (from_ms..from_ms + WAIT_MAX_MS)
        .step_by(10)
        .all(|at_ms| in_use(at_ms) < 30);
    let mut broken = Vec::new();
    if waited_to_ms > from_ms + WAIT_MAX_MS && is_idle {
        broken.push(format!(
            "{later} was accepted at {accepted_ms} ms, the runners were back at {back_ms} ms, and nothing of it ran \
             before {waited_to_ms} ms, while under half of the service was in use"
        ));
    }
    for line in fleet.log_lines("worker held") {
        fleet.recorder.note(line);
    }
    Ok(Outcome {
        broken,
        record: fleet.recorder.text(),
    })
}

/// The only runner of a kind refuses starts for 6.5 s, while ten jobs that need its kind wait.
fn busy_runner(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    const JOBS: u64 = 10;
    /// `visible_ms` + 2 s.
    const COUNTED_AFTER_MS: u64 = 5_000;
    const BUSY_MS: u64 = 6_500;
    let shape = Shape {
        racks: vec![4, 4, 4],
        kind_b: 1,
        cpu: 32_000,
        daemons: 3,
    };
    let fleet = Fleet::start(program, &shape)?;
    if has_trouble {
        fleet.recorder.note("the runner of the kind b is busy");
        fleet.runners[0].set_busy(true);
    }
    let busy_from_ms = fleet.recorder.now_ms();
    pause(200);
    let steps =
        json!([{"count": 1, "cpu": 2000, "mem_mb": 64, "estimated_ms": 500, "requirements": "b"}]);
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("{:016x}", 0xf1_00 + number))
        .collect();
    for id in &ids {
        if !fleet.submit(id, &json!([{"ms": 500}]), &steps) {
            return Err(io::Error::other("a job was not accepted"));
        }
    }
    let accepted_ms = fleet.recorder.now_ms();
    let mut broken = Vec::new();
    while fleet.recorder.now_ms() < busy_from_ms + BUSY_MS - 200 {
        pause(250);
        let asked_ms = fleet.recorder.now_ms();
        if asked_ms < accepted_ms + COUNTED_AFTER_MS {
            continue;
        }
        for daemon in &fleet.daemons {
            let waiting = fleet.waiting(daemon);
            let runs = fleet.recorder.runs();
            let has_begun = |id: &&String| runs.iter().any(|run| run.task.starts_with(id.as_str()));
            let not_begun = JOBS - ids.iter().filter(has_begun).count() as u64;
            if let Some(waiting) = waiting.filter(|waiting| waiting * 2 < not_begun) {
                broken.push(format!(
                    "{} gave {waiting} as waiting at {asked_ms} ms, when {not_begun} jobs that were accepted by \
                     {accepted_ms} ms had not begun",
                    daemon.name
                ));
            }
        }
    }
    fleet.runners[0].set_busy(false);
    for id in &ids {
        let state = fleet.final_state(id, Duration::from_secs(20));
        fleet.recorder.note(format!("{id} is shown as {state}"));
    }
    Ok(Outcome {
        broken,
        record: fleet.recorder.text(),
    })
}

/// The only runner of a kind fails all that it runs, twice for 6.5 s, and is sound after that.
fn failing_runner(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    const FAILING_MS: u64 = 6_500;
    /// "from 6 s after its last run", "if the 3 s and the 4 s before them are calm".
    const AFTER_RUN_MS: u64 = 6_000;
    const CALM_BEFORE_MS: u64 = 4_000;
    const WAIT_MAX_MS: u64 = 3_000;
    let shape = Shape {
        racks: vec![4, 4, 4],
        kind_b: 1,
        cpu: 32_000,
        daemons: 3,
    };
    let fleet = Fleet::start(program, &shape)?;
    let id = "00000000000000e1";
    let steps = json!([{"count": 1, "cpu": 4000, "mem_mb": 512, "estimated_ms": 1000, "long_running": true,
        "requirements": "b", "image": "site"}]);
    if !fleet.submit(id, &json!([{"lasts": true}]), &steps) {
        return Err(io::Error::other("the job was not accepted"));
    }
    pause(1_500);
    for _ in 0..2 {
        if has_trouble {
            fleet
                .recorder
                .note("the runner of the kind b fails all that it runs");
            fleet.runners[0].set_failing(true);
        }
        pause(FAILING_MS);
        fleet.runners[0].set_failing(false);
        fleet.recorder.note("it is sound");
        pause(8_000);
    }
    let sound_ms = fleet.recorder.now_ms() - 8_000;
    pause(12_000);
    let runs = fleet.recorder.runs();
    let mut from_ms = sound_ms + CALM_BEFORE_MS;
    // Nothing of the job runs after the last end until the next start.
    let last_end_ms = runs
        .iter()
        .filter_map(|run| run.ended)
        .map(|(at_ms, _)| at_ms)
        .max();
    from_ms = from_ms.max(last_end_ms.map_or(0, |at_ms| at_ms + AFTER_RUN_MS));
    let next_start_ms = runs
        .iter()
        .filter(|run| run.ended.is_none())
        .map(|run| run.started_ms)
        .min();
    let next_start_ms = next_start_ms.unwrap_or_else(|| fleet.recorder.now_ms());
    let state = fleet.state(id);
    fleet.recorder.note(format!("the job is shown as {state}"));
    let mut broken = Vec::new();
    if next_start_ms > from_ms + WAIT_MAX_MS {
        broken.push(format!(
            "{id}.0.0.0 is to last, its last run ended at {} ms, the runner was sound and idle from {sound_ms} ms on, and \
             the unit did not run before {next_start_ms} ms",
            last_end_ms.unwrap_or_default()
        ));
    }
    for line in fleet.log_lines("quarantined") {
        fleet.recorder.note(line);
    }
    Ok(Outcome {
        broken,
        record: fleet.recorder.text(),
    })
}
