//! The upstream stand-in: a service instance with a limited number of slots.
//!
//! It echoes requests and also serves `PUT /standin/faults` and `GET /standin/report`. The
//! `x-standin-delay-ms` header of a request sets its execution time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};

use crate::faults::Faults;
use crate::http_server::{
    ConnectionNumber, HttpServer, Reply, ReplyBody, full_body, json_response,
};

const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Options of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Instance name, contained in every response.
    pub name: String,
    /// Number of requests executed concurrently; further ones are refused with `x-not-run`.
    pub slots: u32,
    /// Execution time of a request without an `x-standin-delay-ms` header.
    pub default_delay: Duration,
}

/// Counters of an upstream stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStats {
    /// Requests executed.
    pub executed: u64,
    /// Requests refused because all slots were busy.
    pub refused: u64,
    /// Requests currently in execution.
    pub busy: u32,
    /// Highest number of requests in execution at the same time.
    pub busy_max: u32,
    /// Connections opened.
    pub connections: u64,
    /// Number of executions by `idempotency-key`, or by `x-request-id` if there is none.
    pub runs: BTreeMap<String, u32>,
}

enum Command {
    Execute {
        connection: ConnectionNumber,
        request_key: String,
        delay: Duration,
        reply: oneshot::Sender<Admission>,
    },
    SetFaults {
        faults: Faults,
    },
    Report {
        reply: oneshot::Sender<UpstreamStats>,
    },
}

/// Decision about a request.
enum Admission {
    Run {
        faults: Faults,
        finished: oneshot::Receiver<()>,
    },
    Refused,
    Unresponsive,
    Close,
}

/// A running upstream stand-in.
#[derive(Debug)]
pub struct Upstream {
    server: HttpServer,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

impl Upstream {
    /// Starts the stand-in; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(address: SocketAddr, options: UpstreamOptions) -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let handler_commands = commands.clone();
        let handler_options = options.clone();
        let server = HttpServer::start(address, move |connection, request| {
            handle(
                handler_commands.clone(),
                handler_options.clone(),
                connection,
                request,
            )
        })
        .await?;
        let task = tokio::spawn(run_state_task(receiver, options.slots));
        Ok(Self {
            server,
            commands,
            task,
        })
    }

    /// Address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub async fn set_faults(&self, faults: Faults) {
        let _ = self.commands.send(Command::SetFaults { faults }).await;
    }

    /// Returns the counters.
    pub async fn report(&self) -> UpstreamStats {
        let (reply, report) = oneshot::channel();
        let _ = self.commands.send(Command::Report { reply }).await;
        report.await.unwrap_or_default()
    }

    /// Aborts every connection, stops the stand-in and returns the final counters.
    pub async fn stop(self) -> UpstreamStats {
        self.server.stop().await;
        let (reply, report) = oneshot::channel();
        let _ = self.commands.send(Command::Report { reply }).await;
        let report = report.await.unwrap_or_default();
        drop(self.commands);
        let _ = self.task.await;
        report
    }
}

async fn run_state_task(mut commands: mpsc::Receiver<Command>, slots: u32) {
    let mut report = UpstreamStats::default();
    let mut faults = Faults::default();
    let mut busy = 0;
    let mut newest_connection = ConnectionNumber(0);
    let mut unresponsive_up_to = ConnectionNumber(0);
    // An execution continues when its caller disconnects, as in a service that does not detect it.
    let mut executions = JoinSet::new();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            Some(_) = executions.join_next() => {
                busy -= 1;
                continue;
            }
        };
        let Some(command) = command else { break };
        match command {
            Command::Execute {
                connection,
                request_key,
                delay,
                reply,
            } => {
                newest_connection = newest_connection.max(connection);
                report.connections = newest_connection.0;
                let admission = if faults.down {
                    Admission::Close
                } else if faults.silent || connection <= unresponsive_up_to {
                    Admission::Unresponsive
                } else if busy >= slots {
                    report.refused += 1;
                    Admission::Refused
                } else {
                    busy += 1;
                    report.busy_max = report.busy_max.max(busy);
                    report.executed += 1;
                    *report.runs.entry(request_key).or_default() += 1;
                    let (finish, finished) = oneshot::channel();
                    let delay = delay + Duration::from_millis(faults.delay_ms);
                    executions.spawn(async move {
                        // The timer rounds up to 1 ms, so even a zero sleep would take that long.
                        if !delay.is_zero() {
                            tokio::time::sleep(delay).await;
                        }
                        let _ = finish.send(());
                    });
                    let faults = faults.clone();
                    Admission::Run { faults, finished }
                };
                let _ = reply.send(admission);
            }
            Command::SetFaults { faults: new_faults } => {
                if new_faults.silence_open {
                    unresponsive_up_to = newest_connection;
                }
                faults = new_faults;
            }
            Command::Report { reply } => {
                let _ = reply.send(UpstreamStats {
                    busy,
                    ..report.clone()
                });
            }
        }
    }
    executions.shutdown().await;
}

