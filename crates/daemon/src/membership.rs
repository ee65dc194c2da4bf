//! The membership task: registers this daemon, renews its heartbeat, and watches the other members.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_ports::kv::{
    Change, KeyValue, KvEntry, KvError, KvResult, Transaction, Update, WatchEvent,
};
use rosemaryscale_ports::member::{Member, MemberRecord, MemberView, MemberWatch};
use rosemaryscale_ports::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

const HEARTBEAT_TTL_MS: u64 = 5_000;
/// Three renewals fit into the TTL of a heartbeat, so that one lost reply does not let it expire.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_600);

/// Value of a heartbeat key.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Heartbeat {
    incarnation: Arc<str>,
}

/// Options of the membership task.
pub struct MembershipOptions {
    /// Environment of the daemon.
    pub environment: Arc<str>,
    /// Member record of this daemon.
    pub record: MemberRecord,
    /// The platform's store.
    pub kv: KeyValue,
    /// The event log.
    pub events: EventSink,
    /// Metrics.
    pub metrics: Metrics,
}

/// Key prefixes of the members of an environment.
struct KeyPrefixes {
    members: String,
    heartbeats: String,
}

/// State of the membership task.
pub struct Membership {
    options: MembershipOptions,
    prefixes: KeyPrefixes,
    records: FastMap<Arc<str>, MemberRecord>,
    /// Incarnation and revision of each heartbeat key.
    heartbeats: FastMap<Arc<str>, (Arc<str>, u64)>,
    view: watch::Sender<Arc<MemberView>>,
    lease: Option<u64>,
    /// Whether this daemon's member record was written under the current lease.
    registered: bool,
    renewals: Renewals,
}

/// Results of the renewals, to report when they begin to fail and when they succeed again.
#[derive(Debug, Default)]
struct Renewals {
    last_success: Option<Instant>,
    failing: bool,
}

impl Renewals {
    /// Records a result. Returns what to report; a series of failures is reported once.
    fn record(&mut self, result: &KvResult<()>, now: Instant) -> Option<String> {
        if let Err(error) = result {
            let was_failing = std::mem::replace(&mut self.failing, true);
            return (!was_failing).then(|| format!("cannot renew its heartbeat: {error}"));
        }
        let was_failing = std::mem::replace(&mut self.failing, false);
        let since_ms = self
            .last_success
            .replace(now)
            .map_or(0, |last| (now - last).as_millis());
        // Without a failed renewal before it, the process was suspended or its runtime was blocked.
        (was_failing || since_ms > u128::from(HEARTBEAT_TTL_MS))
            .then(|| format!("renewed its heartbeat again after {since_ms} ms"))
    }
}

impl Membership {
    /// Creates the task and the watch on its view.
    #[must_use]
    pub fn new(options: MembershipOptions) -> (Self, MemberWatch) {
        let (view, receiver) = watch::channel(Arc::default());
        let prefix = format!("/rosemaryscale/{}", options.environment);
        let prefixes = KeyPrefixes {
            members: format!("{prefix}/members/"),
            heartbeats: format!("{prefix}/heartbeats/"),
        };
        let membership = Self {
            options,
            prefixes,
            records: FastMap::default(),
            heartbeats: FastMap::default(),
            view,
            lease: None,
            registered: false,
            renewals: Renewals::default(),
        };
        (membership, receiver)
    }

