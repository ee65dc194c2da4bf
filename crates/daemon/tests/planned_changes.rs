//! Planned changes under load: a daemon that stops, a service that is changed or removed, and
//! upstreams that leave, vanish from the instance list or move.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rosemaryscale_standins::clients::{
    ClientLoad, assert_replies_match_reports, count_status, join_clients, run_load, start_load,
    upstream_reports,
};
use rosemaryscale_standins::harness::{Harness, ProcessSignal, wait_until};
use serde_json::{Value, json};
use tokio::sync::oneshot;

mod load;

use load::{DOCUMENT, PATH, start, stop};

/// Longest time in which an upstream gets new requests after the platform has marked it as leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);
const OBSERVE_INTERVAL: Duration = Duration::from_millis(5);

fn load(name: &'static str, requests_per_client: usize, delay_ms: u64) -> ClientLoad {
    ClientLoad {
        name,
        path: PATH,
        method: Method::POST,
        clients: 12,
        requests_per_client,
        delay_ms,
        deadline_ms: 10_000,
    }
}

async fn executed_requests(harness: &Harness) -> u64 {
    let reports = upstream_reports(harness).await;
    reports.iter().map(|report| report.executed).sum()
}

/// Guards against a planned stop that aborts requests: every request that ran is answered in full,
/// and every other one is refused as not run or cannot connect.
#[tokio::test]
async fn a_planned_stop_aborts_no_request() {
    for round in 0..3 {
        let harness = start(2).await;
        let harness = Arc::new(harness);
        let clients = start_load(&harness, &load("stop", 30, 100));
        wait_until("requests are running", || async {
            executed_requests(&harness).await >= 20 + round * 7
        })
        .await;
        harness.signal(0, ProcessSignal::Terminate);
        let sent = join_clients(clients).await;
        assert_replies_match_reports(&sent, &upstream_reports(&harness).await, false);
        let answered = count_status(&sent, StatusCode::OK);
        assert_eq!(answered as u64, executed_requests(&harness).await);
        assert!(
            answered < sent.len(),
            "the daemon stopped after the last request"
        );
        let mut harness = Arc::try_unwrap(harness).expect("the clients have ended");
        let status = harness.wait_for_exit(0).await;
        assert!(status.success(), "{status}");
        harness.stop().await;
    }
}

/// Guards against a stop that one caller blocks forever by not sending the end of its body.
#[tokio::test]
async fn an_unfinished_body_does_not_block_a_stop() {
    let harness = start(1).await;
    let short = DOCUMENT
        .replace("\"request_limit_ms\": 15000", "\"request_limit_ms\": 500")
        .replace(
            "\"default_deadline_ms\": 5000",
            "\"default_deadline_ms\": 500",
        );
    harness.apply(&short).await;
    let mut caller =
        std::net::TcpStream::connect(harness.caller_address(0)).expect("the daemon listens");
    let head = "POST /v1/services/quotes/x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).expect("the daemon reads");
    let reply = harness.call_caller_api(0, Method::GET, PATH, &[], "").await;
    assert_eq!(reply.map(|reply| reply.status), Some(StatusCode::OK));
    harness.stop().await;
}

/// Guards against a new document that aborts requests of a service that it changes or removes.
#[tokio::test]
async fn a_new_document_aborts_no_request() {
    let changed = DOCUMENT
        .replace("\"slots_per_instance\": 8", "\"slots_per_instance\": 4")
        .replace(
            "\"connections_per_instance\": 64",
            "\"connections_per_instance\": 4",
        );
    let renamed = DOCUMENT.replace(
        "\"services\": {\n    \"quotes\"",
        "\"services\": {\n    \"estimates\"",
    );
    assert_ne!(changed, DOCUMENT);
    assert_ne!(renamed, DOCUMENT);
    let harness = Arc::new(start(2).await);
    let clients = start_load(&harness, &load("changed", 3, 500));
    wait_until("requests are running", || async {
        executed_requests(&harness).await >= 12
    })
    .await;
    harness.apply(&changed).await;
    let sent = join_clients(clients).await;
    assert_eq!(count_status(&sent, StatusCode::OK), sent.len());

    let clients = start_load(&harness, &load("removed", 1, 1_000));
    let executed_before = executed_requests(&harness).await;
    wait_until("requests are running", || async {
        executed_requests(&harness).await >= executed_before + 8
    })
    .await;
    harness.apply(&renamed).await;
    wait_until("the service is removed", || async {
        let reply = harness.call_caller_api(0, Method::GET, PATH, &[], "").await;
        reply.is_some_and(|reply| reply.status == StatusCode::NOT_FOUND)
    })
    .await;
    let sent = join_clients(clients).await;
    assert_eq!(count_status(&sent, StatusCode::OK), sent.len());
    assert_replies_match_reports(&sent, &upstream_reports(&harness).await, false);
    stop(harness).await;
}

