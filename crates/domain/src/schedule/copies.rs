//! Copies of stragglers: a second run of a task whose first run is expected to last far longer than a new one.
//!
//! Load pattern: of the tasks that end, a few of every hundred take several times as long as the rest, and a
//! step ends with its slowest task, so that most steps of many tasks end late. A step with `speculative` allows
//! two runs of a task at the same time. `TaskStatus::Placed` names one of them, and this module owns the other
//! one: the entry of a task exists only while both runs may end the task. The first end decides: the other run
//! is stopped, and whichever run is left when one is lost is the placed one.

use std::borrow::Cow;

use super::Scheduler;
use super::durations::Estimate;
use super::job_table::{Job, Task, TaskStatus};
use super::order::{CopyOutcome, SchedulerEvent, StepKey};
use super::rank::Rank;
use super::run::PlacedRun;
use super::share::ShareLimits;
use super::stop_reason::StopReason;
use super::view::PlacementView;
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

/// Interval between searches for stragglers, short against the run time of a task.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time from the decision to start a run until its worker confirms it.
const START_MS: u64 = 100;
/// The remaining time of a run must exceed this share of the time of a new run. Estimates are off by less
/// once a step has ended tasks.
const MARGIN_PERCENT: u64 = 150;
/// Confidence of both times below which no copy starts.
const CONFIDENCE_MIN_PERCENT: u32 = 50;
/// A step depends on a task when this share of its tasks, or fewer than that number of them, is unfinished.
const LAST_TASKS_DIVISOR: u64 = 4;
const LAST_TASKS_MIN: u64 = 2;

/// Until when the end of a run may not be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    /// Until this run, whose start may still reach its worker, has certainly ended.
    Run(RunKey),
    /// Until no start of the former leader can take effect.
    Recovery,
}

/// An end that may not be acknowledged yet, since another run of its task could start after that.
#[derive(Clone, Copy, Debug)]
struct HeldEnd {
    worker: WorkerKey,
    sequence: u64,
    hold: Hold,
}

/// Second runs of tasks.
#[derive(Debug, Default)]
pub(super) struct Copies {
    by_task: SecondaryMap<TaskKey, RunKey>,
    held_ends: Vec<HeldEnd>,
    next_check_at: Millis,
}

impl Copies {
    /// Whether the run is the second one of the task.
    pub(super) fn is_copy(&self, task: TaskKey, run: RunKey) -> bool {
        self.by_task.get(task) == Some(&run)
    }

    /// Whether an end may not be acknowledged yet.
    pub(super) fn holds(&self, worker: WorkerKey, sequence: u64) -> bool {
        let mut held = self.held_ends.iter();
        held.any(|end| (end.worker, end.sequence) == (worker, sequence))
    }
}

/// A run that is worth a copy.
#[derive(Clone, Copy, Debug)]
struct Straggler {
    task: TaskKey,
    run: RunKey,
    step: StepKey,
    service: ServiceKey,
    worker: WorkerKey,
    remaining: Estimate,
    /// Expected time of a new run with its start.
    new_run_ms: u64,
}

impl Straggler {
    const fn gain_ms(&self) -> u64 {
        self.remaining.ms.saturating_sub(self.new_run_ms)
    }
}

fn may_have_copies(step: &StepSpec) -> bool {
    step.speculative && !step.gang && !step.long_running && !step.fills
}

/// Whether two more runs can fail without exceeding the attempts of the task.
fn has_attempts_for_two(job: &Job, task: &Task) -> bool {
    task.failed_runs.len() + 2 <= job.policy.attempts_max.max(1) as usize
}

