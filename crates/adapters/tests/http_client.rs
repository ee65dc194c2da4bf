//! Bounds on the silence of a server during a call.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rosemaryscale_adapters::http_client::{HttpClient, HttpError, HttpReply};
use rosemaryscale_adapters::reply::ReplyBounds;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BOUNDS: ReplyBounds = ReplyBounds {
    head_ms: 400,
    pause_ms: 200,
};

/// Starts a server that sends this many pieces of a longer reply, with a pause before each.
async fn start_server(pieces: usize, piece_bytes: usize, pause_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..pieces {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let _ = stream.write_all(&vec![b'x'; piece_bytes]).await;
        }
        let _ = stream.read(&mut [0; 1]).await;
    });
    address
}

async fn read(address: SocketAddr) -> (Result<HttpReply, HttpError>, Duration) {
    let client = HttpClient::new(address, BOUNDS);
    let started_at = Instant::now();
    let result = client.call(Method::GET, "/", Bytes::new()).await;
    (result, started_at.elapsed())
}

/// Guards against a reply that is given up because it takes longer than the wait for its beginning.
#[tokio::test]
async fn a_reply_that_keeps_arriving_is_read_to_its_end() {
    let address = start_server(10, 2_000, 100).await;
    let (result, elapsed) = read(address).await;
    assert_eq!(result.expect("a reply").body.len(), 20_000);
    assert!(elapsed > Duration::from_millis(BOUNDS.head_ms + BOUNDS.pause_ms));
}

/// Guards against a wait for the rest of a reply that has stopped arriving.
#[tokio::test]
async fn a_reply_that_stops_is_given_up_after_the_pause() {
    let address = start_server(2, 2_000, 50).await;
    let (result, elapsed) = read(address).await;
    let Err(HttpError::NoReply {
        reason,
        received_bytes,
        ..
    }) = result
    else {
        panic!("unexpected {result:?}");
    };
    assert_eq!(received_bytes, 4_000);
    assert!(reason.contains("4000 of 20000 bytes received"), "{reason}");
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

/// Guards against a call that counts as received by a process that began after the call had got its connection.
#[tokio::test]
async fn a_call_without_a_reply_tells_the_age_of_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = HttpClient::new(listener.local_addr().expect("bound"), BOUNDS);
    for _ in 0..2 {
        let result = client.call(Method::GET, "/", Bytes::new()).await;
        let Err(HttpError::NoReply {
            connection_age_ms: Some(age_ms),
            ..
        }) = result
        else {
            panic!("unexpected {result:?}");
        };
        assert!(
            (BOUNDS.head_ms - 100..BOUNDS.head_ms + 500).contains(&age_ms),
            "{age_ms}"
        );
    }
}

/// Guards against a server that holds a call by single bytes.
#[tokio::test]
async fn single_bytes_are_no_progress() {
    let address = start_server(200, 1, 50).await;
    let (result, elapsed) = read(address).await;
    assert!(matches!(result, Err(HttpError::NoReply { .. })));
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

/// Guards against a server that never begins its reply, and against a large request that counts as unanswered while it
/// is still being sent.
#[tokio::test]
async fn the_wait_for_a_reply_grows_with_the_request() {
    const UPLOAD_BYTES: usize = 100_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = HttpClient::new(listener.local_addr().expect("bound"), BOUNDS);
    for (body_bytes, expected_ms) in [(0, 400), (UPLOAD_BYTES, 1_200)] {
        let started_at = Instant::now();
        let body = vec![b'x'; body_bytes].into();
        let result = client.call(Method::POST, "/", body).await;
        assert!(matches!(result, Err(HttpError::NoReply { .. })));
        let waited_ms = started_at.elapsed().as_millis();
        assert!(
            (expected_ms..expected_ms + 500).contains(&waited_ms),
            "{waited_ms} ms for {body_bytes} bytes"
        );
    }
}
