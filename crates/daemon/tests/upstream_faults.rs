//! Upstream faults and their effect on callers, tested through daemon processes.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemaryscale_standins::Faults;
use rosemaryscale_standins::clients::{
    ClientLoad, assert_replies_match_reports, count_status, join_clients, run_load, start_load,
    upstream_reports,
};
use rosemaryscale_standins::harness::{self, Harness, wait_until};

mod load;

use load::{PATH, start, stop};

/// Time after a burst in which idle slots are back at their owners; idle slots are returned after two
/// windows of 250 ms. It is shorter than the 10 s for which the report of a peer counts.
const SLOT_RETURN_TIME: Duration = Duration::from_secs(2);

fn load(name: &'static str, method: Method) -> ClientLoad {
    ClientLoad {
        name,
        path: PATH,
        method,
        clients: 8,
        requests_per_client: 20,
        delay_ms: 5,
        deadline_ms: 2_000,
    }
}

/// Guards against open connections that never answer again while new ones work: repeatable requests
/// are answered within their deadline, other requests run at most once, and the connections are
/// replaced after the first timeouts.
#[tokio::test]
async fn unresponsive_connections_are_replaced() {
    let harness = Arc::new(start(2).await);
    let mut sent = run_load(&harness, &load("before", Method::GET)).await;
    assert_eq!(count_status(&sent, StatusCode::OK), sent.len());
    for upstream in &harness.upstreams {
        let faults = Faults {
            silence_open: true,
            ..Faults::default()
        };
        upstream.set_faults(faults).await;
    }
    let gets = run_load(&harness, &load("get", Method::GET)).await;
    assert_eq!(count_status(&gets, StatusCode::OK), gets.len());
    sent.extend(gets);
    assert_replies_match_reports(&sent, &upstream_reports(&harness).await, true);

    for upstream in &harness.upstreams {
        let faults = Faults {
            silence_open: true,
            ..Faults::default()
        };
        upstream.set_faults(faults).await;
    }
    let posts = run_load(&harness, &load("post", Method::POST)).await;
    assert_replies_match_reports(&posts, &upstream_reports(&harness).await, false);
    // Each client uses at most one unresponsive connection, and gives it up at the request's
    // deadline.
    assert!(count_status(&posts, StatusCode::GATEWAY_TIMEOUT) <= 8);
    assert!(count_status(&posts, StatusCode::OK) >= posts.len() - 8);
    stop(harness).await;
}

/// Guards against truncated responses that reach a caller, and against retries of requests that must
/// not be repeated.
#[tokio::test]
async fn truncated_responses_do_not_reach_callers() {
    let harness = Arc::new(start(3).await);
    let faults = Faults {
        truncate: true,
        ..Faults::default()
    };
    harness.upstreams[0].set_faults(faults).await;
    let posts = run_load(&harness, &load("post", Method::POST)).await;
    assert_replies_match_reports(&posts, &upstream_reports(&harness).await, false);
    assert!(
        count_status(&posts, StatusCode::GATEWAY_TIMEOUT) > 0,
        "no response was truncated"
    );
    assert!(count_status(&posts, StatusCode::OK) >= posts.len() * 4 / 5);
    let gets = run_load(&harness, &load("get", Method::GET)).await;
    assert_replies_match_reports(&gets, &upstream_reports(&harness).await, true);
    assert_eq!(count_status(&gets, StatusCode::OK), gets.len());
    stop(harness).await;
}

/// Guards against a response that arrives after its deadline and is taken for the response to the
/// next request.
#[tokio::test]
async fn late_responses_are_discarded() {
    let harness = Arc::new(start(1).await);
    let slow = ClientLoad {
        delay_ms: 150,
        deadline_ms: 100,
        requests_per_client: 1,
        ..load("slow", Method::POST)
    };
    let late = run_load(&harness, &slow).await;
    assert_eq!(count_status(&late, StatusCode::GATEWAY_TIMEOUT), late.len());
    let next = run_load(&harness, &load("next", Method::POST)).await;
    let reports = upstream_reports(&harness).await;
    assert_replies_match_reports(&late, &reports, false);
    assert_replies_match_reports(&next, &reports, false);
    assert!(count_status(&next, StatusCode::OK) >= next.len() - 8);
    stop(harness).await;
}

/// Guards against second runs, and against failures of more than the requests in flight, when an
/// upstream is killed.
#[tokio::test]
async fn a_killed_upstream_fails_only_its_requests_in_flight() {
    let mut harness = start(3).await;
    let killed = harness.upstreams.remove(0);
    let harness = Arc::new(harness);
    let clients = start_load(
        &harness,
        &ClientLoad {
            delay_ms: 20,
            requests_per_client: 40,
            ..load("post", Method::POST)
        },
    );
    wait_until("the upstream has executed requests", || async {
        killed.report().await.executed >= 10
    })
    .await;
    let killed_report = killed.stop().await;
    let posts = join_clients(clients).await;
    let mut reports = upstream_reports(&harness).await;
    reports.push(killed_report);
    assert_replies_match_reports(&posts, &reports, false);
    assert!(count_status(&posts, StatusCode::GATEWAY_TIMEOUT) <= 8);
    assert!(count_status(&posts, StatusCode::OK) >= posts.len() - 8);
    stop(harness).await;
}

