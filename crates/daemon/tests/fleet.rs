//! Drains and moves of instances, and their failures, tested through daemon processes.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use std::time::Duration;

use http::{Method, StatusCode};
use rosemaryscale_standins::document;
use rosemaryscale_standins::harness::{
    self, Harness, HarnessOptions, ProcessSignal, UpstreamSpec, wait_until,
};
use serde_json::{Value, json};

const REQUEST: &str = "/v1/services/quotes/cowls";

async fn start(daemons: usize) -> Harness {
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: (1..=2)
            .map(|number| UpstreamSpec::numbered("quotes", number))
            .collect(),
    })
    .await;
    harness
        .apply(&document::with_services(&["quotes", "stores"]))
        .await;
    for index in 0..daemons {
        wait_until("the instances are assigned", || async {
            let reply = harness
                .call_caller_api(index, Method::POST, REQUEST, &[], "")
                .await;
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
    harness
}

async fn pools(harness: &Harness, index: usize) -> Value {
    let reply = harness
        .call_operator_api(index, Method::GET, "/v1/pools", None)
        .await;
    reply.map(|reply| reply.json()).unwrap_or_default()
}

async fn instance(harness: &Harness, index: usize, name: &str) -> Value {
    let pools = pools(harness, index).await;
    let instances = pools["instances"].as_array().cloned().unwrap_or_default();
    instances
        .into_iter()
        .find(|instance| instance["name"] == name)
        .unwrap_or_default()
}

/// Requests a change of the fleet from a daemon, and returns the status and body of its reply.
async fn request_change(harness: &Harness, index: usize, operation: Value) -> (StatusCode, Value) {
    let reply = harness
        .call_operator_api(index, Method::POST, "/v1/fleet", Some(operation))
        .await;
    let reply = reply.expect("the operator API answers");
    (reply.status, reply.json())
}

async fn move_to_stores(harness: &Harness, index: usize) {
    wait_until("the move is accepted", || async {
        let operation = json!({"move": {"instance": "quotes-1", "to": "stores"}});
        request_change(harness, index, operation).await.0 == StatusCode::OK
    })
    .await;
}

/// Guards against a drain that aborts a request in flight or ends before it.
#[tokio::test]
async fn a_drain_waits_for_requests_in_flight_and_gets_no_new_ones() {
    let harness = start(2).await;
    // A new controller waits for the request limit of 5 s before it acts. After that, only the
    // requests in flight delay the drain.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let headers = [("x-standin-delay-ms", "2500")];
    let slow = async {
        let calls =
            (0..16).map(|_| harness.call_caller_api(1, Method::POST, REQUEST, &headers, "slow"));
        harness::join_all(calls).await
    };
    let drain = async {
        wait_until("both instances are busy", || async {
            harness.upstreams[0].report().await.busy > 0
        })
        .await;
        let (status, body) =
            request_change(&harness, 0, json!({"drain": {"instance": "quotes-1"}})).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        wait_until("the drain ends", || async {
            instance(&harness, 0, "quotes-1").await["phase"] == "drained"
        })
        .await;
        assert_eq!(harness.upstreams[0].report().await.busy, 0);
    };
    let (replies, ()) = tokio::join!(slow, drain);
    for reply in replies {
        assert_eq!(reply.expect("a complete response").status, StatusCode::OK);
    }
    let before = harness.upstreams[0].report().await.executed;
    for _ in 0..20 {
        let reply = harness
            .call_caller_api(1, Method::POST, REQUEST, &[], "")
            .await;
        assert_eq!(reply.expect("a complete response").status, StatusCode::OK);
    }
    assert_eq!(harness.upstreams[0].report().await.executed, before);
    harness.stop().await;
}

/// Guards against a move that finishes while a frozen daemon may still use the instance, and
/// against one that never finishes after the daemon has resumed.
#[tokio::test]
async fn a_move_waits_for_a_frozen_daemon() {
    let harness = start(3).await;
    let controller = pools(&harness, 0).await["controller"].clone();
    let others: Vec<usize> = (0..3)
        .filter(|index| harness.daemon_name(*index) != controller)
        .collect();
    let (frozen, contacted) = (others[0], others[1]);
    harness.signal(frozen, ProcessSignal::Freeze);
    move_to_stores(&harness, contacted).await;
    wait_until("the report names the frozen daemon", || async {
        let moving = instance(&harness, contacted, "quotes-1").await;
        moving["waiting_for"] == json!([harness.daemon_name(frozen)])
    })
    .await;
    // Longer than the heartbeat's lifetime: its expiry must not finish the move.
    tokio::time::sleep(Duration::from_secs(7)).await;
    assert_eq!(
        instance(&harness, contacted, "quotes-1").await["phase"],
        "moving"
    );
    harness.signal(frozen, ProcessSignal::Resume);
    wait_until("the move ends", || async {
        instance(&harness, contacted, "quotes-1").await["pool"] == "stores"
    })
    .await;
    // Slots that the frozen daemon may have used are withheld for the request limit of 5 s, so the
    // first requests can be refused as not run.
    wait_until("the instance serves its new pool", || async {
        let path = "/v1/services/stores/order";
        let reply = harness
            .call_caller_api(contacted, Method::POST, path, &[], "")
            .await;
        let reply = reply.expect("a complete response");
        assert!([StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&reply.status));
        reply.json()["instance"] == "quotes-1"
    })
    .await;
    harness.stop().await;
}

/// Guards against a move that is lost when the controller is killed before it ends.
#[tokio::test]
async fn a_move_survives_a_killed_controller() {
    let mut harness = start(3).await;
    let controller = pools(&harness, 0).await["controller"].clone();
    let killed = (0..3)
        .find(|index| harness.daemon_name(*index) == controller)
        .expect("a controller");
    let contacted = (killed + 1) % 3;
    move_to_stores(&harness, contacted).await;
    harness.signal(killed, ProcessSignal::Kill);
    harness.wait_for_exit(killed).await;
    harness.spawn(killed);
    wait_until("another controller ends the move", || async {
        instance(&harness, contacted, "quotes-1").await["pool"] == "stores"
    })
    .await;
    harness.stop().await;
}

/// Guards against impossible changes that are accepted, or refused without a remedy.
#[tokio::test]
async fn impossible_changes_are_refused_with_a_remedy() {
    let harness = start(1).await;
    for (operation, phrase) in [
        (
            json!({"drain": {"instance": "nothing"}}),
            "rosemaryscale pools",
        ),
        (
            json!({"move": {"instance": "quotes-1", "to": "nothing"}}),
            "name one of its pools",
        ),
        (
            json!({"undrain": {"instance": "quotes-1"}}),
            "nothing to do",
        ),
    ] {
        let (status, body) = request_change(&harness, 0, operation).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{body}");
        assert!(
            body["detail"]
                .as_str()
                .is_some_and(|detail| detail.contains(phrase)),
            "{body}"
        );
    }
    assert_eq!(instance(&harness, 0, "quotes-1").await["epoch"], 1);
    harness.stop().await;
}

/// Guards against an instance that gets no requests after its drain was cancelled, and against a
/// cancelled drain that aborts requests in flight.
#[tokio::test]
async fn an_undrained_instance_gets_requests_again() {
    let harness = start(2).await;
    let headers = [("x-standin-delay-ms", "4000")];
    let slow = async {
        let calls =
            (0..8).map(|_| harness.call_caller_api(1, Method::POST, REQUEST, &headers, "slow"));
        harness::join_all(calls).await
    };
    let drain_and_undrain = async {
        wait_until("the instance is busy", || async {
            harness.upstreams[0].report().await.busy > 0
        })
        .await;
        for operation in ["drain", "undrain"] {
            wait_until("the change is accepted", || async {
                let change = json!({operation: {"instance": "quotes-1"}});
                request_change(&harness, 0, change).await.0 == StatusCode::OK
            })
            .await;
        }
        let before = harness.upstreams[0].report().await.executed;
        wait_until("the instance gets requests again", || async {
            let reply = harness
                .call_caller_api(1, Method::POST, REQUEST, &[], "")
                .await;
            assert_eq!(reply.expect("a complete response").status, StatusCode::OK);
            harness.upstreams[0].report().await.executed > before
        })
        .await;
    };
    let (replies, ()) = tokio::join!(slow, drain_and_undrain);
    for reply in replies {
        assert_eq!(reply.expect("a complete response").status, StatusCode::OK);
    }
    harness.stop().await;
}