/// Time of the last new request at the first upstream, from `start` until `stopped` resolves. It is
/// read while requests run: a batch that spans the mark ends only when slots of the other upstream
/// are free, which may be long after its last request at the leaving one.
async fn last_new_work(
    harness: Arc<Harness>,
    start: Instant,
    mut stopped: oneshot::Receiver<()>,
) -> Instant {
    let mut last_request = start;
    let mut executed_before = harness.upstreams[0].report().await.executed;
    loop {
        let is_last = tokio::time::timeout(OBSERVE_INTERVAL, &mut stopped)
            .await
            .is_ok();
        let executed_now = harness.upstreams[0].report().await.executed;
        if executed_now > executed_before {
            last_request = Instant::now();
            executed_before = executed_now;
        }
        if is_last {
            return last_request;
        }
    }
}

/// Guards against new requests to a leaving upstream after the limit, and against the loss of the
/// requests that it was running.
#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work() {
    let harness = Arc::new(start(2).await);
    let long = start_load(&harness, &load("long", 1, 7_000));
    wait_until("requests are running", || async {
        executed_requests(&harness).await >= 12
    })
    .await;
    let mut instances = harness.instances();
    instances[0]["state"] = json!("leaving");
    harness.platform.set_instances(instances).await;
    let marked = Instant::now();
    let (stop_observer, stopped) = oneshot::channel();
    let observer = tokio::spawn(last_new_work(Arc::clone(&harness), marked, stopped));
    while marked.elapsed() < LEAVING_LIMIT + Duration::from_secs(1) {
        run_load(&harness, &load("short", 1, 0)).await;
    }
    stop_observer.send(()).expect("the observer runs");
    let last_request = observer.await.expect("the observer does not panic");
    let took = last_request.duration_since(marked);
    println!(
        "last new request {} ms after the upstream was marked",
        took.as_millis()
    );
    assert!(took < LEAVING_LIMIT, "new work {took:?} after the mark");
    let sent = join_clients(long).await;
    assert_eq!(count_status(&sent, StatusCode::OK), sent.len());
    stop(harness).await;
}

/// Guards against requests that are lost, or sent beyond the slots, when an upstream vanishes from
/// the instance list and returns, moves to another rack, or changes its address and back.
#[tokio::test]
async fn a_flapping_instance_list_disturbs_no_request() {
    let harness = Arc::new(start(4).await);
    let all = harness.instances();
    let listed = json!([all[0], all[1], all[2]]);
    let shortened = json!([all[1], all[2]]);
    let mut moved = listed.clone();
    moved[0]["rack"] = json!("rack-9");
    let mut readdressed = listed.clone();
    readdressed[0]["address"] = all[3]["address"].clone();
    set_instance_list(&harness, &listed).await;
    set_instance_list(&harness, &listed).await;
    // There are more clients than slots, so a slot ledger that started anew would send requests at
    // once.
    let clients = start_load(
        &harness,
        &ClientLoad {
            clients: 40,
            deadline_ms: 15_000,
            ..load("flap", 1, 4_000)
        },
    );
    wait_until("all slots are in use", || async {
        executed_requests(&harness).await >= 24
    })
    .await;
    for list in [&shortened, &listed, &moved, &readdressed, &listed] {
        set_instance_list(&harness, list).await;
    }
    let sent = join_clients(clients).await;
    assert_eq!(count_status(&sent, StatusCode::OK), sent.len());
    let reports = upstream_reports(&harness).await;
    assert_replies_match_reports(&sent, &reports, false);
    let refused: u64 = reports.iter().map(|report| report.refused).sum();
    assert_eq!(
        refused, 0,
        "an upstream got more requests than it has slots"
    );
    stop(harness).await;
}

/// Replaces the platform's instance list and waits until the daemon has read it twice.
async fn set_instance_list(harness: &Harness, list: &Value) {
    harness.platform.set_instances(list.clone()).await;
    let reads = harness.platform.stats().await.list_reads;
    wait_until("the list is read", || async {
        harness.platform.stats().await.list_reads > reads + 1
    })
    .await;
}

/// Guards against an empty or malformed instance list that leaves the pool without instances.
#[tokio::test]
async fn an_empty_or_malformed_list_does_not_empty_the_pool() {
    let harness = Arc::new(start(3).await);
    let all = harness.instances();
    let malformed = json!([{"name": 7}, all[1]]);
    for list in [json!([]), json!({"error": "none"}), malformed] {
        set_instance_list(&harness, &list).await;
        set_instance_list(&harness, &list).await;
        let sent = run_load(&harness, &load("short", 3, 5)).await;
        assert_eq!(count_status(&sent, StatusCode::OK), sent.len());
    }
    let executed: Vec<u64> = upstream_reports(&harness)
        .await
        .iter()
        .map(|r| r.executed)
        .collect();
    assert!(executed.iter().all(|count| *count > 0), "{executed:?}");
    stop(harness).await;
}
