//! The path of requests from callers through daemon processes to stand-in upstreams.

use http::{Method, StatusCode};
use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec};

const DOCUMENT: &str = include_str!("../../../examples/kalahari/document.jsonc");

fn options(daemons: usize, upstreams: usize) -> HarnessOptions {
    HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons,
        environment: "production".into(),
        upstreams: (0..upstreams)
            .map(|number| UpstreamSpec::numbered("quotes", number))
            .collect(),
    }
}

/// Guards against lost requests and crossed responses: every request gets its own response.
#[tokio::test]
async fn requests_are_answered_through_every_daemon() {
    let harness = Harness::start(options(3, 2)).await;
    harness.apply(DOCUMENT).await;
    for index in 0..3 {
        for number in 0..20 {
            let id = format!("request-{index}-{number}");
            let headers = [("x-request-id", id.as_str())];
            let path = "/v1/services/quotes/cowls";
            let reply = harness
                .call_caller_api(index, Method::POST, path, &headers, &id)
                .await;
            let reply = reply.expect("the daemon replies");
            assert_eq!(reply.status, StatusCode::OK, "{}", reply.json());
            assert_eq!(reply.json()["request_id"], id);
            assert_eq!(reply.json()["body"], id);
        }
    }
    harness.stop().await;
}

/// Guards against error responses without a kind or a remedy.
#[tokio::test]
async fn an_unknown_service_is_refused_with_a_problem_document() {
    let harness = Harness::start(options(1, 1)).await;
    harness.apply(DOCUMENT).await;
    let reply = harness
        .call_caller_api(0, Method::GET, "/v1/services/nothing/x", &[], "")
        .await;
    let reply = reply.expect("the daemon replies");
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    assert_eq!(reply.json()["kind"], "unknown_service");
    assert!(
        reply.json()["remedy"]
            .as_str()
            .is_some_and(|remedy| !remedy.is_empty())
    );
    harness.stop().await;
}
