//! The upstream stand-in: an instance with a limited number of slots.
//!
//! Besides requests it serves `PUT /standin/faults` and `GET /standin/report`. A request's
//! `x-standin-delay-ms` header sets how long it runs.

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
    ConnectionNumber, HttpServer, Reply, ReplyBody, full, json as json_reply,
};

const COMMANDS: usize = 1_024;

/// Settings of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name that responses carry.
    pub name: String,
    /// Requests executed at once; more are refused with `x-not-run`.
    pub slots: u32,
    /// How long a request runs if it does not say.
    pub default_delay: Duration,
}

/// What the stand-in has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Requests executed.
    pub executed: u64,
    /// Requests refused because all slots were busy.
    pub refused: u64,
    /// Requests in execution now.
    pub busy: u32,
    /// Most requests in execution at once.
    pub busy_max: u32,
    /// Connections opened.
    pub connections: u64,
    /// Executions by `idempotency-key`, or by `x-request-id` where there is none.
    pub runs: BTreeMap<String, u32>,
}

enum Command {
    Start {
        connection: ConnectionNumber,
        run: String,
        delay: Duration,
        reply: oneshot::Sender<Start>,
    },
    SetFaults {
        faults: Faults,
    },
    Report {
        reply: oneshot::Sender<Report>,
    },
}

enum Start {
    Run {
        faults: Faults,
        finished: oneshot::Receiver<()>,
    },
    Refused,
    Silent,
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
        let (commands, receiver) = mpsc::channel(COMMANDS);
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
        let task = tokio::spawn(serve(receiver, options.slots));
        Ok(Self {
            server,
            commands,
            task,
        })
    }

    /// Where the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults in force.
    pub async fn set_faults(&self, faults: Faults) {
        let _ = self.commands.send(Command::SetFaults { faults }).await;
    }

    /// Reads the report.
    pub async fn report(&self) -> Report {
        let (reply, report) = oneshot::channel();
        let _ = self.commands.send(Command::Report { reply }).await;
        report.await.unwrap_or_default()
    }

    /// Closes every connection, whatever it carries, and stops. Returns the last report.
    pub async fn stop(self) -> Report {
        self.server.stop().await;
        let (reply, report) = oneshot::channel();
        let _ = self.commands.send(Command::Report { reply }).await;
        let report = report.await.unwrap_or_default();
        drop(self.commands);
        let _ = self.task.await;
        report
    }
}

async fn serve(mut commands: mpsc::Receiver<Command>, slots: u32) {
    let mut report = Report::default();
    let mut faults = Faults::default();
    let mut busy = 0;
    let mut newest = ConnectionNumber(0);
    let mut silent_up_to = ConnectionNumber(0);
    // The work goes on when the caller goes away, as in a service that does not notice it.
    let mut work = JoinSet::new();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            Some(_) = work.join_next() => {
                busy -= 1;
                continue;
            }
        };
        let Some(command) = command else { break };
        match command {
            Command::Start {
                connection,
                run,
                delay,
                reply,
            } => {
                newest = newest.max(connection);
                report.connections = newest.0;
                let start = if faults.down {
                    Start::Close
                } else if faults.silent || connection <= silent_up_to {
                    Start::Silent
                } else if busy >= slots {
                    report.refused += 1;
                    Start::Refused
                } else {
                    busy += 1;
                    report.busy_max = report.busy_max.max(busy);
                    report.executed += 1;
                    *report.runs.entry(run).or_default() += 1;
                    let (finish, finished) = oneshot::channel();
                    let delay = delay + Duration::from_millis(faults.delay_ms);
                    work.spawn(async move {
                        // The timer rounds up to a millisecond, so a sleep of zero time would take one.
                        if !delay.is_zero() {
                            tokio::time::sleep(delay).await;
                        }
                        let _ = finish.send(());
                    });
                    let faults = faults.clone();
                    Start::Run { faults, finished }
                };
                let _ = reply.send(start);
            }
            Command::SetFaults { faults: new } => {
                if new.silence_open {
                    silent_up_to = newest;
                }
                faults = new;
            }
            Command::Report { reply } => {
                let _ = reply.send(Report {
                    busy,
                    ..report.clone()
                });
            }
        }
    }
    work.shutdown().await;
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
            return Some(json_reply(StatusCode::OK, &report.await.ok()?));
        }
        (Method::PUT, "/standin/faults") => {
            return match serde_json::from_slice(&body) {
                Ok(faults) => {
                    commands.send(Command::SetFaults { faults }).await.ok()?;
                    Some(json_reply(StatusCode::OK, &json!({})))
                }
                Err(error) => {
                    let reason = json!({"message": error.to_string()});
                    Some(json_reply(StatusCode::BAD_REQUEST, &reason))
                }
            };
        }
        _ => {}
    }
    if head.uri.path() == "/health" {
        return Some(json_reply(StatusCode::OK, &json!({"healthy": true})));
    }
    let run = header(&head.headers, "idempotency-key")
        .or_else(|| header(&head.headers, "x-request-id"))
        .unwrap_or_default();
    let delay = header(&head.headers, "x-standin-delay-ms")
        .and_then(|text| text.parse().ok())
        .map_or(options.default_delay, Duration::from_millis);
    let (reply, start) = oneshot::channel();
    commands
        .send(Command::Start {
            connection,
            run,
            delay,
            reply,
        })
        .await
        .ok()?;
    let (faults, finished) = match start.await.ok()? {
        Start::Run { faults, finished } => (faults, finished),
        Start::Refused => return Some(refused()),
        Start::Silent => return std::future::pending().await,
        Start::Close => return None,
    };
    let _ = finished.await;
    if faults.fail {
        return Some(json_reply(
            StatusCode::INTERNAL_SERVER_ERROR,
            &json!({"failed": true}),
        ));
    }
    let answer = json!({
        "instance": options.name,
        "method": head.method.as_str(),
        "path": head.uri.to_string(),
        "request_id": header(&head.headers, "x-request-id"),
        "body": String::from_utf8_lossy(&body),
    });
    if faults.truncate {
        return Some(truncated(&answer.to_string()));
    }
    Some(json_reply(StatusCode::OK, &answer))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

fn refused() -> Response<ReplyBody> {
    let mut response = Response::new(full(Bytes::from_static(b"all slots are busy")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert("x-not-run", http::HeaderValue::from_static("true"));
    response
}

/// Announces the whole text and sends half of it.
fn truncated(text: &str) -> Response<ReplyBody> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let frames = [
        Ok(Frame::data(half)),
        Err(std::io::Error::other("cut by a fault")),
    ];
    let body = StreamBody::new(Frames {
        frames: frames.into_iter(),
    });
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(
        http::header::CONTENT_LENGTH,
        http::HeaderValue::from(text.len() as u64),
    );
    response
}

struct Frames<I> {
    frames: I,
}

impl<I: Iterator + Unpin> futures_core::Stream for Frames<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<I::Item>> {
        std::task::Poll::Ready(self.frames.next())
    }
}
