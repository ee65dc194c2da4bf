//! Control cost of idle daemons: processor time, memory, bytes and platform calls.

use std::path::Path;
use std::time::Duration;

use rosemaryscale_standins::document;
use serde_json::{Value, json};

use crate::process::Usage;
use crate::{start, upstreams};

const DAEMONS: [usize; 3] = [3, 6, 9];
const INSTANCES: [usize; 3] = [9, 49, 120];
const SERVICES: [usize; 3] = [1, 24, 71];
const SETTLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(12);

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
        rows.push(idle(binary, daemons, INSTANCES[0], SERVICES[0]).await);
    }
    for instances in &INSTANCES[1..] {
        rows.push(idle(binary, DAEMONS[0], *instances, SERVICES[0]).await);
    }
    for services in &SERVICES[1..] {
        rows.push(idle(binary, DAEMONS[0], INSTANCES[0], *services).await);
    }
    Value::Array(rows)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a short run are small"
)]
async fn idle(binary: &Path, daemons: usize, instances: usize, services: usize) -> Value {
    let harness = start(binary, daemons, upstreams(instances, 8, 5)).await;
    let names: Vec<String> = (1..services)
        .map(|number| format!("service-{number}"))
        .collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("quotes");
    harness.apply(&document::services(&names)).await;
    tokio::time::sleep(SETTLE).await;
    let processes: Vec<u32> = (0..daemons)
        .filter_map(|index| harness.process_id(index))
        .collect();
    let calls = harness.platform.stats().await;
    let before: Vec<Usage> = processes
        .iter()
        .map(|process| Usage::read(*process))
        .collect();
    tokio::time::sleep(WINDOW).await;
    let after: Vec<Usage> = processes
        .iter()
        .map(|process| Usage::read(*process))
        .collect();
    let calls_after = harness.platform.stats().await;
    let rates: Vec<_> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after.since(before))
        .collect();
    let core_percent = rates.iter().map(|rates| rates.core_percent).sum::<f64>() / daemons as f64;
    let resident_max = after
        .iter()
        .map(|usage| usage.resident_bytes)
        .max()
        .unwrap_or_default();
    // Bytes between two daemons count for both of them, so this is at most twice the true value.
    let loopback = rates
        .first()
        .map_or(0.0, |rates| rates.loopback_bytes_per_s);
    let bytes_per_s = 2.0 * loopback / daemons as f64;
    let per_s = |after: u64, before: u64| (after - before) as f64 / WINDOW.as_secs_f64();
    let writes = per_s(calls_after.writes, calls.writes);
    let reads = per_s(calls_after.reads, calls.reads)
        + per_s(calls_after.list_reads, calls.list_reads)
        + per_s(calls_after.watches_started, calls.watches_started);
    let watches = calls_after.watches_waiting;
    println!(
        "{daemons:>8} {instances:>9} {services:>8} {core_percent:>8.2} {:>8.1} {bytes_per_s:>12.0} \
              {writes:>9.2} {reads:>9.2} {watches:>8}",
        resident_max as f64 / 1e6
    );
    harness.stop().await;
    json!({
        "daemons": daemons, "instances": instances, "services": services, "core_percent": core_percent,
        "resident_bytes": resident_max, "bytes_per_s_per_daemon_at_most": bytes_per_s,
        "platform_writes_per_s": writes, "platform_reads_per_s": reads,
        "platform_watches": watches,
    })
}
