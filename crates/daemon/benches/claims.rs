//! Cost of idempotency keys: latency that a claim adds and calls to the platform, by load and number
//! of daemons. The same load without keys, in the same run, is the baseline.
//!
//! Run with `cargo bench --locked -p rosemaryscale-daemon --bench claims`.

#![allow(clippy::expect_used, reason = "a bench fails loudly")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use rosemaryscale_adapters::{kv_client, metrics};
use rosemaryscale_ports::kv::{Change, KeyValue, Transaction};
use rosemaryscale_standins::Faults;
use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec};
use tokio::task::JoinSet;
use uuid::Uuid;

const DOCUMENT: &str = include_str!("../../../examples/kalahari/document.jsonc");
const DAEMONS: [usize; 3] = [1, 3, 9];
const LOADS_PER_S: [u32; 3] = [50, 200, 800];
const LOAD_TIME: Duration = Duration::from_secs(5);
const UPSTREAMS: usize = 4;
/// The platform responds in milliseconds.
const STORE_DELAY_MS: u64 = 3;

/// Calls to the platform.
#[derive(Clone, Copy)]
struct Calls {
    writes: u64,
    reads: u64,
    revision: u64,
}

/// Result of one load.
struct Load {
    latency_us: Histogram<u64>,
    failed: u64,
    writes_per_s: f64,
    reads_per_s: f64,
    conflicts_per_s: f64,
}

#[tokio::main]
async fn main() {
    println!(
        "daemons  load/s  keys  ok     failed  p50 ms  p99 ms  writes/s  reads/s  conflicts/s"
    );
    for daemons in DAEMONS {
        let harness = Arc::new(start(daemons).await);
        let sink = metrics::open(None).expect("a sink");
        let (kv, client) = kv_client::start(harness.platform.address(), sink);
        let idle = measure(&harness, &kv, daemons, 0, false).await;
        for load in LOADS_PER_S {
            for keyed in [false, true] {
                let mut result = measure(&harness, &kv, daemons, load, keyed).await;
                result.writes_per_s -= idle.writes_per_s;
                result.conflicts_per_s -= idle.conflicts_per_s;
                print(daemons, load, keyed, &result);
            }
        }
        drop(kv);
        client.await.expect("the client ends");
        Arc::into_inner(harness)
            .expect("no load is left")
            .stop()
            .await;
    }
}

async fn start(daemons: usize) -> Harness {
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: (0..UPSTREAMS)
            .map(|number| UpstreamSpec::numbered("quotes", number))
            .collect(),
    })
    .await;
    harness.apply(DOCUMENT).await;
    let faults = Faults {
        delay_ms: STORE_DELAY_MS,
        ..Faults::default()
    };
    harness.platform.set_faults(faults).await;
    harness
}

async fn measure(
    harness: &Arc<Harness>,
    kv: &KeyValue,
    daemons: usize,
    load_per_s: u32,
    keyed: bool,
) -> Load {
    let before = calls(harness, kv).await;
    let started = Instant::now();
    let (latency_us, failed) = generate(harness, daemons, load_per_s, keyed).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = calls(harness, kv).await;
    let writes = after.writes - before.writes;
    let effective = after.revision - before.revision;
    Load {
        latency_us,
        failed,
        writes_per_s: writes as f64 / elapsed_s,
        reads_per_s: (after.reads - before.reads) as f64 / elapsed_s,
        conflicts_per_s: (writes as f64 - effective as f64) / elapsed_s,
    }
}

async fn calls(harness: &Harness, kv: &KeyValue) -> Calls {
    let change = Change::Put {
        key: "/bench/probe".into(),
        value: "probe".into(),
        lease: 0,
    };
    let transaction = Transaction {
        compares: Vec::new(),
        changes: vec![change],
    };
    let result = kv.transact(transaction).await.expect("the store answers");
    let stats = harness.platform.stats().await;
    Calls {
        writes: stats.writes,
        reads: stats.reads,
        revision: result.revision,
    }
}

/// Sends requests at a fixed rate, round robin over the daemons, without waiting for replies.
async fn generate(
    harness: &Arc<Harness>,
    daemons: usize,
    load_per_s: u32,
    keyed: bool,
) -> (Histogram<u64>, u64) {
    let mut latency_us = Histogram::new(3).expect("a valid precision");
    let mut failed = 0;
    let mut requests = JoinSet::new();
    if load_per_s == 0 {
        tokio::time::sleep(LOAD_TIME).await;
        return (latency_us, failed);
    }
    let mut pace = tokio::time::interval(Duration::from_secs(1) / load_per_s);
    let count = load_per_s * LOAD_TIME.as_secs() as u32;
    for number in 0..count as usize {
        pace.tick().await;
        let harness = Arc::clone(harness);
        requests.spawn(async move { request(&harness, number % daemons, keyed).await });
    }
    while let Some(result) = requests.join_next().await {
        match result.expect("a request does not panic") {
            Some(latency) => {
                let latency = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                latency_us.record(latency).expect("the value fits");
            }
            None => failed += 1,
        }
    }
    (latency_us, failed)
}

async fn request(harness: &Harness, index: usize, keyed: bool) -> Option<Duration> {
    let key = Uuid::now_v7().to_string();
    let headers: &[(&str, &str)] = if keyed {
        &[("idempotency-key", &key)]
    } else {
        &[]
    };
    let started = Instant::now();
    let path = "/v1/services/quotes/orders";
    let reply = harness
        .call(index, Method::POST, path, headers, "4 cowls")
        .await?;
    (reply.status == StatusCode::OK).then(|| started.elapsed())
}

fn print(daemons: usize, load: u32, keyed: bool, result: &Load) {
    let ms = |quantile| result.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{daemons:7}  {load:6}  {:4}  {:5}  {:6}  {:6.1}  {:6.1}  {:8.1}  {:7.1}  {:11.1}",
        if keyed { "yes" } else { "no" },
        result.latency_us.len(),
        result.failed,
        ms(0.5),
        ms(0.99),
        result.writes_per_s,
        result.reads_per_s,
        result.conflicts_per_s,
    );
}
