//! Keeps the configuration current: follows the store, and asks peers while the store does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::config_source::{ConfigPeer, ConfigSource, Confirmation, PeerVerdict};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config_link::{
    ConfigAnswer, ConfigLinkError, ConfigPeers, ConfigQuestion, InboundQuestion,
};
use rosemaryscale_ports::job::QueueConfig;
use rosemaryscale_ports::kv::{KvEntry, Update, WatchEvent};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Decodes a stored configuration.
pub(super) type ConfigFormat = fn(&[u8]) -> Result<QueueConfig, Arc<str>>;

/// Where the daemons answer their peers, by name.
pub(super) type PeerAddresses = FastMap<Arc<str>, SocketAddr>;

/// Dependencies and channels of the task.
pub(super) struct ConfigSyncOptions {
    /// Name of the daemon.
    pub(super) daemon: Arc<str>,
    /// Key of the configuration in the store.
    pub(super) key: &'static str,
    pub(super) decode: ConfigFormat,
    /// Watch of that key.
    pub(super) events: mpsc::Receiver<WatchEvent>,
    /// Receives the newest version.
    pub(super) config: watch::Sender<Arc<QueueConfig>>,
    /// Receives how current that version is.
    pub(super) confirmation: watch::Sender<Confirmation>,
    /// Peers according to the view.
    pub(super) peers: watch::Receiver<PeerAddresses>,
    /// Questions of peers.
    pub(super) questions: mpsc::Receiver<InboundQuestion>,
    /// Link to the peers; without it, none is asked.
    pub(super) link: Option<ConfigPeers>,
    pub(super) clock: ClockHandle,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// A peer's answer.
struct Answered {
    peer: ConfigPeer,
    answer: Result<ConfigAnswer, ConfigLinkError>,
}

/// Where a version of the configuration comes from.
#[derive(Clone, Copy)]
enum Origin<'a> {
    Store,
    Peer {
        name: &'a str,
        confirmed_at: Option<Millis>,
    },
}

/// Task that owns the state of the configuration.
pub(super) struct ConfigSync {
    options: ConfigSyncOptions,
    source: ConfigSource,
    /// Text of the version in force.
    text: Option<Arc<str>>,
    is_connected: bool,
    /// The open question, if any.
    asking: JoinSet<Answered>,
}

impl ConfigSync {
    pub(super) fn new(options: ConfigSyncOptions) -> Self {
        let source = ConfigSource::new(&options.daemon, options.clock.now());
        Self {
            options,
            source,
            text: None,
            is_connected: false,
            asking: JoinSet::new(),
        }
    }

