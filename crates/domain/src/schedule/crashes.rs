//! Tasks whose workers have crashed.
//!
//! A task may crash each worker that starts it, but a crash doesn't show which of the worker's tasks caused
//! it. Tasks that had just started there are therefore suspects: they restart apart from other suspects, and
//! after a further crash alone on a worker. A finite task is given up once no other one explains the crashes and its
//! attempts are used up. A long-running one is restarted until its job is cancelled, after a growing pause.

use super::job_table::{Task, TaskStatus};
use super::order::SchedulerEvent;
use super::run::PlacedRun;
use super::worker::Worker;
use super::{RESTART_DELAY_MS, Scheduler};
use crate::job::JobState;
use crate::prelude::*;

/// Early crashes in a row after which a task shares its worker with no task that starts after it.
const ISOLATED_CRASHES_MIN: u32 = 2;
/// Early crashes in a row before which no finite task is given up, however few attempts its job allows. The last one
/// happened while the task ran alone; two may also be those of a task that only shared its workers.
const EARLY_CRASHES_MAX: u32 = 3;
/// Crashes after which a finite task is given up, however long it had been running, unless its job allows more
/// attempts.
const CRASHES_MAX: u32 = 5;
/// Duration of a run that clears its task, and for which a suspect keeps other ones away from its worker. A task
/// that crashes its worker usually does so within milliseconds of its start.
const PROBATION_MS: u64 = 1_000;
/// Pause of a long-running task after as many early crashes as end a finite one. It doubles with each further one.
const FIRST_RESTART_PAUSE_MS: u64 = 500;
/// Longest such pause. A task with room must run again within 9 s of the crash, which may be noticed seconds later.
const MAX_RESTART_PAUSE_MS: u64 = 2_000;

impl Task {
    /// Workers that have crashed with the task, in a row or in all.
    pub(super) fn most_crashes(&self) -> u32 {
        self.crashes.max(self.early_crashes)
    }

    /// Whether the crashes of its workers use up the attempts of a finite task, together with its failed runs.
    fn is_given_up(&self, attempts_max: u32) -> bool {
        let attempts = self.early_crashes as usize + self.failed_runs.len();
        let is_out_of_attempts = attempts >= attempts_max as usize;
        (self.early_crashes >= EARLY_CRASHES_MAX && is_out_of_attempts)
            || self.crashes >= CRASHES_MAX.max(attempts_max)
    }

    /// Time after the end of a run before a long-running task starts again.
    pub(super) fn restart_pause_ms(&self) -> u64 {
        let Some(further_crashes) = self.early_crashes.checked_sub(EARLY_CRASHES_MAX) else {
            return RESTART_DELAY_MS;
        };
        let factor = 1_u64.checked_shl(further_crashes).unwrap_or(u64::MAX);
        FIRST_RESTART_PAUSE_MS
            .saturating_mul(factor)
            .min(MAX_RESTART_PAUSE_MS)
    }

    /// Whether the task starts only on a worker without suspects, which takes no other task meanwhile.
    pub(super) const fn is_isolated(&self) -> bool {
        self.early_crashes >= ISOLATED_CRASHES_MIN
    }
}

impl Worker {
    /// Keeps suspects, or all tasks, away from the worker if a task that starts on it may crash it.
    pub(super) fn begin_probation(&mut self, task: &Task, now: Millis) {
        let until = now.after_ms(PROBATION_MS);
        if task.early_crashes > 0 {
            self.suspected_until = until;
        }
        if task.is_isolated() {
            self.isolated_until = until;
        }
    }

    pub(super) fn has_suspects(&self, now: Millis) -> bool {
        self.suspected_until > now
    }

    /// What a crash by the task would put at risk: another suspect that it would be confused with, or, if it
    /// has to run alone, the runs of the worker.
    pub(super) fn exposure(&self, task: &Task, now: Millis) -> usize {
        match task.early_crashes {
            0 => 0,
            _ if task.is_isolated() => self.runs().len(),
            _ => usize::from(self.has_suspects(now)),
        }
    }
}

impl Scheduler {
    /// Counts the crash of its worker for the task of a run. The job of a finite task is given up by
    /// [`Self::give_up_crashing_tasks`].
    pub(super) fn count_crash(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        // A start without an answer may not have arrived. A run of the former leader has outlived its start.
        let has_started = run.is_answered && run.start_attempts > 0;
        let info = *run.info();
        let long_running = self.job_table.is_long_running(info.task);
        let last_answer_at = self
            .workers
            .get(info.worker)
            .map_or(now, |worker| worker.last_answer_at);
        let was_sound = is_sound(run, long_running, last_answer_at);
        let Some(task) = self.job_table.tasks.get_mut(info.task) else {
            return;
        };
        let is_of_task =
            task.status == TaskStatus::Placed(key) || self.copies.is_copy(info.task, key);
        if !is_of_task {
            return;
        }
        task.avoid_worker = Some(info.worker);
        if !has_started {
            return;
        }
        task.early_crashes = if was_sound { 0 } else { task.early_crashes + 1 };
        if !long_running {
            task.crashes += 1;
            let job = self.job_table.jobs.get(task.job);
            if job.is_some_and(|job| task.is_given_up(job.policy.attempts_max)) {
                self.crashing_tasks.push(info.task);
            }
        }
        if let Some(job) = self.job_table.jobs.get_mut(task.job) {
            job.dirty = true;
        }
        self.request_batch(now.after_ms(super::RUN_END_BATCH_DELAY_MS));
    }

    /// Clears the task of a run that its worker lists as sound.
    pub(super) fn clear_suspect(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let key = run.info().task;
        let is_suspect = self
            .job_table
            .tasks
            .get(key)
            .is_some_and(|task| task.early_crashes > 0);
        if !is_suspect || !is_sound(run, self.job_table.is_long_running(key), now) {
            return;
        }
        if let Some(task) = self.job_table.tasks.get_mut(key) {
            task.early_crashes = 0;
            if let Some(job) = self.job_table.jobs.get_mut(task.job) {
                job.dirty = true;
            }
        }
    }

    /// Ends the jobs of tasks that crash their workers as failed.
    pub(super) fn give_up_crashing_tasks(&mut self, now: Millis, wall: Millis) {
        for key in std::mem::take(&mut self.crashing_tasks) {
            let (Some(task), Some(name)) =
                (self.job_table.tasks.get(key), self.job_table.name(key))
            else {
                continue;
            };
            let (job, crashes) = (task.job, task.most_crashes());
            // It may have been cancelled meanwhile.
            if self.job_table.jobs[job].state.is_final() {
                continue;
            }
            self.events.push(SchedulerEvent::TaskGivenUp {
                task: name,
                crashes,
            });
            self.finish_job(job, JobState::Failed, now, wall);
        }
    }
}

/// Whether a run that was seen at a time had lasted long enough, or come into service, to clear its task.
fn is_sound(run: &PlacedRun, long_running: bool, seen_at: Millis) -> bool {
    if long_running {
        run.progress.percent >= 100
    } else {
        seen_at.ms_since(run.info().sent_at) >= PROBATION_MS
    }
}
