//! Tasks whose workers have crashed.
//!
//! A task may crash each worker that starts it, but a crash doesn't show which of the worker's tasks caused
//! it. Tasks that were running there are therefore suspects: they restart apart from other suspects, and after
//! a further crash alone on a worker. A task is given up once no other one explains the crashes.

use super::Scheduler;
use super::job_table::Task;
use super::order::SchedulerEvent;
use super::worker::Worker;
use crate::job::JobState;
use crate::prelude::*;

/// Crashes after which a task shares its worker with no task that starts after it.
const ISOLATED_CRASHES_MIN: u32 = 2;
/// Crashes after which a task is given up. The last one happened while the task ran alone; two may also be
/// those of a task that only shared its workers.
const CRASHES_MAX: u32 = 3;
/// Duration of a run that clears its task: a task that crashes its workers does so soon after its start, and a
/// worker that crashes later says nothing about it.
const PROBATION_MS: u64 = 5_000;

impl Task {
    /// Whether the task starts only on a worker without suspects, which takes no other task meanwhile.
    pub(super) const fn is_isolated(&self) -> bool {
        self.crashes >= ISOLATED_CRASHES_MIN
    }
}

impl Worker {
    /// Adds an active run of a task with the given number of crashes.
    pub(super) fn add_run(&mut self, key: RunKey, crashes: u32, now: Millis) {
        self.runs.push(key);
        if crashes > 0 {
            self.suspects.push(key);
        }
        if crashes >= ISOLATED_CRASHES_MIN {
            self.isolated_until = now.after_ms(PROBATION_MS);
        }
    }

    /// Removes a run that has ended.
    pub(super) fn remove_run(&mut self, key: RunKey) {
        self.runs.retain(|run| *run != key);
        self.suspects.retain(|run| *run != key);
        if self.suspects.is_empty() {
            self.isolated_until = Millis::ZERO;
        }
    }

    /// How many runs a further crash by a suspect would put at risk of being blamed or lost: other suspects
    /// for a task with one crash, all runs for one with more.
    pub(super) fn exposure(&self, task: &Task) -> usize {
        match task.crashes {
            0 => 0,
            _ if task.is_isolated() => self.runs.len(),
            _ => self.suspects.len(),
        }
    }
}

impl Scheduler {
    /// Counts the crash of its worker for the task of a run. The job is given up by
    /// [`Self::give_up_crashing_tasks`].
    pub(super) fn count_crash(&mut self, run: RunKey, now: Millis) {
        let Some(run) = self.runs.get(run) else {
            return;
        };
        let has_run_long = run
            .confirmed_since()
            .is_some_and(|since| now.ms_since(since) >= PROBATION_MS);
        let may_have_started = run.confirmed_since().is_some() || run.start_attempts > 1;
        let key = run.info().task;
        let Some(task) = self.job_table.tasks.get_mut(key) else {
            return;
        };
        if run.is_stopping() || !may_have_started {
            return;
        }
        task.avoid_worker = Some(run.info().worker);
        task.crashes = if has_run_long { 0 } else { task.crashes + 1 };
        if task.crashes >= CRASHES_MAX {
            self.crashing_tasks.push(key);
        }
        if let Some(job) = self.job_table.jobs.get_mut(task.job) {
            job.dirty = true;
        }
        self.request_batch(now.after_ms(super::RUN_END_BATCH_DELAY_MS));
    }

    /// Ends the jobs of tasks that crash their workers as failed.
    pub(super) fn give_up_crashing_tasks(&mut self, now: Millis, wall: Millis) {
        for key in std::mem::take(&mut self.crashing_tasks) {
            let (Some(task), Some(name)) =
                (self.job_table.tasks.get(key), self.job_table.name(key))
            else {
                continue;
            };
            let (job, crashes) = (task.job, task.crashes);
            self.events.push(SchedulerEvent::TaskGivenUp {
                task: name,
                crashes,
            });
            self.finish_job(job, JobState::Failed, now, wall);
        }
    }
}
