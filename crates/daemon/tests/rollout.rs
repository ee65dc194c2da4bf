//! Document roll-out across daemon processes, with faults of the platform and of daemons.

#![allow(clippy::panic, reason = "tests panic on failure")]

use std::time::Instant;

use http::{Method, StatusCode};
use rosemaryscale_standins::Faults;
use rosemaryscale_standins::harness::{Harness, wait_until};
use serde_json::json;

mod common;

use common::*;

/// Guards against a daemon that cannot start in a platform outage although its peers have the
/// document.
#[tokio::test]
async fn a_daemon_that_starts_in_a_platform_outage_gets_the_document_from_its_peers() {
    let mut harness = start(2).await;
    harness.apply(DOCUMENT).await;
    stop_daemon(&mut harness, 1).await;
    let (status, _) = put_document(&harness, 0, change_request(&variant(2), "second", None)).await;
    assert_eq!(status, StatusCode::OK);
    harness
        .platform
        .set_faults(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
    harness.spawn(1);
    harness.wait_until_ready(1).await;
    let status = own_status(&harness, 1).await;
    assert_eq!(status["version"], 2);
    assert_eq!(status["platform_reachable"], false);
    harness.platform.set_faults(Faults::default()).await;
    harness.stop().await;
}

/// Guards against a daemon that reports itself ready without a document, or not ready without a
/// reason.
#[tokio::test]
async fn a_daemon_without_platform_and_peers_reports_why_it_is_not_ready() {
    let mut harness = start(2).await;
    harness.apply(DOCUMENT).await;
    stop_daemon(&mut harness, 0).await;
    stop_daemon(&mut harness, 1).await;
    harness
        .platform
        .set_faults(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
    harness.spawn(1);
    let harness = &harness;
    wait_until("the reason names platform and peers", || async move {
        let reply = harness
            .call_caller_api(1, Method::GET, "/v1/ready", &[], "")
            .await;
        reply.is_some_and(|reply| {
            let detail = reply.json()["detail"].to_string();
            reply.status == StatusCode::SERVICE_UNAVAILABLE
                && detail.contains("platform is not reachable")
                && detail.contains("none of 1 peers answers")
        })
    })
    .await;
    harness.platform.set_faults(Faults::default()).await;
    harness.wait_until_ready(1).await;
    assert_eq!(own_status(harness, 1).await["version"], 1);
}

/// Guards against a change that is reported as failed, or made twice, when the store's reply was
/// lost.
#[tokio::test]
async fn a_change_whose_reply_was_lost_is_read_back() {
    let harness = start(1).await;
    harness.apply(DOCUMENT).await;
    // A heartbeat renewal may be the call that loses its reply, so several changes are made.
    for number in 2..6 {
        let faults = Faults {
            lose_replies: 1,
            ..Faults::default()
        };
        harness.platform.set_faults(faults).await;
        let change = change_request(
            &variant(number),
            &format!("change-{number}"),
            Some(number - 1),
        );
        let (status, body) = put_document(&harness, 0, change).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        assert_eq!(body["version"], number);
    }
    harness.stop().await;
}

/// Guards against a change that is applied a second time when the tool repeats it at another daemon,
/// also after a later change.
#[tokio::test]
async fn a_change_repeated_at_another_daemon_is_applied_once() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    let first = put_document(&harness, 0, change_request(&variant(2), "same", None)).await;
    let later = put_document(&harness, 0, change_request(&variant(3), "later", None)).await;
    let repeated = put_document(&harness, 1, change_request(&variant(2), "same", None)).await;
    assert_eq!(
        (first.1["version"].clone(), later.1["version"].clone()),
        (json!(2), json!(3))
    );
    assert_eq!(repeated.0, StatusCode::OK, "{}", repeated.1);
    assert_eq!(repeated.1["version"], 2);
    wait_for_version(&harness, 0, 3).await;
    wait_for_version(&harness, 1, 3).await;
    let history = harness
        .call_operator_api(1, Method::GET, "/v1/history", None)
        .await;
    let history = history.expect("the daemon replies").json();
    let versions: Vec<_> = history["changes"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|change| change["version"].clone())
        .collect();
    assert_eq!(versions, [json!(3), json!(2), json!(1)]);
    harness.stop().await;
}

/// Guards against an unresponsive watch that keeps daemons on an old version. The record is written
/// to the store directly, so that no peer has it and only a new watch can deliver it.
#[tokio::test]
async fn a_change_is_in_force_in_time_although_open_watches_are_unresponsive() {
    let harness = start(3).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 3).await;
    let faults = Faults {
        silence_watches: true,
        ..Faults::default()
    };
    harness.platform.set_faults(faults).await;
    let started = Instant::now();
    let record = record(2, &variant(2));
    harness.platform.write(DOCUMENT_KEY, Some(&record)).await;
    for index in 0..3 {
        wait_for_version(&harness, index, 2).await;
    }
    assert!(started.elapsed() < ROLLOUT_LIMIT, "{:?}", started.elapsed());
    eprintln!("in force after {:?}", started.elapsed());
    harness.stop().await;
}

