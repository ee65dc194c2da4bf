//! Writes the leader's batches. Each write is conditional on the previous one, so that none takes effect
//! late or twice.
//!
//! A burst in a large fleet changes hundreds of jobs in the time of one transaction, and a worker's ends
//! are acknowledged only when they are stored. The transactions of a large batch are therefore spread over
//! lanes, each with a record of its own that every transaction of the lane compares and rewrites. A batch
//! begins only after the one before has been written on all lanes, so that any job may use any lane.

use std::time::Duration;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::{Batch, JobWrite};
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, Transaction};
use rosemaryscale_ports::prelude::*;

use super::records::{
    self, LANE_PREFIX, LEADER_KEY, SCHEDULER_RECORD_KEY, SchedulerRecord, StateRecord, WORKERS_KEY,
};

/// The store accepts 32 entries per transaction: two conditions, the record of the lane, and the changes.
const CHANGES_PER_TRANSACTION: usize = 29;
/// Number of lanes. With answers in 4 to 6 ms they write up to 1,300 transactions a second, about as many
/// as the store of a fleet with 350 workers accepts; a smaller fleet has too few changes to use them all.
const LANES: usize = 8;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Encodes the state of a maintenance wave, given its number and whether it is complete.
pub(super) type WaveStateFormat = fn(u64, bool) -> (Arc<str>, Bytes);

/// Writes batches on the condition that nobody else has written since the last write.
#[derive(Clone, Debug)]
pub(super) struct BatchWriter {
    /// Number of the term.
    term: u32,
    /// Name of this daemon.
    daemon: Arc<str>,
    /// Time after which a gateway no longer carries out an order; 0 while no gateway is used.
    pub(super) order_age_max_ms: u64,
    /// The lanes. The first one writes the scheduler record.
    lanes: Vec<Lane>,
}

/// A chain of transactions, each conditional on the previous one.
#[derive(Clone, Debug)]
struct Lane {
    /// Key of the record that every transaction rewrites.
    record_key: Arc<str>,
    /// Revision of the record.
    revision: u64,
    /// Fencing token of the term: the revision at which the leader key was created.
    fencing_token: u64,
}

/// Revisions of the lanes' records as of the start of a term, by key.
pub(super) type LaneRevisions = FastMap<Arc<str>, u64>;

/// Ids of records that the store need no longer keep.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpiredRecords {
    /// Jobs.
    pub(super) jobs: Vec<Arc<str>>,
    /// Cancellations without a job.
    pub(super) cancellations: Vec<Arc<str>>,
}

impl ExpiredRecords {
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.cancellations.is_empty()
    }
}

/// The leader key belongs to another daemon, or no daemon holds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipLost;

impl BatchWriter {
    /// Creates the writer of a term.
    pub(super) fn new(
        fencing_token: u64,
        term: u32,
        daemon: Arc<str>,
        order_age_max_ms: u64,
        revisions: &LaneRevisions,
    ) -> Self {
        let keys = std::iter::once(Arc::from(SCHEDULER_RECORD_KEY))
            .chain((1..LANES).map(|lane| Arc::from(format!("{LANE_PREFIX}{lane}"))));
        let lanes = keys.map(|record_key| Lane {
            revision: revisions.get(&record_key).copied().unwrap_or(0),
            record_key,
            fencing_token,
        });
        Self {
            term,
            daemon,
            order_age_max_ms,
            lanes: lanes.collect(),
        }
    }

    /// Writes a batch, retrying until the store answers.
    pub(super) async fn write(
        mut self,
        kv: &KeyValue,
        batch: &Batch,
        wave_state: WaveStateFormat,
    ) -> Result<Self, LeadershipLost> {
        let record = records::encode(&SchedulerRecord {
            term: self.term,
            rerouted: batch.rerouted.clone(),
            waves: batch.waves.clone(),
            daemon: Arc::clone(&self.daemon),
            released: batch.released,
            order_age_max_ms: self.order_age_max_ms,
        });
        if let Some(workers) = &batch.workers {
            let workers = records::put(WORKERS_KEY.into(), records::encode(workers));
            let lane = &mut self.lanes[0];
            lane.write(kv, vec![workers], record.clone()).await?;
        }
        let chunks = chunks(batch, wave_state);
        let mut assigned: Vec<Vec<Vec<Change>>> = vec![Vec::new(); LANES];
        for (index, chunk) in chunks.into_iter().enumerate() {
            assigned[index % LANES].push(chunk);
        }
        if assigned[0].is_empty() && batch.workers.is_none() {
            assigned[0].push(Vec::new());
        }
        let term = records::encode(&self.term);
        let writes = std::mem::take(&mut self.lanes)
            .into_iter()
            .zip(assigned)
            .enumerate()
            .map(|(index, (lane, chunks))| {
                let record = if index == 0 { &record } else { &term };
                lane.write_all(kv, chunks, record)
            });
        let written = futures_util::future::join_all(writes).await;
        self.lanes = written.into_iter().collect::<Result<_, _>>()?;
        Ok(self)
    }

