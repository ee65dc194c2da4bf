//! At-most-once execution of requests with idempotency keys, tested through daemon processes and
//! stand-ins.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "tests panic on failure"
)]

use http::{Method, StatusCode};
use rosemaryscale_adapters::{kv_client, metrics};
use rosemaryscale_domain::claim::{IdempotencyKey, ShardValue};
use rosemaryscale_ports::kv::KeyRange;
use rosemaryscale_standins::harness::{
    DaemonReply, Harness, HarnessOptions, ProcessSignal, UpstreamSpec, wait_until,
};
use rosemaryscale_standins::{Faults, document};
use uuid::{NoContext, Timestamp, Uuid};

const PATH: &str = "/v1/services/quotes/orders";
const SLOTS: usize = 8;

async fn start(daemons: usize) -> Harness {
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: vec![UpstreamSpec::numbered("quotes", 0)],
    })
    .await;
    // With one class, requests of one caller can occupy every slot.
    harness.apply(&document::with_one_class(8)).await;
    harness
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Sends an order with a key; the upstream runs it for `run_ms`, and `wait_ms` is its deadline.
async fn order(
    harness: &Harness,
    index: usize,
    key: &str,
    run_ms: u64,
    wait_ms: u64,
) -> Option<DaemonReply> {
    let (run_ms, wait_ms) = (run_ms.to_string(), wait_ms.to_string());
    let headers = [
        ("idempotency-key", key),
        ("x-standin-delay-ms", &run_ms),
        ("x-deadline-ms", &wait_ms),
    ];
    harness
        .call_caller_api(index, Method::POST, PATH, &headers, "4 cowls")
        .await
}

async fn send(harness: &Harness, index: usize, key: &str, path: &str, body: &str) -> DaemonReply {
    let headers = [("idempotency-key", key)];
    let reply = harness
        .call_caller_api(index, Method::POST, path, &headers, body)
        .await;
    reply.expect("the daemon replies")
}

async fn run_count(harness: &Harness, key: &str) -> u32 {
    let report = harness.upstreams[0].report().await;
    report.runs.get(key).copied().unwrap_or(0)
}

async fn wait_for_run(harness: &Harness, key: &str) {
    wait_until("the request runs", || async move {
        run_count(harness, key).await == 1
    })
    .await;
}

/// Whether the claim of a key is in the store.
async fn is_claimed(harness: &Harness, key: &str) -> bool {
    let sink = metrics::open(None).unwrap();
    let (kv, client) = kv_client::start(harness.platform.address(), sink);
    let prefix = KeyRange::Prefix("/rosemaryscale/claims/".into());
    let entries = kv.range(prefix).await.unwrap_or_default();
    drop(kv);
    client.await.unwrap();
    let key = IdempotencyKey::parse(key).unwrap();
    let mut values = entries
        .iter()
        .map(|entry| ShardValue::decode(&entry.value).unwrap());
    values.any(|value| value.records.contains_key(&key))
}

fn assert_problem_kind(reply: &DaemonReply, status: StatusCode, kind: &str) {
    assert_eq!(reply.status, status, "{}", reply.json());
    assert_eq!(reply.json()["kind"], kind, "{}", reply.json());
}

/// Guards against two runs of concurrent requests with one key at two daemons, and against a joined
/// request that gets a different response.
#[tokio::test]
async fn the_same_key_at_two_daemons_at_once_runs_once() {
    let harness = start(2).await;
    for _ in 0..10 {
        let key = new_key();
        let (first, second) = tokio::join!(
            order(&harness, 0, &key, 100, 5_000),
            order(&harness, 1, &key, 100, 5_000),
        );
        let (first, second) = (first.unwrap(), second.unwrap());
        assert_eq!(first.status, StatusCode::OK, "{}", first.json());
        assert_eq!(second.status, StatusCode::OK, "{}", second.json());
        assert_eq!(first.body, second.body);
        assert_eq!(run_count(&harness, &key).await, 1);
        let later = order(&harness, 1, &key, 100, 5_000).await.unwrap();
        assert_eq!(later.body, first.body);
        assert_eq!(run_count(&harness, &key).await, 1);
    }
    harness.stop().await;
}

