//! The loop of a watch: reads a snapshot, streams the changes after it, and starts over whenever
//! changes may have been missed.

use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rosemaryscale_ports::kv::{KeyRange, KvResult, WatchEvent};
use rosemaryscale_ports::prelude::*;
use serde_json::Value;
use tokio::time::Instant;

use super::{KvClient, wire};
use crate::http_client::HttpError;

/// A watch is reopened after this time, so that an unresponsive connection delays a change by at
/// most this time.
const REOPEN_INTERVAL: Duration = Duration::from_secs(6);
/// Time without a byte after which a line that has begun to arrive is given up. A thin link may need longer than the
/// interval above for a line.
const LINE_PAUSE: Duration = Duration::from_secs(1);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(2);
/// A line of the reply contains changed values of up to 1 MB each, encoded in base64.
const LINE_MAX_BYTES: usize = 32 << 20;

/// Runs a watch until the receiver of its events is dropped.
pub(super) async fn run(client: &KvClient, range: &KeyRange, events: mpsc::Sender<WatchEvent>) {
    let mut retry = RETRY_MIN;
    while !events.is_closed() {
        let failure = match snapshot_and_stream(client, range, &events).await {
            Ok(()) => {
                retry = RETRY_MIN;
                continue;
            }
            Err(error) => error.to_string(),
        };
        if events
            .send(WatchEvent::Disconnected { reason: failure })
            .await
            .is_err()
        {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(retry) => {}
            () = events.closed() => return,
        }
        retry = (retry * 2).min(RETRY_MAX);
    }
}

async fn snapshot_and_stream(
    client: &KvClient,
    range: &KeyRange,
    events: &mpsc::Sender<WatchEvent>,
) -> KvResult<()> {
    let (mut revision, entries) = client.range(range).await?;
    if events
        .send(WatchEvent::Snapshot { revision, entries })
        .await
        .is_err()
    {
        return Ok(());
    }
    loop {
        let end = stream_changes(client, range, revision, events).await?;
        match end {
            StreamEnd::Reopen(newest) => revision = newest,
            StreamEnd::Compacted | StreamEnd::Closed => return Ok(()),
        }
    }
}

/// Why a watch call ended.
enum StreamEnd {
    /// The time to reopen the watch was reached; the next call starts after this revision.
    Reopen(u64),
    /// The store has compacted the requested revisions; a new snapshot is required.
    Compacted,
    /// The receiver of the events was dropped.
    Closed,
}

async fn stream_changes(
    client: &KvClient,
    range: &KeyRange,
    mut revision: u64,
    events: &mpsc::Sender<WatchEvent>,
) -> KvResult<StreamEnd> {
    client.metrics.count("platform.watches", 1);
    let body = Bytes::from(wire::watch(range, revision + 1).to_string());
    let opened = client.http.call_streaming(Method::POST, "/v3/watch", body);
    let response = tokio::time::timeout(super::CALL_TIMEOUT, opened)
        .await
        .unwrap_or_else(|_| {
            Err(HttpError::NoReply {
                reason: "the watch did not open".into(),
                received_bytes: 0,
                connection_age_ms: None,
            })
        })
        .map_err(super::kv_error)?;
    let mut lines = LineReader {
        body: response.into_body(),
        buffer: Vec::new(),
        received_at: Instant::now(),
    };
    let reopen = tokio::time::sleep(REOPEN_INTERVAL);
    tokio::pin!(reopen);
    loop {
        let line = tokio::select! {
            line = lines.next() => line?,
            () = &mut reopen => match lines.expected_until() {
                Some(until) => {
                    reopen.as_mut().reset(until);
                    continue;
                }
                None => return Ok(StreamEnd::Reopen(revision)),
            },
            () = events.closed() => return Ok(StreamEnd::Closed),
        };
        let result = line.get("result").unwrap_or(&Value::Null);
        if result.get("canceled").and_then(Value::as_bool) == Some(true) {
            return Ok(StreamEnd::Compacted);
        }
        let updates = wire::updates(result)?;
        if updates.is_empty() {
            continue;
        }
        revision = revision.max(wire::revision(result));
        if events
            .send(WatchEvent::Changed { revision, updates })
            .await
            .is_err()
        {
            return Ok(StreamEnd::Closed);
        }
    }
}

/// Splits a streamed reply into lines.
struct LineReader {
    body: Incoming,
    buffer: Vec<u8>,
    /// When the last bytes arrived.
    received_at: Instant,
}

impl LineReader {
    /// Until when the rest of a line that is arriving is waited for.
    fn expected_until(&self) -> Option<Instant> {
        let until = self.received_at + LINE_PAUSE;
        (!self.buffer.is_empty() && Instant::now() < until).then_some(until)
    }

    async fn next(&mut self) -> KvResult<Value> {
        let mut searched = 0;
        loop {
            if let Some(offset) = self.buffer[searched..]
                .iter()
                .position(|byte| *byte == b'\n')
            {
                let line: Vec<u8> = self.buffer.drain(..=searched + offset).collect();
                return serde_json::from_slice(&line)
                    .map_err(|error| connection_lost(&error.to_string()));
            }
            searched = self.buffer.len();
            if searched > LINE_MAX_BYTES {
                return Err(connection_lost("a line of the watch is too long"));
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| connection_lost("the watch was closed"))?;
            let frame = frame.map_err(|error| connection_lost(&error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
                self.received_at = Instant::now();
            }
        }
    }
}

fn connection_lost(reason: &str) -> rosemaryscale_ports::kv::KvError {
    rosemaryscale_ports::kv::KvError::Unavailable {
        reason: reason.into(),
    }
}