    /// Runs until the daemon stops.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let until_question = self.until_question();
            tokio::select! {
                event = self.options.events.recv() => match event {
                    Some(event) => self.apply(event),
                    None => break,
                },
                Some(question) = self.options.questions.recv() => self.answer(question),
                Some(finished) = self.asking.join_next() => match finished {
                    Ok(answered) => self.apply_answer(answered),
                    // Otherwise the question stays open, and no peer is asked again.
                    Err(_) => self.source.peer_failed(),
                },
                Ok(()) = self.options.peers.changed() => self.apply_peers(),
                () = sleep_until(until_question) => self.ask(),
                _ = stop.wait_for(|stop| *stop) => break,
            }
        }
        self.asking.shutdown().await;
    }

    fn apply(&mut self, event: WatchEvent) {
        let entries = match event {
            WatchEvent::Snapshot { entries, .. } => entries,
            WatchEvent::Changed { updates, .. } => updates
                .into_iter()
                .filter_map(|update| match update {
                    Update::Put(entry) => Some(entry),
                    Update::Deleted(_) => None,
                })
                .collect(),
            WatchEvent::Receiving => {
                self.source.store_sending(self.options.clock.now());
                self.publish_confirmation();
                return;
            }
            WatchEvent::Disconnected { reason } => {
                self.mark_disconnected(&reason);
                return;
            }
        };
        if !self.is_connected {
            info!(self.options.log, "the configuration is heard");
            self.is_connected = true;
        }
        let reported = self.apply_entries(&entries);
        let now = self.options.clock.now();
        self.source.store_answered(reported, now);
        self.publish_confirmation();
    }

    fn mark_disconnected(&mut self, reason: &str) {
        if self.is_connected {
            warn!(self.options.log, "the configuration is not heard"; "reason" => reason);
        }
        self.is_connected = false;
        self.source.store_failed(self.options.clock.now());
        self.publish_confirmation();
    }

    /// Puts newer versions of the store in force. Returns the version that it has.
    fn apply_entries(&mut self, entries: &[KvEntry]) -> Option<u64> {
        let mut reported = None;
        let key = self.options.key;
        for entry in entries.iter().filter(|entry| &*entry.key == key) {
            match (self.options.decode)(&entry.value) {
                Ok(config) => {
                    reported = Some(config.version);
                    let text = std::str::from_utf8(&entry.value).ok().map(Arc::from);
                    self.put_in_force(config, text, Origin::Store);
                }
                Err(reason) => {
                    warn!(self.options.log, "configuration skipped"; "reason" => &*reason);
                }
            }
        }
        reported
    }

    /// Puts a version in force unless it is older than the current one, or the same.
    fn put_in_force(&mut self, config: QueueConfig, text: Option<Arc<str>>, origin: Origin<'_>) {
        let confirmed_at = match origin {
            // The answer of the store confirms it afterwards.
            Origin::Store => None,
            Origin::Peer { confirmed_at, .. } => confirmed_at,
        };
        if !self.source.put_in_force(config.version, confirmed_at) {
            return;
        }
        let log = &self.options.log;
        let bytes = text.as_ref().map(|text| text.len());
        self.options.metrics.gauge("config.version", config.version);
        match origin {
            Origin::Store => {
                info!(log, "configuration in force"; "version" => config.version, "bytes" => bytes);
            }
            Origin::Peer { name, confirmed_at } => {
                let now = self.options.clock.now();
                let age_ms = confirmed_at.map(|at| now.ms_since(at));
                self.options.metrics.count("config.peer_versions", 1);
                info!(log, "configuration in force"; "version" => config.version,
                    "bytes" => bytes, "peer" => name, "age_ms" => age_ms);
            }
        }
        for problem in &config.problems {
            warn!(log, "configuration entry skipped"; "version" => config.version,
                "reason" => &**problem);
        }
        self.text = text;
        self.options.config.send_replace(Arc::new(config));
    }

    fn publish_confirmation(&self) {
        let confirmation = self.source.confirmation();
        self.options.confirmation.send_replace(confirmation);
    }

    fn answer(&self, question: InboundQuestion) {
        let statement = self.source.statement(self.options.clock.now());
        let is_newer = statement.version > question.question.version;
        let text = self.text.clone().filter(|_| is_newer);
        // The peer may have given up.
        let _ = question.reply.send(ConfigAnswer { statement, text });
    }

    fn apply_peers(&mut self) {
        let peers = self.options.peers.borrow_and_update().clone();
        let others = peers
            .into_iter()
            .filter(|(name, _)| *name != self.options.daemon);
        self.source
            .set_peers(others.map(|(name, address)| ConfigPeer { name, address }));
    }

    /// Time until a peer is asked; `None` while none is to be asked.
    fn until_question(&self) -> Option<Duration> {
        self.options.link.as_ref()?;
        let config = self.options.config.borrow();
        if config.version > 0 && !config.workspaces.is_enabled() {
            return None;
        }
        let ask_at = self.source.ask_at()?;
        let wait_ms = ask_at.ms_since(self.options.clock.now());
        Some(Duration::from_millis(wait_ms))
    }

    fn ask(&mut self) {
        let Some(link) = self.options.link.clone() else {
            return;
        };
        let Some(peer) = self.source.ask(self.options.clock.now()) else {
            return;
        };
        let question = ConfigQuestion {
            from: Arc::clone(&self.options.daemon),
            version: self.options.config.borrow().version,
        };
        self.asking.spawn(async move {
            let answer = link.ask(peer.address, question).await;
            Answered { peer, answer }
        });
    }

    fn apply_answer(&mut self, answered: Answered) {
        let Answered { peer, answer } = answered;
        match answer {
            Ok(answer) => self.apply_statement(&peer, answer),
            Err(error) => {
                self.source.peer_failed();
                warn!(self.options.log, "peer not heard"; "peer" => &*peer.name, "reason" => %error);
            }
        }
        self.publish_confirmation();
    }

    fn apply_statement(&mut self, peer: &ConfigPeer, answer: ConfigAnswer) {
        let now = self.options.clock.now();
        let PeerVerdict::Newer(confirmed_at) = self.source.peer_answered(answer.statement, now)
        else {
            return;
        };
        let decoded = answer.text.as_ref().map_or_else(
            || Err(Arc::from("the peer sent no text")),
            |text| (self.options.decode)(text.as_bytes()),
        );
        match decoded {
            Ok(config) if config.version == answer.statement.version => {
                let origin = Origin::Peer {
                    name: &peer.name,
                    confirmed_at,
                };
                self.put_in_force(config, answer.text, origin);
            }
            Ok(config) => {
                warn!(self.options.log, "configuration skipped"; "peer" => &*peer.name,
                    "version" => config.version, "stated" => answer.statement.version,
                    "reason" => "the text is of another version than the peer stated");
            }
            Err(reason) => {
                warn!(self.options.log, "configuration skipped"; "peer" => &*peer.name,
                    "version" => answer.statement.version, "reason" => &*reason);
            }
        }
    }
}

async fn sleep_until(delay: Option<Duration>) {
    match delay {
        Some(delay) => tokio::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}
