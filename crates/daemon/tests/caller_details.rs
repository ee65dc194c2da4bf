//! Queueing, admission control and request details, as callers see them.

#![allow(clippy::expect_used, reason = "test helpers panic on failure")]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use rosemaryscale_standins::harness::{Harness, HarnessOptions, UpstreamSpec, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DOCUMENT: &str = include_str!("../../../examples/kalahari/document.jsonc");
const SLOW_MS: &str = "1500";
const CALLER_LIMIT: usize = 20;

async fn start() -> Harness {
    let upstream = UpstreamSpec {
        slots: 1,
        ..UpstreamSpec::numbered("quotes", 1)
    };
    let harness = Harness::start(HarnessOptions {
        daemon_binary: env!("CARGO_BIN_EXE_rosemaryscaled").into(),
        daemons: 1,
        environment: "production".into(),
        upstreams: vec![upstream],
    })
    .await;
    let limit = format!("\"queue_limit_per_caller\": {CALLER_LIMIT}");
    let document = DOCUMENT
        .replace("\"slots_per_instance\": 8", "\"slots_per_instance\": 1")
        .replace("\"queue_limit_per_caller\": 200", &limit);
    harness.apply(&document).await;
    harness
}

fn request(target: &str, headers: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}\r\n")
}

/// Sends bytes that an HTTP client would change or refuse to send, and returns the whole response.
async fn send_raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the daemon accepts");
    stream.write_all(request).await.expect("the daemon reads");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let read = tokio::time::timeout(Duration::from_secs(20), read).await;
    read.expect("the daemon replies")
        .expect("the daemon closes");
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against request targets that are altered on the way, for example by percent-decoding or by
/// merging slashes.
#[tokio::test]
async fn paths_are_forwarded_byte_for_byte() {
    let harness = start().await;
    let address = harness.caller_address(0);
    let targets = [
        ("", "/"),
        ("/", "/"),
        ("?roof=1", "/?roof=1"),
        ("/?", "/?"),
        ("//a//b/", "//a//b/"),
        ("/a%2Fb%20c/%C3%BC", "/a%2Fb%20c/%C3%BC"),
        ("/a;b=c/d+e?f=%26&g=/h?i//", "/a;b=c/d+e?f=%26&g=/h?i//"),
    ];
    for (sent, expected) in targets {
        let target = format!("/v1/services/quotes{sent}");
        let response = send_raw(address, request(&target, "").as_bytes()).await;
        let expected = format!("\"path\":\"{expected}\"");
        assert!(response.contains(&expected), "{target}: {response}");
    }
    harness.stop().await;
}

