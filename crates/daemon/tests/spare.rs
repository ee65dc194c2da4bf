//! Spare capacity through daemon processes.

#![allow(clippy::expect_used, reason = "test code fails loudly")]

use http::{Method, StatusCode};
use rosemaryscale_standins::document;
use rosemaryscale_standins::harness::{
    Harness, HarnessOptions, UpstreamSpec, eventually, join_all,
};
use serde_json::{Value, json};
use tokio::sync::watch;

const REQUEST: &str = "/v1/services/quotes/cowls";
const CALLERS: usize = 60;

/// Each daemon counts the slots of an instance for itself, so three of them use three times as many.
fn for_three_daemons(spec: UpstreamSpec) -> UpstreamSpec {
    UpstreamSpec { slots: 24, ..spec }
}

async fn serving(harness: &Harness, pool: &str) -> usize {
    let reply = harness.operate(0, Method::GET, "/v1/pools", None).await;
    let pools = reply.map(|reply| reply.json()).unwrap_or_default();
    let instances = pools["instances"].as_array().cloned().unwrap_or_default();
    let placed = |instance: &&Value| instance["pool"] == pool && instance["phase"] == "assigned";
    instances.iter().filter(placed).count()
}

/// Guards against a burst that gets no spare instance, one that keeps it, and a request that a move
/// loses.
#[tokio::test]
async fn a_burst_borrows_spare_instances_and_gives_them_back() {
    let quotes = (1..=2).map(|number| UpstreamSpec::numbered("quotes", number));
    let spare = (1..=3).map(|number| UpstreamSpec::numbered("backoffice", number));
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons: 3,
        environment: "production".into(),
        upstreams: quotes.chain(spare).map(for_three_daemons).collect(),
    })
    .await;
    let text = document::services(&["quotes", "backoffice"]);
    let mut document: Value = serde_json::from_str(&text).expect("the document is JSON");
    document["pools"]["quotes"]["min_instances"] = json!(2);
    document["pools"]["backoffice"]["spare"] = json!(true);
    document["environments"]["production"]["spare_instances"] = json!(3);
    harness.apply(&document.to_string()).await;
    for index in 0..3 {
        eventually("the instances are assigned", || async {
            let reply = harness.call(index, Method::POST, REQUEST, &[], "").await;
            reply.is_some_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
    let (burst, ended) = watch::channel(false);
    let headers = [("x-standin-delay-ms", "100")];
    let callers = (0..CALLERS).map(|caller| {
        let (harness, ended, headers) = (&harness, ended.clone(), &headers);
        async move {
            while !*ended.borrow() {
                let reply = harness.call(caller % 3, Method::POST, REQUEST, headers, "");
                let reply = reply.await.expect("a whole response");
                assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
            }
        }
    });
    let watched = async {
        eventually("spare instances serve the burst", || async {
            serving(&harness, "quotes").await >= 4
        })
        .await;
        burst.send_replace(true);
    };
    tokio::join!(join_all(callers), watched);
    eventually("the spare pool has its instances again", || async {
        serving(&harness, "backoffice").await == 3
    })
    .await;
    harness.stop().await;
}
