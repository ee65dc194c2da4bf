//! The configuration task: keeps the newest accepted document in force.
//!
//! The task itself waits only for messages. Calls to the store and to peers are spawned, so that a
//! slow or failed platform does not delay a document that arrives from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::Document;
use rosemaryscale_domain::InForce;
use rosemaryscale_domain::document::Accepted;
use rosemaryscale_domain::rollout::{
    Adoption, PeerRotation, Reachability, RoundResult, not_ready_reason,
};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::{ApplyError, ConfigMessage, ConfigWatch};
use rosemaryscale_ports::kv::{KeyValue, KvEntry, Update, WatchEvent};
use rosemaryscale_ports::member::MemberWatch;
use rosemaryscale_ports::operator::Applied;
use rosemaryscale_ports::peer::{ConfigDigest, ConfigText, Peers};
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::config_record::{self, ConfigKeys, ConfigRecord};

mod change;
mod gossip;
mod promote;
mod report;

use change::{Change, Operations};
use gossip::{RoundOutcome, Target};

/// Interval of digest rounds. With three peers per round, eight peers are queried within 6 s.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of concurrent operator changes; each may hold a document of up to 1 MB.
const MAX_CONCURRENT_CHANGES: usize = 8;
/// Maximum number of texts that are fetched from peers concurrently.
const MAX_CONCURRENT_FETCHES: usize = 2;

/// Options of the configuration task.
pub struct RolloutOptions {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Environment of the daemon.
    pub environment: Arc<str>,
    /// The platform's store.
    pub kv: KeyValue,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
    /// Metrics.
    pub metrics: Metrics,
    /// Client for calls to peers.
    pub peers: Peers,
    /// The members.
    pub members: MemberWatch,
    /// Peer addresses from the settings, used when the daemon starts without the platform.
    pub peer_addresses: Vec<SocketAddr>,
}

/// State of the rollout in the daemon's status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Whether the platform's store is reachable.
    pub platform_reachable: bool,
    /// Reason why the daemon is not ready; empty if a document is in force.
    pub reason: Arc<str>,
}

/// Receivers of the values that the task publishes.
pub struct RolloutWatches {
    /// The document in force.
    pub config: ConfigWatch,
    /// Status of the rollout.
    pub status: watch::Receiver<RolloutStatus>,
}

/// Result of a spawned call.
enum Completion {
    /// A round of digests.
    Round(RoundOutcome),
    /// The text of a document that a peer offered; none if it could not be fetched.
    Text(Option<ConfigText>),
    /// An operator's change, and where the reply goes.
    Change(
        Result<Change, ApplyError>,
        oneshot::Sender<Result<Applied, ApplyError>>,
    ),
    /// The call has replied to the operator itself.
    Replied,
}

/// State of the configuration task.
pub struct Rollout {
    operations: Operations,
    events: EventSink,
    metrics: Metrics,
    peer_addresses: Vec<SocketAddr>,
    in_force: InForce,
    rotation: PeerRotation,
    platform: Reachability,
    last_round: RoundResult,
    round_in_progress: bool,
    fetches_in_progress: usize,
    changes_in_progress: usize,
    calls: JoinSet<Completion>,
    config: watch::Sender<Option<Arc<Document<Accepted>>>>,
    status: watch::Sender<RolloutStatus>,
}

impl Rollout {
    /// Creates the task and the watches on the values that it publishes.
    #[must_use]
    pub fn new(options: RolloutOptions) -> (Self, RolloutWatches) {
        let (config, config_receiver) = watch::channel(None);
        let (status, status_receiver) = watch::channel(RolloutStatus::default());
        let operations = Operations {
            name: options.name,
            keys: ConfigKeys::new(&options.environment),
            environment: options.environment,
            kv: options.kv,
            clock: options.clock,
            peers: options.peers,
            members: options.members,
        };
        let rollout = Self {
            operations,
            events: options.events,
            metrics: options.metrics,
            peer_addresses: options.peer_addresses,
            in_force: InForce::default(),
            rotation: PeerRotation::default(),
            platform: Reachability::default(),
            last_round: RoundResult::default(),
            round_in_progress: false,
            fetches_in_progress: 0,
            changes_in_progress: 0,
            calls: JoinSet::new(),
            config,
            status,
        };
        let watches = RolloutWatches {
            config: config_receiver,
            status: status_receiver,
        };
        (rollout, watches)
    }