/// Guards against an upstream that attracts the load because it fails every request at once. Its
/// error responses are passed on to the callers.
#[tokio::test]
async fn an_upstream_that_fails_every_request_gets_few_requests() {
    let harness = Arc::new(start(3).await);
    let faults = Faults {
        fail: true,
        ..Faults::default()
    };
    harness.upstreams[0].set_faults(faults).await;
    let posts = run_load(&harness, &load("post", Method::POST)).await;
    assert_replies_match_reports(&posts, &upstream_reports(&harness).await, false);
    let failed = count_status(&posts, StatusCode::INTERNAL_SERVER_ERROR);
    assert!((1..=24).contains(&failed), "{failed} failed");
    assert_eq!(count_status(&posts, StatusCode::OK), posts.len() - failed);
    stop(harness).await;
}

/// Guards against requests that are refused as not run although they ran, while upstreams in turn
/// refuse connections, stop answering, and truncate or delay responses.
#[tokio::test]
async fn not_run_refusals_are_true_under_changing_faults() {
    let harness = Arc::new(start(3).await);
    let clients = start_load(
        &harness,
        &ClientLoad {
            clients: 32,
            requests_per_client: 15,
            delay_ms: 10,
            deadline_ms: 300,
            ..load("post", Method::POST)
        },
    );
    let faults = [
        Faults {
            down: true,
            ..Faults::default()
        },
        Faults {
            silence_open: true,
            ..Faults::default()
        },
        Faults {
            truncate: true,
            ..Faults::default()
        },
        Faults {
            delay_ms: 400,
            ..Faults::default()
        },
    ];
    for (round, fault) in faults.iter().cycle().take(12).enumerate() {
        let upstream = &harness.upstreams[round % 3];
        upstream.set_faults(fault.clone()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        upstream.set_faults(Faults::default()).await;
    }
    let posts = join_clients(clients).await;
    assert_replies_match_reports(&posts, &upstream_reports(&harness).await, false);
    stop(harness).await;
}

/// Guards against a daemon that ignores what its peers observed: after two peers have reported an
/// upstream that refuses connections, one failed connect ejects it.
#[tokio::test]
async fn peers_observations_speed_up_an_ejection() {
    let mut harness = load::start_daemons(3, 2).await;
    // Without queued requests, a daemon uses only slots whose ledger it owns. The daemon that ejects
    // the lost upstream last is the owner of its ledger, so that one request of it reaches the
    // upstream.
    let owners = owners_of(&harness, "quotes-0").await;
    let owner = *owners.first().expect("an instance's ledger has an owner");
    let lost = harness.upstreams.remove(0);
    lost.stop().await;
    wait_until("two daemons have ejected it", || async {
        for daemon in (0..3).filter(|daemon| *daemon != owner) {
            send_burst(&harness, daemon).await;
        }
        ejection_count(&harness).await >= 2
    })
    .await;
    // While the others hold its slots, the request waits and may be sent to the other upstream. This
    // daemon then has no failed connect of its own, and does not eject on the reports alone.
    tokio::time::sleep(SLOT_RETURN_TIME).await;
    let reply = harness
        .call_caller_api(owner, Method::GET, PATH, &[], "")
        .await;
    assert_eq!(reply.map(|reply| reply.status), Some(StatusCode::OK));
    wait_until("the third daemon has ejected it", || async {
        ejection_count(&harness).await >= 3
    })
    .await;
    let log = harness.log(owner);
    let ejection = log.lines().find(|line| line.contains("ejected, probed"));
    let evidence = "1 failed connects, 2 peer reports";
    assert!(
        ejection.is_some_and(|line| line.contains(evidence)),
        "not ejected on {evidence}: {ejection:?}"
    );
    harness.stop().await;
}

/// Daemons whose sequential requests all go to the instance: the owner of its slot ledger.
async fn owners_of(harness: &Harness, instance: &str) -> Vec<usize> {
    let mut owners = Vec::new();
    for daemon in 0..3 {
        let mut hits = 0;
        for _ in 0..10 {
            let reply = harness
                .call_caller_api(daemon, Method::GET, PATH, &[], "")
                .await;
            let reply = reply.expect("a complete response").json();
            hits += usize::from(reply["instance"] == instance);
        }
        if hits == 10 {
            owners.push(daemon);
        }
    }
    owners
}

/// Sends more concurrent requests than one instance has slots, so that the daemon borrows slots of
/// other owners.
async fn send_burst(harness: &Harness, daemon: usize) {
    let headers = [("x-standin-delay-ms", "30")];
    let calls = (0..24).map(|_| harness.call_caller_api(daemon, Method::GET, PATH, &headers, ""));
    for reply in harness::join_all(calls).await {
        let status = reply.expect("a complete response").status;
        assert!(
            [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&status),
            "{status}"
        );
    }
}

/// Number of ejections in the timelines of all daemons.
async fn ejection_count(harness: &Harness) -> usize {
    let path = "/v1/timeline?limit=1000";
    let reply = harness.call_operator_api(0, Method::GET, path, None).await;
    let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
    text.unwrap_or_default().matches("ejected, probed").count()
}
