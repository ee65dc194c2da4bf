//! Keys and records of the job service in the store.

use std::sync::Arc;

use bytes::Bytes;
use rosemaryscale_domain::job::{JobProgress, JobRecord, JobState};
use rosemaryscale_domain::schedule::WaveRecord;
use rosemaryscale_ports::kv::Change;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Prefix of accepted jobs and of their cancellations.
pub(super) const JOB_PREFIX: &str = "rosemaryscale/job/";
/// Prefix of what every daemon watches.
pub(super) const VIEW_PREFIX: &str = "rosemaryscale/view/";
/// Prefix of what a new leader needs to know of jobs.
pub(super) const PROGRESS_PREFIX: &str = "rosemaryscale/progress/";
/// Key of the daemon that schedules; under its lease.
pub(super) const LEADER_KEY: &str = "rosemaryscale/view/scheduler";
/// Key that every batch of the leader rewrites.
pub(super) const CHAIN_KEY: &str = "rosemaryscale/scheduler";
/// Key beside the jobs that is created and deleted with the leader's key: whoever watches the jobs
/// is notified that a leader has lost its key before any job that was accepted later. It sorts after all
/// ids, so that a listing in pages reads it last.
pub(super) const LEADER_MARK_KEY: &str = "rosemaryscale/job/holder";
/// Key of the workers that may run something, written when they change.
pub(super) const WORKERS_KEY: &str = "rosemaryscale/scheduler-workers";
const STATE_PREFIX: &str = "rosemaryscale/view/state/";
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of an accepted job.
pub(super) fn job_key(id: &str) -> Arc<str> {
    format!("{JOB_PREFIX}{id}").into()
}

/// Key of a job's cancellation.
pub(super) fn cancel_key(id: &str) -> Arc<str> {
    format!("{JOB_PREFIX}{id}{CANCEL_SUFFIX}").into()
}

/// Key of the state of a job.
pub(super) fn state_key(id: &str) -> Arc<str> {
    format!("{STATE_PREFIX}{id}").into()
}

/// Key of the progress of a job.
pub(super) fn progress_key(id: &str) -> Arc<str> {
    format!("{PROGRESS_PREFIX}{id}").into()
}

/// What a key below the prefix of jobs holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKeyKind<'a> {
    /// The job of this id.
    Job(&'a str),
    /// That the job of this id was cancelled.
    Cancel(&'a str),
    /// Who schedules.
    Leader,
}

/// Reads a key below the prefix of jobs.
pub(super) fn job_key_kind(key: &str) -> Option<JobKeyKind<'_>> {
    if key == LEADER_MARK_KEY {
        return Some(JobKeyKind::Leader);
    }
    let rest = key.strip_prefix(JOB_PREFIX)?;
    Some(match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => JobKeyKind::Cancel(id),
        None => JobKeyKind::Job(rest),
    })
}

/// The job's id in the key of a state.
pub(super) fn state_id(key: &str) -> Option<&str> {
    key.strip_prefix(STATE_PREFIX)
}

/// State of a job as all daemons see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct StateRecord {
    /// The queue.
    #[serde(rename = "q")]
    pub(super) queue: Arc<str>,
    /// The state.
    #[serde(rename = "s")]
    pub(super) state: JobState,
}

/// Who schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// Name of the daemon.
    pub(super) daemon: Arc<str>,
    /// Name of the process.
    pub(super) incarnation: Arc<str>,
}

/// What every batch of the leader rewrites.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChainRecord {
    /// Number of the leader's term.
    pub(super) term: u32,
    /// Queues whose work has gone to more than one service.
    #[serde(default)]
    pub(super) rerouted: Vec<Arc<str>>,
    /// Waves of maintenance.
    #[serde(default)]
    pub(super) waves: Vec<WaveRecord>,
    /// Name of the leader's daemon.
    #[serde(default)]
    pub(super) daemon: Arc<str>,
    /// Whether the leader gives no more orders.
    #[serde(default)]
    pub(super) released: bool,
}

/// Writes a record.
pub(super) fn encode<T: Serialize>(record: &T) -> Bytes {
    // Records have no maps with keys that are not text, so this cannot fail.
    serde_json::to_vec(record).unwrap_or_default().into()
}

/// Reads a record.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Writes the record of an accepted job.
pub(super) fn put_job(id: &str, record: &JobRecord) -> Change {
    put(job_key(id), encode(record))
}

/// Writes the state of a job.
pub(super) fn put_state(id: &str, queue: &Arc<str>, state: JobState) -> Change {
    let record = StateRecord {
        queue: Arc::clone(queue),
        state,
    };
    put(state_key(id), encode(&record))
}

/// Writes the progress of a job.
pub(super) fn put_progress(id: &str, progress: &JobProgress) -> Change {
    put(progress_key(id), encode(progress))
}

/// Writes a key without a lease.
pub(super) fn put(key: Arc<str>, value: Bytes) -> Change {
    Change::Put {
        key,
        value,
        lease: 0,
    }
}
