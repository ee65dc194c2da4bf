//! The platform stand-in: a key-value store and an instance list.
//!
//! In addition to the calls of the platform it serves `PUT /standin/faults`,
//! `PUT /standin/instances` and `GET /standin/stats`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::faults::Faults;
use crate::http_server::{HttpServer, Reply, full_body, json_response};
use crate::store::{Store, StoreError};

const COMMAND_QUEUE_CAPACITY: usize = 1_024;
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Counters of the calls to the platform stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Calls that modify state.
    pub writes: u64,
    /// Range reads.
    pub reads: u64,
    /// Watches started.
    pub watches_started: u64,
    /// Watches currently open.
    pub watches_waiting: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
}

enum Command {
    Call {
        path: String,
        body: Value,
        reply: oneshot::Sender<CallReply>,
    },
    Watch {
        body: Value,
        reply: oneshot::Sender<Result<WatchReply, StoreError>>,
    },
    ListInstances {
        reply: oneshot::Sender<Result<(Value, u64), ReplyFault>>,
    },
    Write {
        body: Value,
    },
    SetInstances {
        instances: Value,
    },
    SetFaults {
        faults: Faults,
    },
    Stats {
        reply: oneshot::Sender<Stats>,
    },
}

struct WatchReply {
    fault: Option<ReplyFault>,
    events: mpsc::UnboundedReceiver<Value>,
}

struct CallReply {
    fault: Option<ReplyFault>,
    delay: Duration,
    result: Result<Value, StoreError>,
}

/// Fault that leaves a call without a reply.
enum ReplyFault {
    CloseConnection,
    Unresponsive,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts the stand-in; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let handler_commands = commands.clone();
        let server = HttpServer::start(address, move |_, request| {
            handle(handler_commands.clone(), request)
        })
        .await?;
        let task = tokio::spawn(run_state_task(receiver));
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

    /// Writes a key, or deletes it if there is no value, regardless of the injected faults.
    pub async fn write(&self, key: &str, value: Option<&str>) {
        let key = STANDARD.encode(key);
        let operation = value.map_or_else(
            || json!({"request_delete_range": {"key": key}}),
            |value| json!({"request_put": {"key": key, "value": STANDARD.encode(value)}}),
        );
        let body = json!({"compare": [], "success": [operation], "failure": []});
        let _ = self.commands.send(Command::Write { body }).await;
    }

    /// Replaces the instance list.
    pub async fn set_instances(&self, instances: Value) {
        let _ = self
            .commands
            .send(Command::SetInstances { instances })
            .await;
    }

    /// Returns the counters.
    pub async fn stats(&self) -> Stats {
        let (reply, stats) = oneshot::channel();
        let _ = self.commands.send(Command::Stats { reply }).await;
        stats.await.unwrap_or_default()
    }

    /// Stops the stand-in.
    pub async fn stop(self) {
        self.server.stop().await;
        drop(self.commands);
        let _ = self.task.await;
    }
}

struct State {
    store: Store,
    instances: Value,
    instances_version: u64,
    faults: Faults,
    stats: Stats,
}

async fn run_state_task(mut commands: mpsc::Receiver<Command>) {
    let mut state = State {
        store: Store::default(),
        instances: json!([]),
        instances_version: 0,
        faults: Faults::default(),
        stats: Stats::default(),
    };
    let mut lease_expiry = tokio::time::interval(LEASE_EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => state.handle_command(command),
                None => return,
            },
            _ = lease_expiry.tick() => {
                if state.faults.down || state.faults.silent {
                    state.store.extend_leases(Instant::now());
                } else {
                    state.store.expire(Instant::now());
                }
            }
        }
    }
}

impl State {
    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Call { path, body, reply } => {
                let _ = reply.send(self.call(&path, &body));
            }
            Command::Watch { body, reply } => {
                self.stats.watches_started += 1;
                let fault = self.reply_fault();
                let events = self.store.watch(&body);
                let _ = reply.send(events.map(|events| WatchReply { fault, events }));
            }
            Command::ListInstances { reply } => {
                self.stats.list_reads += 1;
                let instances = || Ok((self.instances.clone(), self.instances_version));
                let result = self.reply_fault().map_or_else(instances, Err);
                let _ = reply.send(result);
            }
            Command::Write { body } => {
                let result = self.store.call("/v3/kv/txn", &body, Instant::now());
                result.expect("the transaction is well-formed");
            }
            Command::SetInstances { instances } => {
                self.instances = instances;
                self.instances_version += 1;
            }
            Command::SetFaults { faults } => {
                if faults.silence_watches {
                    self.store.stall_watches();
                }
                self.store.set_withhold_changes(faults.withhold_changes);
                self.faults = faults;
            }
            Command::Stats { reply } => {
                self.stats.watches_waiting = self.store.watch_count() as u64;
                let _ = reply.send(self.stats);
            }
        }
    }

    fn reply_fault(&self) -> Option<ReplyFault> {
        if self.faults.down {
            Some(ReplyFault::CloseConnection)
        } else if self.faults.silent {
            Some(ReplyFault::Unresponsive)
        } else {
            None
        }
    }

    fn call(&mut self, path: &str, body: &Value) -> CallReply {
        let delay = Duration::from_millis(self.faults.delay_ms);
        if let Some(fault) = self.reply_fault() {
            return CallReply {
                fault: Some(fault),
                delay,
                result: Ok(Value::Null),
            };
        }
        let is_write = path != "/v3/kv/range";
        if is_write {
            self.stats.writes += 1;
        } else {
            self.stats.reads += 1;
        }
        let result = self.store.call(path, body, Instant::now());
        let mut fault = None;
        if is_write && self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            fault = Some(ReplyFault::CloseConnection);
        }
        CallReply {
            fault,
            delay,
            result,
        }
    }
}

