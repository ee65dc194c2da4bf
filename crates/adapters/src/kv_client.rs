//! Implements the key-value port with a client of the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rosemaryscale_ports::kv::{
    KeyRange, KeyValue, KvCall, KvEntry, KvError, KvResult, Transaction, TransactionResult,
};
use rosemaryscale_ports::prelude::*;
use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};

use crate::http_client::{HttpClient, HttpError};

mod watch;
mod wire;

const CALL_QUEUE_CAPACITY: usize = 256;
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts the task of the client. It ends when every handle is dropped.
#[must_use]
pub fn start(address: SocketAddr, metrics: Metrics) -> (KeyValue, JoinHandle<()>) {
    let (handle, calls) = KeyValue::channel(CALL_QUEUE_CAPACITY);
    let client = KvClient {
        http: HttpClient::new(address, CALL_TIMEOUT),
        metrics,
    };
    (handle, tokio::spawn(run(client, calls)))
}

async fn run(client: KvClient, mut calls: mpsc::Receiver<KvCall>) {
    let mut in_flight = JoinSet::new();
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { break };
                let client = client.clone();
                in_flight.spawn(async move { client.execute(call).await });
            }
            Some(_) = in_flight.join_next() => {}
        }
    }
    in_flight.shutdown().await;
}

/// The connection to the gateway, shared by all calls.
#[derive(Clone)]
struct KvClient {
    http: HttpClient,
    metrics: Metrics,
}

impl KvClient {
    async fn execute(&self, call: KvCall) {
        match call {
            KvCall::Range { range, reply } => {
                let _ = reply.send(self.range(&range).await.map(|(_, entries)| entries));
            }
            KvCall::Transact { transaction, reply } => {
                let _ = reply.send(self.transact(&transaction).await);
            }
            KvCall::Grant { ttl_ms, reply } => {
                let _ = reply.send(self.grant(ttl_ms).await);
            }
            KvCall::KeepAlive { lease, reply } => {
                let _ = reply.send(self.keep_alive(lease).await);
            }
            KvCall::Revoke { lease, reply } => {
                let result = self.post("/v3/lease/revoke", &wire::lease(lease)).await;
                let _ = reply.send(result.map(|_| ()));
            }
            KvCall::Watch { range, events, .. } => watch::run(self, &range, events).await,
        }
    }

    async fn range(&self, range: &KeyRange) -> KvResult<(u64, Vec<KvEntry>)> {
        let reply = self.post("/v3/kv/range", &wire::range(range)).await?;
        Ok((wire::revision(&reply), wire::entries(&reply)?))
    }

    async fn transact(&self, transaction: &Transaction) -> KvResult<TransactionResult> {
        let reply = self
            .post("/v3/kv/txn", &wire::transaction(transaction))
            .await?;
        let succeeded = reply
            .get("succeeded")
            .and_then(Value::as_bool)
            .unwrap_or(false);
        Ok(TransactionResult {
            succeeded,
            revision: wire::revision(&reply),
        })
    }

    async fn grant(&self, ttl_ms: u64) -> KvResult<u64> {
        let reply = self.post("/v3/lease/grant", &wire::grant(ttl_ms)).await?;
        match wire::number(&reply, "ID") {
            0 => Err(KvError::Rejected {
                reason: "the reply names no lease".into(),
            }),
            lease => Ok(lease),
        }
    }

    async fn keep_alive(&self, lease: u64) -> KvResult<()> {
        let reply = self
            .post("/v3/lease/keepalive", &wire::lease(lease))
            .await?;
        let renewed = reply
            .get("result")
            .is_some_and(|result| wire::number(result, "TTL") > 0);
        if renewed {
            Ok(())
        } else {
            Err(KvError::LeaseExpired { lease })
        }
    }

    async fn post(&self, path: &str, body: &Value) -> KvResult<Value> {
        self.metrics.count("platform.calls", 1);
        let body = Bytes::from(body.to_string());
        let reply = match self.http.call(Method::POST, path, body).await {
            Ok(reply) => reply,
            Err(error) => {
                self.metrics.count("platform.failures", 1);
                return Err(kv_error(error));
            }
        };
        let value: Value =
            serde_json::from_slice(&reply.body).map_err(|error| KvError::OutcomeUnknown {
                reason: format!("the reply is not JSON: {error}"),
            })?;
        if reply.status.is_success() {
            return Ok(value);
        }
        let text = value
            .get("message")
            .and_then(Value::as_str)
            .unwrap_or("no message");
        let reason = format!("status {}: {text}", reply.status);
        if reply.status.is_server_error() {
            Err(KvError::OutcomeUnknown { reason })
        } else {
            Err(KvError::Rejected { reason })
        }
    }
}

fn kv_error(error: HttpError) -> KvError {
    match error {
        HttpError::NotConnected { reason } | HttpError::NotListening { reason } => {
            KvError::Unavailable { reason }
        }
        HttpError::NoReply { reason, .. } => KvError::OutcomeUnknown { reason },
    }
}

/// Converts a key to text.
fn key_from_bytes(bytes: Vec<u8>) -> KvResult<Arc<str>> {
    String::from_utf8(bytes)
        .map(Into::into)
        .map_err(|_| KvError::Rejected {
            reason: "a key is not UTF-8".into(),
        })
}