impl PlacementView<'_> {
    /// Number of copies that may exist: a share of the running finite tasks.
    fn copy_budget(&self) -> usize {
        let is_finite = |run: &PlacedRun| !self.job_table.is_long_running(run.info().task);
        let finite = self.runs.iter().filter(|(_, run)| is_finite(run)).count();
        let runs = finite.saturating_sub(self.copies.by_task.len());
        (runs * self.uneven_work.copy_budget_percent as usize).div_ceil(100)
    }

    /// Runs that are worth a copy, those with the largest gain first.
    fn stragglers(&self) -> Vec<Straggler> {
        let runs = self.runs.iter();
        let mut stragglers: Vec<Straggler> = runs
            .filter_map(|(key, run)| self.straggler(key, run))
            .collect();
        stragglers.sort_by_key(|straggler| std::cmp::Reverse(straggler.gain_ms()));
        stragglers
    }

    fn straggler(&self, key: RunKey, run: &PlacedRun) -> Option<Straggler> {
        run.confirmed_since()?;
        let info = run.info();
        let task = self.job_table.tasks.get(info.task)?;
        let job = self.job_table.jobs.get(task.job)?;
        let step = job.step(task.position.step)?;
        if !may_have_copies(step)
            || task.status != TaskStatus::Placed(key)
            || self.copies.by_task.contains_key(info.task)
            || job.state.is_final()
            || job.is_held
            || !job.is_useful(self.now)
            // A copy must not put another worker at risk.
            || task.early_crashes > 0
            || !has_attempts_for_two(job, task)
            || !is_step_nearly_done(job, task.position.step, step)
        {
            return None;
        }
        let step_key = self.job_table.step_key(info.task)?;
        let new_run = self.expected_run(step_key)?;
        let new_run_ms = new_run.ms + START_MS;
        let remaining = self.remaining(key)?;
        let is_certain = |estimate: Estimate| estimate.confidence_percent >= CONFIDENCE_MIN_PERCENT;
        let pays = remaining.ms * 100 > new_run_ms * MARGIN_PERCENT;
        (pays && is_certain(remaining) && is_certain(new_run)).then_some(Straggler {
            task: info.task,
            run: key,
            step: step_key,
            service: job.service,
            worker: info.worker,
            remaining,
            new_run_ms,
        })
    }

    /// Share limits of the last placement pass of a service.
    fn last_limits(&self, service: ServiceKey) -> Cow<'_, ShareLimits> {
        let limits = self.shares.limits.get(service);
        limits.map_or_else(|| Cow::Owned(ShareLimits::default()), Cow::Borrowed)
    }

    /// Best rank of the steps of a service that wait with ready tasks.
    fn best_waiting(&self, service: ServiceKey, capacity: Resources) -> Option<Rank> {
        let limits = self.last_limits(service);
        let steps = self.services.get(service)?.ready.steps();
        steps
            .filter(|(_, tasks)| tasks.iter().any(|task| self.job_table.is_ready(*task)))
            .filter_map(|(step, _)| self.rank(step, &limits, capacity))
            .min()
    }

    /// Stragglers whose copies no waiting task of their service precedes.
    fn preferred_stragglers(&self, capacity: Resources) -> Vec<Straggler> {
        let mut stragglers = self.stragglers();
        let mut best_waiting: FastMap<ServiceKey, Option<Rank>> = FastMap::default();
        stragglers.retain(|straggler| {
            let waiting = best_waiting
                .entry(straggler.service)
                .or_insert_with(|| self.best_waiting(straggler.service, capacity));
            let limits = self.last_limits(straggler.service);
            let rank = self.rank(straggler.step, &limits, capacity);
            rank.is_some_and(|rank| waiting.is_none_or(|waiting| rank < waiting))
        });
        stragglers
    }

    /// Worker for a copy; `None` if the quota or the room is used up, or a third run of the task may exist.
    fn copy_worker(&self, straggler: &Straggler) -> Option<WorkerKey> {
        if !self.has_quota(straggler.step) {
            return None;
        }
        let worker =
            self.best_other_worker(straggler.task, straggler.service, straggler.worker, &[])?;
        // A former run of the task may still be on its way to its end.
        let runs = self.runs.iter();
        let runs_of_task = runs.filter(|(_, run)| run.info().task == straggler.task);
        (runs_of_task.count() == 1).then_some(worker)
    }
}

/// Whether so few tasks of the step are left that its end depends on each of them.
fn is_step_nearly_done(job: &Job, number: u16, step: &StepSpec) -> bool {
    let last_tasks = (u64::from(step.count) / LAST_TASKS_DIVISOR).max(LAST_TASKS_MIN);
    let unfinished = job.unfinished_by_step.get(usize::from(number));
    unfinished.is_some_and(|unfinished| *unfinished <= last_tasks)
}

impl Scheduler {
    /// Starts copies of stragglers where room is left after the placement pass. None starts while a run of
    /// another leader may exist, since a task has at most two runs.
    pub(super) fn start_copies(&mut self, now: Millis) {
        if self.settings.uneven_work.copy_budget_percent == 0 || self.copies.next_check_at > now {
            return;
        }
        self.copies.next_check_at = now.after_ms(CHECK_INTERVAL_MS);
        if self.recovery.is_some() || self.leadership_unconfirmed {
            return;
        }
        let capacity = self.largest_capacity();
        let stragglers = self.view(now).preferred_stragglers(capacity);
        if stragglers.is_empty() {
            return;
        }
        let budget = self.view(now).copy_budget();
        for straggler in stragglers {
            if self.copies.by_task.len() >= budget {
                return;
            }
            if let Some(worker) = self.view(now).copy_worker(&straggler) {
                self.start_copy(&straggler, worker, now);
            }
        }
    }

    fn start_copy(&mut self, straggler: &Straggler, worker: WorkerKey, now: Millis) {
        let number = self.next_run_number(straggler.task);
        let first = self.runs.get(straggler.run);
        let (Some(age_ms), Some(task)) = (
            first.and_then(|run| Some(now.ms_since(run.confirmed_since()?))),
            self.job_table.name(straggler.task),
        ) else {
            return;
        };
        let Some(run) = self.begin_run(straggler.task, worker, number, now) else {
            return;
        };
        self.copies.by_task.insert(straggler.task, run);
        self.events.push(SchedulerEvent::CopyStarted {
            task,
            number,
            worker: Arc::clone(&self.workers[worker].report.id),
            age_ms,
            remaining_ms: straggler.remaining.ms,
            new_run_ms: straggler.new_run_ms,
            confidence_percent: straggler.remaining.confidence_percent,
        });
    }

