//! Records of jobs that have ended: when they may be deleted from the store, and what must be remembered
//! until they are.

use super::Scheduler;
use crate::prelude::*;
use crate::workspace::Caller;

/// Cancellation of a job that is not known.
#[derive(Debug)]
struct EarlyCancellation {
    /// Everyone who has cancelled it; one of them may turn out to be its owner.
    callers: Vec<Caller>,
    known_since: Millis,
}

/// Records in the store that outlast what the job table knows.
#[derive(Debug, Default)]
pub(super) struct Retention {
    /// Jobs that the job table no longer has, and whose deletion from the store has not been observed.
    removed: FastSet<Arc<str>>,
    /// Cancellations of jobs that are not known. A write that creates the job may still be under way.
    early_cancellations: FastMap<Arc<str>, EarlyCancellation>,
}

impl Retention {
    /// Whether the store may still have records of a job that has ended and was removed.
    pub(super) fn was_removed(&self, id: &str) -> bool {
        self.removed.contains(id)
    }

    /// Remembers the cancellation of a job that is not known.
    pub(super) fn cancel_early(&mut self, id: &str, caller: &Caller, now: Millis) {
        if self.was_removed(id) {
            return;
        }
        let cancellation = self
            .early_cancellations
            .entry(id.into())
            .or_insert_with(|| EarlyCancellation {
                callers: Vec::new(),
                known_since: now,
            });
        if !cancellation.callers.contains(caller) {
            cancellation.callers.push(caller.clone());
        }
    }

    /// Who cancelled the job before it was known. Its cancellation is then deleted with the job.
    pub(super) fn claim_cancellation(&mut self, id: &str) -> Vec<Caller> {
        let cancellation = self.early_cancellations.remove(id);
        cancellation.map_or_else(Vec::new, |cancellation| cancellation.callers)
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

    /// Returns the ids of up to `limit` cancellations that have been known for more than `keep_ms` without
    /// their job, so that the store can delete them.
    pub fn take_expired_cancellations(
        &mut self,
        now: Millis,
        keep_ms: u64,
        limit: usize,
    ) -> Vec<Arc<str>> {
        let cancellations = &mut self.retention.early_cancellations;
        let expired: Vec<Arc<str>> = cancellations
            .iter()
            .filter(|(_, cancellation)| now.ms_since(cancellation.known_since) > keep_ms)
            .map(|(id, _)| Arc::clone(id))
            .take(limit)
            .collect();
        for id in &expired {
            cancellations.remove(id);
        }
        expired
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
