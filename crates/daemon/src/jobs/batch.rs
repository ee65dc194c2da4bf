//! Writes the leader's batches. Each write is conditional on the previous one, so that none takes effect
//! late or twice.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemaryscale_domain::schedule::{Batch, JobWrite};
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, Transaction};

use super::records::{self, LEADER_KEY, SCHEDULER_RECORD_KEY, SchedulerRecord, WORKERS_KEY};

/// The store accepts 32 entries per transaction: two conditions, the scheduler record, and two per job.
const JOBS_PER_TRANSACTION: usize = 14;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Encodes the state of a maintenance wave, given its number and whether it is complete.
pub(super) type WaveStateFormat = fn(u64, bool) -> (Arc<str>, Bytes);

/// Writes batches on the condition that the scheduler record is unchanged since the last write.
#[derive(Clone, Debug)]
pub(super) struct BatchWriter {
    /// Fencing token of the term: the revision at which the leader key was created.
    pub(super) fencing_token: u64,
    /// Revision of the scheduler record.
    pub(super) revision: u64,
    /// Number of the term.
    pub(super) term: u32,
    /// Name of this daemon.
    pub(super) daemon: Arc<str>,
    /// Time after which a gateway no longer carries out an order; 0 while no gateway is used.
    pub(super) order_age_max_ms: u64,
}

/// The leader key belongs to another daemon, or no daemon holds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipLost;

impl BatchWriter {
    /// Writes a batch, retrying until the store answers.
    pub(super) async fn write(
        mut self,
        kv: &KeyValue,
        batch: &Batch,
        wave_state: WaveStateFormat,
    ) -> Result<Self, LeadershipLost> {
        let record = SchedulerRecord {
            term: self.term,
            rerouted: batch.rerouted.clone(),
            waves: batch.waves.clone(),
            daemon: Arc::clone(&self.daemon),
            released: batch.released,
            order_age_max_ms: self.order_age_max_ms,
        };
        let value = records::encode(&record);
        let record_put = records::put(SCHEDULER_RECORD_KEY.into(), value);
        if let Some(workers) = &batch.workers {
            let workers = records::put(WORKERS_KEY.into(), records::encode(workers));
            self.write_transaction(kv, vec![workers, record_put.clone()])
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
            changes.push(record_put.clone());
            self.write_transaction(kv, changes).await?;
        }
        Ok(self)
    }

    /// Deletes all records of the given jobs.
    pub(super) async fn delete_jobs(
        mut self,
        kv: &KeyValue,
        ids: &[Arc<str>],
    ) -> Result<Self, LeadershipLost> {
        let Some(record) = self.read_with_retries(kv, SCHEDULER_RECORD_KEY).await else {
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
            changes.push(records::put(
                SCHEDULER_RECORD_KEY.into(),
                record.value.clone(),
            ));
            self.write_transaction(kv, changes).await?;
        }
        Ok(self)
    }

    async fn write_transaction(
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
                // An earlier attempt was committed, or the leader key was deleted.
                Ok(_) | Err(KvError::OutcomeUnknown { .. }) => {
                    if self.was_committed(kv).await? {
                        return Ok(());
                    }
                }
                Err(_) => {}
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn transaction(&self, changes: &[Change]) -> Transaction {
        let compare = |key: &str, mod_revision| Compare {
            key: key.into(),
            mod_revision,
        };
        Transaction {
            compares: vec![
                compare(LEADER_KEY, self.fencing_token),
                compare(SCHEDULER_RECORD_KEY, self.revision),
            ],
            changes: changes.to_vec(),
        }
    }

    /// Whether the scheduler record has a new revision, which only an earlier attempt of the same write
    /// can have given it.
    async fn was_committed(&mut self, kv: &KeyValue) -> Result<bool, LeadershipLost> {
        let leader = self.read_with_retries(kv, LEADER_KEY).await;
        if leader.is_none_or(|entry| entry.mod_revision != self.fencing_token) {
            return Err(LeadershipLost);
        }
        let Some(record) = self.read_with_retries(kv, SCHEDULER_RECORD_KEY).await else {
            return Ok(false);
        };
        let changed = record.mod_revision != self.revision;
        self.revision = record.mod_revision;
        Ok(changed)
    }

    /// Reads a key, retrying until the store answers.
    async fn read_with_retries(&self, kv: &KeyValue, key: &str) -> Option<KvEntry> {
        let key: Arc<str> = key.into();
        loop {
            if let Ok(entry) = kv.get(&key).await {
                return entry;
            }
            tokio::time::sleep(RETRY_DELAY).await;
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
