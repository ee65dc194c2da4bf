//! Causes of failed jobs, for the log.

use super::Scheduler;
use super::job_table::Task;
use crate::job::TaskPosition;

/// The task of a failed job that failed, or crashed its workers, most often.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFailure {
    /// Position of the task; `None` if no task has failed or crashed its workers.
    pub position: Option<TaskPosition>,
    /// Numbers of its failed runs.
    pub failed_runs: Vec<u32>,
    /// Workers that have crashed with it.
    pub crashes: u32,
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
            .filter(|task| !task.failed_runs.is_empty() || task.most_crashes() > 0)
            .max_by_key(|task| (task.failed_runs.len(), task.most_crashes()));
        Some(JobFailure {
            position: task.map(|task| task.position),
            failed_runs: task.map_or_else(Vec::new, |task| task.failed_runs.clone()),
            crashes: task.map_or(0, Task::most_crashes),
            attempts_max: job.policy.attempts_max.max(1) as usize,
        })
    }
}