/// Guards against a roll-out that depends on the watch alone.
#[tokio::test]
async fn a_change_spreads_through_peers_when_no_watch_delivers() {
    let harness = start(3).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 3).await;
    harness
        .platform
        .set_faults(Faults {
            withhold_changes: true,
            ..Faults::default()
        })
        .await;
    let started = Instant::now();
    put_document(&harness, 0, change_request(&variant(2), "withheld", None)).await;
    for index in 0..3 {
        wait_for_version(&harness, index, 2).await;
    }
    assert!(started.elapsed() < ROLLOUT_LIMIT, "{:?}", started.elapsed());
    eprintln!("in force after {:?}", started.elapsed());
    harness.stop().await;
}

/// Guards against a newer version of a peer that comes into force only after a change that this
/// daemon is writing to a slow platform.
#[tokio::test]
async fn a_slow_platform_does_not_delay_a_newer_version_of_a_peer() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    let faults = Faults {
        withhold_changes: true,
        ..Faults::default()
    };
    harness.platform.set_faults(faults.clone()).await;
    put_document(&harness, 0, change_request(&variant(2), "first", None)).await;
    // The change needs three calls of 1.4 s each; the daemons exchange digests every 2 s.
    let slow = Faults {
        delay_ms: 1_400,
        ..faults
    };
    harness.platform.set_faults(slow).await;
    let (status, body) = {
        let change = put_document(&harness, 1, change_request(&variant(3), "slow", None));
        tokio::pin!(change);
        tokio::select! {
            () = wait_for_version(&harness, 1, 2) => {}
            (status, body) = &mut change => panic!("the change ended first: {status} {body}"),
        }
        change.await
    };
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["version"], 3);
    harness.platform.set_faults(Faults::default()).await;
    harness.stop().await;
}

/// Guards against a daemon that reverts to an older version, or stops, when the stored document is
/// deleted, replaced by an older one or unreadable; and against a next change that never comes into
/// force or whose version is not above the one in force.
#[tokio::test]
async fn no_daemon_reverts_when_the_stored_document_is_deleted_older_or_unreadable() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    put_document(&harness, 0, change_request(&variant(2), "second", None)).await;
    for index in 0..2 {
        wait_for_version(&harness, index, 2).await;
    }
    let values = [
        None,
        Some(record(1, DOCUMENT)),
        Some("not a record".to_owned()),
        Some(record(7, "{ \"format\": 2 }")),
    ];
    for value in values {
        harness.platform.write(DOCUMENT_KEY, value.as_deref()).await;
        wait_for_watch(&harness).await;
        for index in 0..2 {
            assert_eq!(own_status(&harness, index).await["version"], 2, "{value:?}");
        }
    }
    // Version 7 is stored although no daemon can read it, so the next change gets version 8.
    let (status, body) =
        put_document(&harness, 1, change_request(&variant(8), "eighth", None)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["version"], 8);
    for index in 0..2 {
        wait_for_version(&harness, index, 8).await;
    }
    harness.platform.write(DOCUMENT_KEY, None).await;
    let (status, body) =
        put_document(&harness, 1, change_request(&variant(9), "ninth", Some(8))).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    for index in 0..2 {
        wait_for_version(&harness, index, 9).await;
    }
    harness.stop().await;
}

/// Waits until both daemons have received all earlier writes. The watch delivers in order, so a
/// daemon that lists a member has received every document that was written before it.
async fn wait_for_watch(harness: &Harness) {
    let key = "/rosemaryscale/production/members/marker";
    let marker = json!({
        "name": "marker", "availability_zone": "zone-1", "incarnation": "1",
        "operator_address": "127.0.0.1:1", "peer_address": "127.0.0.1:1",
    })
    .to_string();
    for value in [Some(marker.as_str()), None] {
        harness.platform.write(key, value).await;
        for index in 0..2 {
            wait_until("the marker member is listed or removed", || async move {
                let reply = harness
                    .call_operator_api(index, Method::GET, "/v1/status", None)
                    .await;
                let report = reply.map(|reply| reply.json()).unwrap_or_default();
                let unreachable = report["unreachable"].as_array().map_or(0, Vec::len);
                unreachable == usize::from(value.is_some())
            })
            .await;
        }
    }
}
