//! Faults of upstreams, seen through a daemon process.

#![allow(clippy::expect_used, clippy::panic, reason = "test code fails loudly")]

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemaryscale_standins::Faults;
use rosemaryscale_standins::clients::{Load, check, count, finish, reports, run, start_load};
use rosemaryscale_standins::harness::{self, Harness, eventually};

mod load;

use load::{PATH, start, stop};

fn load(name: &'static str, method: Method) -> Load {
    Load {
        name,
        path: PATH,
        method,
        clients: 8,
        requests_per_client: 20,
        delay_ms: 5,
        deadline_ms: 2_000,
    }
}

/// Guards against open connections that are silent for good while new ones work: repeatable work is
/// answered within its deadline, other work runs at most once, and the silence does not last beyond
/// the first timeouts.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let harness = Arc::new(start(2).await);
    let mut sent = run(&harness, &load("before", Method::GET)).await;
    assert_eq!(count(&sent, StatusCode::OK), sent.len());
    for upstream in &harness.upstreams {
        let faults = Faults {
            silence_open: true,
            ..Faults::default()
        };
        upstream.set_faults(faults).await;
    }
    let gets = run(&harness, &load("get", Method::GET)).await;
    assert_eq!(count(&gets, StatusCode::OK), gets.len());
    sent.extend(gets);
    check(&sent, &reports(&harness).await, true);

    for upstream in &harness.upstreams {
        let faults = Faults {
            silence_open: true,
            ..Faults::default()
        };
        upstream.set_faults(faults).await;
    }
    let posts = run(&harness, &load("post", Method::POST)).await;
    check(&posts, &reports(&harness).await, false);
    // Each client meets a silent connection once at most, and each is given up at its deadline.
    assert!(count(&posts, StatusCode::GATEWAY_TIMEOUT) <= 8);
    assert!(count(&posts, StatusCode::OK) >= posts.len() - 8);
    stop(harness).await;
}

/// Guards against truncated responses that reach a caller, and against their retry.
#[tokio::test]
async fn truncated_responses_do_not_reach_callers() {
    let harness = Arc::new(start(3).await);
    let faults = Faults {
        truncate: true,
        ..Faults::default()
    };
    harness.upstreams[0].set_faults(faults).await;
    let posts = run(&harness, &load("post", Method::POST)).await;
    check(&posts, &reports(&harness).await, false);
    assert!(
        count(&posts, StatusCode::GATEWAY_TIMEOUT) > 0,
        "no fault was met"
    );
    assert!(count(&posts, StatusCode::OK) >= posts.len() * 4 / 5);
    let gets = run(&harness, &load("get", Method::GET)).await;
    check(&gets, &reports(&harness).await, true);
    assert_eq!(count(&gets, StatusCode::OK), gets.len());
    stop(harness).await;
}

/// Guards against a response that arrives after its deadline and reaches the next request.
#[tokio::test]
async fn late_responses_reach_nobody() {
    let harness = Arc::new(start(1).await);
    let slow = Load {
        delay_ms: 150,
        deadline_ms: 100,
        requests_per_client: 1,
        ..load("slow", Method::POST)
    };
    let late = run(&harness, &slow).await;
    assert_eq!(count(&late, StatusCode::GATEWAY_TIMEOUT), late.len());
    let next = run(&harness, &load("next", Method::POST)).await;
    let reports = reports(&harness).await;
    check(&late, &reports, false);
    check(&next, &reports, false);
    assert!(count(&next, StatusCode::OK) >= next.len() - 8);
    stop(harness).await;
}

/// Guards against lost work and second runs when an upstream is killed in the middle of its work.
#[tokio::test]
async fn a_killed_upstream_costs_what_it_was_running() {
    let mut harness = start(3).await;
    let killed = harness.upstreams.remove(0);
    let harness = Arc::new(harness);
    let clients = start_load(
        &harness,
        &Load {
            delay_ms: 20,
            requests_per_client: 40,
            ..load("post", Method::POST)
        },
    );
    eventually("the upstream runs requests", || async {
        killed.report().await.executed >= 10
    })
    .await;
    let last = killed.stop().await;
    let posts = finish(clients).await;
    let mut reports = reports(&harness).await;
    reports.push(last);
    check(&posts, &reports, false);
    assert!(count(&posts, StatusCode::GATEWAY_TIMEOUT) <= 8);
    assert!(count(&posts, StatusCode::OK) >= posts.len() - 8);
    stop(harness).await;
}

