//! The cases: what is sent, what goes wrong, and what is judged.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, Shape};
use crate::record::{self, RunSeen};
use crate::runner::Runner;

/// Result of a case.
pub struct Outcome {
    /// How the rule was broken.
    pub broken: Vec<String>,
    pub record: String,
}

pub fn play(name: &str, program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    match name {
        "store-down" => store_down(program, has_trouble),
        "crashes" => crashes(program, has_trouble),
        "rack-power" => rack_power(program, has_trouble),
        _ => Err(io::Error::other(format!("there is no case {name}"))),
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The store is down for 4 s while small work units run. More than 500 of them end on one runner meanwhile.
fn store_down(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    const UNITS: u64 = 5_000;
    let shape = Shape { racks: vec![2], cpu: 32_000, daemons: 3 };
    let fleet = Fleet::start(program, &shape)?;
    let id = "00000000000000a1";
    let spec = json!([{"ms": 800}]);
    let steps = json!([{"count": UNITS, "cpu": 100, "mem_mb": 16, "estimated_ms": 800}]);
    if !fleet.submit(id, &spec, &steps) {
        return Err(io::Error::other("the job was not accepted"));
    }
    pause(1_500);
    if has_trouble {
        fleet.recorder.note("the store is down");
        fleet.store.set_down(true);
        let began = Instant::now();
        let mut most = 0;
        while began.elapsed() < Duration::from_millis(4_000) {
            most = fleet.runners.iter().map(|runner| runner.kept_ends()).max().unwrap_or(0).max(most);
            pause(20);
        }
        fleet.store.set_down(false);
        fleet.recorder.note(format!("the store is up; at most {most} ends waited on one runner"));
    }
    let state = fleet.final_state(id, Duration::from_secs(40));
    fleet.recorder.note(format!("the job is shown as {state}"));
    pause(1_500);
    let runs = fleet.recorder.runs();
    let mut broken = record::run_twice(&runs);
    broken.sort();
    Ok(Outcome { broken, record: fleet.recorder.text() })
}

/// Longest wait for something that takes well below a second.
const SOON: Duration = Duration::from_secs(15);

/// Waits until a condition holds; an error names what was awaited.
fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let until = Instant::now() + SOON;
    while Instant::now() < until {
        if holds() {
            return Ok(());
        }
        pause(5);
    }
    Err(io::Error::other(format!("{what}: not within {} s", SOON.as_secs())))
}

/// The runner that runs a work unit.
fn runner_of<'f>(fleet: &'f Fleet, task: &str) -> Option<&'f Arc<Runner>> {
    let runs = |runner: &&Arc<Runner>| runner.running().iter().any(|(running, _)| running == task);
    fleet.runners.iter().find(runs)
}

/// Crashes the runner of a work unit some time after the unit has started there, and starts it again.
fn crash_under(fleet: &Fleet, task: &str, age_ms: u64) -> io::Result<bool> {
    let began = Instant::now();
    while runner_of(fleet, task).is_none() {
        if began.elapsed() > Duration::from_secs(4) {
            return Ok(false);
        }
        pause(5);
    }
    pause(age_ms);
    let Some(runner) = runner_of(fleet, task).cloned() else {
        return Ok(false);
    };
    runner.crash();
    thread::spawn(move || {
        pause(600);
        runner.restart();
    });
    Ok(true)
}

/// One runner after the other crashes: four times the one on which a unit that lasts has just started, and five times
/// the one that runs a unit which ends.
fn crashes(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    const UNITS: usize = 4;
    const MAY_MISS: usize = 1;
    let shape = Shape { racks: vec![4, 4, 1], cpu: 32_000, daemons: 3 };
    let fleet = Fleet::start(program, &shape)?;
    let (lasting, ending) = ("00000000000000b1", "00000000000000b2");
    let steps = json!([{"count": UNITS, "cpu": 4000, "mem_mb": 512, "estimated_ms": 1000, "long_running": true,
        "anti_affinity": 1, "may_miss": MAY_MISS, "image": "site"}]);
    if !fleet.submit(lasting, &json!([{"lasts": true}]), &steps) {
        return Err(io::Error::other("the lasting job was not accepted"));
    }
    let unit = |index: usize| format!("{lasting}.0.0.{index}");
    wait_for("all units that last run", || (0..UNITS).all(|index| runner_of(&fleet, &unit(index)).is_some()))?;
    pause(2_000);
    if has_trouble {
        for _ in 0..4 {
            crash_under(&fleet, &unit(0), 300)?;
        }
    }
    pause(3_000);
    let lasting_state = fleet.state(lasting);
    fleet.recorder.note(format!("the job that lasts is shown as {lasting_state}"));
    let steps = json!([{"count": 1, "cpu": 4000, "mem_mb": 512, "estimated_ms": 5000}]);
    if !fleet.submit(ending, &json!([{"ms": 5000}]), &steps) {
        return Err(io::Error::other("the job that ends was not accepted"));
    }
    if has_trouble {
        for _ in 0..5 {
            crash_under(&fleet, &format!("{ending}.0.0.0"), 1_500)?;
        }
    }
    let ending_state = fleet.final_state(ending, Duration::from_secs(12));
    fleet.recorder.note(format!("the job that ends is shown as {ending_state}"));
    let runs = fleet.recorder.runs();
    let broken = record::stopped_beyond(&runs, &format!("{lasting}.0.0."), MAY_MISS);
    Ok(Outcome { broken, record: fleet.recorder.text() })
}

/// The rack of a service loses power for 0.6 s while it works, and its runners start again under their ids.
fn rack_power(program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    /// "if the 3 s and the 4 s before them are calm".
    const CALM_BEFORE_MS: u64 = 4_000;
    const WAIT_MAX_MS: u64 = 3_000;
    let shape = Shape { racks: vec![2], cpu: 32_000, daemons: 3 };
    let fleet = Fleet::start(program, &shape)?;
    let (load, later) = ("00000000000000c1", "00000000000000c2");
    let steps = json!([{"count": 1000, "cpu": 1000, "mem_mb": 64, "estimated_ms": 300}]);
    if !fleet.submit(load, &json!([{"ms": 300}]), &steps) {
        return Err(io::Error::other("the first job was not accepted"));
    }
    pause(2_000);
    if has_trouble {
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
    fleet.recorder.note(format!("the second job is shown as {state}"));
    let runs = fleet.recorder.runs();
    let first_start_ms = runs.iter().filter(|run| run.task.starts_with(later)).map(|run| run.started_ms).min();
    let from_ms = accepted_ms.max(back_ms + CALM_BEFORE_MS);
    let waited_to_ms = first_start_ms.unwrap_or_else(|| fleet.recorder.now_ms());
    let in_use = |at_ms: u64| {
        let is_open = |run: &&RunSeen| run.started_ms <= at_ms && run.ended.is_none_or(|(ended, _)| ended > at_ms);
        runs.iter().filter(is_open).count()
    };
    // Nothing else may run in the 3 s: the first job takes a core a unit, and 64 are there.
    let is_idle = (from_ms..from_ms + WAIT_MAX_MS).step_by(10).all(|at_ms| in_use(at_ms) < 30);
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
    Ok(Outcome { broken, record: fleet.recorder.text() })
}
