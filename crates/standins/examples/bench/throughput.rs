//! Throughput and latency through one daemon, compared with direct calls to the upstream.

use std::path::Path;
use std::time::Duration;

use rosemaryscale_standins::document;
use rosemaryscale_standins::load::{LoadReport, LoadRequest, closed_loop};
use serde_json::{Value, json};

use crate::process::Usage;
use crate::{start_harness, upstream_specs};

const CONNECTIONS: usize = 16;
const SLOTS: u32 = 64;
const DURATION: Duration = Duration::from_secs(5);
const ROUNDS: usize = 3;

pub(crate) async fn measure(binary: &Path) -> Value {
    let harness = start_harness(binary, 1, upstream_specs(1, SLOTS, 0)).await;
    harness.apply(&document::with_three_classes(SLOTS)).await;
    let process = harness.process_id(0).unwrap_or_default();
    let upstream_address = harness.upstreams[0].address();
    println!(
        "{:<8} {:>5} {:>10} {:>9} {:>9} {:>9} {:>9}",
        "path", "conns", "requests/s", "p50 us", "p99 us", "p99.9 us", "RSS MB"
    );
    let mut rows = Vec::new();
    for connections in [1, CONNECTIONS] {
        for _ in 0..ROUNDS {
            let direct =
                closed_loop(upstream_address, connections, DURATION, request("/cowls")).await;
            rows.push(report_row("direct", connections, &direct, 0));
            let path = "/v1/services/quotes/cowls";
            let address = harness.caller_address(0);
            let daemon = closed_loop(address, connections, DURATION, request(path)).await;
            let resident_bytes = Usage::read(process).resident_bytes;
            rows.push(report_row("daemon", connections, &daemon, resident_bytes));
        }
    }
    harness.stop().await;
    Value::Array(rows)
}

fn request(path: &str) -> LoadRequest {
    LoadRequest {
        path: path.into(),
        headers: Vec::new(),
        body: "a site photo".into(),
    }
}

fn report_row(path: &str, connections: usize, report: &LoadReport, resident_bytes: u64) -> Value {
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| report.quantile_us(quantile));
    let resident_mb = resident_bytes / 1_000_000;
    println!(
        "{path:<8} {connections:>5} {:>10.0} {p50:>9} {p99:>9} {p999:>9} {resident_mb:>9}",
        report.successes_per_s()
    );
    json!({
        "path": path, "connections": connections, "requests_per_s": report.successes_per_s(),
        "p50_us": p50, "p99_us": p99, "p999_us": p999, "lost": report.lost,
        "refused": report.refused, "resident_bytes": resident_bytes,
    })
}