/// Guards against ambiguous targets and headers that are interpreted instead of refused.
#[tokio::test]
async fn ambiguous_requests_are_refused_with_a_problem_document() {
    let harness = start().await;
    let address = harness.caller_address(0);
    let targets = [
        "//v1/services/quotes/a",
        "/v1//services/quotes/a",
        "/v1/services//quotes/a",
        "/v1/service%73/quotes/a",
        "/v1/services/quotes/public/%2e%2E/a",
        "/v1/services/quotes/.%2e/a",
    ];
    let mut requests: Vec<Vec<u8>> = targets.map(|target| request(target, "").into()).into();
    let headers: [&[u8]; 9] = [
        b"x-deadline-ms: soon",
        b"x-deadline-ms: +5",
        b"x-deadline-ms: 0",
        b"x-deadline-ms: 5\r\nx-deadline-ms: 6",
        b"x-work-class: \xfc",
        b"x-caller: \xfc",
        b"x-request-id: \xfc",
        b"idempotency-key:",
        b"x-request-id: a\r\nx-request-id: b",
    ];
    for header in headers {
        let mut bytes = b"GET /v1/services/quotes/a HTTP/1.1\r\nhost: entry\r\n".to_vec();
        bytes.extend_from_slice(b"connection: close\r\n");
        bytes.extend_from_slice(header);
        bytes.extend_from_slice(b"\r\n\r\n");
        requests.push(bytes);
    }
    for bytes in requests {
        let sent = String::from_utf8_lossy(&bytes).into_owned();
        let response = send_raw(address, &bytes).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{sent}{response}");
        assert!(
            response.contains("\"kind\":\"bad_request\""),
            "{sent}{response}"
        );
        assert!(response.contains("not run: "), "{sent}{response}");
    }
    // dropshot refuses these before it calls a handler, with an error body of its own.
    for target in ["/v1/services/quotes/../a", "/v1/services/quotes/%ff"] {
        let response = send_raw(address, request(target, "").as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{target}: {response}");
    }
    assert_eq!(harness.upstreams[0].report().await.executed, 0);
    harness.stop().await;
}

/// Guards against responses that lack the request id of the caller.
#[tokio::test]
async fn the_callers_request_id_is_returned() {
    let harness = start().await;
    let headers = [("x-request-id", "my-id")];
    for (path, status) in [
        ("/v1/services/quotes/a", StatusCode::OK),
        ("/v1/services/nothing/a", StatusCode::NOT_FOUND),
    ] {
        let reply = harness
            .call_caller_api(0, Method::GET, path, &headers, "")
            .await;
        let reply = reply.expect("the daemon replies");
        assert_eq!(reply.status, status);
        assert_eq!(reply.headers["x-caller-request-id"], "my-id");
        assert_eq!(reply.json()["request_id"], "my-id");
    }
    harness.stop().await;
}

/// Guards against queue places that disconnected callers keep, and against running their requests:
/// the same caller gets a place again while the only slot is still in use.
#[tokio::test]
async fn a_disconnected_caller_leaves_the_queue() {
    let harness = start().await;
    let address = harness.caller_address(0);
    let path = "/v1/services/quotes/a";
    let slow = "x-standin-delay-ms: 8000\r\nx-deadline-ms: 15000\r\nx-request-id: first\r\n";
    let first = request(path, slow);
    let first = tokio::spawn(async move { send_raw(address, first.as_bytes()).await });
    wait_until("the first request runs", || async {
        harness.upstreams[0].report().await.executed == 1
    })
    .await;
    let probe = [("x-caller", "gone"), ("x-deadline-ms", "100")];
    let is_full = || async {
        let reply = harness
            .call_caller_api(0, Method::GET, path, &probe, "")
            .await;
        let detail = reply.expect("the daemon replies").json()["detail"].to_string();
        assert!(detail.contains("not run"), "{detail}");
        detail.contains("the queue is full")
    };
    let mut queued = Vec::new();
    // A probe may occupy a place briefly, so requests are added until a probe is refused.
    while queued.len() < CALLER_LIMIT || !is_full().await {
        assert!(queued.len() < 10 * CALLER_LIMIT, "the queue is never full");
        let id = format!("x-request-id: gone-{}", queued.len());
        let headers = format!("x-caller: gone\r\nx-deadline-ms: 15000\r\n{id}\r\n");
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the daemon accepts");
        let request = request(path, &headers);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the daemon reads");
        queued.push(stream);
    }
    drop(queued);
    wait_until("the caller's queue places are free", || async {
        !is_full().await
    })
    .await;
    assert!(
        !first.is_finished(),
        "the slot was free before the queue places were"
    );
    assert!(
        first
            .await
            .expect("the task ends")
            .starts_with("HTTP/1.1 200")
    );
    let last = [("x-caller", "gone"), ("x-request-id", "last")];
    let last = harness
        .call_caller_api(0, Method::GET, path, &last, "")
        .await;
    assert_eq!(last.expect("the daemon replies").status, StatusCode::OK);
    let runs = harness.upstreams[0].report().await.runs;
    let ran: Vec<&str> = runs.keys().map(String::as_str).collect();
    assert_eq!(ran, ["first", "last"]);
    harness.stop().await;
}

/// Guards against a constant `Retry-After`: it must grow with the queue ahead of the refused request.
#[tokio::test]
async fn retry_after_reflects_the_queue() {
    let harness = start().await;
    let path = "/v1/services/quotes/a";
    let slow = [("x-standin-delay-ms", SLOW_MS), ("x-deadline-ms", "15000")];
    let first = harness
        .call_caller_api(0, Method::GET, path, &slow, "")
        .await;
    assert_eq!(first.expect("the daemon replies").status, StatusCode::OK);
    let address = harness.caller_address(0);
    let mut queued = Vec::new();
    for _ in 0..7 {
        let headers = format!("x-standin-delay-ms: {SLOW_MS}\r\nx-deadline-ms: 15000\r\n");
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the daemon accepts");
        let request = request(path, &headers);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the daemon reads");
        queued.push(stream);
    }
    wait_until("a request with a short deadline is refused", || async {
        let headers = [("x-deadline-ms", "1600")];
        let reply = harness
            .call_caller_api(0, Method::GET, path, &headers, "")
            .await;
        let reply = reply.expect("the daemon replies");
        let retry_after = reply.headers.get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        reply.json()["kind"] == "not_run" && retry_after.is_some_and(|seconds| seconds >= 5)
    })
    .await;
    drop(queued);
    harness.stop().await;
}