async fn handle(
    commands: mpsc::Sender<Command>,
    options: UpstreamOptions,
    connection: ConnectionNumber,
    request: Request<Incoming>,
) -> Reply {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    match (head.method.clone(), head.uri.path()) {
        (Method::GET, "/standin/report") => {
            let (reply, report) = oneshot::channel();
            commands.send(Command::Report { reply }).await.ok()?;
            return Some(json_response(StatusCode::OK, &report.await.ok()?));
        }
        (Method::PUT, "/standin/faults") => {
            return match serde_json::from_slice(&body) {
                Ok(faults) => {
                    commands.send(Command::SetFaults { faults }).await.ok()?;
                    Some(json_response(StatusCode::OK, &json!({})))
                }
                Err(error) => {
                    let reason = json!({"message": error.to_string()});
                    Some(json_response(StatusCode::BAD_REQUEST, &reason))
                }
            };
        }
        _ => {}
    }
    if head.uri.path() == "/health" {
        return Some(json_response(StatusCode::OK, &json!({"healthy": true})));
    }
    let request_key = header_text(&head.headers, "idempotency-key")
        .or_else(|| header_text(&head.headers, "x-request-id"))
        .unwrap_or_default();
    let delay = header_text(&head.headers, "x-standin-delay-ms")
        .and_then(|text| text.parse().ok())
        .map_or(options.default_delay, Duration::from_millis);
    let (reply, admission) = oneshot::channel();
    commands
        .send(Command::Execute {
            connection,
            request_key,
            delay,
            reply,
        })
        .await
        .ok()?;
    let (faults, finished) = match admission.await.ok()? {
        Admission::Run { faults, finished } => (faults, finished),
        Admission::Refused => return Some(refused_response()),
        Admission::Unresponsive => return std::future::pending().await,
        Admission::Close => return None,
    };
    let _ = finished.await;
    if faults.fail {
        return Some(json_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            &json!({"failed": true}),
        ));
    }
    let echo = json!({
        "instance": options.name,
        "method": head.method.as_str(),
        "path": head.uri.to_string(),
        "request_id": header_text(&head.headers, "x-request-id"),
        "body": String::from_utf8_lossy(&body),
    });
    if faults.truncate {
        return Some(truncated_response(&echo.to_string()));
    }
    Some(json_response(StatusCode::OK, &echo))
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

fn refused_response() -> Response<ReplyBody> {
    let mut response = Response::new(full_body(Bytes::from_static(b"all slots are busy")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert("x-not-run", http::HeaderValue::from_static("true"));
    response
}

/// Builds a response that declares the length of the whole text but ends after half of it.
fn truncated_response(text: &str) -> Response<ReplyBody> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let frames = [
        Ok(Frame::data(half)),
        Err(std::io::Error::other("truncated by an injected fault")),
    ];
    let body = StreamBody::new(FrameStream {
        frames: frames.into_iter(),
    });
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(
        http::header::CONTENT_LENGTH,
        http::HeaderValue::from(text.len() as u64),
    );
    response
}

struct FrameStream<I> {
    frames: I,
}

impl<I: Iterator + Unpin> futures_core::Stream for FrameStream<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<I::Item>> {
        std::task::Poll::Ready(self.frames.next())
    }
}