    /// Keeps a listed run as the second one of its task, if the step allows two. Returns whether it does.
    pub(super) fn adopt_copy(&mut self, key: TaskKey, run: RunKey) -> bool {
        let (Some(task), Some(step)) = (self.job_table.tasks.get(key), self.job_table.step_of(key))
        else {
            return false;
        };
        let job = self.job_table.jobs.get(task.job);
        let is_allowed = self.settings.uneven_work.copy_budget_percent > 0
            && may_have_copies(step)
            && matches!(task.status, TaskStatus::Placed(_))
            && !self.copies.by_task.contains_key(key)
            && job.is_some_and(|job| !job.state.is_final() && has_attempts_for_two(job, task));
        if is_allowed {
            self.copies.by_task.insert(key, run);
        }
        is_allowed
    }

    /// Delays the acknowledgement of an end that completes a task while another run of it may still start:
    /// no run of a task starts after its end was acknowledged.
    pub(super) fn hold_end(
        &mut self,
        worker: WorkerKey,
        sequence: u64,
        task: TaskKey,
        ended_run: Option<RunKey>,
    ) {
        let step = self.job_table.step_of(task);
        if self.settings.uneven_work.copy_budget_percent == 0 || !step.is_some_and(may_have_copies)
        {
            return;
        }
        let placed = match self.job_table.tasks.get(task).map(|task| task.status) {
            Some(TaskStatus::Placed(run)) => Some(run),
            _ => None,
        };
        let copy = self.copies.by_task.get(task).copied();
        let others = [placed, copy].into_iter().flatten();
        let may_start = |run: &RunKey| self.runs.get(*run).is_some_and(|run| !run.is_answered);
        let holds = others
            .filter(|run| Some(*run) != ended_run)
            .filter(may_start)
            .map(Hold::Run);
        let recovery = self.recovery.is_some().then_some(Hold::Recovery);
        let held = holds.chain(recovery).map(|hold| HeldEnd {
            worker,
            sequence,
            hold,
        });
        self.copies.held_ends.extend(held);
    }

    /// Stops the second run of a task that is done, unless it is the one that has ended.
    pub(super) fn settle_copy(&mut self, task: TaskKey, ended_run: Option<RunKey>, now: Millis) {
        let Some(copy) = self.copies.by_task.remove(task) else {
            return;
        };
        if Some(copy) == ended_run {
            self.record_copy_end(task, copy, CopyOutcome::Won, now);
        } else {
            self.record_copy_end(task, copy, CopyOutcome::Lost, now);
            self.stop_run(copy, StopReason::NotNeeded, now);
        }
    }

    /// Stops the second run of a task whose job has ended.
    pub(super) fn stop_copy(&mut self, task: TaskKey, reason: StopReason, now: Millis) {
        if let Some(copy) = self.copies.by_task.remove(task) {
            self.record_copy_end(task, copy, CopyOutcome::Ended, now);
            self.stop_run(copy, reason, now);
        }
    }

    /// Makes the second run of a task the placed one, after the first one has ended without a result. Returns
    /// whether there was one.
    pub(super) fn promote_copy(&mut self, key: TaskKey, now: Millis) -> bool {
        let Some(copy) = self.copies.by_task.remove(key) else {
            return false;
        };
        self.record_copy_end(key, copy, CopyOutcome::TookOver, now);
        if let Some(task) = self.job_table.tasks.get_mut(key) {
            task.status = TaskStatus::Placed(copy);
        }
        true
    }

    /// Removes a run that has ended from the copies, and releases the ends that waited for it.
    pub(super) fn forget_copy(&mut self, task: TaskKey, run: RunKey, now: Millis) {
        if self.copies.is_copy(task, run) {
            self.copies.by_task.remove(task);
            self.record_copy_end(task, run, CopyOutcome::Ended, now);
        }
        self.release_ends(Hold::Run(run), now);
    }

    /// Releases the ends that waited for the end of the recovery.
    pub(super) fn release_recovery_holds(&mut self, now: Millis) {
        self.release_ends(Hold::Recovery, now);
    }

    fn release_ends(&mut self, hold: Hold, now: Millis) {
        let held = self.copies.held_ends.len();
        self.copies.held_ends.retain(|end| end.hold != hold);
        if self.copies.held_ends.len() < held {
            // Ends are acknowledged after the next batch.
            self.request_batch(now);
        }
    }

    fn record_copy_end(&mut self, task: TaskKey, copy: RunKey, outcome: CopyOutcome, now: Millis) {
        let Some(name) = self.job_table.name(task) else {
            return;
        };
        let run = self.runs.get(copy);
        self.events.push(SchedulerEvent::CopySettled {
            task: name,
            number: run.map_or(0, |run| run.info().number),
            outcome,
            age_ms: run.map_or(0, |run| now.ms_since(run.info().sent_at)),
        });
    }
}
