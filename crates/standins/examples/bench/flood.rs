//! What the other work keeps in a flood of the least urgent and of the most urgent class.

use std::path::Path;
use std::time::Duration;

use rosemaryscale_standins::load::{LoadReport, LoadRequest, OpenLoop, open_loop};
use rosemaryscale_standins::{Harness, document};
use serde_json::{Value, json};

use crate::{start, upstreams};

const INSTANCES: usize = 4;
const SLOTS: u32 = 8;
const SERVICE_TIME_MS: u64 = 20;
/// 4 instances with 8 slots and 20 ms a request.
const CAPACITY_PER_S: f64 = 1_600.0;
const OTHER_SHARE: f64 = 0.3;
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
    for (queue, text) in [
        ("classes", document::classes(SLOTS)),
        ("first-in-first-out", document::one_queue(SLOTS)),
    ] {
        for flood in ["bulk", "urgent"] {
            let harness = start(binary, 1, upstreams(INSTANCES, SLOTS, SERVICE_TIME_MS)).await;
            harness.apply(&text).await;
            let classes = queue == "classes";
            let quiet = other(&harness, classes).await;
            let (flooded, _) = tokio::join!(
                other(&harness, classes),
                flood_load(&harness, flood, classes)
            );
            rows.push(row(queue, flood, &quiet, &flooded));
            harness.stop().await;
        }
    }
    Value::Array(rows)
}

async fn other(harness: &Harness, classes: bool) -> LoadReport {
    let options = OpenLoop {
        addresses: vec![harness.caller_address(0)],
        rate_per_s: CAPACITY_PER_S * OTHER_SHARE,
        duration: DURATION,
        seed: SEED,
    };
    open_loop(options, |number| {
        request("normal", classes, &format!("desk-{}", number % 10))
    })
    .await
}

async fn flood_load(harness: &Harness, class: &'static str, classes: bool) -> LoadReport {
    let options = OpenLoop {
        addresses: vec![harness.caller_address(0)],
        rate_per_s: CAPACITY_PER_S * FLOOD_FACTOR,
        duration: DURATION,
        seed: SEED + 1,
    };
    open_loop(options, |_| request(class, classes, "rebuild")).await
}

/// Without classes every request has one caller too, since callers of a class take turns.
fn request(class: &str, classes: bool, caller: &str) -> LoadRequest {
    let caller = if classes { caller } else { "all" };
    let mut headers = vec![
        ("x-caller", caller.to_owned()),
        ("x-deadline-ms", DEADLINE_MS.to_string()),
    ];
    if classes {
        headers.push(("x-work-class", class.to_owned()));
    }
    LoadRequest {
        path: "/v1/services/quotes/cowls".into(),
        headers,
        body: "tally".into(),
    }
}

fn row(queue: &str, flood: &str, quiet: &LoadReport, flooded: &LoadReport) -> Value {
    let kept = flooded.answered_share() / quiet.answered_share().max(f64::EPSILON);
    let p99_ms = flooded.quantile_us(0.99) / 1_000;
    println!(
        "{queue:<16} {flood:<8} {:>9.4} {:>9.4} {kept:>9.4} {p99_ms:>9}",
        quiet.answered_share(),
        flooded.answered_share()
    );
    json!({
        "queue": queue, "flood": flood, "quiet_share": quiet.answered_share(),
        "flooded_share": flooded.answered_share(), "kept": kept, "flooded_p99_ms": p99_ms,
    })
}
