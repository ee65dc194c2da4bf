//! Rollout time: from the acceptance of a document until it is in force on every daemon.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use rosemaryscale_standins::{Faults, Harness, document};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{start_harness, upstream_specs};

const DAEMONS: usize = 9;
const CHANGES: u32 = 30;
const SLOTS: u32 = 8;
const SLOW_PLATFORM_MS: u64 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) async fn measure(binary: &Path) -> Value {
    println!(
        "{:<10} {:>8} {:>9} {:>9} {:>9}",
        "platform", "changes", "p50 ms", "p99 ms", "max ms"
    );
    let harness = start_harness(binary, DAEMONS, upstream_specs(1, SLOTS, 5)).await;
    harness.apply(&document::with_three_classes(SLOTS)).await;
    let mut rows = Vec::new();
    for (platform, delay_ms) in [("normal", 0), ("slow", SLOW_PLATFORM_MS)] {
        harness
            .platform
            .set_faults(Faults {
                delay_ms,
                ..Faults::default()
            })
            .await;
        let mut rollout_ms: Histogram<u64> =
            Histogram::new(3).expect("three significant digits are valid");
        for change in 0..CHANGES {
            let _ = rollout_ms.record(measure_change(&harness, platform, change).await);
        }
        let [p50, p99] = [0.5, 0.99].map(|quantile| rollout_ms.value_at_quantile(quantile));
        let max = rollout_ms.max();
        println!("{platform:<10} {CHANGES:>8} {p50:>9} {p99:>9} {max:>9}");
        rows.push(json!({
            "platform": platform, "changes": CHANGES, "p50_ms": p50, "p99_ms": p99, "max_ms": max,
        }));
    }
    harness.platform.set_faults(Faults::default()).await;
    harness.stop().await;
    Value::Array(rows)
}

/// Applies a document and returns its rollout time in milliseconds.
async fn measure_change(harness: &Harness, platform: &str, change: u32) -> u64 {
    let text = format!(
        "// {platform} {change}\n{}",
        document::with_three_classes(SLOTS)
    );
    let body = json!({
        "text": text, "change_id": format!("{platform}-{change}"),
        "expected_version": null, "author": "bench",
    });
    let reply = harness
        .call_operator_api(0, Method::PUT, "/v1/document", Some(body))
        .await;
    let reply = reply.expect("the operator API answers");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
    let version = reply.json()["version"].as_u64().unwrap_or_default();
    let accepted_at = Instant::now();
    loop {
        let report = harness
            .call_operator_api(0, Method::GET, "/v1/status", None)
            .await;
        let daemons = report
            .map(|report| report.json()["daemons"].clone())
            .unwrap_or_default();
        let in_force = daemons.as_array().is_some_and(|daemons| {
            daemons.len() == DAEMONS
                && daemons
                    .iter()
                    .all(|daemon| daemon["version"].as_u64() >= Some(version))
        });
        if in_force {
            return u64::try_from(accepted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        }
        assert!(
            accepted_at.elapsed() < ROLLOUT_TIMEOUT,
            "version {version} is not in force after {ROLLOUT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
