//! Roll-out of documents through daemon processes, with faults of the platform and of daemons.

#![allow(clippy::panic, reason = "tests fail loudly")]

use std::time::Instant;

use http::{Method, StatusCode};
use rosemaryscale_standins::Faults;
use rosemaryscale_standins::harness::{Harness, eventually};
use serde_json::json;

mod common;

use common::*;

/// Guards against a daemon that cannot start in a platform outage although its peers can serve it.
#[tokio::test]
async fn a_daemon_that_starts_in_an_outage_takes_the_document_of_its_peers() {
    let mut harness = start(2).await;
    harness.apply(DOCUMENT).await;
    stop_daemon(&mut harness, 1).await;
    let (status, _) = put(&harness, 0, request(&variant(2), "second", None)).await;
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

/// Guards against a daemon that is ready without a document, or not ready without a reason.
#[tokio::test]
async fn a_daemon_without_platform_and_peers_says_why_it_is_not_ready() {
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
    eventually("the reason names platform and peers", || async move {
        let reply = harness.call(1, Method::GET, "/v1/ready", &[], "").await;
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

/// Guards against a change that is reported as failed, or made twice, when only its reply was lost.
#[tokio::test]
async fn a_change_whose_reply_was_lost_is_read_back() {
    let harness = start(1).await;
    harness.apply(DOCUMENT).await;
    // A renewed heartbeat may take the first fault, so the change is repeated until it met one.
    for number in 2..6 {
        let faults = Faults {
            lose_replies: 1,
            ..Faults::default()
        };
        harness.platform.set_faults(faults).await;
        let change = request(
            &variant(number),
            &format!("change-{number}"),
            Some(number - 1),
        );
        let (status, body) = put(&harness, 0, change).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        assert_eq!(body["version"], number);
    }
    harness.stop().await;
}

/// Guards against a second effect when the tool repeats a change at another daemon, and against
/// versions that fall below those in force after the store lost the document.
#[tokio::test]
async fn a_change_repeated_at_another_daemon_has_one_effect() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    let first = put(&harness, 0, request(&variant(2), "same", None)).await;
    let later = put(&harness, 0, request(&variant(3), "later", None)).await;
    let again = put(&harness, 1, request(&variant(2), "same", None)).await;
    assert_eq!(
        (first.1["version"].clone(), later.1["version"].clone()),
        (json!(2), json!(3))
    );
    assert_eq!(again.0, StatusCode::OK, "{}", again.1);
    assert_eq!(again.1["version"], 2);
    wait_for_version(&harness, 0, 3).await;
    wait_for_version(&harness, 1, 3).await;
    let history = harness.operate(1, Method::GET, "/v1/history", None).await;
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

/// Guards against a watch that went silent and keeps daemons on an old version. The record is written
/// past the daemons, so that no peer has it and only a new watch can deliver it.
#[tokio::test]
async fn a_change_is_in_force_in_time_although_open_watches_went_silent() {
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
    harness.platform.write(KEY, Some(&record)).await;
    for index in 0..3 {
        wait_for_version(&harness, index, 2).await;
    }
    assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
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
    put(&harness, 0, request(&variant(2), "withheld", None)).await;
    for index in 0..3 {
        wait_for_version(&harness, index, 2).await;
    }
    assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
    eprintln!("in force after {:?}", started.elapsed());
    harness.stop().await;
}

/// Guards against a change that waits behind another operator's change at a slow platform: a newer
/// version of a peer must come into force meanwhile.
#[tokio::test]
async fn a_slow_platform_does_not_delay_a_version_of_a_peer() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    let faults = Faults {
        withhold_changes: true,
        ..Faults::default()
    };
    harness.platform.set_faults(faults.clone()).await;
    put(&harness, 0, request(&variant(2), "first", None)).await;
    // The change needs three calls of 1.4 s; a round of digests takes place every 2 s.
    let slow = Faults {
        delay_ms: 1_400,
        ..faults
    };
    harness.platform.set_faults(slow).await;
    let (status, body) = {
        let change = put(&harness, 1, request(&variant(3), "slow", None));
        tokio::pin!(change);
        tokio::select! {
            () = wait_for_version(&harness, 1, 2) => {}
            (status, body) = &mut change => panic!("the change came first: {status} {body}"),
        }
        change.await
    };
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["version"], 3);
    harness.platform.set_faults(Faults::default()).await;
    harness.stop().await;
}

/// Guards against a daemon that goes back, or stops, when the store loses, sets back or holds what
/// this daemon cannot read; and against a next change that never comes into force.
#[tokio::test]
async fn no_daemon_goes_back_when_the_stored_document_is_deleted_set_back_or_unreadable() {
    let harness = start(2).await;
    harness.apply(DOCUMENT).await;
    wait_for_members(&harness, 2).await;
    put(&harness, 0, request(&variant(2), "second", None)).await;
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
        harness.platform.write(KEY, value.as_deref()).await;
        pass_watch(&harness).await;
        for index in 0..2 {
            assert_eq!(own_status(&harness, index).await["version"], 2, "{value:?}");
        }
    }
    // Version 7 is accepted but not readable here, so the next change gets version 8.
    let (status, body) = put(&harness, 1, request(&variant(8), "eighth", None)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert_eq!(body["version"], 8);
    for index in 0..2 {
        wait_for_version(&harness, index, 8).await;
    }
    harness.platform.write(KEY, None).await;
    let (status, body) = put(&harness, 1, request(&variant(9), "ninth", Some(8))).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    for index in 0..2 {
        wait_for_version(&harness, index, 9).await;
    }
    harness.stop().await;
}

/// Waits until both daemons have seen everything that was written before. The watch delivers in
/// order, so a daemon that has seen a later member has seen an earlier document.
async fn pass_watch(harness: &Harness) {
    let key = "/rosemaryscale/production/members/marker";
    let marker = json!({
        "name": "marker", "availability_zone": "zone-1", "incarnation": "1",
        "operator_address": "127.0.0.1:1", "peer_address": "127.0.0.1:1",
    })
    .to_string();
    for value in [Some(marker.as_str()), None] {
        harness.platform.write(key, value).await;
        for index in 0..2 {
            eventually("the member is seen or gone", || async move {
                let reply = harness
                    .operate(index, Method::GET, "/v1/status", None)
                    .await;
                let report = reply.map(|reply| reply.json()).unwrap_or_default();
                let unreachable = report["unreachable"].as_array().map_or(0, Vec::len);
                unreachable == usize::from(value.is_some())
            })
            .await;
        }
    }
}
