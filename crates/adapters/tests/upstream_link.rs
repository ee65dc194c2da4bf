//! The upstream link against scripted upstreams: which responses may reach a caller, and which
//! connections may be used again.

use bytes::Bytes;
use http::Method;
use rosemaryscale_domain::health::Observation;
use rosemaryscale_domain::outcome::UnknownReason;
use rosemaryscale_domain::request::FailureEvidence;
use rosemaryscale_ports::dispatch::DispatchMessage;
use rosemaryscale_ports::link::{ExchangeResult, LinkMessage};

mod bench;

use bench::{Act, Bench, Seen, body, evidence};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against responses that are passed on although they are incomplete, or cannot be told from
/// an incomplete one.
#[tokio::test]
async fn incomplete_responses_do_not_pass() {
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
        let mut bench = Bench::start(4, &[Act::WriteAndClose(text)]).await;
        let end = bench.get().await;
        assert_eq!(
            evidence(&end),
            FailureEvidence::MayHaveRun(reason),
            "{text}"
        );
    }
}

/// Guards against a head without bounds that a faulty upstream sends.
#[tokio::test]
async fn oversized_heads_are_refused() {
    let many: String = (0..300).map(|number| format!("h{number}: x\r\n")).collect();
    let long = format!("h: {}\r\n", "x".repeat(200_000));
    for headers in [many, long] {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n");
        let mut bench = Bench::start(4, &[Act::Write(text.leak())]).await;
        let malformed = FailureEvidence::MayHaveRun(UnknownReason::Malformed);
        assert_eq!(evidence(&bench.get().await), malformed);
    }
}

/// Guards against complete responses of unusual form that are lost, and against connections that
/// are dropped or kept wrongly after them.
#[tokio::test]
async fn complete_responses_pass_and_leave_the_right_connections() {
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
        let mut bench = Bench::start(4, &[Act::Write(text), Act::Write(OK)]).await;
        bench.send(method, Bytes::new(), false, 5_000).await;
        assert_eq!(body(&bench.end().await), expected.as_bytes(), "{text}");
        assert_eq!(bench.connection().await, 1);
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.connection().await == 1, reused, "{text}");
    }
}

/// Guards against a crossed response: bytes beyond a response, sent with it or later, must not
/// become the response to the next request.
#[tokio::test]
async fn stray_responses_do_not_reach_the_next_request() {
    const STRAY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    let together: &str = format!("{OK}{STRAY}").leak();
    for act in [Act::Write(together), Act::WriteLate(OK, STRAY)] {
        // The upstream closes its second connection, which tells that it has sent the stray bytes.
        let mut bench = Bench::start(4, &[act, Act::WriteAndClose(OK), Act::Write(OK)]).await;
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.connection().await, 1);
        bench.release();
        bench.clock.advance(1_001);
        bench.send(Method::POST, Bytes::new(), true, 5_000).await;
        assert_eq!(body(&bench.end().await), b"ok");
        assert_eq!(bench.connection().await, 2);
        assert_eq!(bench.closed().await, 2);
        assert_eq!(body(&bench.get().await), b"ok");
        assert_eq!(bench.connection().await, 3);
    }
}

/// Guards against a late response that reaches the next request.
#[tokio::test]
async fn a_late_response_has_no_reader() {
    const LATE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    let acts = [Act::Write(OK), Act::WriteLate("", LATE), Act::Write(OK)];
    let mut bench = Bench::start(4, &acts).await;
    assert_eq!(body(&bench.get().await), b"ok");
    bench.send(Method::GET, Bytes::new(), false, 50).await;
    let end = bench.end().await;
    let timed_out = FailureEvidence::MayHaveRun(UnknownReason::TimedOut);
    assert_eq!(evidence(&end), timed_out);
    assert_eq!(end.observation, Observation::TimedOut);
    bench.release();
    bench.clock.advance(1);
    assert_eq!(body(&bench.get().await), b"ok");
    let connections = [bench.connection().await, bench.connection().await];
    assert_eq!(connections, [1, 1]);
    assert_eq!(bench.connection().await, 2);
}

/// Guards against the use of idle connections, and of busy ones that end later, after a timeout on
/// another connection.
#[tokio::test]
async fn a_timeout_makes_all_open_connections_suspect() {
    let late = Act::WriteLate("", OK);
    let mut bench = Bench::start(4, &[late, late, Act::Silent, Act::Write(OK)]).await;
    for connection in 1..=2 {
        bench.send(Method::GET, Bytes::new(), false, 5_000).await;
        assert_eq!(bench.connection().await, connection);
    }
    bench.release();
    assert_eq!(body(&bench.end().await), b"ok");
    bench.clock.advance(1_001);
    bench.send(Method::POST, Bytes::new(), true, 50).await;
    assert_eq!(bench.connection().await, 3);
    let timed_out = FailureEvidence::MayHaveRun(UnknownReason::TimedOut);
    assert_eq!(evidence(&bench.end().await), timed_out);
    bench.release();
    assert_eq!(body(&bench.end().await), b"ok");
    bench.clock.advance(1);
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.connection().await, 4);
}

/// Guards against work that must not be repeated on a connection that may have gone silent since
/// its last response.
#[tokio::test]
async fn unproven_connections_get_no_work_that_must_not_be_repeated() {
    let mut bench = Bench::start(4, &[Act::Write(OK)]).await;
    let steps = [
        (0, true, 1),
        (1_000, true, 1),
        (1_001, false, 1),
        (1_001, true, 2),
    ];
    for (pause_ms, proven, connection) in steps {
        bench.clock.advance(pause_ms);
        bench.send(Method::POST, Bytes::new(), proven, 5_000).await;
        assert_eq!(body(&bench.end().await), b"ok");
        assert_eq!(bench.connection().await, connection);
    }
}