/// Guards against a second run when the daemon that dispatched the first one was killed.
#[tokio::test]
async fn a_retry_after_a_kill_has_an_unknown_outcome_and_never_runs() {
    let mut harness = start(2).await;
    let key = new_key();
    tokio::select! {
        _ = order(&harness, 0, &key, 10_000, 15_000) => {}
        () = wait_for_run(&harness, &key) => {}
    }
    harness.signal(0, ProcessSignal::Kill);
    harness.wait_for_exit(0).await;
    for _ in 0..2 {
        let reply = order(&harness, 1, &key, 10, 1_000).await.unwrap();
        assert_problem_kind(&reply, StatusCode::GATEWAY_TIMEOUT, "outcome_unknown");
    }
    harness.spawn(0);
    harness.wait_until_ready(0).await;
    let reply = order(&harness, 0, &key, 10, 5_000).await.unwrap();
    assert_problem_kind(&reply, StatusCode::GATEWAY_TIMEOUT, "outcome_unknown");
    assert_eq!(run_count(&harness, &key).await, 1);
    harness.stop().await;
}

/// Guards against a "not run" reply, and against a second run, while the holder of a claim is frozen
/// before its dispatch: it resumes and runs the request, and a later retry gets that outcome.
#[tokio::test]
async fn a_holder_frozen_before_dispatch_runs_once_after_it_resumes() {
    let harness = start(2).await;
    let busy_keys: Vec<String> = (0..SLOTS).map(|_| new_key()).collect();
    let key = new_key();
    let occupy = async {
        let mut orders = Vec::new();
        for busy_key in &busy_keys {
            orders.push(order(&harness, 0, busy_key, 3_000, 15_000));
        }
        for order in join_all(orders).await {
            assert_eq!(order.unwrap().status, StatusCode::OK);
        }
    };
    let claim_and_freeze = async {
        wait_until("all slots are in use", || async {
            harness.upstreams[0].report().await.executed == SLOTS as u64
        })
        .await;
        let retry_while_frozen = async {
            wait_until("the claim is stored", || is_claimed(&harness, &key)).await;
            harness.signal(0, ProcessSignal::Freeze);
            let reply = order(&harness, 1, &key, 10, 1_500).await.unwrap();
            assert_problem_kind(&reply, StatusCode::GATEWAY_TIMEOUT, "outcome_unknown");
            assert_eq!(run_count(&harness, &key).await, 0);
            harness.signal(0, ProcessSignal::Resume);
        };
        let (first, ()) = tokio::join!(order(&harness, 0, &key, 10, 15_000), retry_while_frozen);
        assert_eq!(first.unwrap().status, StatusCode::OK);
    };
    tokio::join!(occupy, claim_and_freeze);
    let later = order(&harness, 1, &key, 10, 5_000).await.unwrap();
    assert_eq!(later.status, StatusCode::OK, "{}", later.json());
    assert_eq!(run_count(&harness, &key).await, 1);
    harness.stop().await;
}

/// Guards against a keyed request that runs without a claim, or is lost, while the platform is down
/// or does not answer.
#[tokio::test]
async fn a_keyed_request_waits_for_the_platform_until_its_deadline() {
    let harness = start(2).await;
    for faults in [
        Faults {
            down: true,
            ..Faults::default()
        },
        Faults {
            silent: true,
            ..Faults::default()
        },
    ] {
        let (key, waiting) = (new_key(), new_key());
        harness.platform.set_faults(faults).await;
        let reply = order(&harness, 0, &key, 10, 500).await.unwrap();
        assert_problem_kind(&reply, StatusCode::SERVICE_UNAVAILABLE, "not_run");
        let reply = harness
            .call_caller_api(0, Method::POST, PATH, &[], "no key")
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
        assert_eq!(run_count(&harness, &key).await, 0);
        let restore_platform = async {
            let reply = order(&harness, 0, &key, 10, 500).await.unwrap();
            assert_problem_kind(&reply, StatusCode::SERVICE_UNAVAILABLE, "not_run");
            harness.platform.set_faults(Faults::default()).await;
        };
        let (reply, ()) = tokio::join!(order(&harness, 1, &waiting, 10, 15_000), restore_platform);
        assert_eq!(reply.unwrap().status, StatusCode::OK);
        let reply = order(&harness, 1, &key, 10, 5_000).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
        assert_eq!(run_count(&harness, &key).await, 1);
    }
    harness.stop().await;
}

/// Guards against a request that is mistaken for its own duplicate, or runs twice, when replies of
/// the store are lost after the write.
#[tokio::test]
async fn a_claim_whose_reply_was_lost_runs_once() {
    let harness = start(2).await;
    for _ in 0..5 {
        let key = new_key();
        let faults = Faults {
            lose_replies: 2,
            ..Faults::default()
        };
        harness.platform.set_faults(faults).await;
        let reply = order(&harness, 0, &key, 10, 10_000).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
        assert_eq!(run_count(&harness, &key).await, 1);
    }
    harness.stop().await;
}