async fn handle(commands: mpsc::Sender<Command>, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let known_etag = request.headers().get(IF_NONE_MATCH);
    let known_etag = known_etag
        .and_then(|tag| tag.to_str().ok())
        .map(str::to_owned);
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = if body.is_empty() {
        Value::Null
    } else {
        match serde_json::from_slice(&body) {
            Ok(body) => body,
            Err(error) => return Some(bad_request_response(&error.to_string())),
        }
    };
    match (method, path.as_str()) {
        (Method::GET, "/v1/instances") => {
            let (reply, list) = oneshot::channel();
            commands.send(Command::ListInstances { reply }).await.ok()?;
            match list.await.ok()? {
                Ok((list, version)) => {
                    Some(instances_response(&list, version, known_etag.as_deref()))
                }
                Err(fault) => leave_unanswered(fault).await,
            }
        }
        (Method::GET, "/standin/stats") => {
            let (reply, stats) = oneshot::channel();
            commands.send(Command::Stats { reply }).await.ok()?;
            Some(json_response(StatusCode::OK, &stats.await.ok()?))
        }
        (Method::PUT, "/standin/instances") => {
            commands
                .send(Command::SetInstances { instances: body })
                .await
                .ok()?;
            Some(json_response(StatusCode::OK, &json!({})))
        }
        (Method::PUT, "/standin/faults") => match serde_json::from_value(body) {
            Ok(faults) => {
                commands.send(Command::SetFaults { faults }).await.ok()?;
                Some(json_response(StatusCode::OK, &json!({})))
            }
            Err(error) => Some(bad_request_response(&error.to_string())),
        },
        (Method::POST, "/v3/watch") => handle_watch(commands, body).await,
        (Method::POST, _) => handle_call(commands, path, body).await,
        _ => Some(json_response(
            StatusCode::NOT_FOUND,
            &json!({"message": "unknown path"}),
        )),
    }
}

async fn handle_call(commands: mpsc::Sender<Command>, path: String, body: Value) -> Reply {
    let (reply, result) = oneshot::channel();
    commands
        .send(Command::Call { path, body, reply })
        .await
        .ok()?;
    let CallReply {
        fault,
        delay,
        result,
    } = result.await.ok()?;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match (fault, result) {
        (Some(fault), _) => leave_unanswered(fault).await,
        (None, Ok(body)) => Some(json_response(StatusCode::OK, &body)),
        (None, Err(error)) => Some(store_error_response(&error)),
    }
}

async fn handle_watch(commands: mpsc::Sender<Command>, body: Value) -> Reply {
    let (reply, events) = oneshot::channel();
    commands.send(Command::Watch { body, reply }).await.ok()?;
    let watch = match events.await.ok()? {
        Ok(watch) => watch,
        Err(error) => return Some(store_error_response(&error)),
    };
    if let Some(fault) = watch.fault {
        return leave_unanswered(fault).await;
    }
    let stream = StreamBody::new(EventStream {
        events: watch.events,
    });
    Some(http::Response::new(BodyExt::boxed(stream)))
}

/// Body stream with one line of JSON for each event.
struct EventStream {
    events: mpsc::UnboundedReceiver<Value>,
}

impl futures_core::Stream for EventStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let event = self.events.poll_recv(context);
        event.map(|event| event.map(|event| Ok(Frame::data(Bytes::from(format!("{event}\n"))))))
    }
}

async fn leave_unanswered(fault: ReplyFault) -> Reply {
    match fault {
        ReplyFault::CloseConnection => None,
        ReplyFault::Unresponsive => std::future::pending().await,
    }
}

fn store_error_response(error: &StoreError) -> http::Response<crate::http_server::ReplyBody> {
    let body = json!({"error": error.message, "code": error.code, "message": error.message});
    json_response(StatusCode::BAD_REQUEST, &body)
}

/// Returns the instance list, or status 304 if the client already has this version.
fn instances_response(
    list: &Value,
    version: u64,
    known_etag: Option<&str>,
) -> http::Response<crate::http_server::ReplyBody> {
    let etag = format!("\"{version}\"");
    let mut response = if known_etag == Some(etag.as_str()) {
        let mut response = http::Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        response
    } else {
        json_response(StatusCode::OK, list)
    };
    if let Ok(etag) = etag.parse() {
        response.headers_mut().insert(ETAG, etag);
    }
    response
}

fn bad_request_response(reason: &str) -> http::Response<crate::http_server::ReplyBody> {
    json_response(StatusCode::BAD_REQUEST, &json!({"message": reason}))
}
