//! Control-plane overhead of idle daemons: processor time, memory, network bytes and platform
//! calls.

use std::path::Path;
use std::time::Duration;

use rosemaryscale_standins::document;
use serde_json::{Value, json};

use crate::process::Usage;
use crate::{start_harness, upstream_specs};

const DAEMONS: [usize; 3] = [3, 6, 9];
const INSTANCES: [usize; 3] = [9, 49, 120];
const SERVICES: [usize; 3] = [1, 24, 71];
/// Time for the daemons to become idle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(12);

pub(crate) async fn measure(binary: &Path) -> Value {
    println!(
        "{:>8} {:>9} {:>8} {:>8} {:>8} {:>12} {:>9} {:>9} {:>8}",
        "daemons",
        "instances",
        "services",
        "core %",
        "RSS MB",
        "B/s/daemon",
        "writes/s",
        "reads/s",
        "watches"
    );
    let mut rows = Vec::new();
    for daemons in DAEMONS {
        rows.push(measure_idle(binary, daemons, INSTANCES[0], SERVICES[0]).await);
    }
    for instances in &INSTANCES[1..] {
        rows.push(measure_idle(binary, DAEMONS[0], *instances, SERVICES[0]).await);
    }
    for services in &SERVICES[1..] {
        rows.push(measure_idle(binary, DAEMONS[0], INSTANCES[0], *services).await);
    }
    Value::Array(rows)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a short run are small"
)]
async fn measure_idle(binary: &Path, daemons: usize, instances: usize, services: usize) -> Value {
    let harness = start_harness(binary, daemons, upstream_specs(instances, 8, 5)).await;
    let names: Vec<String> = (1..services)
        .map(|number| format!("service-{number}"))
        .collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("quotes");
    harness.apply(&document::with_services(&names)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let processes: Vec<u32> = (0..daemons)
        .filter_map(|index| harness.process_id(index))
        .collect();
    let calls_before = harness.platform.stats().await;
    let usage_before: Vec<Usage> = processes
        .iter()
        .map(|process| Usage::read(*process))
        .collect();
    tokio::time::sleep(MEASUREMENT_WINDOW).await;
    let usage_after: Vec<Usage> = processes
        .iter()
        .map(|process| Usage::read(*process))
        .collect();
    let calls_after = harness.platform.stats().await;
    let rates: Vec<_> = usage_after
        .iter()
        .zip(&usage_before)
        .map(|(after, before)| after.since(before))
        .collect();
    let core_percent = rates.iter().map(|rates| rates.core_percent).sum::<f64>() / daemons as f64;
    let max_resident_bytes = usage_after
        .iter()
        .map(|usage| usage.resident_bytes)
        .max()
        .unwrap_or_default();
    // Bytes between two daemons count for both of them, so this is an upper bound and at most twice
    // the real value.
    let loopback_bytes_per_s = rates
        .first()
        .map_or(0.0, |rates| rates.loopback_bytes_per_s);
    let bytes_per_s = 2.0 * loopback_bytes_per_s / daemons as f64;
    let per_s =
        |after: u64, before: u64| (after - before) as f64 / MEASUREMENT_WINDOW.as_secs_f64();
    let writes = per_s(calls_after.writes, calls_before.writes);
    let reads = per_s(calls_after.reads, calls_before.reads)
        + per_s(calls_after.list_reads, calls_before.list_reads)
        + per_s(calls_after.watches_started, calls_before.watches_started);
    let watches = calls_after.watches_waiting;
    println!(
        "{daemons:>8} {instances:>9} {services:>8} {core_percent:>8.2} {:>8.1} {bytes_per_s:>12.0} \
              {writes:>9.2} {reads:>9.2} {watches:>8}",
        max_resident_bytes as f64 / 1e6
    );
    harness.stop().await;
    json!({
        "daemons": daemons, "instances": instances, "services": services, "core_percent": core_percent,
        "resident_bytes": max_resident_bytes, "bytes_per_s_per_daemon_at_most": bytes_per_s,
        "platform_writes_per_s": writes, "platform_reads_per_s": reads,
        "platform_watches": watches,
    })
}
