//! Placement: selects a worker for each ready task.

use super::job_table::{Job, Task, TaskStatus, USEFUL_LATENCY_FACTOR};
use super::order::{Action, StartOrder};
use super::run::{Phase, PlacedRun, Run, RunInfo};
use super::worker::Worker;
use super::{
    LEASE_MARGIN_MS, LOW_PRIORITY_BATCH_DELAY_MS, POLL_INTERVAL_MS, RUN_NUMBERS_PER_TERM, Scheduler,
};
use crate::job::{JobState, StepSpec};
use crate::placement::Resources;
use crate::prelude::*;

/// Maximum age of a worker's last answer for a start by a leader that may have been replaced. Polls
/// wait 150 ms. A worker that has restarted no longer knows the next leader's fencing token.
const UNCONFIRMED_LEADER_ANSWER_AGE_MS: u64 = 400;

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

/// Placement order. Among jobs whose results are still useful, the job with the least remaining
/// work comes first: under overload this completes the most jobs, and it completes those already
/// started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    work_left: u64,
    received_at: Millis,
    job: JobKey,
}

impl Scheduler {
    pub(super) fn place_ready_tasks(&mut self, now: Millis) {
        let ranked = self.ranked_ready_tasks(now);
        let mut unplaceable_step: Option<(JobKey, u32, u16)> = None;
        let mut unplaceable: FastMap<ServiceKey, Resources> = FastMap::default();
        for (rank, key) in ranked {
            let Some(task) = self.job_table.tasks.get(key) else {
                continue;
            };
            // Another leader may already know how the lost run ended.
            if self.leadership_unconfirmed && task.last_run_lost {
                self.ready.push(key);
                continue;
            }
            let step_id = (rank.job, task.position.occurrence, task.position.step);
            if unplaceable_step == Some(step_id) || task.not_before > now {
                self.placement_due |= task.not_before > now;
                self.ready.push(key);
                continue;
            }
            if !self.place_task(key, &mut unplaceable, now) {
                unplaceable_step = Some(step_id);
                self.ready.push(key);
            }
        }
        self.ask_advisor(now);
    }

    /// Takes the ready tasks, sorted by rank.
    fn ranked_ready_tasks(&mut self, now: Millis) -> Vec<(Rank, TaskKey)> {
        let ready = std::mem::take(&mut self.ready);
        let capacity = self.largest_capacity();
        let mut work_left: FastMap<JobKey, u64> = FastMap::default();
        let mut ranked: Vec<(Rank, TaskKey)> = ready
            .into_iter()
            .filter_map(|key| {
                let task = self.job_table.tasks.get(key)?;
                if task.status != TaskStatus::Ready {
                    return None;
                }
                let job = self.job_table.jobs.get(task.job)?;
                let work_left = *work_left
                    .entry(task.job)
                    .or_insert_with(|| self.job_table.remaining_work(task.job, capacity));
                let rank = Rank {
                    urgency: urgency(task, job, now),
                    work_left,
                    received_at: job.received_at,
                    job: task.job,
                };
                Some((rank, key))
            })
            .collect();
        ranked.sort_unstable();
        ranked.dedup();
        ranked
    }

    /// Per-resource maximum of the capacities of all workers.
    pub(super) fn largest_capacity(&self) -> Resources {
        self.workers
            .values()
            .map(|worker| worker.report.capacity)
            .fold(Resources::default(), Resources::max)
    }

    fn place_task(
        &mut self,
        key: TaskKey,
        unplaceable: &mut FastMap<ServiceKey, Resources>,
        now: Millis,
    ) -> bool {
        let Some(step) = self.job_table.step_of(key) else {
            return true;
        };
        let (gang, need) = (step.gang, step.need());
        if gang {
            return self.place_gang(key, now);
        }
        let job = self.job_table.tasks[key].job;
        let service_name = Arc::clone(&self.job_table.jobs[job].policy.service);
        let service = self.service_key(&service_name);
        if unplaceable
            .get(&service)
            .is_some_and(|smallest| smallest.fits(need))
        {
            return false;
        }
        let Some(worker) = self.best_worker(key, service, &[], now) else {
            let unconstrained = self.advice_of(key).is_none()
                && self
                    .job_table
                    .step_of(key)
                    .is_some_and(|step| step.requirement.is_none() && step.per_worker_max == 0);
            if unconstrained {
                unplaceable.insert(service, need);
            }
            return false;
        };
        let number = self.next_run_number(key);
        self.start(key, worker, number, now);
        true
    }

