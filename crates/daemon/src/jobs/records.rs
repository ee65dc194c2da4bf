//! Keys and records that the job service keeps in the store.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rosemaryscale_domain::job::{JobProgress, JobRecord, JobState};
use rosemaryscale_domain::schedule::{InstanceOrderRecord, WaveRecord};
use rosemaryscale_domain::worker_route::GatewayOffer;
use rosemaryscale_domain::workspace::Caller;
use rosemaryscale_ports::kv::{Change, KvEntry};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Prefix of accepted jobs and cancellations.
pub(super) const JOB_PREFIX: &str = "rosemaryscale/job/";
/// Prefix of the view that every daemon watches: the leader and the states of jobs.
pub(super) const VIEW_PREFIX: &str = "rosemaryscale/view/";
/// Prefix of job progress, which a new leader loads.
pub(super) const PROGRESS_PREFIX: &str = "rosemaryscale/progress/";
/// Key of the leader, attached to its lease.
pub(super) const LEADER_KEY: &str = "rosemaryscale/view/scheduler";
/// Key of the pressure on the services, which the leader writes while there is any.
pub(super) const PRESSURE_KEY: &str = "rosemaryscale/view/pressure";
/// Key of the scheduler record, which every batch of the leader rewrites.
pub(super) const SCHEDULER_RECORD_KEY: &str = "rosemaryscale/scheduler";
/// Prefix of the records of the further lanes on which the leader writes large batches.
pub(super) const LANE_PREFIX: &str = "rosemaryscale/scheduler-lane/";
/// Marker among the job keys that is created and deleted together with the leader key. A watch of jobs
/// therefore reports the loss of the leader key before any job accepted later. The marker sorts after
/// all job ids, so that a paged listing reads it last.
pub(super) const LEADER_MARKER_KEY: &str = "rosemaryscale/job/holder";
/// Key of the list of workers that may have runs, written when the list changes.
pub(super) const WORKERS_KEY: &str = "rosemaryscale/scheduler-workers";
/// Prefix of the daemons that offer to hold links to workers, each under a lease.
pub(super) const GATEWAY_PREFIX: &str = "rosemaryscale/gateway/";
/// Prefix of the daemons that peers ask for the configuration, each under a lease.
const PEER_PREFIX: &str = "rosemaryscale/view/daemon/";
/// Prefix of the states of jobs.
pub(super) const STATE_PREFIX: &str = "rosemaryscale/view/state/";
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of an accepted job.
pub(super) fn job_key(id: &str) -> Arc<str> {
    format!("{JOB_PREFIX}{id}").into()
}

/// Key of a job's cancellation.
pub(super) fn cancel_key(id: &str) -> Arc<str> {
    format!("{JOB_PREFIX}{id}{CANCEL_SUFFIX}").into()
}

/// Key of a job's state.
pub(super) fn state_key(id: &str) -> Arc<str> {
    format!("{STATE_PREFIX}{id}").into()
}

/// Key of a job's progress.
pub(super) fn progress_key(id: &str) -> Arc<str> {
    format!("{PROGRESS_PREFIX}{id}").into()
}

/// Kind of a key below [`JOB_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKeyKind<'a> {
    /// Record of the job with this id.
    Job(&'a str),
    /// Cancellation of the job with this id.
    Cancel(&'a str),
    /// Marker of the leader.
    Leader,
}

/// Parses a key below [`JOB_PREFIX`].
pub(super) fn job_key_kind(key: &str) -> Option<JobKeyKind<'_>> {
    if key == LEADER_MARKER_KEY {
        return Some(JobKeyKind::Leader);
    }
    let rest = key.strip_prefix(JOB_PREFIX)?;
    Some(match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => JobKeyKind::Cancel(id),
        None => JobKeyKind::Job(rest),
    })
}

/// Parses the job id from the key of a state.
pub(super) fn state_id(key: &str) -> Option<&str> {
    key.strip_prefix(STATE_PREFIX)
}

/// Key of a daemon's offer to its peers.
pub(super) fn peer_key(daemon: &str) -> Arc<str> {
    format!("{PEER_PREFIX}{daemon}").into()
}

/// Parses the name of a daemon from the key of its offer to its peers.
pub(super) fn peer_name(key: &str) -> Option<&str> {
    key.strip_prefix(PEER_PREFIX)
}

/// State of a job in the view that all daemons watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct StateRecord {
    /// The queue.
    #[serde(rename = "q")]
    pub(super) queue: Arc<str>,
    /// The state.
    #[serde(rename = "s")]
    pub(super) state: JobState,
    /// The job's workspace.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub(super) workspace: Option<Arc<str>>,
}

/// Identity of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// Name of the daemon.
    pub(super) daemon: Arc<str>,
    /// Identifier of the process, unique for each start.
    pub(super) incarnation: Arc<str>,
}

