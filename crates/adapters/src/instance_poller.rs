//! Polls the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use rosemaryscale_domain::roster::InstanceRoster;
use rosemaryscale_ports::instance::{InstanceList, InstanceRecord, InstanceSnapshot};
use rosemaryscale_ports::prelude::*;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_client::HttpClient;

/// An instance that is marked as leaving must receive no new requests after 5 s, and the list
/// itself is updated with a delay.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts the task of the poller. It ends when the receiver of the list is dropped.
#[must_use]
pub fn start(address: SocketAddr, metrics: Metrics) -> (InstanceList, JoinHandle<()>) {
    let (sender, list) = watch::channel(InstanceSnapshot::default());
    let client = HttpClient::new(address, POLL_TIMEOUT);
    (list, tokio::spawn(poll(client, sender, metrics)))
}

async fn poll(client: HttpClient, sender: watch::Sender<InstanceSnapshot>, metrics: Metrics) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut roster = InstanceRoster::default();
    let mut cached = CachedList::default();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = sender.closed() => return,
        }
        let Some(entries) = cached.read(&client).await else {
            metrics.count("platform.list_failures", 1);
            continue;
        };
        let instances: Vec<InstanceRecord> = entries
            .iter()
            .filter_map(|entry| InstanceRecord::deserialize(entry).ok())
            .collect();
        let malformed = entries.len() - instances.len();
        if malformed > 0 {
            metrics.count("platform.list_malformed_entries", malformed as i64);
        }
        roster.apply_list(instances);
        publish(&sender, &roster);
    }
}

fn publish(sender: &watch::Sender<InstanceSnapshot>, roster: &InstanceRoster<InstanceRecord>) {
    let instances = roster.entries();
    let unlisted = roster.unlisted();
    sender.send_if_modified(|snapshot| {
        let changed = snapshot.reads == 0
            || *snapshot.instances != *instances
            || *snapshot.unlisted != *unlisted;
        snapshot.reads += 1;
        snapshot.instances = instances.into();
        snapshot.unlisted = unlisted.into();
        changed
    });
}

/// The list as last read. It is cached so that an unchanged list is not transferred again: with 970
/// instances, one complete list per second would use about ten times the bandwidth that a daemon
/// may use for control traffic.
#[derive(Default)]
struct CachedList {
    etag: Option<HeaderValue>,
    entries: Vec<Value>,
}

impl CachedList {
    /// Reads the list. Entries are returned undecoded, so that a malformed entry does not
    /// invalidate the others.
    async fn read(&mut self, client: &HttpClient) -> Option<&[Value]> {
        let etag = self.etag.clone();
        let reply = client.read_if_changed("/v1/instances", etag).await.ok()?;
        if reply.status == StatusCode::NOT_MODIFIED && self.etag.is_some() {
            return Some(&self.entries);
        }
        if !reply.status.is_success() {
            return None;
        }
        self.etag = None;
        self.entries = serde_json::from_slice(&reply.body).ok()?;
        self.etag = reply.etag;
        Some(&self.entries)
    }
}
