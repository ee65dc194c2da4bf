//! Store access on behalf of a single caller request.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::job::{JobRecord, JobState};
use rosemaryscale_domain::workspace::Caller;
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::JobReply;
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
        let entry = self.get(&records::job_key(&job.id)).await;
        let stored = entry
            .ok()
            .flatten()
            .and_then(|entry| records::decode::<JobRecord>(&entry.value).ok());
        match stored {
            Some(stored) if caller.may_access_job(&stored) => JobReply::Accepted,
            Some(_) => JobReply::IdTaken,
            // The job has ended and was deleted meanwhile, or its owner is not known.
            None => JobReply::OutcomeUnknown,
        }
    }

    /// Whether the store certainly has no record of the job.
    pub(super) async fn is_absent(&self, id: &str) -> bool {
        matches!(self.get(&records::job_key(id)).await, Ok(None))
    }

    /// Cancels a job. The cancellation of a job that the store does not have is stored as well: a write of
    /// another daemon that creates the job may take effect later, and the leader then starts none of it.
    pub(super) async fn cancel(&self, id: &str, caller: &Caller, is_known: bool) -> JobReply {
        let outcome = if is_known {
            self.cancel_stored(id, caller).await
        } else {
            self.cancel_unknown(id, caller).await
        };
        outcome.unwrap_or_else(|reply| reply)
    }

    async fn cancel_stored(&self, id: &str, caller: &Caller) -> Result<JobReply, JobReply> {
        let cancellation = records::put_cancellation(id, std::slice::from_ref(caller));
        self.write(Transaction {
            compares: Vec::new(),
            changes: vec![cancellation],
        })
        .await?;
        Ok(JobReply::Cancelled)
    }

    /// Cancels a job that the view does not show.
    async fn cancel_unknown(&self, id: &str, caller: &Caller) -> Result<JobReply, JobReply> {
        if self.cancel_absent(id, caller, None).await? {
            return Ok(JobReply::NoSuchJob);
        }
        let state = self.get(&records::state_key(id)).await?;
        match state {
            Some(entry) if !is_open_to(&entry, caller) => Ok(JobReply::NoSuchJob),
            Some(_) => self.cancel_stored(id, caller).await,
            None => self.join_cancellation(id, caller).await,
        }
    }

    /// Adds the caller to a cancellation of others: which of them may cancel the job is not known before
    /// it is created.
    async fn join_cancellation(&self, id: &str, caller: &Caller) -> Result<JobReply, JobReply> {
        let Some(entry) = self.get(&records::cancel_key(id)).await? else {
            // The job, with its cancellation, was deleted meanwhile.
            return Ok(JobReply::NoSuchJob);
        };
        if self.cancel_absent(id, caller, Some(&entry)).await? {
            return Ok(JobReply::NoSuchJob);
        }
        Err(JobReply::OutcomeUnknown)
    }

    /// Stores the cancellation of a job that the store does not have, next to those in an earlier record.
    /// Returns whether the store still had neither the job nor a newer record.
    async fn cancel_absent(
        &self,
        id: &str,
        caller: &Caller,
        earlier: Option<&KvEntry>,
    ) -> Result<bool, JobReply> {
        let mut callers = earlier.map_or_else(Vec::new, records::cancelling_callers);
        if callers.contains(caller) {
            return Ok(true);
        }
        callers.push(caller.clone());
        let compare = |key, mod_revision| Compare { key, mod_revision };
        self.write(Transaction {
            compares: vec![
                compare(records::job_key(id), 0),
                compare(
                    records::cancel_key(id),
                    earlier.map_or(0, |entry| entry.mod_revision),
                ),
            ],
            changes: vec![records::put_cancellation(id, &callers)],
        })
        .await
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

    /// Reads a key until the deadline. Fails as unknown, since an earlier write of the request may have taken
    /// effect.
    async fn get(&self, key: &Arc<str>) -> Result<Option<KvEntry>, JobReply> {
        match tokio::time::timeout(self.remaining(), self.kv.get(key)).await {
            Ok(Ok(entry)) => Ok(entry),
            Ok(Err(_)) | Err(_) => Err(JobReply::OutcomeUnknown),
        }
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline.ms_since(self.clock.now()))
    }

    /// Runs an idempotent transaction until the deadline.
    async fn write(&self, transaction: Transaction) -> Result<bool, JobReply> {
        match tokio::time::timeout(self.remaining(), self.write_with_retries(transaction)).await {
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
