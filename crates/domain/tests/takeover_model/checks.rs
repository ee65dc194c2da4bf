//! Invariants that are checked while a schedule runs.

use rosemaryscale_domain::job::{JobRecord, JobState, TaskName};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{ListedEnd, RunEndKind, StartOrder};

use super::worker::{ModelWorker, TASK_CAPACITY};
use super::{ATTEMPTS_MAX, STOP_GRACE_MS};

/// Workers that must have crashed with active runs of a task before it may be given up, by the platform's terms. The
/// scheduler waits for a third one, but may count a worker whose run had just ended unseen (seeds 3045, 2098).
const CRASHES_MIN: u32 = 2;

/// Longest time that a run of a cancelled job may last while its worker is reachable.
const CANCELLED_RUN_MS: u64 = 4_000 + STOP_GRACE_MS;

/// Identifies the end of a run: worker index, incarnation and sequence number.
type EndId = (usize, u64, u64);

/// Ends of runs seen so far, and whether they were acknowledged.
#[derive(Debug, Default)]
pub(super) struct Checks {
    done: FastMap<TaskName, Vec<EndId>>,
    failed: FastMap<TaskName, Vec<EndId>>,
    /// Ends of kind `Done` after which another run of the task started.
    superseded: FastSet<EndId>,
    /// Workers that crashed with an active run of the task.
    crashes: FastMap<TaskName, u32>,
    ended_at: FastMap<EndId, Millis>,
    acknowledged: FastSet<EndId>,
    /// When each cancelled job was cancelled.
    cancelled_at: FastMap<Arc<str>, Millis>,
    /// Since when the leader, the incarnation of a worker and the path between them are unchanged.
    reachable: FastMap<Arc<str>, Reachable>,
    /// First start order of a leader for a job of which it knew that it was cancelled.
    cancelled_start: Option<TaskName>,
}

/// A worker as reached by the leader that can read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reachable {
    leader: usize,
    incarnation: u64,
    since: Millis,
}