/// State of the scheduler apart from its jobs and workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct SchedulerRecord {
    /// Number of the leader's term.
    pub(super) term: u32,
    /// Queues whose tasks were sent to more than one service.
    #[serde(default)]
    pub(super) rerouted: Vec<Arc<str>>,
    /// Maintenance waves.
    #[serde(default)]
    pub(super) waves: Vec<WaveRecord>,
    /// Orders to instances that may still be carried out.
    #[serde(default)]
    pub(super) instance_orders: Vec<InstanceOrderRecord>,
    /// Name of the leader's daemon.
    #[serde(default)]
    pub(super) daemon: Arc<str>,
    /// Whether the leader has released its term and gives no more orders.
    #[serde(default)]
    pub(super) released: bool,
    /// Time after which a gateway no longer carries out an order of the term; 0 while the leader uses
    /// no gateways.
    #[serde(default)]
    pub(super) order_age_max_ms: u64,
    /// Whether workers that the record of workers does not name may have runs.
    #[serde(default)]
    pub(super) unknown_workers: bool,
}

/// Offer of a daemon to hold links to workers for the leader. Its key names the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct GatewayRecord {
    /// Address for the leader.
    pub(super) address: Arc<str>,
    /// Availability zone of the daemon.
    pub(super) zone: Arc<str>,
    /// Its share of a processor, in thousandths.
    pub(super) processor_milli: u64,
}

/// Where peers ask a daemon for the configuration. Its key names the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct PeerRecord {
    /// Address for its peers.
    pub(super) address: SocketAddr,
}

impl StateRecord {
    /// State of a job that is to be stored.
    pub(super) fn of_job(job: &JobRecord, state: JobState) -> Self {
        Self {
            queue: Arc::clone(&job.queue),
            state,
            workspace: job.workspace_name().cloned(),
        }
    }

    /// Whether the caller may read, repeat or cancel the job.
    pub(super) fn is_open_to(&self, caller: &Caller) -> bool {
        caller.may_access(self.workspace.as_deref(), &self.queue)
    }
}

impl GatewayRecord {
    /// Decodes the offer of a key and value; `None` if it is not an offer.
    pub(super) fn read(key: &str, value: &[u8]) -> Option<GatewayOffer> {
        let name = key.strip_prefix(GATEWAY_PREFIX)?;
        let record: Self = decode(value).ok()?;
        Some(GatewayOffer {
            name: name.into(),
            address: record.address,
            availability_zone: record.zone,
            processor_milli: record.processor_milli,
        })
    }
}

/// Encodes a record as JSON.
pub(super) fn encode<T: Serialize>(record: &T) -> Bytes {
    // Cannot fail: all maps in records have text keys.
    serde_json::to_vec(record).unwrap_or_default().into()
}

/// Decodes a record from JSON.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// Change that stores an accepted job.
pub(super) fn put_job(id: &str, record: &JobRecord) -> Change {
    put(job_key(id), encode(record))
}

/// Change that stores a job's state.
pub(super) fn put_state(id: &str, record: &StateRecord) -> Change {
    put(state_key(id), encode(record))
}

/// Change that stores the cancellation of a job on behalf of its callers. It takes no effect on a job that
/// none of them may access, which may also be created after it.
pub(super) fn put_cancellation(id: &str, callers: &[Caller]) -> Change {
    let value = match callers {
        [caller] => encode(caller),
        callers => encode(&callers),
    };
    put(cancel_key(id), value)
}

/// Who cancelled a job. A cancellation that cannot be read takes effect: it is of a version whose callers
/// had no workspaces.
pub(super) fn cancelling_callers(entry: &KvEntry) -> Vec<Caller> {
    decode::<Vec<Caller>>(&entry.value)
        .or_else(|_| decode::<Caller>(&entry.value).map(|caller| vec![caller]))
        .unwrap_or_else(|_| vec![Caller::default()])
}

/// Change that stores a daemon's offer to the leader.
pub(super) fn put_gateway(daemon: &str, record: &GatewayRecord, lease: u64) -> Change {
    Change::Put {
        key: format!("{GATEWAY_PREFIX}{daemon}").into(),
        value: encode(record),
        lease,
    }
}

/// Change that stores a daemon's offer to its peers.
pub(super) fn put_peer(daemon: &str, record: &PeerRecord, lease: u64) -> Change {
    Change::Put {
        key: peer_key(daemon),
        value: encode(record),
        lease,
    }
}

/// Change that stores a job's progress.
pub(super) fn put_progress(id: &str, progress: &JobProgress) -> Change {
    put(progress_key(id), encode(progress))
}

/// Change that stores a key without a lease.
pub(super) fn put(key: Arc<str>, value: Bytes) -> Change {
    Change::Put {
        key,
        value,
        lease: 0,
    }
}