    /// Watches the members until `stop` resolves, then deletes this daemon's records.
    pub async fn serve(
        mut self,
        mut watched: mpsc::Receiver<Arc<WatchEvent>>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                Some(event) = watched.recv() => self.handle_event(&event),
                _ = interval.tick() => {
                    let result = self.renew().await;
                    self.report_renewal(&result);
                }
            }
        }
        self.deregister().await;
    }

    fn report_renewal(&mut self, result: &KvResult<()>) {
        if result.is_err() {
            self.options.metrics.count("member.heartbeat_failures", 1);
        }
        if let Some(detail) = self.renewals.record(result, Instant::now()) {
            let name = Arc::clone(&self.options.record.name);
            self.options.events.record(EventKind::Member, name, detail);
        }
    }

    async fn renew(&mut self) -> KvResult<()> {
        if let Some(lease) = self.lease {
            match self.options.kv.keep_alive(lease).await {
                Err(KvError::LeaseExpired { .. }) => {
                    self.lease = None;
                    self.registered = false;
                }
                other => other?,
            }
        }
        if !self.registered {
            self.register().await?;
        }
        Ok(())
    }

    async fn register(&mut self) -> KvResult<()> {
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.options.kv.grant(HEARTBEAT_TTL_MS).await?,
        };
        self.lease = Some(lease);
        let record = &self.options.record;
        let heartbeat = Heartbeat {
            incarnation: Arc::clone(&record.incarnation),
        };
        let transaction = Transaction {
            compares: Vec::new(),
            changes: vec![
                put(self.member_key(), &self.options.record, 0)?,
                put(self.heartbeat_key(), &heartbeat, lease)?,
            ],
        };
        self.options.kv.transact(transaction).await?;
        self.registered = true;
        Ok(())
    }

    /// Deletes this daemon's records unless a newer process has registered under the same name.
    async fn deregister(&mut self) {
        let own = self.records.get(&self.options.record.name);
        let replaced = own.is_some_and(|own| own.incarnation != self.options.record.incarnation);
        if !replaced {
            let changes = vec![
                Change::Delete {
                    key: self.member_key(),
                },
                Change::Delete {
                    key: self.heartbeat_key(),
                },
            ];
            let _ = self
                .options
                .kv
                .transact(Transaction {
                    compares: Vec::new(),
                    changes,
                })
                .await;
        }
        if let Some(lease) = self.lease {
            let _ = self.options.kv.revoke(lease).await;
        }
    }

    fn member_key(&self) -> Arc<str> {
        format!("{}{}", self.prefixes.members, self.options.record.name).into()
    }

    fn heartbeat_key(&self) -> Arc<str> {
        format!("{}{}", self.prefixes.heartbeats, self.options.record.name).into()
    }

    fn handle_event(&mut self, event: &WatchEvent) {
        let revision = match event {
            WatchEvent::Snapshot { revision, entries } => {
                self.records.clear();
                self.heartbeats.clear();
                entries.iter().for_each(|entry| self.put(entry));
                *revision
            }
            WatchEvent::Changed { revision, updates } => {
                for update in updates {
                    match update {
                        Update::Put(entry) => self.put(entry),
                        Update::Deleted(key) => self.delete(key),
                    }
                }
                *revision
            }
            WatchEvent::Receiving | WatchEvent::Disconnected { .. } => return,
        };
        self.publish(revision);
    }

    fn put(&mut self, entry: &KvEntry) {
        if let Some(name) = entry.key.strip_prefix(&*self.prefixes.members) {
            if let Ok(record) = serde_json::from_slice(&entry.value) {
                self.records.insert(name.into(), record);
            }
        } else if let Some(name) = entry.key.strip_prefix(&*self.prefixes.heartbeats)
            && let Ok(Heartbeat { incarnation }) = serde_json::from_slice(&entry.value)
        {
            self.heartbeats
                .insert(name.into(), (incarnation, entry.mod_revision));
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(name) = key.strip_prefix(&*self.prefixes.members) {
            self.records.remove(name);
        } else if let Some(name) = key.strip_prefix(&*self.prefixes.heartbeats) {
            self.heartbeats.remove(name);
        }
    }

    fn publish(&self, revision: u64) {
        let members: FastMap<Arc<str>, Member> = self
            .records
            .iter()
            .map(|(name, record)| {
                let heartbeat_entry = self.heartbeats.get(name);
                let own_heartbeat =
                    heartbeat_entry.filter(|(incarnation, _)| *incarnation == record.incarnation);
                let heartbeat = own_heartbeat.is_some();
                (
                    Arc::clone(name),
                    Member {
                        record: record.clone(),
                        heartbeat,
                        registered: own_heartbeat.map_or(0, |(_, revision)| *revision),
                    },
                )
            })
            .collect();
        let old = self.view.borrow().clone();
        self.record_changes(&old.members, &members);
        let changed = old.members != members;
        if changed || old.revision == 0 {
            self.view
                .send_replace(Arc::new(MemberView { revision, members }));
        }
    }

    fn record_changes(&self, old: &FastMap<Arc<str>, Member>, new: &FastMap<Arc<str>, Member>) {
        for (name, member) in new {
            let before = old.get(name).is_some_and(|member| member.heartbeat);
            let detail = match (before, member.heartbeat) {
                (false, true) => "joined",
                (true, false) => "lost its heartbeat",
                _ => continue,
            };
            self.options
                .events
                .record(EventKind::Member, Arc::clone(name), detail);
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            self.options
                .events
                .record(EventKind::Member, Arc::clone(name), "left");
        }
    }
}

fn put(key: Arc<str>, value: &impl Serialize, lease: u64) -> KvResult<Change> {
    let value = serde_json::to_vec(value).map_err(|error| KvError::Rejected {
        reason: error.to_string(),
    })?;
    Ok(Change::Put {
        key,
        value: value.into(),
        lease,
    })
}
