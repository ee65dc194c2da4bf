//! Placement: selects a worker for each ready task.

use super::job_table::{Job, Task, TaskStatus, USEFUL_LATENCY_FACTOR};
use super::order::StepKey;
use super::worker::Worker;
use super::{RUN_NUMBERS_PER_TERM, Scheduler};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

/// Maximum age of a worker's last answer for a start by a leader that may have been replaced. Polls
/// wait 150 ms. A worker that has restarted no longer knows the next leader's fencing token.
const UNCONFIRMED_LEADER_ANSWER_AGE_MS: u64 = 400;

/// Time from the end of a run until callers see its job as completed: a poll, a batch in the store, and
/// the watch of the daemon that is asked.
const COMPLETION_DELAY_MS: u64 = 150;
/// Waiting steps of a service above which placement passes are spaced.
const WAITING_STEPS_MAX: usize = 32;
/// Spacing of placement passes of a service with many waiting steps.
const PLACEMENT_INTERVAL_MS: u64 = 10;
/// Interval at which every service with ready tasks gets a placement pass.
const FULL_PLACEMENT_INTERVAL_MS: u64 = 100;

/// Urgency class of a ready task; smaller values are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Long-running; it should be running now.
    LongRunning,
    /// Can still meet the latency objective of its job.
    OnTime,
    /// Misses the objective, but its result is still useful.
    Late,
    /// Its result is no longer useful, but the job must still complete.
    Overdue,
}

/// Placement order of the steps with ready tasks. Among jobs whose results are still useful, the job
/// with the least remaining work comes first: under overload this completes the most jobs, and it
/// completes those already started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    urgency: Urgency,
    work_left: u64,
    received_at: Millis,
    job: JobKey,
    occurrence: u32,
    step: u16,
}

impl Rank {
    pub(super) const fn step(&self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Needs that no worker of a service has room for in the current placement pass. Placement only takes
/// room, so a need that did not fit does not fit later in the pass.
#[derive(Debug)]
struct RoomBounds {
    /// Largest free amount of each resource on a worker that takes work.
    free_max: Resources,
    /// Smallest need without constraints that did not fit.
    unplaceable: Option<Resources>,
}

impl RoomBounds {
    fn may_fit(&self, need: Resources) -> bool {
        need.fits(self.free_max)
            && !self
                .unplaceable
                .is_some_and(|unplaceable| unplaceable.fits(need))
    }
}

impl Scheduler {
    /// Runs the placement passes that are due. With many waiting steps a pass waits for more room to
    /// become free, so that its cost is shared by several ends of runs.
    pub(super) fn place_ready_tasks(&mut self, now: Millis) {
        if self.next_full_placement_at <= now {
            // Covers room that becomes usable without an event, such as the end of a pause.
            self.next_full_placement_at = now.after_ms(FULL_PLACEMENT_INTERVAL_MS);
            self.request_full_placement();
        }
        let due: Vec<ServiceKey> = self
            .services
            .iter()
            .filter(|(_, service)| service.placement_due && service.next_placement_at <= now)
            .map(|(key, _)| key)
            .collect();
        if due.is_empty() {
            return;
        }
        let capacity = self.largest_capacity();
        for key in due {
            self.services[key].placement_due = false;
            self.place_tasks_of(key, capacity, now);
            let service = &mut self.services[key];
            if service.ready.step_count() > WAITING_STEPS_MAX {
                service.next_placement_at = now.after_ms(PLACEMENT_INTERVAL_MS);
            }
        }
        self.ask_advisor(now);
    }

    fn place_tasks_of(&mut self, service: ServiceKey, capacity: Resources, now: Millis) {
        if self.services[service].ready.is_empty() {
            return;
        }
        let mut bounds = RoomBounds {
            free_max: self.largest_free(service, now),
            unplaceable: None,
        };
        for rank in self.ranked_steps(service, &bounds, capacity, now) {
            let step = rank.step();
            let Some(need) = self.step_need(step).filter(|need| bounds.may_fit(*need)) else {
                continue;
            };
            let tasks = self.services[service].ready.take(step);
            let waiting = self.place_step(tasks, service, need, &mut bounds, now);
            self.services[service].ready.put_back(step, waiting);
        }
    }

    /// Places the tasks of a step and returns those that keep waiting.
    fn place_step(
        &mut self,
        tasks: Vec<TaskKey>,
        service: ServiceKey,
        need: Resources,
        bounds: &mut RoomBounds,
        now: Millis,
    ) -> Vec<TaskKey> {
        let mut waiting = Vec::new();
        let mut fits = true;
        for key in tasks {
            let Some(task) = self.job_table.tasks.get(key) else {
                continue;
            };
            if task.status != TaskStatus::Ready {
                continue;
            }
            if task.not_before > now {
                self.services[service].placement_due = true;
                waiting.push(key);
                continue;
            }
            // Another leader may already know how the lost run ended.
            let is_held = self.leadership_unconfirmed && task.last_run_lost;
            if is_held || !fits {
                waiting.push(key);
                continue;
            }
            let is_isolated = task.is_isolated();
            if !self.place_task(key, service, now) {
                fits = is_isolated;
                waiting.push(key);
                if self.is_unconstrained(key) {
                    bounds.unplaceable = Some(need);
                }
            }
        }
        waiting
    }

    /// Steps of a service with ready tasks that may fit on a worker, sorted by rank.
    fn ranked_steps(
        &self,
        service: ServiceKey,
        bounds: &RoomBounds,
        capacity: Resources,
        now: Millis,
    ) -> Vec<Rank> {
        let mut ranked: Vec<Rank> = self.services[service]
            .ready
            .steps()
            .filter(|(step, _)| {
                self.step_need(*step)
                    .is_some_and(|need| bounds.may_fit(need))
            })
            .filter_map(|(step, _)| self.rank(step, capacity, now))
            .collect();
        ranked.sort_unstable();
        ranked
    }

    pub(super) fn rank(&self, step: StepKey, capacity: Resources, now: Millis) -> Option<Rank> {
        let job = self.job_table.jobs.get(step.job)?;
        Some(Rank {
            urgency: urgency(step.step, job, now),
            work_left: self.job_table.remaining_work(step.job, capacity),
            received_at: job.received_at,
            job: step.job,
            occurrence: step.occurrence,
            step: step.step,
        })
    }

    /// Whether the job can still meet its objective if the step starts now.
    pub(super) fn is_on_time(&self, step: StepKey, now: Millis) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| urgency(step.step, job, now) == Urgency::OnTime)
    }

