//! Calls to the store for one request of a caller.

use std::sync::Arc;
use std::time::Duration;

use rosemaryscale_domain::job::{JobRecord, JobSpec, JobState};
use rosemaryscale_ports::clock::ClockHandle;
use rosemaryscale_ports::job::{FrontReply, QueueConfig};
use rosemaryscale_ports::kv::{Compare, KeyValue, KvError, Transaction};
use rosemaryscale_ports::prelude::*;
use tokio::sync::watch;

use super::unavailable;
use crate::jobs::records::{self, StateRecord};

/// Attempts of a write whose outcome is not known.
const WRITE_ATTEMPTS: u32 = 3;

/// A job on its way into the store.
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
        spec: JobSpec,
    ) -> Option<Self> {
        let policy = config.policies.get(&queue)?.clone();
        Some(Self {
            id,
            record: JobRecord {
                queue,
                policy,
                received_wall_ms: clock.wall().as_ms(),
                spec,
            },
        })
    }
}

/// Calls to the store for one request.
pub(super) struct StoreCalls {
    pub(super) kv: KeyValue,
    pub(super) clock: ClockHandle,
    pub(super) deadline: Millis,
    pub(super) store_answers: watch::Receiver<bool>,
}

impl StoreCalls {
    /// Creates the job's record unless it exists.
    pub(super) async fn submit(&self, job: &Submission) -> FrontReply {
        let transaction = Transaction {
            compares: vec![Compare {
                key: records::job_key(&job.id),
                mod_revision: 0,
            }],
            changes: vec![
                records::put_job(&job.id, &job.record),
                records::put_state(&job.id, &job.record.queue, JobState::Queued),
            ],
        };
        match self.write(transaction).await {
            // The record of an earlier attempt of the same job is there.
            Ok(_) => FrontReply::Accepted,
            Err(reply) => reply,
        }
    }

    pub(super) async fn cancel(&self, id: &str, known: bool) -> FrontReply {
        if !known {
            match self.kv.get(&records::job_key(id)).await {
                Ok(Some(_)) => {}
                Ok(None) => return FrontReply::NoSuchJob,
                Err(error) => return unavailable(&error.to_string()),
            }
        }
        let transaction = Transaction {
            compares: Vec::new(),
            changes: vec![records::put(records::cancel_key(id), "{}".into())],
        };
        match self.write(transaction).await {
            Ok(_) => FrontReply::Cancelled,
            Err(reply) => reply,
        }
    }

    pub(super) async fn read(&self, id: Arc<str>) -> (FrontReply, Option<(Arc<str>, StateRecord)>) {
        let entry = match self.kv.get(&records::state_key(&id)).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return (FrontReply::NoSuchJob, None),
            Err(error) => return (unavailable(&error.to_string()), None),
        };
        match records::decode::<StateRecord>(&entry.value) {
            Ok(record) => (FrontReply::State(record.state), Some((id, record))),
            Err(error) => (unavailable(&error.to_string()), None),
        }
    }

    /// Runs a transaction that may safely be repeated, until the caller has to have an answer.
    async fn write(&self, transaction: Transaction) -> Result<bool, FrontReply> {
        let left_ms = self.deadline.ms_since(self.clock.now());
        let limit = Duration::from_millis(left_ms);
        match tokio::time::timeout(limit, self.try_write(transaction)).await {
            Ok(result) => result,
            // An attempt is under way.
            Err(_) => Err(FrontReply::OutcomeUnknown),
        }
    }

    /// Tries a transaction. A refusal is true: it is given only if no attempt can have taken
    /// effect, now or later.
    async fn try_write(&self, transaction: Transaction) -> Result<bool, FrontReply> {
        let mut unknown = false;
        for _ in 0..WRITE_ATTEMPTS {
            match self.kv.transact(transaction.clone()).await {
                Ok(result) => return Ok(result.succeeded),
                Err(KvError::OutcomeUnknown { .. }) => unknown = true,
                Err(error) if !unknown => return Err(unavailable(&error.to_string())),
                Err(_) => {}
            }
            if !*self.store_answers.borrow() {
                break;
            }
        }
        Err(FrontReply::OutcomeUnknown)
    }
}
