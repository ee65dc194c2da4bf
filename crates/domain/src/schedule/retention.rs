//! Records of jobs that have ended: when they may be deleted from the store, and what must be remembered
//! until they are.

use super::Scheduler;
use crate::prelude::*;

/// Records in the store that outlast what the job table knows.
#[derive(Debug, Default)]
pub(super) struct Retention {
    /// Jobs that the job table no longer has, and whose deletion from the store has not been observed.
    removed: FastSet<Arc<str>>,
}

impl Retention {
    /// Whether the store may still have records of a job that has ended and was removed.
    pub(super) fn was_removed(&self, id: &str) -> bool {
        self.removed.contains(id)
    }
}

impl Scheduler {
    /// Removes up to `limit` jobs that ended more than `keep_ms` ago, and returns their ids so that
    /// the store can delete them.
    pub fn take_expired(&mut self, wall: Millis, keep_ms: u64, limit: usize) -> Vec<Arc<str>> {
        let expired: Vec<JobKey> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.state.is_final()
                    && !job.dirty
                    && job.written_state == job.state
                    && wall.ms_since(Millis::from_ms(job.ended_wall_ms)) > keep_ms
            })
            .map(|(key, _)| key)
            .take(limit)
            .collect();
        let ids: Vec<Arc<str>> = expired
            .into_iter()
            .filter_map(|key| {
                let id = Arc::clone(&self.job_table.jobs.get(key)?.id);
                self.job_table.remove(key);
                Some(id)
            })
            .collect();
        // Until they are deleted, a listing reports them again.
        self.retention.removed.extend(ids.iter().cloned());
        ids
    }

    /// Applies a complete list of the jobs in the store.
    pub fn jobs_listed(&mut self, listed: &FastSet<Arc<str>>) {
        self.retention.removed.retain(|id| listed.contains(id));
    }

    /// Applies the deletion of a job from the store.
    pub fn job_deleted(&mut self, id: &str) {
        self.retention.removed.remove(id);
    }
}
