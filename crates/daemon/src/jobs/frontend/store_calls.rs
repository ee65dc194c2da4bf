//! Store access on behalf of a single caller request.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::job::{JobRecord, JobSpec, JobState};
use rosemaryscale_domain::workspace::{Caller, Workspace};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{JobReply, QueueConfig};
use rosemaryscale_ports::kv::{Compare, KeyValue, KvEntry, KvError, Transaction};
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;

use super::refusal::unavailable;
use crate::jobs::records::{self, StateRecord};

/// Maximum number of attempts for a write.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// A submitted job that is not stored yet.
pub(super) struct Submission {
    pub(super) id: Arc<str>,
    pub(super) record: JobRecord,
}

impl Submission {
    pub(super) fn new(
        clock: &ClockHandle,
        config: &QueueConfig,
        id: Arc<str>,
        queue: Arc<str>,
        workspace: Option<Workspace>,
        spec: JobSpec,
    ) -> Option<Self> {
        let policy = config.policies.get(&queue)?.clone();
        Some(Self {
            id,
            record: JobRecord {
                queue,
                policy,
                received_wall_ms: clock.wall().as_ms(),
                workspace,
                spec,
            },
        })
    }
}

/// Store calls that share the deadline of one request.
pub(super) struct StoreCalls {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) deadline: Millis,
    pub(super) store_reachable: watch::Receiver<bool>,
}

impl StoreCalls {
    /// Creates the job's record unless it exists.
    pub(super) async fn submit(&self, job: &Submission, caller: &Caller) -> JobReply {
        let transaction = Transaction {
            compares: vec![Compare {
                key: records::job_key(&job.id),
                mod_revision: 0,
            }],
            changes: vec![
                records::put_job(&job.id, &job.record),
                records::put_state(&job.id, &StateRecord::of_job(&job.record, JobState::Queued)),
            ],
        };
        match self.write(transaction).await {
            Ok(true) => JobReply::Accepted,
            // An earlier attempt has already stored the job, or it belongs to another workspace.
            Ok(false) => self.check_owner(job, caller).await,
            Err(reply) => reply,
        }
    }

    /// Answers the submission of a job whose id is in use.
    async fn check_owner(&self, job: &Submission, caller: &Caller) -> JobReply {
        if *caller == Caller::default() {
            return JobReply::Accepted;
        }
        match self.kv.get(&records::job_key(&job.id)).await {
            Ok(Some(entry)) => match records::decode::<JobRecord>(&entry.value) {
                Ok(stored) if !caller.may_access_job(&stored) => JobReply::IdTaken,
                _ => JobReply::Accepted,
            },
            // The job has ended and was deleted meanwhile, or its owner is not known.
            Ok(None) | Err(_) => JobReply::OutcomeUnknown,
        }
    }

    /// Whether the store certainly has no record of the job.
    pub(super) async fn is_absent(&self, id: &str) -> bool {
        matches!(self.kv.get(&records::job_key(id)).await, Ok(None))
    }

    /// Cancels a job. The cancellation of a job that the store does not have is stored as well: a write of
    /// another daemon that creates the job may take effect later, and the leader then starts none of it.
    pub(super) async fn cancel(&self, id: &str, caller: &Caller, is_known: bool) -> JobReply {
        let transaction = |compares| Transaction {
            compares,
            changes: vec![records::put_cancellation(id, caller)],
        };
        if !is_known {
            let is_absent = Compare {
                key: records::job_key(id),
                mod_revision: 0,
            };
            match self.write(transaction(vec![is_absent])).await {
                Ok(true) => return JobReply::NoSuchJob,
                Ok(false) if *caller == Caller::default() => {}
                Ok(false) => match self.kv.get(&records::state_key(id)).await {
                    Ok(Some(entry)) if !is_open_to(&entry, caller) => return JobReply::NoSuchJob,
                    Ok(_) => {}
                    Err(error) => return unavailable(&error.to_string()),
                },
                Err(reply) => return reply,
            }
        }
        match self.write(transaction(Vec::new())).await {
            Ok(_) => JobReply::Cancelled,
            Err(reply) => reply,
        }
    }

    pub(super) async fn read(
        &self,
        id: Arc<str>,
        caller: &Caller,
    ) -> (JobReply, Option<(Arc<str>, StateRecord)>) {
        let entry = match self.kv.get(&records::state_key(&id)).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return (JobReply::NoSuchJob, None),
            Err(error) => return (unavailable(&error.to_string()), None),
        };
        match records::decode::<StateRecord>(&entry.value) {
            Ok(record) if !record.is_open_to(caller) => (JobReply::NoSuchJob, Some((id, record))),
            Ok(record) => (JobReply::State(record.state), Some((id, record))),
            Err(error) => (unavailable(&error.to_string()), None),
        }
    }

    /// Runs an idempotent transaction until the deadline.
    async fn write(&self, transaction: Transaction) -> Result<bool, JobReply> {
        let remaining_ms = self.deadline.ms_since(self.clock.now());
        let timeout = Duration::from_millis(remaining_ms);
        match tokio::time::timeout(timeout, self.write_with_retries(transaction)).await {
            Ok(result) => result,
            // The attempt in flight may still take effect.
            Err(_) => Err(JobReply::OutcomeUnknown),
        }
    }

    /// Runs a transaction with retries. A definite refusal is returned only if no attempt can have
    /// taken effect or can still do so.
    async fn write_with_retries(&self, transaction: Transaction) -> Result<bool, JobReply> {
        let mut outcome_unknown = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.kv.transact(transaction.clone()).await {
                Ok(result) => return Ok(result.succeeded),
                Err(KvError::OutcomeUnknown { .. }) => outcome_unknown = true,
                Err(error) if !outcome_unknown => return Err(unavailable(&error.to_string())),
                Err(_) => {}
            }
            if !*self.store_reachable.borrow() {
                break;
            }
        }
        Err(JobReply::OutcomeUnknown)
    }
}

/// Whether the caller may cancel the job with this stored state. A state that cannot be read is open: the
/// leader checks the owner again.
fn is_open_to(entry: &KvEntry, caller: &Caller) -> bool {
    records::decode::<StateRecord>(&entry.value).map_or(true, |record| record.is_open_to(caller))
}