/// Guards against an upstream that fails everything at once and so draws the load to itself; its
/// own responses go to the callers.
#[tokio::test]
async fn an_upstream_that_fails_everything_gets_few_requests() {
    let harness = Arc::new(start(3).await);
    let faults = Faults {
        fail: true,
        ..Faults::default()
    };
    harness.upstreams[0].set_faults(faults).await;
    let posts = run(&harness, &load("post", Method::POST)).await;
    check(&posts, &reports(&harness).await, false);
    let failed = count(&posts, StatusCode::INTERNAL_SERVER_ERROR);
    assert!((1..=24).contains(&failed), "{failed} failed");
    assert_eq!(count(&posts, StatusCode::OK), posts.len() - failed);
    stop(harness).await;
}

/// Guards against a false "not run" when upstreams refuse, lose connections and go silent in turn.
#[tokio::test]
async fn refusals_stay_true_under_changing_faults() {
    let harness = Arc::new(start(3).await);
    let clients = start_load(
        &harness,
        &Load {
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
    let posts = finish(clients).await;
    check(&posts, &reports(&harness).await, false);
    stop(harness).await;
}

/// Guards against a daemon that learns alone, request by request, what its peers know: after two
/// peers reported an upstream that refuses connections, one failed connect ejects it.
#[tokio::test]
async fn peers_observations_speed_up_an_ejection() {
    let mut harness = load::start_daemons(3, 2).await;
    // Without waiting requests a daemon uses only the slots that it is the owner of, so the daemon
    // that learns last is the owner of the lost upstream.
    let owners = owners_of(&harness, "quotes-0").await;
    let last = *owners.first().expect("an instance has an owner");
    let lost = harness.upstreams.remove(0);
    lost.stop().await;
    eventually("two daemons have ejected it", || async {
        for daemon in (0..3).filter(|daemon| *daemon != last) {
            burst(&harness, daemon).await;
        }
        ejections(&harness).await >= 2
    })
    .await;
    // The reports are on their way; each further request would be one more failed connect at most.
    let reply = harness.call(last, Method::GET, PATH, &[], "").await;
    assert_eq!(reply.map(|reply| reply.status), Some(StatusCode::OK));
    eventually("the third daemon has ejected it", || async {
        ejections(&harness).await >= 3
    })
    .await;
    harness.stop().await;
}

/// Daemons whose single requests all go to the instance.
async fn owners_of(harness: &Harness, instance: &str) -> Vec<usize> {
    let mut owners = Vec::new();
    for daemon in 0..3 {
        let mut hits = 0;
        for _ in 0..10 {
            let reply = harness.call(daemon, Method::GET, PATH, &[], "").await;
            let reply = reply.expect("a whole response").json();
            hits += usize::from(reply["instance"] == instance);
        }
        if hits == 10 {
            owners.push(daemon);
        }
    }
    owners
}

/// Sends more requests at once than one instance has slots, so that the daemon borrows slots.
async fn burst(harness: &Harness, daemon: usize) {
    let headers = [("x-standin-delay-ms", "30")];
    let calls = (0..24).map(|_| harness.call(daemon, Method::GET, PATH, &headers, ""));
    for reply in harness::join_all(calls).await {
        let status = reply.expect("a whole response").status;
        assert!(
            [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&status),
            "{status}"
        );
    }
}

/// Daemons whose timeline has an ejection.
async fn ejections(harness: &Harness) -> usize {
    let path = "/v1/timeline?limit=1000";
    let reply = harness.operate(0, Method::GET, path, None).await;
    let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
    text.unwrap_or_default().matches("ejected, probed").count()
}
