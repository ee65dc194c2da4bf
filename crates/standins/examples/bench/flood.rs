//! Success ratio of background traffic during a flood of requests of the least or the most urgent
//! class, with and without work classes.

use std::path::Path;
use std::time::Duration;

use rosemaryscale_standins::load::{LoadReport, LoadRequest, OpenLoopOptions, open_loop};
use rosemaryscale_standins::{Harness, document};
use serde_json::{Value, json};

use crate::{start_harness, upstream_specs};

const INSTANCES: usize = 4;
const SLOTS: u32 = 8;
const SERVICE_TIME_MS: u64 = 20;
/// 4 instances with 8 slots each and 20 ms per request.
const CAPACITY_PER_S: f64 = 1_600.0;
/// Rate of the background traffic, as a share of the capacity.
const BACKGROUND_SHARE: f64 = 0.3;
/// Rate of the flood, as a multiple of the capacity.
const FLOOD_FACTOR: f64 = 5.0;
const DEADLINE_MS: u64 = 500;
const DURATION: Duration = Duration::from_secs(6);
const SEED: u64 = 20_261_204;

pub(crate) async fn measure(binary: &Path) -> Value {
    println!(
        "{:<16} {:<8} {:>9} {:>9} {:>9} {:>9}",
        "queue", "flood", "quiet", "flooded", "kept", "p99 ms"
    );
    let mut rows = Vec::new();
    for (queue, document) in [
        ("classes", document::with_three_classes(SLOTS)),
        ("first-in-first-out", document::with_one_class(SLOTS)),
    ] {
        for flood in ["bulk", "urgent"] {
            let harness =
                start_harness(binary, 1, upstream_specs(INSTANCES, SLOTS, SERVICE_TIME_MS)).await;
            harness.apply(&document).await;
            let use_classes = queue == "classes";
            let quiet = background_load(&harness, use_classes).await;
            let (flooded, _) = tokio::join!(
                background_load(&harness, use_classes),
                flood_load(&harness, flood, use_classes)
            );
            rows.push(report_row(queue, flood, &quiet, &flooded));
            harness.stop().await;
        }
    }
    Value::Array(rows)
}

async fn background_load(harness: &Harness, use_classes: bool) -> LoadReport {
    let options = OpenLoopOptions {
        addresses: vec![harness.caller_address(0)],
        rate_per_s: CAPACITY_PER_S * BACKGROUND_SHARE,
        duration: DURATION,
        seed: SEED,
    };
    open_loop(options, |number| {
        request("normal", use_classes, &format!("desk-{}", number % 10))
    })
    .await
}

async fn flood_load(harness: &Harness, class: &'static str, use_classes: bool) -> LoadReport {
    let options = OpenLoopOptions {
        addresses: vec![harness.caller_address(0)],
        rate_per_s: CAPACITY_PER_S * FLOOD_FACTOR,
        duration: DURATION,
        seed: SEED + 1,
    };
    open_loop(options, |_| request(class, use_classes, "rebuild")).await
}

/// Without classes all requests have the same caller, because the callers of a class are served in
/// turn and would otherwise not share one queue.
fn request(class: &str, use_classes: bool, caller: &str) -> LoadRequest {
    let caller = if use_classes { caller } else { "all" };
    let mut headers = vec![
        ("x-caller", caller.to_owned()),
        ("x-deadline-ms", DEADLINE_MS.to_string()),
    ];
    if use_classes {
        headers.push(("x-work-class", class.to_owned()));
    }
    LoadRequest {
        path: "/v1/services/quotes/cowls".into(),
        headers,
        body: "tally".into(),
    }
}

fn report_row(queue: &str, flood: &str, quiet: &LoadReport, flooded: &LoadReport) -> Value {
    let kept_ratio = flooded.success_ratio() / quiet.success_ratio().max(f64::EPSILON);
    let p99_ms = flooded.quantile_us(0.99) / 1_000;
    println!(
        "{queue:<16} {flood:<8} {:>9.4} {:>9.4} {kept_ratio:>9.4} {p99_ms:>9}",
        quiet.success_ratio(),
        flooded.success_ratio()
    );
    json!({
        "queue": queue, "flood": flood, "quiet_share": quiet.success_ratio(),
        "flooded_share": flooded.success_ratio(), "kept": kept_ratio, "flooded_p99_ms": p99_ms,
    })
}
