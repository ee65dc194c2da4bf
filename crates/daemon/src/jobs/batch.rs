//! Writes the leader's batches. Each write is conditional on the previous one, so that none takes effect
//! late or twice.
//!
//! A burst in a large fleet changes hundreds of jobs in the time of one transaction, and a worker's ends
//! are acknowledged only when they are stored. The transactions of a large batch are therefore spread over
//! lanes, each with a record of its own that every transaction of the lane compares and rewrites. A batch
//! begins only after the one before has been written on all lanes, so that any job may use any lane.
//!
//! A change that the store rejects for good, such as a value above its limit, is written without: everything
//! else of the fleet waits for the batch. The ends of a job whose progress was rejected are acknowledged
//! nevertheless. After a change of the leader its completed tasks run again; without the acknowledgement they
//! would fill the list of ends of each worker that ran them, which shows 500 at a time, and hide the ends of
//! all other jobs.

use std::time::Duration;

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::{Batch, JobWrite};
use rosemaryscale_ports::kv::{Change, Compare, KeyValue, KvEntry, KvError, Transaction};
use rosemaryscale_ports::prelude::*;
use slog::{Logger, warn};

use super::records::{
    self, LANE_PREFIX, LEADER_KEY, SCHEDULER_RECORD_KEY, SchedulerRecord, StateRecord, WORKERS_KEY,
};

/// The store accepts 32 entries per transaction: two conditions, the record of the lane, and the changes.
const CHANGES_PER_TRANSACTION: usize = 29;
/// Bound on the keys and values of a transaction that writes several jobs. The store accepts values of 1 MiB,
/// and 29 of them would take longer than the time limit of a call, however often it is repeated.
const BYTES_PER_TRANSACTION: usize = 256 * 1024;
/// Number of lanes. With answers in 4 to 6 ms they write up to 1,300 transactions a second, about as many
/// as the store of a fleet with 350 workers accepts; a smaller fleet has too few changes to use them all.
const LANES: usize = 8;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Encodes the state of a maintenance wave, given its number and whether it is complete.
pub(super) type WaveStateFormat = fn(u64, bool) -> (Arc<str>, Bytes);

/// Changes that are stored together, such as those of a job, unless the store rejects one of them.
type ChangeGroup = Vec<Change>;

/// Writes batches on the condition that nobody else has written since the last write.
pub(super) struct BatchWriter {
    /// Number of the term.
    term: u32,
    /// Name of this daemon.
    daemon: Arc<str>,
    /// Time after which a gateway no longer carries out an order; 0 while no gateway is used.
    pub(super) order_age_max_ms: u64,
    /// The lanes. The first one writes the scheduler record.
    lanes: Vec<Lane>,
    /// Whether the record of the second lane holds the term.
    is_term_on_second_lane: bool,
}

/// A chain of transactions, each conditional on the previous one.
struct Lane {
    /// Key of the record that every transaction rewrites.
    record_key: Arc<str>,
    /// Revision of the record.
    revision: u64,
    /// Fencing token of the term: the revision at which the leader key was created.
    fencing_token: u64,
    /// Keys of the changes that the store has rejected.
    rejected: Vec<Arc<str>>,
    metrics: Metrics,
    log: Logger,
}

/// Why the store rejected a transaction.
struct Rejection {
    reason: String,
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
        (metrics, log): (&Metrics, &Logger),
    ) -> Self {
        let keys = std::iter::once(Arc::from(SCHEDULER_RECORD_KEY))
            .chain((1..LANES).map(|lane| Arc::from(format!("{LANE_PREFIX}{lane}"))));
        let lanes = keys.map(|record_key| Lane {
            revision: revisions.get(&record_key).copied().unwrap_or(0),
            record_key,
            fencing_token,
            rejected: Vec::new(),
            metrics: Arc::clone(metrics),
            log: log.clone(),
        });
        Self {
            term,
            daemon,
            order_age_max_ms,
            lanes: lanes.collect(),
            is_term_on_second_lane: false,
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
            instance_orders: batch.instance_orders.clone(),
            daemon: Arc::clone(&self.daemon),
            released: batch.released,
            order_age_max_ms: self.order_age_max_ms,
            unknown_workers: batch.unknown_workers,
        });
        if let Some(workers) = &batch.workers {
            let workers = records::put(WORKERS_KEY.into(), records::encode(workers));
            let lane = &mut self.lanes[0];
            lane.write(kv, vec![vec![workers]], &record).await?;
        }
        let chunks = chunks(batch, wave_state);
        let mut assigned: Vec<Vec<Vec<ChangeGroup>>> = vec![Vec::new(); LANES];
        for (index, chunk) in chunks.into_iter().enumerate() {
            assigned[index % LANES].push(chunk);
        }
        if assigned[0].is_empty() && batch.workers.is_none() {
            assigned[0].push(Vec::new());
        }
        // The next leader takes the term from there if it cannot read the scheduler record.
        if !std::mem::replace(&mut self.is_term_on_second_lane, true) && assigned[1].is_empty() {
            assigned[1].push(Vec::new());
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

    /// Returns the keys of the changes that the store has rejected since the last call.
    pub(super) fn take_rejected(&mut self) -> Vec<Arc<str>> {
        let lanes = self.lanes.iter_mut();
        lanes
            .flat_map(|lane| std::mem::take(&mut lane.rejected))
            .collect()
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
        let delete = |key| Change::Delete { key };
        let jobs = expired
            .jobs
            .chunks(CHANGES_PER_TRANSACTION / KEYS_PER_JOB)
            .map(|ids| ids.iter().map(|id| job_keys(id).map(delete).into()));
        for groups in jobs {
            lane.write(kv, groups.collect(), &record.value).await?;
        }
        for ids in expired.cancellations.chunks(CHANGES_PER_TRANSACTION) {
            let groups = ids.iter().map(|id| vec![delete(records::cancel_key(id))]);
            lane.write(kv, groups.collect(), &record.value).await?;
        }
        Ok(self)
    }
}

