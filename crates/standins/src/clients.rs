//! Clients that generate load on a daemon, and assertions on replies that hold under every fault.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::{Method, StatusCode};
use tokio::task::JoinSet;

use crate::harness::{DaemonReply, Harness};
use crate::upstream::UpstreamStats;

/// Load that a set of clients generates.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// Prefix of the request ids.
    pub name: &'static str,
    /// Request path on the daemon.
    pub path: &'static str,
    /// Request method.
    pub method: Method,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Number of sequential requests of each client.
    pub requests_per_client: usize,
    /// Execution time of each request on the upstream.
    pub delay_ms: u64,
    /// Deadline of each request, sent as `x-deadline-ms`.
    pub deadline_ms: u64,
}

/// A request that a client sent, and its reply.
#[derive(Debug)]
pub struct SentRequest {
    /// Id of the request.
    pub id: String,
    /// The reply; `None` if no complete one arrived.
    pub reply: Option<DaemonReply>,
}

impl SentRequest {
    /// Status of the reply.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        self.reply.as_ref().map(|reply| reply.status)
    }

    /// Kind of the problem that the daemon reported; empty if there is none.
    #[must_use]
    pub fn kind(&self) -> String {
        let reply = self.reply.as_ref().map(DaemonReply::json);
        let kind = reply.and_then(|json| json["kind"].as_str().map(str::to_owned));
        kind.unwrap_or_default()
    }
}

/// Starts the clients in the background.
#[must_use]
pub fn start_load(harness: &Arc<Harness>, load: &ClientLoad) -> JoinSet<Vec<SentRequest>> {
    let mut clients = JoinSet::new();
    for client in 0..load.clients {
        let (harness, load) = (Arc::clone(harness), load.clone());
        clients.spawn(async move {
            let mut sent = Vec::new();
            for number in 0..load.requests_per_client {
                let id = format!("{}-{client}-{number}", load.name);
                sent.push(send_request(&harness, &load, id).await);
            }
            sent
        });
    }
    clients
}

async fn send_request(harness: &Harness, load: &ClientLoad, id: String) -> SentRequest {
    let delay = load.delay_ms.to_string();
    let deadline = load.deadline_ms.to_string();
    let headers = [
        ("x-request-id", id.as_str()),
        ("x-standin-delay-ms", delay.as_str()),
        ("x-deadline-ms", deadline.as_str()),
    ];
    let method = load.method.clone();
    let reply = harness
        .call_caller_api(0, method, load.path, &headers, "")
        .await;
    SentRequest { id, reply }
}

/// Waits for the clients and returns their requests.
///
/// # Panics
///
/// Panics when a client task panicked.
pub async fn join_clients(mut clients: JoinSet<Vec<SentRequest>>) -> Vec<SentRequest> {
    let mut all_sent = Vec::new();
    while let Some(sent) = clients.join_next().await {
        all_sent.extend(sent.expect("a client task does not panic"));
    }
    all_sent
}

/// Runs the clients to completion.
pub async fn run_load(harness: &Arc<Harness>, load: &ClientLoad) -> Vec<SentRequest> {
    join_clients(start_load(harness, load)).await
}

/// Returns the report of each upstream of a harness.
pub async fn upstream_reports(harness: &Harness) -> Vec<UpstreamStats> {
    let mut reports = Vec::new();
    for upstream in &harness.upstreams {
        reports.push(upstream.report().await);
    }
    reports
}

/// Asserts that every reply agrees with the reports of the upstreams: a response belongs to its
/// request and is complete, a request that was reported as `not_run` was not executed, and a
/// request that must not be repeated was executed at most once.
///
/// # Panics
///
/// Panics when one of these assertions fails.
pub fn assert_replies_match_reports(
    sent: &[SentRequest],
    reports: &[UpstreamStats],
    repeatable: bool,
) {
    let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, count) in reports.iter().flat_map(|report| &report.runs) {
        *executions.entry(id).or_default() += count;
    }
    for request in sent {
        let id = request.id.as_str();
        let count = executions.get(id).copied().unwrap_or_default();
        assert!(repeatable || count <= 1, "{id} was executed {count} times");
        let Some(reply) = &request.reply else {
            assert_eq!(count, 0, "{id} was executed and its reply was lost");
            continue;
        };
        match reply.status {
            StatusCode::OK => assert_eq!(reply.json()["request_id"], id),
            StatusCode::INTERNAL_SERVER_ERROR => assert_eq!(reply.json()["failed"], true),
            StatusCode::SERVICE_UNAVAILABLE => {
                assert_eq!(request.kind(), "not_run", "{id}");
                assert_eq!(
                    count, 0,
                    "{id} was reported as not run, but it was executed"
                );
            }
            StatusCode::GATEWAY_TIMEOUT => assert_eq!(request.kind(), "outcome_unknown"),
            other => assert_eq!(other, StatusCode::OK, "{id}: {}", reply.json()),
        }
    }
}

/// Counts the replies with a status.
#[must_use]
pub fn count_status(sent: &[SentRequest], status: StatusCode) -> usize {
    let has_status = |request: &&SentRequest| request.status() == Some(status);
    sent.iter().filter(has_status).count()
}
