//! The upstream link with scripted upstreams: which responses are passed to a caller, and which
//! connections are reused.

use bytes::Bytes;
use http::Method;
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::link::{ExchangeResult, LinkMessage};

mod bench;

use bench::{Bench, ObservedEvent, ScriptedAction, body, evidence};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against responses that are passed on although they are incomplete or cannot be
/// distinguished from incomplete ones.
#[tokio::test]
async fn incomplete_responses_are_not_passed_on() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
            UnknownReason::Truncated,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            UnknownReason::Truncated,
        ),
        (
            "HTTP/1.1 200 OK\r\n\r\nuntil closed",
            UnknownReason::Malformed,
        ),
        (
            "HTTP/1.0 200 OK\r\n\r\nuntil closed",
            UnknownReason::Malformed,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nx",
            UnknownReason::Malformed,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
            UnknownReason::Malformed,
        ),
        (
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
            UnknownReason::Malformed,
        ),
        ("no protocol\r\n\r\n", UnknownReason::Malformed),
        (
            "HTTP/1.1 100 Continue\r\n\r\n",
            UnknownReason::ConnectionLost,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-le",
            UnknownReason::ConnectionLost,
        ),
        ("", UnknownReason::ConnectionLost),
    ];
    for (text, reason) in cases {
        let mut bench = Bench::start(4, &[ScriptedAction::WriteAndClose(text)]).await;
        let end = bench.get().await;
        assert_eq!(
            evidence(&end),
            FailureEvidence::MayHaveRun(reason),
            "{text}"
        );
    }
}

/// Guards against response heads of unbounded size from a faulty upstream.
#[tokio::test]
async fn oversized_heads_are_refused() {
    let many: String = (0..300).map(|number| format!("h{number}: x\r\n")).collect();
    let long = format!("h: {}\r\n", "x".repeat(200_000));
    for headers in [many, long] {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n");
        let mut bench = Bench::start(4, &[ScriptedAction::Write(text.leak())]).await;
        let malformed = FailureEvidence::MayHaveRun(UnknownReason::Malformed);
        assert_eq!(evidence(&bench.get().await), malformed);
    }
}

/// Guards against complete responses of unusual form that are lost, and against connections that are
/// wrongly closed or reused after them.
#[tokio::test]
async fn complete_responses_are_passed_on_and_only_sound_connections_are_reused() {
    let informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
                         HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let cases = [
        (Method::GET, OK, "ok", true),
        (Method::GET, informational, "ok", true),
        (Method::GET, chunked, "ok", true),
        (
            Method::GET,
            "HTTP/1.1 500 E\r\ncontent-length: 2\r\n\r\nok",
            "ok",
            true,
        ),
        (
            Method::HEAD,
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
            "",
            true,
        ),
        (Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n", "", true),
        (Method::GET, "HTTP/1.1 204 No Content\r\n\r\n", "", true),
        (
            Method::GET,
            "HTTP/1.1 304 Same\r\ncontent-length: 9\r\n\r\n",
            "",
            true,
        ),
        (Method::GET, close, "ok", false),
        (
            Method::GET,
            "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
            "ok",
            false,
        ),
    ];
    for (method, text, expected, reused) in cases {
        let mut bench =
            Bench::start(4, &[ScriptedAction::Write(text), ScriptedAction::Write(OK)]).await;
        bench.send(method, Bytes::new(), false, 5_000).await;
        assert_eq!(body(&bench.next_end().await), expected.as_bytes(), "{text}");
        assert_eq!(bench.next_request().await, 1);
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.next_request().await == 1, reused, "{text}");
    }
}

/// Guards against crossed responses: bytes that follow a response, sent with it or later, must not
/// be taken for the response to the next request.
#[tokio::test]
async fn stray_responses_do_not_reach_the_next_request() {
    const STRAY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    let combined: &str = format!("{OK}{STRAY}").leak();
    for action in [
        ScriptedAction::Write(combined),
        ScriptedAction::WriteInTwoParts(OK, STRAY),
    ] {
        // The upstream closes its second connection, which shows that it has sent the stray bytes.
        let mut bench = Bench::start(
            4,
            &[
                action,
                ScriptedAction::WriteAndClose(OK),
                ScriptedAction::Write(OK),
            ],
        )
        .await;
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.next_request().await, 1);
        bench.release_second_part();
        bench.clock.advance(1_001);
        bench.send(Method::POST, Bytes::new(), true, 5_000).await;
        assert_eq!(body(&bench.next_end().await), b"ok");
        assert_eq!(bench.next_request().await, 2);
        assert_eq!(bench.next_closed().await, 2);
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.next_request().await, 3);
    }
}