    /// Starts all tasks of a gang, or none if any of them has no worker.
    fn place_gang(&mut self, key: TaskKey, now: Millis) -> bool {
        let task = &self.job_table.tasks[key];
        let (job, position) = (task.job, task.position);
        let members = self.job_table.jobs[job].occurrences[position.occurrence as usize]
            [usize::from(position.step)]
        .clone();
        let all_ready = members.iter().all(|member| {
            self.job_table
                .tasks
                .get(*member)
                .is_some_and(|task| task.status == TaskStatus::Ready)
        });
        if !all_ready {
            return false;
        }
        let service_name = Arc::clone(&self.job_table.jobs[job].policy.service);
        let service = self.service_key(&service_name);
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
            .filter(|worker| !advised || self.advice.ticket(step_key, *worker, now).is_some())
            .min_by_key(|key| {
                let worker = &self.workers[*key];
                (
                    task.avoid_worker == Some(*key),
                    is_outside_affinity_rack(step, worker),
                    packing_cost_ppm(step, worker),
                    Arc::clone(&worker.report.id),
                )
            })
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

    fn start(&mut self, key: TaskKey, worker_key: WorkerKey, number: u32, now: Millis) {
        let Some(step) = self.job_table.step_of(key) else {
            return;
        };
        let info = RunInfo {
            task: key,
            number,
            worker: worker_key,
            need: step.need(),
            fills: step.fills,
            sent_at: now,
        };
        let worker = &mut self.workers[worker_key];
        if worker.clock.is_none() {
            return;
        }
        let run = self
            .runs
            .insert(PlacedRun::new(Phase::Sent(Run::new(info))));
        worker.runs.push(run);
        worker.used = worker.used.plus(info.need);
        let lease_end = now.after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS);
        worker.lease_end = worker.lease_end.max(lease_end);
        if !worker.poll_in_flight {
            worker.next_poll_at = worker.next_poll_at.min(now.after_ms(POLL_INTERVAL_MS));
        }
        let task = &mut self.job_table.tasks[key];
        task.status = TaskStatus::Placed(run);
        task.last_run_number = number;
        task.last_run_lost = false;
        let job_key = task.job;
        self.send_start(run, now);
        let job = &mut self.job_table.jobs[job_key];
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            job.dirty = true;
            self.request_batch(now.after_ms(LOW_PRIORITY_BATCH_DELAY_MS));
        }
    }
}

impl Scheduler {
    /// Sends the start order of a run. It may be sent again: a worker starts a run only once.
    pub(super) fn send_start(&mut self, key: RunKey, now: Millis) -> bool {
        let Some(order) = self.start_order(key, now) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        run.start_attempts += 1;
        run.start_in_flight = true;
        self.actions.push(Action::Start(run.info().worker, order));
        true
    }

    fn start_order(&self, key: RunKey, now: Millis) -> Option<StartOrder> {
        let info = *self.runs.get(key)?.info();
        let task = self.job_table.tasks.get(info.task)?;
        let job = self.job_table.jobs.get(task.job)?;
        let step = self.job_table.step_of(info.task)?;
        let worker = self.workers.get(info.worker)?;
        let ticket = self
            .step_key(info.task)
            .and_then(|step| self.advice.ticket(step, info.worker, now))
            .cloned();
        if ticket.is_none() && job.policy.advice.is_some() {
            return None;
        }
        Some(StartOrder {
            run: key,
            task: self.job_table.name(info.task)?,
            number: info.number,
            text: Arc::clone(&job.record.spec.text),
            deadline_ms: worker.estimated_clock_at(now)? + self.settings.run_lease_ms,
            checkpoint: if step.checkpointing {
                Arc::clone(&task.checkpoint)
            } else {
                "".into()
            },
            ticket,
        })
    }
}

/// Classifies a task. By the declared run times, tasks that can no longer meet the objective of
/// their job yield to tasks that can.
fn urgency(task: &Task, job: &Job, now: Millis) -> Urgency {
    if job.long_running() {
        return Urgency::LongRunning;
    }
    let remaining_ms = job
        .remaining_paths_ms
        .get(usize::from(task.position.step))
        .copied()
        .unwrap_or(0);
    let expected_latency_ms = now.after_ms(remaining_ms).ms_since(job.received_at);
    if expected_latency_ms <= job.objective_ms {
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
