//! Benchmarks the daemon on this machine: `bench <daemon binary> <result file> [part...]`.
//!
//! Prints a table for each part and writes all results as JSON. The parts are `throughput`,
//! `flood`, `rollout` and `control`. Baselines are measured in the same run.

#![allow(clippy::expect_used, reason = "a failed benchmark should panic")]

mod control;
mod flood;
mod process;
mod rollout;
mod throughput;

use std::path::PathBuf;

use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec};
use serde_json::{Map, Value};

const PARTS: [&str; 4] = ["throughput", "flood", "rollout", "control"];

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: bench <daemon binary> <result file> [part...]";
    let binary = PathBuf::from(arguments.next().ok_or(usage)?);
    let result_path = PathBuf::from(arguments.next().ok_or(usage)?);
    let mut parts: Vec<String> = arguments.collect();
    if parts.is_empty() {
        parts = PARTS.map(str::to_owned).to_vec();
    }
    let mut results = Map::new();
    for part in parts {
        println!("\n== {part}");
        let rows = match part.as_str() {
            "throughput" => throughput::measure(&binary).await,
            "flood" => flood::measure(&binary).await,
            "rollout" => rollout::measure(&binary).await,
            "control" => control::measure(&binary).await,
            _ => return Err(format!("unknown part {part}; {usage}").into()),
        };
        results.insert(part, rows);
    }
    std::fs::write(
        result_path,
        serde_json::to_string_pretty(&Value::Object(results))?,
    )?;
    Ok(())
}

/// Starts a harness with the given daemons and upstreams.
async fn start_harness(
    binary: &std::path::Path,
    daemons: usize,
    upstreams: Vec<UpstreamSpec>,
) -> Harness {
    Harness::start(HarnessOptions {
        daemon_binary: binary.to_owned(),
        daemons,
        environment: "production".into(),
        upstreams,
    })
    .await
}

/// Returns upstream instances of the pool `quotes`.
fn upstream_specs(count: usize, slots: u32, delay_ms: u64) -> Vec<UpstreamSpec> {
    (0..count)
        .map(|number| UpstreamSpec {
            slots,
            default_delay: std::time::Duration::from_millis(delay_ms),
            ..UpstreamSpec::numbered("quotes", number)
        })
        .collect()
}
