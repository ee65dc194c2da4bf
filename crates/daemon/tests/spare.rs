//! Spare instances that a burst borrows, tested through daemon processes.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use http::{Method, StatusCode};
use rosemaryscale_standins::document;
use rosemaryscale_standins::harness::{
    Harness, HarnessOptions, UpstreamSpec, join_all, wait_until,
};
use serde_json::{Value, json};
use tokio::sync::watch;

const REQUEST: &str = "/v1/services/quotes/cowls";
const CALLERS: usize = 60;

/// Slots for three daemons: each counts the slots of an instance for itself, so they use three times
/// as many.
fn with_slots_for_three_daemons(spec: UpstreamSpec) -> UpstreamSpec {
    UpstreamSpec { slots: 24, ..spec }
}

async fn assigned_instances(harness: &Harness, pool: &str) -> usize {
    let reply = harness
        .call_operator_api(0, Method::GET, "/v1/pools", None)
        .await;
    let pools = reply.map(|reply| reply.json()).unwrap_or_default();
    let instances = pools["instances"].as_array().cloned().unwrap_or_default();
    let is_assigned =
        |instance: &&Value| instance["pool"] == pool && instance["phase"] == "assigned";
    instances.iter().filter(is_assigned).count()
}

/// Guards against a burst that gets no spare instance or keeps it, and against requests that are
/// lost when an instance moves.
#[tokio::test]
async fn a_burst_borrows_spare_instances_and_returns_them() {
    let quotes = (1..=2).map(|number| UpstreamSpec::numbered("quotes", number));
    let spare = (1..=3).map(|number| UpstreamSpec::numbered("backoffice", number));
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons: 3,
        environment: "production".into(),
        upstreams: quotes
            .chain(spare)
            .map(with_slots_for_three_daemons)
            .collect(),
    })
    .await;
    let text = document::with_services(&["quotes", "backoffice"]);
    let mut document: Value = serde_json::from_str(&text).expect("the document is JSON");
    document["pools"]["quotes"]["min_instances"] = json!(2);
    document["pools"]["backoffice"]["spare"] = json!(true);
    document["environments"]["production"]["spare_instances"] = json!(3);
    harness.apply(&document.to_string()).await;
    for index in 0..3 {
        wait_until("the instances are assigned", || async {
            let reply = harness
                .call_caller_api(index, Method::POST, REQUEST, &[], "")
                .await;
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
    let (end_burst, burst_ended) = watch::channel(false);
    let headers = [("x-standin-delay-ms", "100")];
    let callers = (0..CALLERS).map(|caller| {
        let (harness, burst_ended, headers) = (&harness, burst_ended.clone(), &headers);
        async move {
            while !*burst_ended.borrow() {
                let reply = harness.call_caller_api(caller % 3, Method::POST, REQUEST, headers, "");
                let reply = reply.await.expect("a complete response");
                assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
            }
        }
    });
    let wait_and_end_burst = async {
        wait_until("spare instances serve the burst", || async {
            assigned_instances(&harness, "quotes").await >= 4
        })
        .await;
        end_burst.send_replace(true);
    };
    tokio::join!(join_all(callers), wait_and_end_burst);
    wait_until("the spare pool has its instances again", || async {
        assigned_instances(&harness, "backoffice").await == 3
    })
    .await;
    harness.stop().await;
}
