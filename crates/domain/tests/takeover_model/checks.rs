//! What must hold at every step of a schedule.

use rosemaryscale_domain::job::{JobRecord, JobState, TaskName};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{ListedEnd, RunEndKind, StartOrder};

use super::ATTEMPTS_MAX;
use super::runner::{ROOM, Runner};

/// An end: worker, life, sequence.
type EndId = (usize, u64, u64);

/// Ends and starts so far.
#[derive(Debug, Default)]
pub(super) struct Checks {
    done: FastMap<TaskName, Vec<EndId>>,
    failed: FastMap<TaskName, Vec<EndId>>,
    /// Ends `done` after which a run of the task began.
    passed_over: FastSet<EndId>,
    ended_at: FastMap<EndId, Millis>,
    noted: FastSet<EndId>,
}

impl Checks {
    pub(super) fn ended(&mut self, worker: usize, life: u64, end: &ListedEnd, now: Millis) {
        let id = (worker, life, end.sequence);
        self.ended_at.insert(id, now);
        let ends = match end.kind {
            RunEndKind::Done => &mut self.done,
            RunEndKind::Failed => &mut self.failed,
            _ => return,
        };
        ends.entry(end.task.clone()).or_default().push(id);
    }

    /// A run has begun.
    pub(super) fn begun(
        &mut self,
        workers: &[Runner],
        at: usize,
        order: &StartOrder,
        jobs: &[(Arc<str>, JobRecord)],
    ) -> Result<(), String> {
        let task = &order.task;
        let runs = workers
            .iter()
            .flat_map(|worker| &worker.running)
            .filter(|run| run.task == *task)
            .count();
        if runs > 1 {
            return Err(format!("{task:?} runs {runs} times at once"));
        }
        if workers[at].running.len() > ROOM {
            return Err(format!("{} is over its capacity", workers[at].id));
        }
        let noted = |ends: Option<&Vec<EndId>>| {
            let ends = ends.into_iter().flatten();
            ends.filter(|end| self.noted.contains(*end)).count()
        };
        if noted(self.done.get(task)) > 0 {
            return Err(format!("{task:?} began after its end was noted"));
        }
        if noted(self.failed.get(task)) >= ATTEMPTS_MAX as usize {
            return Err(format!("{task:?} began after its last attempt was noted"));
        }
        self.passed_over
            .extend(self.done.get(task).into_iter().flatten());
        self.check_order(task, jobs)
    }

    fn check_order(&self, task: &TaskName, jobs: &[(Arc<str>, JobRecord)]) -> Result<(), String> {
        let job = jobs.iter().find(|(id, _)| *id == task.job);
        let Some((_, record)) = job else {
            return Err(format!("{task:?} is of no job"));
        };
        for earlier in &record.spec.steps[usize::from(task.position.step)].after {
            let count = record.spec.steps[usize::from(*earlier)].count;
            for index in 0..count {
                let mut name = task.clone();
                name.position.step = *earlier;
                name.position.index = index;
                if !self.done.contains_key(&name) {
                    return Err(format!("{task:?} began before {name:?} was done"));
                }
            }
        }
        Ok(())
    }

    /// An end was acknowledged. One from before the end of the worker's lease does not count.
    pub(super) fn noted(
        &mut self,
        worker: usize,
        runner: &Runner,
        end: &ListedEnd,
    ) -> Result<(), String> {
        let id = (worker, runner.born, end.sequence);
        if self
            .ended_at
            .get(&id)
            .is_some_and(|at| *at <= runner.lapsed_at)
        {
            return Ok(());
        }
        self.noted.insert(id);
        if end.kind == RunEndKind::Done && self.passed_over.contains(&id) {
            return Err(format!(
                "{:?} was run again, and its end noted later",
                end.task
            ));
        }
        Ok(())
    }

    /// Every job is over, as it has to be.
    pub(super) fn all_finished(
        &self,
        jobs: &[(Arc<str>, JobRecord)],
        cancelled: &FastSet<Arc<str>>,
        state: impl Fn(&str) -> Option<JobState>,
    ) -> Result<(), String> {
        for (id, _) in jobs {
            match state(id) {
                Some(JobState::Completed) => {}
                Some(JobState::Cancelled) if cancelled.contains(id) => {}
                Some(JobState::Failed) if self.has_failed(id) => {}
                other => return Err(format!("{id} is {other:?} at the end")),
            }
        }
        Ok(())
    }

    fn has_failed(&self, job: &str) -> bool {
        let mut ends = self.failed.iter();
        ends.any(|(task, ends)| &*task.job == job && ends.len() >= ATTEMPTS_MAX as usize)
    }
}
