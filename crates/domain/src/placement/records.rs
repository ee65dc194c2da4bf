//! Queue of job records to write: at most one per job, batched into few transactions.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::job::{JobInfo, JobOutcome};

/// Records per transaction. The platform allows 128 operations, some of which are needed for
/// conditions.
pub const BATCH_RECORDS: usize = 100;

/// Ends of jobs are batched for this time; the reports to their callers are delayed accordingly.
const END_BATCH_DELAY_MS: u64 = 500;

/// Stored state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRecord {
    /// It was accepted. It may be running if it is repeatable.
    Accepted,
    /// It must not be repeated, and a run of it may have started.
    MayRun {
        /// Worker of the run.
        worker: WorkerKey,
        /// Fencing token of the run.
        token: u64,
        /// Incarnation of the worker.
        incarnation: u64,
    },
    /// It has ended.
    Ended(JobOutcome),
}

/// A record to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobWrite {
    /// Key of the job.
    pub job: JobKey,
    /// Name of the job, which is its key in the store.
    pub name: Arc<str>,
    /// Properties of the job.
    pub info: JobInfo,
    /// State to store.
    pub record: PlacementRecord,
}

/// The latest unwritten record of each job. Records that delay a start are written first.
#[derive(Debug, Default)]
pub(super) struct Records {
    starts: BTreeMap<JobKey, PlacementRecord>,
    accepted: BTreeMap<JobKey, PlacementRecord>,
    ends: BTreeMap<JobKey, PlacementRecord>,
    in_flight: Vec<(JobKey, PlacementRecord)>,
    last_batch_at: Millis,
}

impl Records {
    /// Queues a record in place of the previous unwritten one of the job.
    pub(super) fn put(&mut self, job: JobKey, record: PlacementRecord) {
        self.starts.remove(&job);
        self.accepted.remove(&job);
        self.ends.remove(&job);
        let queue = match record {
            PlacementRecord::Ended(_) => &mut self.ends,
            PlacementRecord::Accepted => &mut self.accepted,
            PlacementRecord::MayRun { .. } => &mut self.starts,
        };
        queue.insert(job, record);
    }

    /// The records of the next transaction; `None` while one is in flight.
    ///
    /// Ends of jobs are batched, unless records of starts or acceptances are due anyway.
    pub(super) fn next_batch(&mut self, now: Millis) -> Option<&[(JobKey, PlacementRecord)]> {
        let batching_ends = now.ms_since(self.last_batch_at) < END_BATCH_DELAY_MS;
        let full_batch = self.ends.len() >= BATCH_RECORDS;
        let start_waits = !self.starts.is_empty() || !self.accepted.is_empty();
        if !self.in_flight.is_empty() || (batching_ends && !full_batch && !start_waits) {
            return None;
        }
        self.last_batch_at = now;
        while self.in_flight.len() < BATCH_RECORDS {
            let next = self.starts.pop_first();
            let next = next.or_else(|| self.accepted.pop_first());
            let next = next.or_else(|| self.ends.pop_first());
            let Some(next) = next else { break };
            self.in_flight.push(next);
        }
        (!self.in_flight.is_empty()).then_some(&self.in_flight)
    }

    /// Completes the transaction in flight and returns its records.
    pub(super) fn complete(&mut self) -> Vec<(JobKey, PlacementRecord)> {
        std::mem::take(&mut self.in_flight)
    }

    /// Queues the records in flight again after a failure or a lost reply, except those that a
    /// later record has replaced.
    pub(super) fn retry(&mut self) {
        for (job, record) in std::mem::take(&mut self.in_flight) {
            let queues = [&self.starts, &self.accepted, &self.ends];
            if !queues.iter().any(|queue| queue.contains_key(&job)) {
                self.put(job, record);
            }
        }
    }
}