impl Lane {
    /// Writes chunks of changes one after the other.
    async fn write_all(
        mut self,
        kv: &KeyValue,
        chunks: Vec<Vec<ChangeGroup>>,
        record: &Bytes,
    ) -> Result<Self, LeadershipLost> {
        for groups in chunks {
            self.write(kv, groups, record).await?;
        }
        Ok(self)
    }

    /// Writes changes together with the lane's record. Changes that the store rejects are divided until the
    /// one at fault stands alone, which is left out.
    async fn write(
        &mut self,
        kv: &KeyValue,
        groups: Vec<ChangeGroup>,
        record: &Bytes,
    ) -> Result<(), LeadershipLost> {
        let mut pending = vec![groups];
        let mut attempts = 0_u64;
        while let Some(mut groups) = pending.pop() {
            let Err(rejection) = self.transact(kv, &groups, record).await? else {
                continue;
            };
            if let [group] = &mut groups[..]
                && group.len() > 1
            {
                groups = group.drain(..).map(|change| vec![change]).collect();
            }
            if groups.len() > 1 {
                let later = groups.split_off(groups.len() / 2);
                pending.extend([later, groups]);
                continue;
            }
            // A store that also rejects the record alone rejects every write, for whatever reason. A change that
            // is accepted after that was rejected for a reason that has passed.
            if let Some(change) = groups.first().and_then(|group| group.first())
                && self.transact(kv, &[], record).await?.is_ok()
            {
                if self.transact(kv, &groups, record).await?.is_err() {
                    self.leave_out(change, &rejection);
                }
                continue;
            }
            attempts += 1;
            if attempts.is_power_of_two() {
                warn!(self.log, "writes rejected"; "key" => &*self.record_key, "attempts" => attempts,
                    "reason" => rejection.reason);
            }
            pending.push(groups);
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Ok(())
    }

    fn leave_out(&mut self, change: &Change, rejection: &Rejection) {
        let (key, bytes) = match change {
            Change::Put { key, value, .. } => (key, value.len()),
            Change::Delete { key } => (key, 0),
        };
        self.metrics.count("batches.changes_rejected", 1);
        warn!(self.log, "change not stored"; "key" => &**key, "bytes" => bytes,
            "reason" => &*rejection.reason);
        self.rejected.push(Arc::clone(key));
    }

    /// Runs a transaction, retrying until the store commits or rejects it.
    async fn transact(
        &mut self,
        kv: &KeyValue,
        groups: &[ChangeGroup],
        record: &Bytes,
    ) -> Result<Result<(), Rejection>, LeadershipLost> {
        let mut changes: Vec<Change> = groups.iter().flatten().cloned().collect();
        changes.push(records::put(Arc::clone(&self.record_key), record.clone()));
        loop {
            match kv.transact(self.transaction(&changes)).await {
                Ok(result) if result.succeeded => {
                    self.revision = result.revision;
                    return Ok(Ok(()));
                }
                // An earlier attempt was committed, or the leader key was deleted.
                Ok(_) | Err(KvError::OutcomeUnknown { .. }) => {
                    if self.was_committed(kv).await? {
                        return Ok(Ok(()));
                    }
                }
                Err(KvError::Rejected { reason }) => return Ok(Err(Rejection { reason })),
                Err(KvError::Unavailable { .. } | KvError::LeaseExpired { .. }) => {}
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
fn chunks(batch: &Batch, wave_state: WaveStateFormat) -> Vec<Vec<ChangeGroup>> {
    let is_final = |job: &&JobWrite| job.state.is_some_and(JobState::is_final);
    let (ended, others): (Vec<&JobWrite>, Vec<&JobWrite>) = batch.jobs.iter().partition(is_final);
    let waves = batch.wave_states.iter().map(|(number, completed)| {
        let (key, value) = wave_state(*number, *completed);
        vec![records::put(key, value)]
    });
    let jobs = ended.into_iter().chain(others);
    let mut chunks: Vec<Vec<ChangeGroup>> = Vec::new();
    let (mut count, mut bytes) = (0, 0);
    // The changes of one job stay together.
    for group in waves.chain(jobs.map(|job| changes(job).collect())) {
        let group_bytes: usize = group.iter().map(change_bytes).sum();
        count += group.len();
        bytes += group_bytes;
        match chunks.last_mut() {
            Some(chunk) if count <= CHANGES_PER_TRANSACTION && bytes <= BYTES_PER_TRANSACTION => {
                chunk.push(group);
            }
            _ => {
                (count, bytes) = (group.len(), group_bytes);
                chunks.push(vec![group]);
            }
        }
    }
    chunks
}

fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() + value.len(),
        Change::Delete { key } => key.len(),
    }
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
