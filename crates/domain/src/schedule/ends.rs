//! Ends of runs: which of those that a worker lists are applied, and which may be acknowledged.
//!
//! A worker drops what is acknowledged, so an end is acknowledged only once it has taken effect and is stored.

use super::order::ListedEnd;
use super::unknown_runs::UNKNOWN_JOB_GRACE_MS;
use super::{RUN_END_BATCH_DELAY_MS, Scheduler};
use crate::job::TaskName;
use crate::prelude::*;

impl Scheduler {
    /// Applies new ends. Those behind an unreadable one, or behind one of an unknown job, are applied, but
    /// acknowledged only with it.
    pub(super) fn apply_ends(
        &mut self,
        key: WorkerKey,
        ends: &[ListedEnd],
        now: Millis,
        wall: Millis,
    ) {
        let mut acknowledge_max = self.acknowledge_max(key);
        let mut unknown = Vec::new();
        for end in ends {
            let batch = self.batches.next_sequence();
            if end.sequence <= self.workers[key].last_end_sequence {
                continue;
            }
            if self.may_become_known(key, &end.task, now) {
                acknowledge_max = acknowledge_max.min(end.sequence - 1);
                unknown.push(end.clone());
                continue;
            }
            let worker = &mut self.workers[key];
            let is_new = if end.sequence > acknowledge_max {
                worker.ends_applied_early.insert(end.sequence)
            } else {
                worker.last_end_sequence = end.sequence;
                worker.unwritten_ends.push_back((end.sequence, batch));
                !worker.ends_applied_early.remove(&end.sequence)
            };
            self.request_batch(now.after_ms(RUN_END_BATCH_DELAY_MS));
            if is_new {
                self.apply_end(key, end, now, wall);
            }
        }
        let worker = &mut self.workers[key];
        worker.unknown_ends_since = match worker.unknown_ends_since {
            _ if unknown.is_empty() => None,
            since => since.or(Some(now)),
        };
        worker.unknown_ends = unknown;
    }

    /// Whether the job of an end is not known, and the store may have it all the same.
    fn may_become_known(&self, key: WorkerKey, task: &TaskName, now: Millis) -> bool {
        let is_known = self.job_table.jobs_by_id.contains_key(&task.job);
        if is_known || self.retention.was_removed(&task.job) {
            return false;
        }
        let since = self.workers[key].unknown_ends_since;
        since.is_none_or(|since| now.ms_since(since) < UNKNOWN_JOB_GRACE_MS)
    }

    /// Whether the worker lists ends that must not be acknowledged yet.
    pub(super) fn has_kept_ends(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        let has_unknown_ends = worker.is_some_and(|worker| !worker.unknown_ends.is_empty());
        has_unknown_ends || self.acknowledge_max(key) != u64::MAX
    }

    /// Whether a worker lists an end of this job as one of an unknown job.
    pub(super) fn has_unknown_ends(&self, job: &str) -> bool {
        let mut ends = self
            .workers
            .values()
            .flat_map(|worker| &worker.unknown_ends);
        ends.any(|end| &*end.task.job == job)
    }

    /// Applies the ends of a job that workers listed before this leader knew the job.
    pub(super) fn apply_unknown_ends(&mut self, job: &str, now: Millis, wall: Millis) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let of_job = |end: &mut ListedEnd| &*end.task.job == job;
            let ends: Vec<ListedEnd> = worker.unknown_ends.extract_if(.., of_job).collect();
            for end in ends {
                // The next answer lists it again.
                if self.workers[key].ends_applied_early.insert(end.sequence) {
                    self.apply_end(key, &end, now, wall);
                }
            }
        }
    }
}
