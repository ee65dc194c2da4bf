//! Choice of a worker for a ready task.

use super::job_table::Task;
use super::status::Exclusion;
use super::view::PlacementView;
use super::worker::Worker;
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

/// Maximum age of a worker's last answer for a start by a leader that may have been replaced, from when it was
/// asked for: after a freeze, answers from before it are read. Polls wait 150 ms. A worker that has restarted no
/// longer knows the next leader's fencing token.
const UNCONFIRMED_LEADER_ANSWER_AGE_MS: u64 = 400;

impl PlacementView<'_> {
    /// Selects the best worker of a service with room for the task.
    pub(super) fn best_worker(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        let workers = &self.services.get(service)?.workers;
        self.best_worker_among(key, workers.iter().copied(), planned)
    }

    /// Selects the best one of some workers with room for the task.
    pub(super) fn best_worker_among(
        &self,
        key: TaskKey,
        workers: impl Iterator<Item = WorkerKey>,
        planned: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        let workers = workers.filter(|key| self.is_worker(*key, Self::may_start_on));
        self.best_candidate(key, workers, planned)
    }

    /// Selects the best quarantined worker of a service for a long-running task that no other worker can take. The
    /// task loses nothing by a further failure, and nothing else shows that the worker is sound again.
    pub(super) fn best_quarantined_worker(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        if !self.job_table.is_long_running(key) {
            return None;
        }
        let workers = self.services.get(service)?.workers.iter().copied();
        let workers = workers.filter(|key| self.is_worker(*key, Self::may_be_tried));
        self.best_candidate(key, workers, planned)
    }

    fn is_worker(&self, key: WorkerKey, condition: impl Fn(&Self, &Worker) -> bool) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| condition(self, worker))
    }

    /// Selects the best one of the candidates with room for the task.
    fn best_candidate(
        &self,
        key: TaskKey,
        candidates: impl Iterator<Item = WorkerKey>,
        planned: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        let task = self.job_table.tasks.get(key)?;
        let step = self.job_table.step_of(key)?;
        let step_key = self.job_table.step_key(key)?;
        let advised = self.job_table.advice_of(key).is_some();
        self.fitting_among(key, candidates, planned)
            .filter(|worker| !task.is_isolated() || !self.workers[*worker].has_suspects(self.now))
            .filter(|worker| !advised || self.advice.ticket(step_key, *worker, self.now).is_some())
            .map(|key| {
                let worker = &self.workers[key];
                let cost = (
                    worker.exposure(task, self.now),
                    self.speed_class(worker, step_key),
                    task.avoid_worker == Some(key),
                    is_outside_affinity_rack(step, worker),
                    packing_cost_ppm(step, worker),
                );
                (cost, key)
            })
            .min_by(|(cost, key), (other_cost, other)| {
                cost.cmp(other_cost).then_with(|| {
                    let id = |key: &WorkerKey| &self.workers[*key].report.id;
                    id(key).cmp(id(other))
                })
            })
            .map(|(_, key)| key)
    }

    /// Workers of a service with room for the task that meet the constraints of its step. `planned` reserves
    /// room that is not yet in use.
    pub(super) fn fitting_workers(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
    ) -> impl Iterator<Item = WorkerKey> {
        let service = self.services.get(service).into_iter();
        let workers = service.flat_map(|service| service.workers.iter().copied());
        let workers = workers.filter(|key| self.is_worker(*key, Self::may_start_on));
        self.fitting_among(key, workers, planned)
    }

    fn fitting_among(
        &self,
        key: TaskKey,
        workers: impl Iterator<Item = WorkerKey>,
        planned: &[(WorkerKey, Resources)],
    ) -> impl Iterator<Item = WorkerKey> {
        let task = self
            .job_table
            .tasks
            .get(key)
            .zip(self.job_table.step_of(key));
        let planned_need = move |worker: WorkerKey| {
            planned
                .iter()
                .filter(|(key, _)| *key == worker)
                .fold(Resources::default(), |sum, (_, need)| sum.plus(*need))
        };
        workers
            .filter_map(move |worker| Some((task?, worker)))
            .filter(move |((task, step), key)| {
                let Some(worker) = self.workers.get(*key) else {
                    return false;
                };
                step.need().plus(planned_need(*key)).fits(worker.free())
                    && step
                        .requirement
                        .as_ref()
                        .is_none_or(|label| worker.report.labels.contains(label))
                    && self.is_below_per_worker_max(*key, task, step, planned)
            })
            .map(|(_, key)| key)
    }

    /// Selects the best worker for a task other than the one it runs on.
    pub(super) fn best_other_worker(
        &self,
        key: TaskKey,
        service: ServiceKey,
        worker: WorkerKey,
        planned: &[(WorkerKey, Resources)],
    ) -> Option<WorkerKey> {
        let full = self.workers.get(worker)?.report.capacity;
        let mut planned = planned.to_vec();
        planned.push((worker, full));
        self.best_worker(key, service, &planned)
            .filter(|chosen| *chosen != worker)
    }

    /// Whether the worker takes work, also of a leader that may have been replaced.
    pub(super) fn may_start_on(&self, worker: &Worker) -> bool {
        worker.takes_work(self.now) && self.has_recent_answer(worker)
    }

    /// Whether nothing but its quarantine keeps the worker from taking work, and a try is due.
    pub(super) fn may_be_tried(&self, worker: &Worker) -> bool {
        worker.exclusion(self.now) == Some(Exclusion::Quarantined)
            && worker.quarantine.is_try_due(self.now)
            && self.has_recent_answer(worker)
    }

    /// Whether the worker's last answer is recent enough for a start by this leader.
    fn has_recent_answer(&self, worker: &Worker) -> bool {
        !self.leadership_unconfirmed
            || self.now.ms_since(worker.answer_asked_at) <= UNCONFIRMED_LEADER_ANSWER_AGE_MS
    }

    /// Whether the worker is below the step's limit of tasks per worker.
    fn is_below_per_worker_max(
        &self,
        worker: WorkerKey,
        task: &Task,
        step: &StepSpec,
        planned: &[(WorkerKey, Resources)],
    ) -> bool {
        if step.per_worker_max == 0 {
            return true;
        }
        let same_step = |run: &&RunKey| {
            self.runs
                .get(**run)
                .and_then(|run| self.job_table.tasks.get(run.info().task))
                .is_some_and(|other| {
                    other.job == task.job
                        && other.position.step == task.position.step
                        && other.position.occurrence == task.position.occurrence
                })
        };
        let running = self.workers[worker].runs().iter().filter(same_step).count();
        let also_planned = planned.iter().filter(|(key, _)| *key == worker).count();
        running + also_planned < step.per_worker_max as usize
    }
}

/// Whether the step prefers a rack that the worker is not in.
pub(super) fn is_outside_affinity_rack(step: &StepSpec, worker: &Worker) -> bool {
    step.affinity
        .as_ref()
        .is_some_and(|rack| worker.rack() != Some(rack))
}

/// Sort key for bin packing; the smallest is best. Tasks go to the fullest worker that fits, but
/// backfill tasks go to the emptiest.
pub(super) fn packing_cost_ppm(step: &StepSpec, worker: &Worker) -> u64 {
    let free = worker.free().minus(step.need());
    let share = free.dominant_share_ppm(worker.report.capacity);
    if step.fills {
        1_000_000 - share.min(1_000_000)
    } else {
        share
    }
}
