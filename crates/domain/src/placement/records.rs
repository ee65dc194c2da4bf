//! Job records that wait to be written, one per job and grouped into few transactions.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::job::{JobInfo, JobOutcome};

/// Records of one transaction; the platform takes at most 128 operations, some for conditions.
pub const BATCH_RECORDS: usize = 100;

/// Ends of jobs are collected for this time; their callers wait for it.
const COLLECT_MS: u64 = 500;

/// What the key of a job holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecord {
    /// It waits, or it may be repeated and runs somewhere.
    Accepted,
    /// It must not be repeated and may run.
    MayRun {
        /// The worker.
        worker: WorkerKey,
        /// Fencing token.
        token: u64,
        /// Process of the worker.
        incarnation: u64,
    },
    /// It has ended.
    Ended(JobOutcome),
}

/// A record to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobWrite {
    /// The job.
    pub job: JobKey,
    /// Its name.
    pub name: Arc<str>,
    /// What it asked for.
    pub info: JobInfo,
    /// What the key will hold.
    pub record: JobRecord,
}

/// Newest unwritten record of each job, with records that a start waits for first.
#[derive(Debug, Default)]
pub(super) struct Records {
    starts: BTreeMap<JobKey, JobRecord>,
    accepted: BTreeMap<JobKey, JobRecord>,
    ends: BTreeMap<JobKey, JobRecord>,
    in_flight: Vec<(JobKey, JobRecord)>,
    collected_at: Millis,
}

impl Records {
    /// Replaces the unwritten record of a job.
    pub(super) fn put(&mut self, job: JobKey, record: JobRecord) {
        self.starts.remove(&job);
        self.accepted.remove(&job);
        self.ends.remove(&job);
        let queue = match record {
            JobRecord::Ended(_) => &mut self.ends,
            JobRecord::Accepted => &mut self.accepted,
            JobRecord::MayRun { .. } => &mut self.starts,
        };
        queue.insert(job, record);
    }

    /// The next transaction; none while one is in flight.
    ///
    /// Records that no start waits for are collected for a while.
    pub(super) fn next(&mut self, now: Millis) -> Option<&[(JobKey, JobRecord)]> {
        let collecting = now.ms_since(self.collected_at) < COLLECT_MS;
        let full = self.ends.len() >= BATCH_RECORDS;
        let waited_for = !self.starts.is_empty() || !self.accepted.is_empty();
        if !self.in_flight.is_empty() || (collecting && !full && !waited_for) {
            return None;
        }
        self.collected_at = now;
        while self.in_flight.len() < BATCH_RECORDS {
            let next = self.starts.pop_first();
            let next = next.or_else(|| self.accepted.pop_first());
            let next = next.or_else(|| self.ends.pop_first());
            let Some(next) = next else { break };
            self.in_flight.push(next);
        }
        (!self.in_flight.is_empty()).then_some(&self.in_flight)
    }

    /// The transaction took effect.
    pub(super) fn written(&mut self) -> Vec<(JobKey, JobRecord)> {
        std::mem::take(&mut self.in_flight)
    }

    /// The transaction did not take effect or its reply was lost: newer records win.
    pub(super) fn retry(&mut self) {
        for (job, record) in std::mem::take(&mut self.in_flight) {
            let queues = [&self.starts, &self.accepted, &self.ends];
            if !queues.iter().any(|queue| queue.contains_key(&job)) {
                self.put(job, record);
            }
        }
    }
}