/// Guards against a late response that is taken for the response to the next request.
#[tokio::test]
async fn a_late_response_is_discarded() {
    const LATE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    let actions = [
        ScriptedAction::Write(OK),
        ScriptedAction::WriteInTwoParts("", LATE),
        ScriptedAction::Write(OK),
    ];
    let mut bench = Bench::start(4, &actions).await;
    assert_eq!(body(&bench.get().await), b"ok");
    bench.send(Method::GET, Bytes::new(), false, 50).await;
    let end = bench.next_end().await;
    let timed_out = FailureEvidence::MayHaveRun(UnknownReason::TimedOut);
    assert_eq!(evidence(&end), timed_out);
    assert_eq!(end.observation, Observation::TimedOut);
    bench.release_second_part();
    bench.clock.advance(1);
    assert_eq!(body(&bench.get().await), b"ok");
    let connections = [bench.next_request().await, bench.next_request().await];
    assert_eq!(connections, [1, 1]);
    assert_eq!(bench.next_request().await, 2);
}

/// Guards against the reuse of connections that were idle or busy when another connection timed out.
#[tokio::test]
async fn a_timeout_makes_all_open_connections_suspect() {
    let late = ScriptedAction::WriteInTwoParts("", OK);
    let mut bench = Bench::start(
        4,
        &[
            late,
            late,
            ScriptedAction::Unresponsive,
            ScriptedAction::Write(OK),
        ],
    )
    .await;
    for connection in 1..=2 {
        bench.send(Method::GET, Bytes::new(), false, 5_000).await;
        assert_eq!(bench.next_request().await, connection);
    }
    bench.release_second_part();
    assert_eq!(body(&bench.next_end().await), b"ok");
    bench.clock.advance(1_001);
    bench.send(Method::POST, Bytes::new(), true, 50).await;
    assert_eq!(bench.next_request().await, 3);
    let timed_out = FailureEvidence::MayHaveRun(UnknownReason::TimedOut);
    assert_eq!(evidence(&bench.next_end().await), timed_out);
    bench.release_second_part();
    assert_eq!(body(&bench.next_end().await), b"ok");
    bench.clock.advance(1);
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.next_request().await, 4);
}

/// Guards against requests that must not be repeated on a connection that may have become
/// unresponsive since its last response.
#[tokio::test]
async fn unproven_connections_get_no_request_that_must_not_be_repeated() {
    let mut bench = Bench::start(4, &[ScriptedAction::Write(OK)]).await;
    let steps = [
        (0, true, 1),
        (1_000, true, 1),
        (1_001, false, 1),
        (1_001, true, 2),
    ];
    for (pause_ms, recently_used, connection) in steps {
        bench.clock.advance(pause_ms);
        bench
            .send(Method::POST, Bytes::new(), recently_used, 5_000)
            .await;
        assert_eq!(body(&bench.next_end().await), b"ok");
        assert_eq!(bench.next_request().await, connection);
    }
}

/// Guards against idle connections that are never closed.
#[tokio::test]
async fn idle_connections_are_closed() {
    let mut bench = Bench::start(4, &[ScriptedAction::Write(OK)]).await;
    assert_eq!(body(&bench.get().await), b"ok");
    bench.clock.advance(10_000);
    assert_eq!(bench.next_closed().await, 1);
}

/// Guards against more connections than are allowed, and against requests that queue inside the link.
#[tokio::test]
async fn the_connection_limit_holds() {
    let actions = [
        ScriptedAction::WriteInTwoParts("", OK),
        ScriptedAction::Write(OK),
    ];
    let mut bench = Bench::start(1, &actions).await;
    bench.send(Method::GET, Bytes::new(), false, 5_000).await;
    assert_eq!(bench.next_request().await, 1);
    let end = bench.get().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::Inconclusive);
    bench.send_message(LinkMessage::SetConnectionLimit(2)).await;
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.next_request().await, 2);
    bench.send_message(LinkMessage::SetConnectionLimit(1)).await;
    assert_eq!(bench.next_closed().await, 2);
    bench.release_second_part();
    assert_eq!(body(&bench.next_end().await), b"ok");
}