/// Guards against connections that are kept open for no work.
#[tokio::test]
async fn idle_connections_are_closed() {
    let mut bench = Bench::start(4, &[Act::Write(OK)]).await;
    assert_eq!(body(&bench.get().await), b"ok");
    bench.clock.advance(10_000);
    assert_eq!(bench.closed().await, 1);
}

/// Guards against more connections than are allowed, and against a queue inside the link.
#[tokio::test]
async fn the_connection_limit_holds() {
    let acts = [Act::WriteLate("", OK), Act::Write(OK)];
    let mut bench = Bench::start(1, &acts).await;
    bench.send(Method::GET, Bytes::new(), false, 5_000).await;
    assert_eq!(bench.connection().await, 1);
    let end = bench.get().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::Inconclusive);
    bench.tell(LinkMessage::AllowConnections(2)).await;
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.connection().await, 2);
    bench.tell(LinkMessage::AllowConnections(1)).await;
    assert_eq!(bench.closed().await, 2);
    bench.release();
    assert_eq!(body(&bench.end().await), b"ok");
}

/// Guards against a connection that is used again while the request before it is still being
/// written, so that the rest of the old body comes before the new request.
#[tokio::test]
async fn a_response_before_the_end_of_the_request_ends_the_connection() {
    let mut bench = Bench::start(4, &[Act::WriteEarly(OK), Act::Write(OK)]).await;
    let large = Bytes::from(vec![b'x'; 32 << 20]);
    bench.send(Method::POST, large, false, 5_000).await;
    assert_eq!(body(&bench.end().await), b"ok");
    assert_eq!(body(&bench.get().await), b"ok");
    assert_eq!(bench.connection().await, 1);
    assert_eq!(bench.connection().await, 2);
}

/// Guards against a refusal that is believed without proof, and one that is not believed although
/// its head is the proof.
#[tokio::test]
async fn only_the_stated_refusal_proves_that_a_request_was_not_run() {
    let denied = "HTTP/1.1 503 Busy\r\nx-not-run: false\r\ncontent-length: 0\r\n\r\n";
    let other = "HTTP/1.1 500 Error\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
    for text in [denied, other] {
        let mut bench = Bench::start(4, &[Act::Write(text)]).await;
        assert_eq!(body(&bench.get().await), b"");
    }
    let cut = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 9\r\n\r\nhalf";
    let large = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 99999\r\n\r\n";
    let undelimited = "HTTP/1.1 503 Busy\r\nx-not-run: true\r\n\r\n";
    for text in [cut, large, undelimited] {
        for act in [Act::Write(text), Act::WriteAndClose(text)] {
            let mut bench = Bench::start(4, &[act, Act::Write(OK)]).await;
            let end = bench.get().await;
            assert_eq!(evidence(&end), FailureEvidence::RefusedNotRun, "{text}");
            assert_eq!(end.observation, Observation::Overloaded);
            assert_eq!(body(&bench.get().await), b"ok");
        }
    }
}

/// Guards against a response limit that is not applied, by length or by count.
#[tokio::test]
async fn responses_over_the_limit_end_the_exchange() {
    let announced = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    let chunk = format!("3e9\r\n{}\r\n", "x".repeat(1_001));
    let counted = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    for text in [announced, counted.leak()] {
        let mut bench = Bench::start(4, &[Act::Write(text)]).await;
        let end = bench.get().await;
        assert!(matches!(end.result, ExchangeResult::ResponseTooLarge));
    }
}

/// Guards against a failed connect that is taken for a request that may have run.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let mut bench = Bench::start(4, &[Act::Silent]).await;
    bench.stop_upstream().await;
    let end = bench.get().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::ConnectFailed);
}

/// Guards against a request that is written after its deadline.
#[tokio::test]
async fn nothing_is_written_after_the_deadline() {
    let mut bench = Bench::start(4, &[Act::Write(OK)]).await;
    bench.send(Method::POST, Bytes::new(), false, 0).await;
    let end = bench.end().await;
    assert_eq!(evidence(&end), FailureEvidence::NothingWritten);
    assert_eq!(end.observation, Observation::Inconclusive);
}

/// Guards against a probe without an end, or one that passes for any answer.
#[tokio::test]
async fn probes_end_with_the_health_of_the_instance() {
    let ill = "HTTP/1.1 503 Ill\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        (Act::Write(OK), true),
        (Act::Write(ill), false),
        (Act::Silent, false),
    ];
    for (act, expected) in cases {
        let mut bench = Bench::start(4, &[act]).await;
        bench.tell(LinkMessage::Probe).await;
        match bench.message().await {
            Some(DispatchMessage::Probed { healthy, .. }) => assert_eq!(healthy, expected),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a retired link that cuts its exchanges: one in flight still ends with its
/// response, and then the link closes its connections and ends.
#[tokio::test]
async fn a_retired_link_finishes_its_exchanges() {
    let mut bench = Bench::start(4, &[Act::WriteLate("", OK)]).await;
    bench.send(Method::GET, Bytes::new(), false, 5_000).await;
    assert_eq!(bench.seen().await, Seen::Request { connection: 1 });
    bench.tell(LinkMessage::Retire).await;
    bench.release();
    assert_eq!(body(&bench.end().await), b"ok");
    assert_eq!(bench.closed().await, 1);
    assert!(bench.message().await.is_none(), "the link has ended");
}
