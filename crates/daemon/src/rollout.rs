//! The configuration task: accepts documents and keeps the newest one in force.

use std::sync::Arc;

use rosemaryscale_adapters::document_text;
use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Checked, Problem};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::config::{ApplyError, ConfigMessage, ConfigWatch};
use rosemaryscale_ports::kv::{
    Change, Compare, KeyValue, KvEntry, KvError, Transaction, Update, WatchEvent,
};
use rosemaryscale_ports::operator::{Applied, ApplyRequest};
use rosemaryscale_ports::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

const READ_BACK_TRIES: u32 = 3;

/// Value of the configuration key.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct ConfigRecord {
    version: u64,
    digest: Arc<str>,
    change_id: Arc<str>,
    author: Arc<str>,
    accepted_wall_ms: u64,
    text: Arc<str>,
}

/// What the configuration task needs.
pub struct RolloutOptions {
    /// Environment of the daemon.
    pub environment: Arc<str>,
    /// The platform's store.
    pub kv: KeyValue,
    /// Clock of the process.
    pub clock: ClockHandle,
    /// The event log.
    pub events: EventSink,
}

/// The document in force.
pub struct Rollout {
    options: RolloutOptions,
    key: Arc<str>,
    in_force: watch::Sender<Option<Arc<Document<Accepted>>>>,
}

impl Rollout {
    /// Makes the task's state and the watch on the document in force.
    #[must_use]
    pub fn new(options: RolloutOptions) -> (Self, ConfigWatch) {
        let (in_force, receiver) = watch::channel(None);
        let key = format!("/rosemaryscale/{}/config", options.environment).into();
        (
            Self {
                options,
                key,
                in_force,
            },
            receiver,
        )
    }