    fn step_need(&self, step: StepKey) -> Option<Resources> {
        let job = self.job_table.jobs.get(step.job)?;
        Some(job.step(step.step)?.need())
    }

    /// Whether any worker of the service with enough room can run the task.
    fn is_unconstrained(&self, key: TaskKey) -> bool {
        let is_isolated = self.job_table.tasks.get(key).is_some_and(Task::is_isolated);
        !is_isolated
            && self.advice_of(key).is_none()
            && self.job_table.step_of(key).is_some_and(|step| {
                step.requirement.is_none() && step.per_worker_max == 0 && !step.gang
            })
    }

    /// Per-resource maximum of the free room on the workers of a service that take work.
    fn largest_free(&self, service: ServiceKey, now: Millis) -> Resources {
        self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|worker| worker.takes_work(now))
            .map(Worker::free)
            .fold(Resources::default(), Resources::max)
    }

    /// Per-resource maximum of the capacities of all workers.
    pub(super) fn largest_capacity(&self) -> Resources {
        self.workers
            .values()
            .map(|worker| worker.report.capacity)
            .fold(Resources::default(), Resources::max)
    }

    fn place_task(&mut self, key: TaskKey, service: ServiceKey, now: Millis) -> bool {
        if self.job_table.step_of(key).is_some_and(|step| step.gang) {
            return self.place_gang(key, service, now);
        }
        let Some(worker) = self.best_worker(key, service, &[], now) else {
            return false;
        };
        let number = self.next_run_number(key);
        self.start(key, worker, number, now);
        true
    }

    /// Starts all tasks of a gang, or none if any of them has no worker.
    fn place_gang(&mut self, key: TaskKey, service: ServiceKey, now: Millis) -> bool {
        let task = &self.job_table.tasks[key];
        let (job, position) = (task.job, task.position);
        let members = self.job_table.jobs[job].occurrences[position.occurrence as usize]
            [usize::from(position.step)]
        .clone();
        if !members
            .iter()
            .all(|member| self.job_table.is_ready(*member))
        {
            return false;
        }
        let mut planned: Vec<(WorkerKey, Resources)> = Vec::new();
        for member in &members {
            let Some(worker) = self.best_worker(*member, service, &planned, now) else {
                return false;
            };
            let need = self
                .job_table
                .step_of(*member)
                .map(StepSpec::need)
                .unwrap_or_default();
            planned.push((worker, need));
        }
        let number = members
            .iter()
            .map(|member| self.next_run_number(*member))
            .max()
            .unwrap_or(1);
        let checkpoint = members
            .iter()
            .filter_map(|member| self.job_table.tasks.get(*member))
            .max_by_key(|task| (task.last_run_number, !task.checkpoint.is_empty()))
            .map(|task| Arc::clone(&task.checkpoint));
        for (member, (worker, _)) in members.into_iter().zip(planned) {
            if let (Some(task), Some(checkpoint)) =
                (self.job_table.tasks.get_mut(member), &checkpoint)
            {
                task.checkpoint = Arc::clone(checkpoint);
            }
            self.start(member, worker, number, now);
        }
        true
    }

    fn next_run_number(&self, key: TaskKey) -> u32 {
        let first = (self.settings.term.max(1) - 1) * RUN_NUMBERS_PER_TERM + 1;
        let last = self
            .job_table
            .tasks
            .get(key)
            .map_or(0, |task| task.last_run_number);
        (last + 1).max(first)
    }

    /// Selects the best worker with room for the task.
    fn best_worker(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
        now: Millis,
    ) -> Option<WorkerKey> {
        let task = self.job_table.tasks.get(key)?;
        let step = self.job_table.step_of(key)?;
        let step_key = self.step_key(key)?;
        let advised = self.advice_of(key).is_some();
        self.fitting_workers(key, service, planned, now)
            .filter(|worker| !task.is_isolated() || !self.workers[*worker].has_suspects(now))
            .filter(|worker| !advised || self.advice.ticket(step_key, *worker, now).is_some())
            .map(|key| {
                let worker = &self.workers[key];
                let cost = (
                    worker.exposure(task, now),
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

    /// Workers with room for the task that meet the constraints of its step. `planned` reserves
    /// room that is not yet in use.
    pub(super) fn fitting_workers(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
        now: Millis,
    ) -> impl Iterator<Item = WorkerKey> {
        let task = self
            .job_table
            .tasks
            .get(key)
            .zip(self.job_table.step_of(key));
        let workers = self.services.get(service).map(|service| &service.workers);
        let planned_need = move |worker: WorkerKey| {
            planned
                .iter()
                .filter(|(key, _)| *key == worker)
                .fold(Resources::default(), |sum, (_, need)| sum.plus(*need))
        };
        task.into_iter()
            .zip(workers)
            .flat_map(|(task, workers)| workers.iter().map(move |worker| (task, *worker)))
            .filter(move |((task, step), key)| {
                let Some(worker) = self.workers.get(*key) else {
                    return false;
                };
                worker.takes_work(now)
                    && (!self.leadership_unconfirmed
                        || now.ms_since(worker.last_answer_at) <= UNCONFIRMED_LEADER_ANSWER_AGE_MS)
                    && step.need().plus(planned_need(*key)).fits(worker.free())
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
        now: Millis,
    ) -> Option<WorkerKey> {
        let full = self.workers.get(worker)?.report.capacity;
        let mut planned = planned.to_vec();
        planned.push((worker, full));
        self.best_worker(key, service, &planned, now)
            .filter(|chosen| *chosen != worker)
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
        let running = self.workers[worker].runs.iter().filter(same_step).count();
        let also_planned = planned.iter().filter(|(key, _)| *key == worker).count();
        running + also_planned < step.per_worker_max as usize
    }
}

/// Classifies the tasks of a step. By the declared run times, tasks that can no longer meet the objective of
/// their job yield to tasks that can.
fn urgency(step: u16, job: &Job, now: Millis) -> Urgency {
    if job.long_running() {
        return Urgency::LongRunning;
    }
    let remaining_ms = job
        .remaining_paths_ms
        .get(usize::from(step))
        .copied()
        .unwrap_or(0);
    let expected_latency_ms = now.after_ms(remaining_ms).ms_since(job.received_at);
    if expected_latency_ms + COMPLETION_DELAY_MS <= job.objective_ms {
        Urgency::OnTime
    } else if expected_latency_ms <= job.objective_ms * USEFUL_LATENCY_FACTOR {
        Urgency::Late
    } else {
        Urgency::Overdue
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