    /// Serves operators, peers and the watch until the message channel is closed.
    pub async fn serve(
        mut self,
        mut messages: mpsc::Receiver<ConfigMessage>,
        mut watched: mpsc::Receiver<Arc<WatchEvent>>,
    ) {
        let mut interval = tokio::time::interval(ROUND_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                Some(event) = watched.recv() => self.handle_event(&event),
                Some(completion) = self.calls.join_next() => {
                    if let Ok(completion) = completion {
                        self.complete(completion);
                    }
                }
                _ = interval.tick() => self.start_round(),
            }
            self.publish_status();
        }
        self.calls.shutdown().await;
    }

    fn handle_event(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                self.mark_platform_reachable();
                entries.iter().for_each(|entry| self.read_entry(entry));
            }
            WatchEvent::Changed { updates, .. } => {
                self.mark_platform_reachable();
                for update in updates {
                    match update {
                        Update::Put(entry) => self.read_entry(entry),
                        Update::Deleted(key) if *key == self.operations.keys.document => {
                            let version = self.in_force.version();
                            self.record(version, "deleted from the store; stays in force here");
                        }
                        Update::Deleted(_) => {}
                    }
                }
            }
            WatchEvent::Receiving => self.mark_platform_reachable(),
            WatchEvent::Disconnected { reason } => {
                if !matches!(self.platform, Reachability::Unreachable { .. }) {
                    self.record_platform(&format!("not reachable: {reason}"));
                }
                let reason = reason.as_str().into();
                self.platform = Reachability::Unreachable { reason };
            }
        }
    }

    fn mark_platform_reachable(&mut self) {
        if matches!(self.platform, Reachability::Unreachable { .. }) {
            self.record_platform("reachable again");
        }
        self.platform = Reachability::Reachable;
    }

    fn record_platform(&self, detail: &str) {
        self.events
            .record(EventKind::Platform, "platform", detail.to_owned());
    }

    fn record(&self, version: u64, detail: impl Into<Arc<str>>) {
        self.events
            .record(EventKind::Config, version.to_string(), detail);
    }

    fn read_entry(&mut self, entry: &KvEntry) {
        if entry.key != self.operations.keys.document {
            return;
        }
        match config_record::decode::<ConfigRecord>(entry) {
            Ok(record) => self.adopt_text(record.change.version, &record.text, "the platform"),
            Err(error) => {
                self.events
                    .record(EventKind::Config, Arc::clone(&entry.key), error.to_string())
            }
        }
    }

    /// Parses the text of an accepted document and puts it in force if it is newer.
    fn adopt_text(&mut self, version: u64, text: &str, source: &str) {
        if version < self.in_force.version() {
            self.record(
                version,
                format!("an older document from {source} was ignored"),
            );
            return;
        }
        match config_record::accepted(text, version) {
            Ok(document) => self.adopt(document, source),
            Err(problems) => {
                if self.in_force.record_unreadable(version) {
                    let reason = problems
                        .first()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    let detail = format!(
                        "this daemon cannot read the accepted document ({reason}); upgrade the daemon"
                    );
                    self.record(version, detail);
                }
            }
        }
    }

    fn adopt(&mut self, document: Arc<Document<Accepted>>, source: &str) {
        let version = document.state.version;
        match self.in_force.adopt(Arc::clone(&document)) {
            Adoption::Adopted => {
                self.config.send_replace(Some(document));
                self.metrics.count("config.adopted", 1);
                self.record(version, format!("in force, from {source}"));
            }
            Adoption::Diverged => {
                self.metrics.count("config.diverged", 1);
                let detail = format!(
                    "{source} has another document under this version; apply the intended one again"
                );
                self.record(version, detail);
            }
            Adoption::Known | Adoption::Older => {}
        }
    }

    fn handle_message(&mut self, message: ConfigMessage) {
        let operations = self.operations.clone();
        let known_version = self.in_force.known_version();
        match message {
            ConfigMessage::PeerDigest { from, digest } => self.handle_peer_digest(from, &digest),
            ConfigMessage::Check { text, reply } => {
                self.calls.spawn(async move {
                    let checked = operations.check(&text).map(|_| ());
                    let _ = reply.send(checked.map_err(report::problems));
                    Completion::Replied
                });
            }
            ConfigMessage::Apply { request, reply } if self.can_accept_change() => {
                self.changes_in_progress += 1;
                self.calls.spawn(async move {
                    Completion::Change(operations.apply(request, known_version).await, reply)
                });
            }
            ConfigMessage::Promote { request, reply } if self.can_accept_change() => {
                self.changes_in_progress += 1;
                self.calls.spawn(async move {
                    Completion::Change(operations.promote(request, known_version).await, reply)
                });
            }
            ConfigMessage::Apply { reply, .. } | ConfigMessage::Promote { reply, .. } => {
                let _ = reply.send(Err(ApplyError::Unavailable {
                    reason: format!(
                        "{MAX_CONCURRENT_CHANGES} changes are already in progress on this daemon"
                    ),
                }));
            }
            ConfigMessage::History { reply } => {
                self.calls.spawn(async move {
                    let _ = reply.send(operations.history().await);
                    Completion::Replied
                });
            }
            ConfigMessage::Environments { reply } => {
                let document = self.in_force.document().cloned();
                self.calls.spawn(async move {
                    let _ = reply.send(operations.environments(document).await);
                    Completion::Replied
                });
            }
        }
    }

    fn can_accept_change(&self) -> bool {
        self.changes_in_progress < MAX_CONCURRENT_CHANGES
    }

    /// Fetches the document of a peer that offers a newer one.
    fn handle_peer_digest(&mut self, from: Arc<str>, digest: &ConfigDigest) {
        if digest.environment != self.operations.environment {
            return;
        }
        if !self.in_force.record_offer(digest.version)
            || self.fetches_in_progress >= MAX_CONCURRENT_FETCHES
        {
            return;
        }
        self.fetches_in_progress += 1;
        let peers = self.operations.peers.clone();
        let environment = Arc::clone(&self.operations.environment);
        self.calls.spawn(async move {
            Completion::Text(gossip::fetch(&peers, &Target::Member(from), &environment).await)
        });
    }

    fn complete(&mut self, completion: Completion) {
        match completion {
            Completion::Round(outcome) => {
                self.round_in_progress = false;
                self.last_round = outcome.result;
                self.adopt_peer_text(outcome.text);
            }
            Completion::Text(text) => {
                self.fetches_in_progress -= 1;
                self.adopt_peer_text(text);
            }
            Completion::Change(result, reply) => {
                self.changes_in_progress -= 1;
                let result = result.map(|change| self.accepted(change));
                let _ = reply.send(result);
            }
            Completion::Replied => {}
        }
    }

    fn adopt_peer_text(&mut self, text: Option<ConfigText>) {
        if let Some(text) = text.filter(|text| self.in_force.record_offer(text.version)) {
            self.adopt_text(text.version, &text.text, "a peer");
        }
    }

    fn accepted(&mut self, change: Change) -> Applied {
        if let Some(document) = change.document {
            self.record(document.state.version, "accepted");
            self.adopt(document, "an operator");
        }
        change.applied
    }

    fn start_round(&mut self) {
        if self.round_in_progress {
            return;
        }
        let round_targets = self.round_targets();
        self.round_in_progress = true;
        self.metrics.count("config.rounds", 1);
        let round = gossip::round(
            self.operations.peers.clone(),
            round_targets,
            self.digest(),
            self.in_force
                .version()
                .max(self.in_force.unreadable_version().unwrap_or_default()),
        );
        self.calls
            .spawn(async move { Completion::Round(round.await) });
    }

    /// Returns the peers of the next round. Without a document, the daemon queries all peers and adopts
    /// the highest version that it finds.
    fn round_targets(&mut self) -> Vec<Target> {
        let view = self.operations.members.borrow().clone();
        let mut names = view.live();
        names.retain(|name| *name != self.operations.name);
        if self.in_force.document().is_some() && !names.is_empty() {
            let round = self.rotation.next_round(&names);
            return round.into_iter().map(Target::Member).collect();
        }
        // Addresses from the settings are used only if the daemon has no document or knows no other
        // member, and only for daemons that are not known as members.
        let unknown = self.peer_addresses.iter().filter(|address| {
            let mut members = view.members.values();
            !members.any(|member| member.record.peer_address == **address)
        });
        let addresses = unknown.copied().map(Target::Address);
        names
            .into_iter()
            .map(Target::Member)
            .chain(addresses)
            .collect()
    }

    fn digest(&self) -> ConfigDigest {
        let document = self.in_force.document();
        ConfigDigest {
            environment: Arc::clone(&self.operations.environment),
            version: self.in_force.version(),
            digest: document
                .map(|document| Arc::clone(&document.digest))
                .unwrap_or_default(),
        }
    }

    fn publish_status(&self) {
        let reason = if self.in_force.document().is_some() {
            Arc::default()
        } else {
            let environment = &self.operations.environment;
            not_ready_reason(environment, &self.in_force, &self.platform, self.last_round).into()
        };
        let status = RolloutStatus {
            platform_reachable: self.platform == Reachability::Reachable,
            reason,
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}