    /// Serves operators and the watch until both channels are closed.
    pub async fn serve(
        self,
        mut messages: mpsc::Receiver<ConfigMessage>,
        mut watched: mpsc::Receiver<Arc<WatchEvent>>,
    ) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.answer(message).await,
                    None => return,
                },
                Some(event) = watched.recv() => self.observe(&event),
            }
        }
    }

    fn observe(&self, event: &WatchEvent) {
        match event {
            WatchEvent::Snapshot { entries, .. } => {
                entries.iter().for_each(|entry| self.put(entry))
            }
            WatchEvent::Changed { updates, .. } => {
                for update in updates {
                    if let Update::Put(entry) = update {
                        self.put(entry);
                    }
                }
            }
            WatchEvent::Disconnected { .. } => {}
        }
    }

    fn put(&self, entry: &KvEntry) {
        if entry.key == self.key {
            self.adopt(entry);
        }
    }

    /// Puts a stored document in force if it is newer than the one in force.
    fn adopt(&self, entry: &KvEntry) {
        let Ok(record) = serde_json::from_slice::<ConfigRecord>(&entry.value) else {
            self.options.events.record(
                EventKind::Config,
                Arc::clone(&self.key),
                "the stored document is malformed and was ignored",
            );
            return;
        };
        match check(&record.text) {
            Ok(document) => self.put_in_force(document.accept(record.version)),
            Err(_) => self.options.events.record(
                EventKind::Config,
                record.version.to_string(),
                "this daemon cannot read the accepted document; upgrade it",
            ),
        }
    }

    fn put_in_force(&self, document: Document<Accepted>) {
        let version = document.state.version;
        let newer = self.in_force.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|current| current.state.version < version);
            if newer {
                *current = Some(Arc::new(document));
            }
            newer
        });
        if newer {
            self.options
                .events
                .record(EventKind::Config, version.to_string(), "in force");
        }
    }

    async fn answer(&self, message: ConfigMessage) {
        match message {
            ConfigMessage::Check { text, reply } => {
                let _ = reply.send(check(&text).map(|_| ()));
            }
            ConfigMessage::Apply { request, reply } => {
                let _ = reply.send(self.apply(request).await);
            }
        }
    }

    async fn apply(&self, request: ApplyRequest) -> Result<Applied, ApplyError> {
        let document = check(&request.text).map_err(|problems| ApplyError::Invalid { problems })?;
        let current = self.read().await.map_err(unavailable)?;
        let (revision, version) = current
            .as_ref()
            .map_or((0, 0), |(revision, record)| (*revision, record.version));
        if let Some((_, record)) = &current {
            if record.change_id == request.change_id {
                return Ok(self.applied(record));
            }
            if request
                .expected_version
                .is_some_and(|expected| expected != version)
            {
                return Err(conflict(record, request.expected_version));
            }
        }
        let record = ConfigRecord {
            version: version + 1,
            digest: Arc::clone(&document.digest),
            change_id: Arc::clone(&request.change_id),
            author: request.author,
            accepted_wall_ms: self.options.clock.wall().as_ms(),
            text: Arc::clone(&document.text),
        };
        let written = self.write(&record, revision).await?;
        if written {
            self.options.events.record(
                EventKind::Config,
                record.version.to_string(),
                format!(
                    "accepted from {} as change {}",
                    record.author, record.change_id
                ),
            );
            self.put_in_force(document.accept(record.version));
            return Ok(self.applied(&record));
        }
        match self.read().await.map_err(unknown)? {
            Some((_, winner)) => Err(conflict(&winner, Some(version))),
            None => Err(ApplyError::Unknown {
                reason: "the document was deleted".into(),
            }),
        }
    }

    /// Writes a record if the key is still at `revision`; a lost reply is resolved by reading the
    /// change id back.
    async fn write(&self, record: &ConfigRecord, revision: u64) -> Result<bool, ApplyError> {
        let value = serde_json::to_vec(record).map_err(|error| ApplyError::Unavailable {
            reason: error.to_string(),
        })?;
        let transaction = Transaction {
            compares: vec![Compare {
                key: Arc::clone(&self.key),
                mod_revision: revision,
            }],
            changes: vec![Change::Put {
                key: Arc::clone(&self.key),
                value: value.into(),
                lease: 0,
            }],
        };
        let lost = match self.options.kv.transact(transaction).await {
            Ok(result) => return Ok(result.succeeded),
            Err(KvError::OutcomeUnknown { reason }) => reason,
            Err(error) => return Err(unavailable(error)),
        };
        for _ in 0..READ_BACK_TRIES {
            match self.read().await {
                Ok(Some((_, stored))) => return Ok(stored.change_id == record.change_id),
                Ok(None) => return Ok(false),
                Err(_) => {}
            }
        }
        Err(ApplyError::Unknown { reason: lost })
    }

    async fn read(&self) -> Result<Option<(u64, ConfigRecord)>, KvError> {
        let Some(entry) = self.options.kv.get(&self.key).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&entry.value).map_err(|error| KvError::Rejected {
            reason: format!("the stored document is malformed: {error}"),
        })?;
        Ok(Some((entry.mod_revision, record)))
    }

    fn applied(&self, record: &ConfigRecord) -> Applied {
        Applied {
            environment: Arc::clone(&self.options.environment),
            version: record.version,
            digest: Arc::clone(&record.digest),
        }
    }
}

fn check(text: &str) -> Result<Document<Checked>, Vec<Problem>> {
    document_text::parse(text)?.check()
}

fn unavailable(error: KvError) -> ApplyError {
    ApplyError::Unavailable {
        reason: error.to_string(),
    }
}

fn unknown(error: KvError) -> ApplyError {
    ApplyError::Unknown {
        reason: error.to_string(),
    }
}

fn conflict(winner: &ConfigRecord, expected: Option<u64>) -> ApplyError {
    ApplyError::Conflict {
        version: winner.version,
        change_id: Arc::clone(&winner.change_id),
        expected: expected.unwrap_or_default(),
    }
}
