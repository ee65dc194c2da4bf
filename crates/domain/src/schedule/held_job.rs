//! Jobs whose stored progress cannot be decoded.
//!
//! Tasks of such a job may have ended as done, and a completed task must not run again, so none of its finite
//! tasks starts until an operator has restored or deleted the record, or the job is cancelled. Its runs that
//! workers list go on. The record is left in place until the job ends, since it may be all that is known; the
//! ends of these runs are acknowledged, but not stored.

use super::Scheduler;
use super::job_table::Job;
use super::order::SchedulerEvent;
use crate::prelude::*;

impl Job {
    /// Whether its progress may be stored. Tasks that are not known as done would be stored as not done.
    pub(super) const fn may_store_progress(&self) -> bool {
        !self.is_held || self.state.is_final()
    }
}

impl Scheduler {
    /// Holds a job if any of its tasks can have completed.
    pub(super) fn hold_job(&mut self, key: JobKey) {
        let Some(job) = self.job_table.jobs.get_mut(key) else {
            return;
        };
        let mut steps = job.record.spec.steps.iter();
        job.is_held = steps.any(|step| !step.long_running);
        if job.is_held {
            self.events.push(SchedulerEvent::JobHeld {
                job: Arc::clone(&job.id),
            });
        }
    }

    /// Ids of the jobs that are held and have not ended.
    pub fn held_jobs(&self) -> impl Iterator<Item = &Arc<str>> {
        let jobs = self.job_table.jobs.values();
        let held = jobs.filter(|job| job.is_held && !job.state.is_final());
        held.map(|job| &job.id)
    }
}