/// Guards against a different request that runs under a used key, and against keys so old that their
/// claim may have been deleted.
#[tokio::test]
async fn reused_and_old_keys_are_refused() {
    let harness = start(2).await;
    let key = new_key();
    assert_eq!(
        send(&harness, 0, &key, PATH, "a").await.status,
        StatusCode::OK
    );
    for index in 0..2 {
        let other_body = send(&harness, index, &key, PATH, "b").await;
        assert_problem_kind(&other_body, StatusCode::UNPROCESSABLE_ENTITY, "key_reused");
        let other_path = send(&harness, index, &key, "/v1/services/quotes/other", "a").await;
        assert_problem_kind(&other_path, StatusCode::UNPROCESSABLE_ENTITY, "key_reused");
    }
    assert_eq!(run_count(&harness, &key).await, 1);
    let now_s = Timestamp::now(NoContext).to_unix().0;
    let key_at = |unix_s| Uuid::new_v7(Timestamp::from_unix(NoContext, unix_s, 0)).to_string();
    let random = Uuid::new_v4().to_string();
    for refused in [
        key_at(now_s - 660),
        key_at(now_s + 120),
        random,
        "order-1".into(),
    ] {
        let reply = send(&harness, 0, &refused, PATH, "a").await;
        assert_problem_kind(&reply, StatusCode::UNPROCESSABLE_ENTITY, "key_expired");
        assert_eq!(run_count(&harness, &refused).await, 0);
    }
    harness.stop().await;
}

/// Guards against an outcome that is lost when its caller disconnects: a retry at the other daemon
/// joins the running request.
#[tokio::test]
async fn a_retry_gets_the_outcome_of_a_disconnected_caller() {
    let harness = start(2).await;
    let key = new_key();
    tokio::select! {
        _ = order(&harness, 0, &key, 500, 15_000) => {}
        () = wait_for_run(&harness, &key) => {}
    }
    let reply = order(&harness, 1, &key, 500, 15_000).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
    assert_eq!(run_count(&harness, &key).await, 1);
    harness.stop().await;
}

/// Guards against a key that stays claimed by a request that was not run, also when its daemon was
/// killed.
#[tokio::test]
async fn a_refused_request_can_be_retried_at_another_daemon() {
    let mut harness = start(2).await;
    let busy_keys: Vec<String> = (0..SLOTS).map(|_| new_key()).collect();
    let key = new_key();
    {
        let occupy = join_all(
            busy_keys
                .iter()
                .map(|busy_key| order(&harness, 0, busy_key, 2_000, 15_000))
                .collect(),
        );
        let refused = async {
            wait_until("all slots are in use", || async {
                harness.upstreams[0].report().await.executed == SLOTS as u64
            })
            .await;
            order(&harness, 0, &key, 10, 300).await.unwrap()
        };
        tokio::select! {
            _ = occupy => unreachable!("the orders take longer"),
            reply = refused => assert_problem_kind(&reply, StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        }
    }
    assert_eq!(run_count(&harness, &key).await, 0);
    harness.signal(0, ProcessSignal::Kill);
    harness.wait_for_exit(0).await;
    wait_until("the retry runs", || async {
        let reply = order(&harness, 1, &key, 10, 2_000).await.unwrap();
        if reply.status != StatusCode::OK {
            assert_problem_kind(&reply, StatusCode::SERVICE_UNAVAILABLE, "not_run");
        }
        reply.status == StatusCode::OK
    })
    .await;
    assert_eq!(run_count(&harness, &key).await, 1);
    harness.stop().await;
}

/// Guards against a stop that aborts a claimed request, and against a second run afterwards.
#[tokio::test]
async fn a_stopping_daemon_finishes_claimed_requests() {
    let mut harness = start(2).await;
    let key = new_key();
    let stop = async {
        wait_for_run(&harness, &key).await;
        harness.signal(0, ProcessSignal::Terminate);
    };
    let (reply, ()) = tokio::join!(order(&harness, 0, &key, 800, 15_000), stop);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
    assert!(harness.wait_for_exit(0).await.success());
    let reply = order(&harness, 1, &key, 10, 2_000).await.unwrap();
    assert_problem_kind(&reply, StatusCode::GATEWAY_TIMEOUT, "outcome_unknown");
    assert_eq!(run_count(&harness, &key).await, 1);
    harness.stop().await;
}

/// Runs futures concurrently and returns their results in order.
async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<F::Output>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(move |context| {
        for (future, result) in futures.iter_mut().zip(&mut results) {
            if result.is_none()
                && let std::task::Poll::Ready(output) = future.as_mut().poll(context)
            {
                *result = Some(output);
            }
        }
        if results.iter().all(Option::is_some) {
            return std::task::Poll::Ready(results.drain(..).flatten().collect());
        }
        std::task::Poll::Pending
    })
    .await
}
