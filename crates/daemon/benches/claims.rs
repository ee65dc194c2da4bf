//! Cost of idempotency keys: the latency that a claim adds and its calls to the platform, by load and
//! number of daemons. The same load without keys, in the same run, is the baseline.
//!
//! Run with `cargo bench --locked -p rosemaryscale-daemon --bench claims`.

#![allow(clippy::expect_used, reason = "a benchmark panics on failure")]

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
const LOAD_DURATION: Duration = Duration::from_secs(5);
const UPSTREAMS: usize = 4;
/// Reply delay of the stand-in store; the platform's store replies within milliseconds.
const STORE_DELAY_MS: u64 = 3;

/// Number of calls to the platform so far, and the revision of its store.
#[derive(Clone, Copy)]
struct CallCounts {
    writes: u64,
    reads: u64,
    revision: u64,
}

/// Results of one load.
struct LoadResult {
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
                print_row(daemons, load, keyed, &result);
            }
        }
        drop(kv);
        client.await.expect("the client ends");
        Arc::into_inner(harness)
            .expect("every request has ended")
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
) -> LoadResult {
    let before = count_calls(harness, kv).await;
    let started = Instant::now();
    let (latency_us, failed) = generate_load(harness, daemons, load_per_s, keyed).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = count_calls(harness, kv).await;
    let writes = after.writes - before.writes;
    let effective = after.revision - before.revision;
    LoadResult {
        latency_us,
        failed,
        writes_per_s: writes as f64 / elapsed_s,
        reads_per_s: (after.reads - before.reads) as f64 / elapsed_s,
        conflicts_per_s: (writes as f64 - effective as f64) / elapsed_s,
    }
}

async fn count_calls(harness: &Harness, kv: &KeyValue) -> CallCounts {
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
    CallCounts {
        writes: stats.writes,
        reads: stats.reads,
        revision: result.revision,
    }
}

/// Sends requests at a fixed rate, round robin over the daemons, without waiting for replies.
async fn generate_load(
    harness: &Arc<Harness>,
    daemons: usize,
    load_per_s: u32,
    keyed: bool,
) -> (Histogram<u64>, u64) {
    let mut latency_us = Histogram::new(3).expect("a valid precision");
    let mut failed = 0;
    let mut requests = JoinSet::new();
    if load_per_s == 0 {
        tokio::time::sleep(LOAD_DURATION).await;
        return (latency_us, failed);
    }
    let mut interval = tokio::time::interval(Duration::from_secs(1) / load_per_s);
    let count = load_per_s * LOAD_DURATION.as_secs() as u32;
    for number in 0..count as usize {
        interval.tick().await;
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
        .call_caller_api(index, Method::POST, path, headers, "4 cowls")
        .await?;
    (reply.status == StatusCode::OK).then(|| started.elapsed())
}

fn print_row(daemons: usize, load: u32, keyed: bool, result: &LoadResult) {
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
