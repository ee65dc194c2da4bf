//! Causes of failed jobs, for the log.

use super::Scheduler;
use crate::job::TaskPosition;

/// The task of a failed job that failed most often.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFailure {
    /// Position of the task; `None` if no run of a task has failed.
    pub position: Option<TaskPosition>,
    /// Numbers of its failed runs.
    pub failed_runs: Vec<u32>,
    /// Number of failed runs of a task after which the job fails.
    pub attempts_max: usize,
}

impl Scheduler {
    /// Cause of a job's failure; `None` if the job is not known.
    pub fn job_failure(&self, id: &str) -> Option<JobFailure> {
        let job = self
            .job_table
            .jobs
            .get(*self.job_table.jobs_by_id.get(id)?)?;
        let tasks = job.occurrences.iter().flatten().flatten();
        let task = tasks
            .filter_map(|task| self.job_table.tasks.get(*task))
            .filter(|task| !task.failed_runs.is_empty())
            .max_by_key(|task| task.failed_runs.len());
        Some(JobFailure {
            position: task.map(|task| task.position),
            failed_runs: task.map_or_else(Vec::new, |task| task.failed_runs.clone()),
            attempts_max: job.policy.attempts_max.max(1) as usize,
        })
    }
}
