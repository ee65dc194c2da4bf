//! Workers that are held for a large task.
//!
//! Small tasks refill each worker as soon as a part of it is free, so a task that needs most of a worker
//! would never find room. When a step of a workspace below its share has waited for such room, one worker of
//! the service takes no other finite tasks until the step fits there.

use super::Scheduler;
use super::order::StepKey;
use super::run::PlacedRun;
use super::share::ShareLimits;
use super::view::PlacementView;
use super::worker::Worker;
use crate::placement::Resources;
use crate::prelude::*;

/// Age of a job from which a worker is held for it; most workers are free for shorter tasks earlier.
const HOLD_AFTER_MS: u64 = 1_000;
/// Interval at which a step to hold a worker for is looked for among all waiting steps.
const CHOICE_INTERVAL_MS: u64 = 100;

/// A worker that is held for a step.
#[derive(Clone, Copy, Debug)]
struct Hold {
    step: StepKey,
    worker: WorkerKey,
}

/// At most one held worker for each service, so that little room stands empty.
#[derive(Debug, Default)]
pub(super) struct HeldWorkers {
    by_service: SecondaryMap<ServiceKey, Hold>,
    next_choice_at: SecondaryMap<ServiceKey, Millis>,
}

impl HeldWorkers {
    /// Whether a worker is held for the step.
    pub(super) fn is_for(&self, service: ServiceKey, step: StepKey) -> bool {
        let hold = self.by_service.get(service);
        hold.is_some_and(|hold| hold.step == step)
    }

    /// Worker that only another step may use.
    fn closed_to(&self, service: ServiceKey, step: StepKey) -> Option<WorkerKey> {
        let hold = self.by_service.get(service)?;
        (hold.step != step).then_some(hold.worker)
    }
}

impl Scheduler {
    /// Releases or chooses the held worker of a service, before a placement pass.
    pub(super) fn update_hold(&mut self, service: ServiceKey, limits: &ShareLimits, now: Millis) {
        let hold = self.shares.held.by_service.get(service).copied();
        if hold.is_none() && !limits.is_contended() {
            return;
        }
        let view = self.view(now);
        let kept = hold.filter(|hold| view.is_hold_needed(hold, service, limits));
        let next_choice_at = self.shares.held.next_choice_at.get(service);
        let is_choice_due = next_choice_at.is_none_or(|at| *at <= now);
        let chosen = if kept.is_none() && is_choice_due {
            view.choose_hold(service, limits)
        } else {
            None
        };
        if is_choice_due {
            let next = now.after_ms(CHOICE_INTERVAL_MS);
            self.shares.held.next_choice_at.insert(service, next);
        }
        match kept.or(chosen) {
            Some(hold) => {
                self.shares.held.by_service.insert(service, hold);
            }
            None => {
                self.shares.held.by_service.remove(service);
            }
        }
    }

    /// Room of the worker that the task must leave to another step, as if it were in use.
    pub(super) fn held_room(
        &self,
        task: TaskKey,
        service: ServiceKey,
    ) -> Vec<(WorkerKey, Resources)> {
        let step = self.job_table.step_key(task);
        let closed = step
            .filter(|_| !self.job_table.is_long_running(task))
            .and_then(|step| self.shares.held.closed_to(service, step))
            .and_then(|key| Some((key, self.workers.get(key)?.report.capacity)));
        closed.into_iter().collect()
    }
}

impl PlacementView<'_> {
    fn is_hold_needed(&self, hold: &Hold, service: ServiceKey, limits: &ShareLimits) -> bool {
        let tasks = self.services[service].ready.tasks(hold.step);
        tasks.iter().any(|task| self.job_table.is_ready(*task))
            && self.may_hold(hold.step, service, limits)
            && self.step_need(hold.step).is_some_and(|need| {
                self.workers.get(hold.worker).is_some_and(|worker| {
                    worker.takes_work(self.now) && need.fits(worker.report.capacity)
                })
            })
    }

    /// Holds the worker with the least missing room for the oldest step that would fit on no worker after the
    /// end of one run there either.
    fn choose_hold(&self, service: ServiceKey, limits: &ShareLimits) -> Option<Hold> {
        let workers = self.services[service]
            .workers
            .iter()
            .filter_map(|key| Some((*key, self.workers.get(*key)?)))
            .filter(|(_, worker)| worker.takes_work(self.now));
        let free_soon_max = workers
            .clone()
            .map(|(_, worker)| self.free_after_next_end(worker))
            .fold(Resources::default(), Resources::max);
        let (_, step, need) = self.services[service]
            .ready
            .steps()
            .filter_map(|(step, _)| {
                let need = self
                    .step_need(step)
                    .filter(|need| !need.fits(free_soon_max))?;
                let received_at = self.job_table.jobs.get(step.job)?.received_at;
                self.may_hold(step, service, limits).then_some((
                    (received_at, step.job, step.step),
                    step,
                    need,
                ))
            })
            .min_by_key(|(age, ..)| *age)?;
        workers
            .filter(|(_, worker)| need.fits(worker.report.capacity))
            .min_by_key(|(_, worker)| {
                let missing = need.minus(worker.free());
                (
                    missing.dominant_share_ppm(worker.report.capacity),
                    &worker.report.id,
                )
            })
            .map(|(worker, _)| Hold { step, worker })
    }

    /// Free room of the worker once the smallest finite run on it has ended.
    fn free_after_next_end(&self, worker: &Worker) -> Resources {
        let runs = worker.runs().iter().filter_map(|run| self.runs.get(*run));
        let smallest = runs
            .map(PlacedRun::info)
            .filter(|info| info.finite_in.is_some())
            .map(|info| info.need)
            .min_by_key(|need| need.dominant_share_ppm(worker.report.capacity));
        worker.free().plus(smallest.unwrap_or_default())
    }

    /// Whether a step is worth a held worker: its job has waited, its result is useful, any worker may run it,
    /// and its workspace is within rate, share and quota.
    fn may_hold(&self, step: StepKey, service: ServiceKey, limits: &ShareLimits) -> bool {
        let Some(job) = self.job_table.jobs.get(step.job) else {
            return false;
        };
        let (Some(spec), Some(workspace)) = (job.step(step.step), job.workspace) else {
            return false;
        };
        let is_unconstrained = spec.requirement.is_none()
            && spec.per_worker_max == 0
            && !spec.gang
            && job.policy.advice.is_none();
        let use_after = self.runs.used_by(workspace).plus(spec.need());
        is_unconstrained
            && !job.is_excess
            && !job.long_running()
            && job.is_useful(self.now)
            && self.now.ms_since(job.received_at) >= HOLD_AFTER_MS
            && self
                .workspaces
                .get(workspace)
                .is_some_and(|workspace| workspace.permits(use_after))
            && !self.is_above_share(limits, service, Some(workspace))
    }
}
