//! Polls the platform's instance list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use rosemaryscale_domain::roster::InstanceRoster;
use rosemaryscale_ports::instance::{
    InstanceList, InstanceRecord, InstanceSnapshot, InstanceState,
};
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
pub fn start(
    address: SocketAddr,
    metrics: Metrics,
    events: EventSink,
) -> (InstanceList, JoinHandle<()>) {
    let (sender, list) = watch::channel(InstanceSnapshot::default());
    let poller = Poller {
        client: HttpClient::new(address, POLL_TIMEOUT),
        cached: CachedList::default(),
        roster: InstanceRoster::default(),
        reports: ChangeReports::new(events),
        metrics,
    };
    (list, tokio::spawn(poller.run(sender)))
}

/// State of the poller's task.
struct Poller {
    client: HttpClient,
    cached: CachedList,
    roster: InstanceRoster<InstanceRecord>,
    reports: ChangeReports,
    metrics: Metrics,
}

impl Poller {
    async fn run(mut self, sender: watch::Sender<InstanceSnapshot>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = sender.closed() => return,
            }
            self.poll(&sender).await;
        }
    }

    async fn poll(&mut self, sender: &watch::Sender<InstanceSnapshot>) {
        let entries = match self.cached.read(&self.client).await {
            Ok(entries) => entries,
            Err(reason) => {
                self.metrics.count("platform.list_failures", 1);
                self.reports.record_failure(&reason);
                return;
            }
        };
        let instances: Vec<InstanceRecord> = entries
            .iter()
            .filter_map(|entry| InstanceRecord::deserialize(entry).ok())
            .collect();
        let malformed = entries.len() - instances.len();
        if malformed > 0 {
            self.metrics
                .count("platform.list_malformed_entries", malformed as i64);
        }
        self.roster.apply_list(instances);
        let instances = self.roster.entries();
        self.reports.record_list(&instances);
        publish(sender, instances, self.roster.unlisted());
    }
}

/// Reports changes of the list to the event log.
struct ChangeReports {
    events: EventSink,
    /// State of each instance in the last list; none before the first read.
    known: Option<FastMap<Arc<str>, InstanceState>>,
    failing: bool,
}

impl ChangeReports {
    const fn new(events: EventSink) -> Self {
        Self {
            events,
            known: None,
            failing: false,
        }
    }

    /// Reports the first of a series of failed reads.
    fn record_failure(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.failing, true) {
            self.record_platform(format!("the instance list cannot be read: {reason}"));
        }
    }

    /// Reports instances that are new, gone or in another state. The first list is reported as a
    /// count, since it may contain several hundred instances.
    fn record_list(&mut self, instances: &[InstanceRecord]) {
        if std::mem::replace(&mut self.failing, false) {
            self.record_platform("the instance list can be read again".into());
        }
        let states = instances
            .iter()
            .map(|record| (Arc::clone(&record.name), record.state))
            .collect();
        let Some(known) = self.known.replace(states) else {
            let count = instances.len();
            self.record_platform(format!("the instance list contains {count} instances"));
            return;
        };
        for record in instances {
            let detail = match (known.get(&record.name), record.state) {
                (Some(old), new) if *old == new => continue,
                (_, InstanceState::Live) => "listed as live",
                (_, InstanceState::Leaving) => "listed as leaving",
            };
            self.record_instance(&record.name, detail);
        }
        let listed = self.known.iter().flatten();
        let listed: FastSet<&Arc<str>> = listed.map(|(name, _)| name).collect();
        for name in known.keys().filter(|name| !listed.contains(name)) {
            self.record_instance(name, "no longer listed");
        }
    }

    fn record_platform(&self, detail: String) {
        self.events.record(EventKind::Platform, "platform", detail);
    }

    fn record_instance(&self, name: &Arc<str>, detail: &'static str) {
        self.events
            .record(EventKind::Instance, Arc::clone(name), detail);
    }
}

fn publish(
    sender: &watch::Sender<InstanceSnapshot>,
    instances: Vec<InstanceRecord>,
    unlisted: Vec<Arc<str>>,
) {
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
    /// invalidate the others. Fails with a description.
    async fn read(&mut self, client: &HttpClient) -> Result<&[Value], String> {
        let etag = self.etag.clone();
        let reply = client
            .read_if_changed("/v1/instances", etag)
            .await
            .map_err(|error| error.to_string())?;
        if reply.status == StatusCode::NOT_MODIFIED && self.etag.is_some() {
            return Ok(&self.entries);
        }
        if !reply.status.is_success() {
            return Err(format!("status {}", reply.status));
        }
        self.etag = None;
        self.entries = serde_json::from_slice(&reply.body)
            .map_err(|error| format!("the reply is not a list: {error}"))?;
        self.etag = reply.etag;
        Ok(&self.entries)
    }
}