impl Checks {
    pub(super) fn worker_crashed<'a>(&mut self, running: impl Iterator<Item = &'a TaskName>) {
        for task in running {
            *self.crashes.entry(task.clone()).or_default() += 1;
        }
    }

    pub(super) fn record_end(
        &mut self,
        worker: usize,
        incarnation: u64,
        end: &ListedEnd,
        now: Millis,
    ) {
        let id = (worker, incarnation, end.sequence);
        self.ended_at.insert(id, now);
        let ends = match end.kind {
            RunEndKind::Done => &mut self.done,
            RunEndKind::Failed => &mut self.failed,
            _ => return,
        };
        ends.entry(end.task.clone()).or_default().push(id);
    }

    /// Checks a run that has started on the worker with index `at`.
    pub(super) fn run_started(
        &mut self,
        workers: &[ModelWorker],
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
        let is_speculative = is_speculative(task, jobs);
        if runs > if is_speculative { 2 } else { 1 } {
            return Err(format!("{task:?} has {runs} concurrent runs"));
        }
        if workers[at].running.len() > TASK_CAPACITY {
            return Err(format!("{} exceeds its capacity", workers[at].id));
        }
        let noted_count = |ends: Option<&Vec<EndId>>| {
            let ends = ends.into_iter().flatten();
            ends.filter(|end| self.acknowledged.contains(*end)).count()
        };
        if noted_count(self.done.get(task)) > 0 {
            return Err(format!("{task:?} started after its end was acknowledged"));
        }
        if noted_count(self.failed.get(task)) >= ATTEMPTS_MAX as usize {
            return Err(format!(
                "{task:?} started after the end of its last attempt was acknowledged"
            ));
        }
        // A copy may start before the leader knows of the end.
        if !is_speculative {
            self.superseded
                .extend(self.done.get(task).into_iter().flatten());
        }
        self.check_step_order(task, jobs)
    }

    fn check_step_order(
        &self,
        task: &TaskName,
        jobs: &[(Arc<str>, JobRecord)],
    ) -> Result<(), String> {
        let job = jobs.iter().find(|(id, _)| *id == task.job);
        let Some((_, record)) = job else {
            return Err(format!("{task:?} belongs to no known job"));
        };
        for earlier in &record.spec.steps[usize::from(task.position.step)].after {
            let count = record.spec.steps[usize::from(*earlier)].count;
            for index in 0..count {
                let mut name = task.clone();
                name.position.step = *earlier;
                name.position.index = index;
                if !self.done.contains_key(&name) {
                    return Err(format!("{task:?} started before {name:?} was done"));
                }
            }
        }
        Ok(())
    }

    /// Records an acknowledged end. Ends from before the worker's lease expired do not count.
    pub(super) fn acknowledged(
        &mut self,
        worker: usize,
        process: &ModelWorker,
        end: &ListedEnd,
    ) -> Result<(), String> {
        let id = (worker, process.incarnation, end.sequence);
        if self
            .ended_at
            .get(&id)
            .is_some_and(|at| *at <= process.lease_expired_at)
        {
            return Ok(());
        }
        self.acknowledged.insert(id);
        if end.kind == RunEndKind::Failed {
            let ends = self.failed.get(&end.task).into_iter().flatten();
            let failed = ends.filter(|end| self.acknowledged.contains(*end)).count();
            if failed > ATTEMPTS_MAX as usize {
                return Err(format!("{:?} has failed {failed} times", end.task));
            }
        }
        if end.kind == RunEndKind::Done && self.superseded.contains(&id) {
            return Err(format!(
                "{:?} was run again before its earlier end was acknowledged",
                end.task
            ));
        }
        Ok(())
    }

    pub(super) fn cancelled(&mut self, job: &Arc<str>, now: Millis) {
        self.cancelled_at.entry(Arc::clone(job)).or_insert(now);
    }

    /// Records a start order of the leader that can read the store.
    pub(super) fn start_sent(&mut self, task: &TaskName) {
        if self.cancelled_start.is_none() && self.cancelled_at.contains_key(&task.job) {
            self.cancelled_start = Some(task.clone());
        }
    }

    /// Checks that no run of a cancelled job outlasts [`CANCELLED_RUN_MS`], counted from the cancellation,
    /// from the start of the run, and from when the worker became reachable.
    pub(super) fn check_cancelled_runs(
        &mut self,
        workers: &[ModelWorker],
        leader: Option<usize>,
        partitioned: &FastSet<usize>,
        now: Millis,
    ) -> Result<(), String> {
        if let Some(task) = &self.cancelled_start {
            return Err(format!("{task:?} was started after its job was cancelled"));
        }
        for (index, worker) in workers.iter().enumerate() {
            let Some(leader) = leader.filter(|_| worker.up && !partitioned.contains(&index)) else {
                self.reachable.remove(&worker.id);
                continue;
            };
            let current = Reachable {
                leader,
                incarnation: worker.incarnation,
                since: now,
            };
            let entry = self
                .reachable
                .entry(Arc::clone(&worker.id))
                .or_insert(current);
            if (entry.leader, entry.incarnation) != (leader, worker.incarnation) {
                *entry = current;
            }
            let reachable_since = entry.since;
            for run in &worker.running {
                let Some(cancelled_at) = self.cancelled_at.get(&run.task.job) else {
                    continue;
                };
                let since = reachable_since.max(*cancelled_at).max(run.started_at);
                if now.ms_since(since) > CANCELLED_RUN_MS {
                    return Err(format!(
                        "{:?} runs at {now:?}, and its job was cancelled at {cancelled_at:?}",
                        run.task
                    ));
                }
            }
        }
        Ok(())
    }

    /// Time for which the leader has reached this incarnation of a worker.
    pub(super) fn reachable_ms(&self, worker: &str, now: Millis) -> u64 {
        let reachable = self.reachable.get(worker);
        reachable.map_or(0, |reachable| now.ms_since(reachable.since))
    }

    /// Checks that every job has reached the final state that its runs and cancellations imply.
    pub(super) fn check_all_finished(
        &self,
        jobs: &[(Arc<str>, JobRecord)],
        cancelled: &FastSet<Arc<str>>,
        state: impl Fn(&str) -> Option<JobState>,
    ) -> Result<(), String> {
        for (id, _) in jobs {
            match state(id) {
                Some(JobState::Completed) => {}
                Some(JobState::Cancelled) if cancelled.contains(id) => {}
                Some(JobState::Failed) if self.has_failed(id) || self.has_crashed(id) => {}
                other => return Err(format!("{id} is {other:?} at the end")),
            }
        }
        Ok(())
    }

    /// Whether a task of the job ran on as many crashed workers as allow the scheduler to give it up.
    fn has_crashed(&self, job: &str) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|(task, crashes)| &*task.job == job && *crashes >= CRASHES_MIN)
    }

    fn has_failed(&self, job: &str) -> bool {
        let mut ends = self.failed.iter();
        ends.any(|(task, ends)| &*task.job == job && ends.len() >= ATTEMPTS_MAX as usize)
    }
}

fn is_speculative(task: &TaskName, jobs: &[(Arc<str>, JobRecord)]) -> bool {
    let job = jobs.iter().find(|(id, _)| *id == task.job);
    job.is_some_and(|(_, record)| record.spec.steps[usize::from(task.position.step)].speculative)
}
