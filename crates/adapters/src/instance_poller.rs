//! Reads the platform's instance list at an interval.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rosemaryscale_domain::roster::Roster;
use rosemaryscale_ports::instance::{InstanceList, InstanceRecord, InstanceSnapshot};
use rosemaryscale_ports::prelude::*;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http_client::HttpClient;

/// A leaving instance must get no new work within 5 s; the list itself lags.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts the poller's task. The task ends when the list is dropped.
#[must_use]
pub fn start(address: SocketAddr, metrics: Metrics) -> (InstanceList, JoinHandle<()>) {
    let (sender, list) = watch::channel(InstanceSnapshot::default());
    let client = HttpClient::new(address, POLL_TIMEOUT);
    (list, tokio::spawn(poll(client, sender, metrics)))
}

async fn poll(client: HttpClient, sender: watch::Sender<InstanceSnapshot>, metrics: Metrics) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut roster = Roster::default();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = sender.closed() => return,
        }
        let Some(entries) = read(&client).await else {
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
        roster.read(instances);
        publish(&sender, &roster);
    }
}

fn publish(sender: &watch::Sender<InstanceSnapshot>, roster: &Roster<InstanceRecord>) {
    let instances = roster.entries();
    let absent = roster.absent();
    sender.send_if_modified(|snapshot| {
        let changed =
            snapshot.reads == 0 || *snapshot.instances != *instances || *snapshot.absent != *absent;
        snapshot.reads += 1;
        snapshot.instances = instances.into();
        snapshot.absent = absent.into();
        changed
    });
}

/// Reads the list. A malformed entry is left to the caller, so that it does not hide the others.
async fn read(client: &HttpClient) -> Option<Vec<Value>> {
    let reply = client
        .call(Method::GET, "/v1/instances", Bytes::new())
        .await
        .ok()?;
    if !reply.status.is_success() {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
