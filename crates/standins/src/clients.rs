//! Clients that put a load on a daemon, and the checks that hold for every reply under every fault.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::{Method, StatusCode};
use tokio::task::JoinSet;

use crate::harness::{DaemonReply, Harness};
use crate::upstream::Report;

/// What clients send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Start of the request ids.
    pub name: &'static str,
    /// Path on the daemon.
    pub path: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Clients at once.
    pub clients: usize,
    /// Requests of each client, one after the other.
    pub requests_per_client: usize,
    /// How long the upstream runs each.
    pub delay_ms: u64,
    /// How long a client waits for each.
    pub deadline_ms: u64,
}

/// A request and what became of it; `None` if the connection ended without a reply.
#[derive(Debug)]
pub struct Sent {
    /// Id of the request.
    pub id: String,
    /// The reply.
    pub reply: Option<DaemonReply>,
}

impl Sent {
    /// Status of the reply.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        self.reply.as_ref().map(|reply| reply.status)
    }

    /// Kind of the problem that the daemon replied, or empty.
    #[must_use]
    pub fn kind(&self) -> String {
        let reply = self.reply.as_ref().map(DaemonReply::json);
        let kind = reply.and_then(|json| json["kind"].as_str().map(str::to_owned));
        kind.unwrap_or_default()
    }
}

/// Starts the clients.
#[must_use]
pub fn start_load(harness: &Arc<Harness>, load: &Load) -> JoinSet<Vec<Sent>> {
    let mut clients = JoinSet::new();
    for client in 0..load.clients {
        let (harness, load) = (Arc::clone(harness), load.clone());
        clients.spawn(async move {
            let mut sent = Vec::new();
            for number in 0..load.requests_per_client {
                let id = format!("{}-{client}-{number}", load.name);
                sent.push(send(&harness, &load, id).await);
            }
            sent
        });
    }
    clients
}

async fn send(harness: &Harness, load: &Load, id: String) -> Sent {
    let delay = load.delay_ms.to_string();
    let deadline = load.deadline_ms.to_string();
    let headers = [
        ("x-request-id", id.as_str()),
        ("x-standin-delay-ms", delay.as_str()),
        ("x-deadline-ms", deadline.as_str()),
    ];
    let method = load.method.clone();
    let reply = harness.call(0, method, load.path, &headers, "").await;
    Sent { id, reply }
}

/// Waits for the clients.
///
/// # Panics
///
/// Panics when a client failed.
pub async fn finish(mut clients: JoinSet<Vec<Sent>>) -> Vec<Sent> {
    let mut all = Vec::new();
    while let Some(sent) = clients.join_next().await {
        all.extend(sent.expect("a client ends"));
    }
    all
}

/// Starts the clients and waits for them.
pub async fn run(harness: &Arc<Harness>, load: &Load) -> Vec<Sent> {
    finish(start_load(harness, load)).await
}

/// Reports of the harness's upstreams.
pub async fn reports(harness: &Harness) -> Vec<Report> {
    let mut reports = Vec::new();
    for upstream in &harness.upstreams {
        reports.push(upstream.report().await);
    }
    reports
}

/// Checks every reply against the upstreams' reports: a response belongs to its request and is
/// complete, "not run" is true, and a request that must not be repeated ran at most once.
///
/// # Panics
///
/// Panics when one of these does not hold.
pub fn check(sent: &[Sent], reports: &[Report], repeatable: bool) {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, count) in reports.iter().flat_map(|report| &report.runs) {
        *runs.entry(id).or_default() += count;
    }
    for request in sent {
        let id = request.id.as_str();
        let count = runs.get(id).copied().unwrap_or_default();
        assert!(repeatable || count <= 1, "{id} ran {count} times");
        let Some(reply) = &request.reply else {
            assert_eq!(count, 0, "{id} ran and its reply was cut");
            continue;
        };
        match reply.status {
            StatusCode::OK => assert_eq!(reply.json()["request_id"], id),
            StatusCode::INTERNAL_SERVER_ERROR => assert_eq!(reply.json()["failed"], true),
            StatusCode::SERVICE_UNAVAILABLE => {
                assert_eq!(request.kind(), "not_run", "{id}");
                assert_eq!(count, 0, "{id} was refused as not run, but it ran");
            }
            StatusCode::GATEWAY_TIMEOUT => assert_eq!(request.kind(), "outcome_unknown"),
            other => assert_eq!(other, StatusCode::OK, "{id}: {}", reply.json()),
        }
    }
}

/// Replies with a status.
#[must_use]
pub fn count(sent: &[Sent], status: StatusCode) -> usize {
    let with_status = |request: &&Sent| request.status() == Some(status);
    sent.iter().filter(with_status).count()
}
