//! The cases: what is sent, what goes wrong, and what is judged.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, Shape};
use crate::record;

/// Result of a case.
pub struct Outcome {
    /// How the rule was broken.
    pub broken: Vec<String>,
    pub record: String,
}

pub fn play(name: &str, program: &Path, has_trouble: bool) -> io::Result<Outcome> {
    match name {
        "store-down" => store_down(program, has_trouble),
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