/// Guards against the reuse of a connection while its last request is still being written, which
/// would put the rest of the old body before the new request.
#[tokio::test]
async fn a_response_before_the_end_of_the_request_closes_the_connection() {
    let mut bench = Bench::start(
        4,
        &[ScriptedAction::WriteEarly(OK), ScriptedAction::Write(OK)],
    )
    .await;
    let large = Bytes::from(vec![b'x'; 32 << 20]);
    bench.send(Method::POST, large, false, 5_000).await;
    assert_eq!(body(&bench.next_end().await), b"ok");
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.next_request().await, 1);
    assert_eq!(bench.next_request().await, 2);
}

/// Guards against a refusal that counts as not run without the status and header that prove it, and
/// against one that does not count although its head proves it.
#[tokio::test]
async fn only_an_explicit_refusal_proves_that_a_request_was_not_run() {
    let header_false = "HTTP/1.1 503 Busy\r\nx-not-run: false\r\ncontent-length: 0\r\n\r\n";
    let other_status = "HTTP/1.1 500 Error\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
    for text in [header_false, other_status] {
        let mut bench = Bench::start(4, &[ScriptedAction::Write(text)]).await;
        assert_eq!(body(&bench.get().await), b"");
    }
    let truncated = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 9\r\n\r\nhalf";
    let large = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 99999\r\n\r\n";
    let undelimited = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\n\r\n";
    for text in [truncated, large, undelimited] {
        for action in [
            ScriptedAction::Write(text),
            ScriptedAction::WriteAndClose(text),
        ] {
            let mut bench = Bench::start(4, &[action, ScriptedAction::Write(OK)]).await;
            let end = bench.get().await;
            assert_eq!(evidence(&end), FailureEvidence::RefusedNotRun, "{text}");
            assert_eq!(end.observation, Observation::Overloaded);
            assert_eq!(body(&bench.get().await), b"ok");
        }
    }
}

/// Guards against a response limit that is not applied to an announced length or to the received
/// bytes.
#[tokio::test]
async fn responses_over_the_limit_fail_the_exchange() {
    let announced = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    let chunk = format!("3e9\r\n{}\r\n", "x".repeat(1_001));
    let counted = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    for text in [announced, counted.leak()] {
        let mut bench = Bench::start(4, &[ScriptedAction::Write(text)]).await;
        let end = bench.get().await;
        assert!(matches!(end.result, ExchangeResult::ResponseTooLarge));
    }
}

/// Guards against a failed connect that is reported as a request that may have run.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let mut bench = Bench::start(4, &[ScriptedAction::Unresponsive]).await;
    bench.stop_upstream().await;
    let end = bench.get().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::ConnectFailed);
}

/// Guards against a request that is written after its deadline.
#[tokio::test]
async fn nothing_is_written_after_the_deadline() {
    let mut bench = Bench::start(4, &[ScriptedAction::Write(OK)]).await;
    bench.send(Method::POST, Bytes::new(), false, 0).await;
    let end = bench.next_end().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::Inconclusive);
}

/// Guards against a probe that never ends, and against one that succeeds with any answer.
#[tokio::test]
async fn probes_report_the_health_of_the_instance() {
    let unhealthy = "HTTP/1.1 503 Ill\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        (ScriptedAction::Write(OK), true),
        (ScriptedAction::Write(unhealthy), false),
        (ScriptedAction::Unresponsive, false),
    ];
    for (action, expected) in cases {
        let mut bench = Bench::start(4, &[action]).await;
        bench.send_message(LinkMessage::Probe).await;
        match bench.next_message().await {
            Some(DispatchMessage::ProbeEnded { healthy, .. }) => assert_eq!(healthy, expected),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a retired link that aborts its exchanges: one in flight still ends with its
/// response, and then the link closes its connections and ends.
#[tokio::test]
async fn a_retired_link_finishes_its_exchanges() {
    let mut bench = Bench::start(4, &[ScriptedAction::WriteInTwoParts("", OK)]).await;
    bench.send(Method::GET, Bytes::new(), false, 5_000).await;
    assert_eq!(
        bench.next_event().await,
        ObservedEvent::Request { connection: 1 }
    );
    bench.send_message(LinkMessage::Shutdown).await;
    bench.release_second_part();
    assert_eq!(body(&bench.next_end().await), b"ok");
    assert_eq!(bench.next_closed().await, 1);
    assert!(bench.next_message().await.is_none(), "the link has ended");
}