    /// Deletes all records of the given jobs, and cancellations without a job.
    pub(super) async fn delete_expired(
        mut self,
        kv: &KeyValue,
        expired: &ExpiredRecords,
    ) -> Result<Self, LeadershipLost> {
        const KEYS_PER_JOB: usize = 4;
        let lane = &mut self.lanes[0];
        let Some(record) = read_with_retries(kv, &lane.record_key).await else {
            return Ok(self);
        };
        let job_keys = |id: &Arc<str>| {
            [
                records::job_key(id),
                records::cancel_key(id),
                records::state_key(id),
                records::progress_key(id),
            ]
        };
        let jobs = expired
            .jobs
            .chunks(CHANGES_PER_TRANSACTION / KEYS_PER_JOB)
            .map(|ids| ids.iter().flat_map(job_keys).collect::<Vec<_>>());
        let cancellations = expired
            .cancellations
            .chunks(CHANGES_PER_TRANSACTION)
            .map(|ids| ids.iter().map(|id| records::cancel_key(id)).collect());
        for keys in jobs.chain(cancellations) {
            let changes = keys.into_iter().map(|key| Change::Delete { key }).collect();
            lane.write(kv, changes, record.value.clone()).await?;
        }
        Ok(self)
    }
}

impl Lane {
    /// Writes chunks of changes one after the other.
    async fn write_all(
        mut self,
        kv: &KeyValue,
        chunks: Vec<Vec<Change>>,
        record: &Bytes,
    ) -> Result<Self, LeadershipLost> {
        for changes in chunks {
            self.write(kv, changes, record.clone()).await?;
        }
        Ok(self)
    }

    /// Writes changes together with the lane's record, retrying until the store answers.
    async fn write(
        &mut self,
        kv: &KeyValue,
        mut changes: Vec<Change>,
        record: Bytes,
    ) -> Result<(), LeadershipLost> {
        changes.push(records::put(Arc::clone(&self.record_key), record));
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
                compare(&self.record_key, self.revision),
            ],
            changes: changes.to_vec(),
        }
    }

    /// Whether the lane's record has a new revision, which only an earlier attempt of the same write can
    /// have given it.
    async fn was_committed(&mut self, kv: &KeyValue) -> Result<bool, LeadershipLost> {
        let leader = read_with_retries(kv, LEADER_KEY).await;
        if leader.is_none_or(|entry| entry.mod_revision != self.fencing_token) {
            return Err(LeadershipLost);
        }
        let Some(record) = read_with_retries(kv, &self.record_key).await else {
            return Ok(false);
        };
        let changed = record.mod_revision != self.revision;
        self.revision = record.mod_revision;
        Ok(changed)
    }
}

/// Reads a key, retrying until the store answers.
async fn read_with_retries(kv: &KeyValue, key: &str) -> Option<KvEntry> {
    let key: Arc<str> = key.into();
    loop {
        if let Ok(entry) = kv.get(&key).await {
            return entry;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// The changes of a batch by transaction. Jobs that have ended come first, since callers wait for them.
fn chunks(batch: &Batch, wave_state: WaveStateFormat) -> Vec<Vec<Change>> {
    let is_final = |job: &&JobWrite| job.state.is_some_and(JobState::is_final);
    let (ended, others): (Vec<&JobWrite>, Vec<&JobWrite>) = batch.jobs.iter().partition(is_final);
    let waves = batch.wave_states.iter().map(|(number, completed)| {
        let (key, value) = wave_state(*number, *completed);
        vec![records::put(key, value)]
    });
    let jobs = ended.into_iter().chain(others);
    let mut chunks: Vec<Vec<Change>> = Vec::new();
    // The changes of one job stay together.
    for group in waves.chain(jobs.map(|job| changes(job).collect())) {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() + group.len() <= CHANGES_PER_TRANSACTION => {
                chunk.extend(group);
            }
            _ => chunks.push(group),
        }
    }
    chunks
}

fn changes(write: &JobWrite) -> impl Iterator<Item = Change> {
    let progress = records::put_progress(&write.id, &write.progress);
    let state = write.state.map(|state| {
        let record = StateRecord {
            queue: Arc::clone(&write.queue),
            state,
            workspace: write.workspace.clone(),
        };
        records::put_state(&write.id, &record)
    });
    std::iter::once(progress).chain(state)
}
