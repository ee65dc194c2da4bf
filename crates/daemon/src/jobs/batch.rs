//! Writes the leader's batches as a chain, so that none takes effect late or twice.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemaryscale_domain::schedule::{Batch, JobWrite};
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, Transaction};

use super::records::{self, CHAIN_KEY, ChainRecord, LEADER_KEY, WORKERS_KEY};

/// The store takes 32 entries in a transaction: two conditions, the chain, and two for each job.
const JOBS_PER_TRANSACTION: usize = 14;
/// Pause before a write is tried again.
const RETRY: Duration = Duration::from_millis(150);

/// Key and value of the state of a wave: its number, and whether all have had their turn.
pub(super) type WaveStateFormat = fn(u64, bool) -> (Arc<str>, Bytes);

/// The newest write of the chain.
#[derive(Clone, Debug)]
pub(super) struct Chain {
    /// Revision at which the leader's key was created.
    pub(super) fence: u64,
    /// Revision of the chain's key.
    pub(super) revision: u64,
    /// Number of the leader's term.
    pub(super) term: u32,
    /// Name of the leader's daemon.
    pub(super) daemon: Arc<str>,
}

/// The leader's key belongs to another daemon, or to none.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipLost;

impl Chain {
    /// Writes a batch; waits as long as the store is away.
    pub(super) async fn write(
        mut self,
        kv: &KeyValue,
        batch: &Batch,
        wave_state: WaveStateFormat,
    ) -> Result<Self, LeadershipLost> {
        let record = ChainRecord {
            term: self.term,
            rerouted: batch.rerouted.clone(),
            waves: batch.waves.clone(),
            daemon: Arc::clone(&self.daemon),
            released: batch.released,
        };
        let value = records::encode(&record);
        let chain_put = records::put(CHAIN_KEY.into(), value);
        if let Some(workers) = &batch.workers {
            let workers = records::put(WORKERS_KEY.into(), records::encode(workers));
            self.write_chunk(kv, vec![workers, chain_put.clone()])
                .await?;
        }
        let mut chunks: Vec<Vec<Change>> = batch
            .jobs
            .chunks(JOBS_PER_TRANSACTION)
            .map(|jobs| jobs.iter().flat_map(changes).collect())
            .collect();
        for states in batch.wave_states.chunks(JOBS_PER_TRANSACTION) {
            let puts = states.iter().map(|(number, completed)| {
                let (key, value) = wave_state(*number, *completed);
                records::put(key, value)
            });
            chunks.push(puts.collect());
        }
        if chunks.is_empty() && batch.workers.is_none() {
            chunks.push(Vec::new());
        }
        for mut changes in chunks {
            changes.push(chain_put.clone());
            self.write_chunk(kv, changes).await?;
        }
        Ok(self)
    }

    /// Deletes what the store may forget of jobs that are over.
    pub(super) async fn forget(
        mut self,
        kv: &KeyValue,
        ids: &[Arc<str>],
    ) -> Result<Self, LeadershipLost> {
        let Some(chain) = self.read_key(kv, CHAIN_KEY).await else {
            return Ok(self);
        };
        const KEYS_PER_JOB: usize = 4;
        for ids in ids.chunks(JOBS_PER_TRANSACTION * 2 / KEYS_PER_JOB) {
            let mut changes: Vec<Change> = ids
                .iter()
                .flat_map(|id| {
                    [
                        records::job_key(id),
                        records::cancel_key(id),
                        records::state_key(id),
                        records::progress_key(id),
                    ]
                })
                .map(|key| Change::Delete { key })
                .collect();
            changes.push(records::put(CHAIN_KEY.into(), chain.value.clone()));
            self.write_chunk(kv, changes).await?;
        }
        Ok(self)
    }

    async fn write_chunk(
        &mut self,
        kv: &KeyValue,
        changes: Vec<Change>,
    ) -> Result<(), LeadershipLost> {
        loop {
            match kv.transact(self.transaction(&changes)).await {
                Ok(result) if result.succeeded => {
                    self.revision = result.revision;
                    return Ok(());
                }
                // An earlier attempt was carried out, or the leader's key was deleted.
                Ok(_) | Err(KvError::OutcomeUnknown { .. }) => {
                    if self.was_written(kv).await? {
                        return Ok(());
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    fn transaction(&self, changes: &[Change]) -> Transaction {
        let compare = |key: &str, mod_revision| Compare {
            key: key.into(),
            mod_revision,
        };
        Transaction {
            compares: vec![
                compare(LEADER_KEY, self.fence),
                compare(CHAIN_KEY, self.revision),
            ],
            changes: changes.to_vec(),
        }
    }

    /// Whether the chain's key has moved on, which only an earlier attempt of the same write can
    /// do.
    async fn was_written(&mut self, kv: &KeyValue) -> Result<bool, LeadershipLost> {
        let leader = self.read_key(kv, LEADER_KEY).await;
        if leader.is_none_or(|entry| entry.mod_revision != self.fence) {
            return Err(LeadershipLost);
        }
        let Some(chain) = self.read_key(kv, CHAIN_KEY).await else {
            return Ok(false);
        };
        let moved = chain.mod_revision != self.revision;
        self.revision = chain.mod_revision;
        Ok(moved)
    }

    /// Reads a key; waits as long as the store is away.
    async fn read_key(&self, kv: &KeyValue, key: &str) -> Option<KvEntry> {
        let key: Arc<str> = key.into();
        loop {
            if let Ok(entry) = kv.get(&key).await {
                return entry;
            }
            tokio::time::sleep(RETRY).await;
        }
    }
}

fn changes(write: &JobWrite) -> impl Iterator<Item = Change> {
    let progress = records::put_progress(&write.id, &write.progress);
    let state = write
        .state
        .map(|state| records::put_state(&write.id, &write.queue, state));
    std::iter::once(progress).chain(state)
}
