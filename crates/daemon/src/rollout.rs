//! The configuration task: keeps the newest accepted document in force.
//!
//! The task itself waits only for messages. Calls to the store and to peers run in tasks of their
//! own, so that a slow or dead platform delays no document that arrives on another way.

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
use gossip::{RoundFound, Target};

/// Interval of digest rounds. With three peers a round, eight peers are asked within 6 s.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Operations of operators that run at once; each may hold a document of up to 1 MB.
const OPERATIONS_MAX: usize = 8;
/// Texts that are read from peers at once.
const FETCHES_MAX: usize = 2;

/// What the configuration task needs.
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
    /// Counters.
    pub metrics: Metrics,
    /// Calls to peers.
    pub peers: Peers,
    /// The members.
    pub members: MemberWatch,
    /// Peer addresses of the settings, for a start without the platform.
    pub peer_addresses: Vec<SocketAddr>,
}

/// What the daemon's status shows of the roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Whether the platform's store answers.
    pub platform_reachable: bool,
    /// Why the daemon is not ready; empty if a document is in force.
    pub reason: Arc<str>,
}

/// Handles on what the task publishes.
pub struct RolloutWatches {
    /// The document in force.
    pub config: ConfigWatch,
    /// Status of the roll-out.
    pub status: watch::Receiver<RolloutStatus>,
}

/// What a task of the configuration task has found or done.
enum Finished {
    /// A round of digests.
    Round(RoundFound),
    /// A text that a peer offered.
    Text(Option<ConfigText>),
    /// A change of an operator.
    Change(
        Result<Change, ApplyError>,
        oneshot::Sender<Result<Applied, ApplyError>>,
    ),
    /// A reply was sent.
    Answered,
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
    round_running: bool,
    fetches: usize,
    operating: usize,
    running: JoinSet<Finished>,
    config: watch::Sender<Option<Arc<Document<Accepted>>>>,
    status: watch::Sender<RolloutStatus>,
}

impl Rollout {
    /// Makes the task's state and the watches on what it publishes.
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
            round_running: false,
            fetches: 0,
            operating: 0,
            running: JoinSet::new(),
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
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.answer(message),
                    None => break,
                },
                Some(event) = watched.recv() => self.observe(&event),
                Some(finished) = self.running.join_next() => {
                    if let Ok(finished) = finished {
                        self.finish(finished);
                    }
                }
                _ = rounds.tick() => self.start_round(),
            }
            self.publish_status();
        }
        self.running.shutdown().await;
    }

    fn observe(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                self.platform_answers();
                entries.iter().for_each(|entry| self.read_entry(entry));
            }
            WatchEvent::Changed { updates, .. } => {
                self.platform_answers();
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
            WatchEvent::Disconnected { reason } => {
                if !matches!(self.platform, Reachability::Unreachable { .. }) {
                    self.record_platform(&format!("not reachable: {reason}"));
                }
                let reason = reason.as_str().into();
                self.platform = Reachability::Unreachable { reason };
            }
        }
    }

    fn platform_answers(&mut self) {
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
            Ok(record) => self.read_text(record.change.version, &record.text, "the platform"),
            Err(error) => {
                self.events
                    .record(EventKind::Config, Arc::clone(&entry.key), error.to_string())
            }
        }
    }

    /// Reads the text of an accepted document and puts it in force if it is newer.
    fn read_text(&mut self, version: u64, text: &str, source: &str) {
        if version < self.in_force.version() {
            self.record(
                version,
                format!("an older document of {source} was ignored"),
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

    fn answer(&mut self, message: ConfigMessage) {
        let operations = self.operations.clone();
        let known = self.in_force.known_version();
        match message {
            ConfigMessage::Offered { from, digest } => self.offered(from, &digest),
            ConfigMessage::Check { text, reply } => {
                self.running.spawn(async move {
                    let checked = operations.check(&text).map(|_| ());
                    let _ = reply.send(checked.map_err(report::problems));
                    Finished::Answered
                });
            }
            ConfigMessage::Apply { request, reply } if self.may_operate() => {
                self.operating += 1;
                self.running.spawn(async move {
                    Finished::Change(operations.apply(request, known).await, reply)
                });
            }
            ConfigMessage::Promote { request, reply } if self.may_operate() => {
                self.operating += 1;
                self.running.spawn(async move {
                    Finished::Change(operations.promote(request, known).await, reply)
                });
            }
            ConfigMessage::Apply { reply, .. } | ConfigMessage::Promote { reply, .. } => {
                let _ = reply.send(Err(ApplyError::Unavailable {
                    reason: format!("{OPERATIONS_MAX} changes are under way at this daemon"),
                }));
            }
            ConfigMessage::History { reply } => {
                self.running.spawn(async move {
                    let _ = reply.send(operations.history().await);
                    Finished::Answered
                });
            }
            ConfigMessage::Environments { reply } => {
                let document = self.in_force.document().cloned();
                self.running.spawn(async move {
                    let _ = reply.send(operations.environments(document).await);
                    Finished::Answered
                });
            }
        }
    }

    fn may_operate(&self) -> bool {
        self.operating < OPERATIONS_MAX
    }

    /// Reads the text of a peer that has a newer document.
    fn offered(&mut self, from: Arc<str>, digest: &ConfigDigest) {
        if digest.environment != self.operations.environment {
            return;
        }
        if !self.in_force.record_offer(digest.version) || self.fetches >= FETCHES_MAX {
            return;
        }
        self.fetches += 1;
        let peers = self.operations.peers.clone();
        let environment = Arc::clone(&self.operations.environment);
        self.running.spawn(async move {
            Finished::Text(gossip::fetch(&peers, &Target::Member(from), &environment).await)
        });
    }

    fn finish(&mut self, finished: Finished) {
        match finished {
            Finished::Round(found) => {
                self.round_running = false;
                self.last_round = found.result;
                self.read_peer_text(found.text);
            }
            Finished::Text(text) => {
                self.fetches -= 1;
                self.read_peer_text(text);
            }
            Finished::Change(result, reply) => {
                self.operating -= 1;
                let result = result.map(|change| self.accepted(change));
                let _ = reply.send(result);
            }
            Finished::Answered => {}
        }
    }

    fn read_peer_text(&mut self, text: Option<ConfigText>) {
        if let Some(text) = text.filter(|text| self.in_force.record_offer(text.version)) {
            self.read_text(text.version, &text.text, "a peer");
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
        if self.round_running {
            return;
        }
        let targets = self.targets();
        self.round_running = true;
        self.metrics.count("config.rounds", 1);
        let round = gossip::round(
            self.operations.peers.clone(),
            targets,
            self.digest(),
            self.in_force
                .version()
                .max(self.in_force.unreadable_version().unwrap_or_default()),
        );
        self.running
            .spawn(async move { Finished::Round(round.await) });
    }

    /// The peers of the next round. Without a document, all are asked: the daemon takes the highest
    /// version that it can reach.
    fn targets(&mut self) -> Vec<Target> {
        let view = self.operations.members.borrow().clone();
        let mut names = view.live();
        names.retain(|name| *name != self.operations.name);
        if self.in_force.document().is_some() && !names.is_empty() {
            let round = self.rotation.next_round(&names);
            return round.into_iter().map(Target::Member).collect();
        }
        // The settings' addresses count only while the members cannot supply what is missing.
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
