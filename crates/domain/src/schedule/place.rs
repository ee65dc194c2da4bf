//! Which ready task starts where.

use super::book::{Job, LATE_FACTOR, Task, TaskStatus};
use super::order::{Action, StartOrder};
use super::run::{Phase, PlacedRun, Run, RunFacts};
use super::worker::Worker;
use super::{LAZY_BATCH_MS, LEASE_MARGIN_MS, LOOK_GAP_MS, RUNS_PER_TERM, Scheduler};
use crate::job::{JobState, StepSpec};
use crate::placement::Resources;
use crate::prelude::*;

/// A holder that may have been replaced starts work only on workers that have answered this lately: a
/// look waits 150 ms. A worker that starts again has forgotten the fence of the next holder.
const UNPROVED_HEARD_MS: u64 = 400;

/// Order in which ready tasks are placed; smaller first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Runs until cancelled, and is away.
    Lasting,
    /// Can still meet its objective.
    InTime,
    /// Late, but still of use.
    Late,
    /// Too late to be of use; it is still owed.
    Owed,
}

/// Rank of a task in a placement pass. Among jobs that can still be of use, the one with the least
/// work left comes first: under overload that serves the most jobs, and ends what has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    work_left: u64,
    received_at: Millis,
    job: JobKey,
}

impl Scheduler {
    pub(super) fn place(&mut self, now: Millis) {
        let ranked = self.ranked(now);
        let mut refused_step: Option<(JobKey, u32, u16)> = None;
        let mut refused: FastMap<ServiceKey, Resources> = FastMap::default();
        for (rank, key) in ranked {
            let Some(task) = self.book.tasks.get(key) else {
                continue;
            };
            // The next holder may have heard of the end of the run that was lost.
            if self.unproved && task.lost_run {
                self.ready.push(key);
                continue;
            }
            let step_id = (rank.job, task.position.occurrence, task.position.step);
            if refused_step == Some(step_id) || task.not_before > now {
                self.place_wanted |= task.not_before > now;
                self.ready.push(key);
                continue;
            }
            if !self.place_task(key, &mut refused, now) {
                refused_step = Some(step_id);
                self.ready.push(key);
            }
        }
        self.ask_advisor(now);
    }

    /// The ready tasks in the order of their urgency.
    fn ranked(&mut self, now: Millis) -> Vec<(Rank, TaskKey)> {
        let ready = std::mem::take(&mut self.ready);
        let capacity = self.largest_capacity();
        let mut work_left: FastMap<JobKey, u64> = FastMap::default();
        let mut ranked: Vec<(Rank, TaskKey)> = ready
            .into_iter()
            .filter_map(|key| {
                let task = self.book.tasks.get(key)?;
                if task.status != TaskStatus::Ready {
                    return None;
                }
                let job = self.book.jobs.get(task.job)?;
                let work_left = *work_left
                    .entry(task.job)
                    .or_insert_with(|| self.book.remaining_work(task.job, capacity));
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

    /// Capacity of the largest worker.
    pub(super) fn largest_capacity(&self) -> Resources {
        self.workers
            .values()
            .map(|worker| worker.report.capacity)
            .fold(Resources::default(), Resources::max)
    }

    fn place_task(
        &mut self,
        key: TaskKey,
        refused: &mut FastMap<ServiceKey, Resources>,
        now: Millis,
    ) -> bool {
        let Some(step) = self.book.step_of(key) else {
            return true;
        };
        let (gang, need) = (step.gang, step.need());
        if gang {
            return self.place_gang(key, now);
        }
        let job = self.book.tasks[key].job;
        let service_name = Arc::clone(&self.book.jobs[job].policy.service);
        let service = self.service_key(&service_name);
        if refused
            .get(&service)
            .is_some_and(|smallest| smallest.fits(need))
        {
            return false;
        }
        let Some(worker) = self.choose(key, service, &[], now) else {
            let unconstrained = self.advice_of(key).is_none()
                && self
                    .book
                    .step_of(key)
                    .is_some_and(|step| step.requirement.is_none() && step.per_worker_max == 0);
            if unconstrained {
                refused.insert(service, need);
            }
            return false;
        };
        let number = self.next_number(key);
        self.start(key, worker, number, now);
        true
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, key: TaskKey, now: Millis) -> bool {
        let task = &self.book.tasks[key];
        let (job, position) = (task.job, task.position);
        let members = self.book.jobs[job].occurrences[position.occurrence as usize]
            [usize::from(position.step)]
        .clone();
        let all_ready = members.iter().all(|member| {
            self.book
                .tasks
                .get(*member)
                .is_some_and(|task| task.status == TaskStatus::Ready)
        });
        if !all_ready {
            return false;
        }
        let service_name = Arc::clone(&self.book.jobs[job].policy.service);
        let service = self.service_key(&service_name);
        let mut planned: Vec<(WorkerKey, Resources)> = Vec::new();
        for member in &members {
            let Some(worker) = self.choose(*member, service, &planned, now) else {
                return false;
            };
            let need = self
                .book
                .step_of(*member)
                .map(StepSpec::need)
                .unwrap_or_default();
            planned.push((worker, need));
        }
        let number = members
            .iter()
            .map(|member| self.next_number(*member))
            .max()
            .unwrap_or(1);
        let checkpoint = members
            .iter()
            .filter_map(|member| self.book.tasks.get(*member))
            .max_by_key(|task| (task.last_number, !task.checkpoint.is_empty()))
            .map(|task| Arc::clone(&task.checkpoint));
        for (member, (worker, _)) in members.into_iter().zip(planned) {
            if let (Some(task), Some(checkpoint)) = (self.book.tasks.get_mut(member), &checkpoint) {
                task.checkpoint = Arc::clone(checkpoint);
            }
            self.start(member, worker, number, now);
        }
        true
    }

    fn next_number(&self, key: TaskKey) -> u32 {
        let first = (self.settings.term.max(1) - 1) * RUNS_PER_TERM + 1;
        let last = self.book.tasks.get(key).map_or(0, |task| task.last_number);
        (last + 1).max(first)
    }

    /// The worker that the task fits best, if any.
    fn choose(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
        now: Millis,
    ) -> Option<WorkerKey> {
        let task = self.book.tasks.get(key)?;
        let step = self.book.step_of(key)?;
        let step_key = self.step_key(key)?;
        let advised = self.advice_of(key).is_some();
        self.fitting_workers(key, service, planned, now)
            .filter(|worker| !advised || self.advice.ticket(step_key, *worker, now).is_some())
            .min_by_key(|key| {
                let worker = &self.workers[*key];
                (
                    task.avoid == Some(*key),
                    off_rack(step, worker),
                    room_left_ppm(step, worker),
                    Arc::clone(&worker.report.id),
                )
            })
    }

    /// Workers that have room for a task and that its step does not rule out.
    pub(super) fn fitting_workers(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &[(WorkerKey, Resources)],
        now: Millis,
    ) -> impl Iterator<Item = WorkerKey> {
        let task = self.book.tasks.get(key).zip(self.book.step_of(key));
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
                    && (!self.unproved || now.ms_since(worker.heard_at) <= UNPROVED_HEARD_MS)
                    && step.need().plus(planned_need(*key)).fits(worker.free())
                    && step
                        .requirement
                        .as_ref()
                        .is_none_or(|label| worker.report.labels.contains(label))
                    && self.beside_few(*key, task, step, planned)
            })
            .map(|(_, key)| key)
    }

    /// The worker that a task fits best beside the one that it is on.
    pub(super) fn choose_beside(
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
        self.choose(key, service, &planned, now)
            .filter(|chosen| *chosen != worker)
    }

    /// Whether the worker has fewer tasks of the step than it may.
    fn beside_few(
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
                .and_then(|run| self.book.tasks.get(run.facts().task))
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
        let Some(step) = self.book.step_of(key) else {
            return;
        };
        let facts = RunFacts {
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
            .insert(PlacedRun::new(Phase::Sent(Run::new(facts))));
        worker.runs.push(run);
        worker.used = worker.used.plus(facts.need);
        let lease_end = now.after_ms(self.settings.run_lease_ms + LEASE_MARGIN_MS);
        worker.lease_end = worker.lease_end.max(lease_end);
        if !worker.looking {
            worker.next_look = worker.next_look.min(now.after_ms(LOOK_GAP_MS));
        }
        let task = &mut self.book.tasks[key];
        task.status = TaskStatus::Placed(run);
        task.last_number = number;
        task.lost_run = false;
        let job_key = task.job;
        self.send_start(run, now);
        let job = &mut self.book.jobs[job_key];
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            job.dirty = true;
            self.want_batch(now.after_ms(LAZY_BATCH_MS));
        }
    }
}

impl Scheduler {
    /// Sends the start of a run, which may be repeated: a worker starts a run once.
    pub(super) fn send_start(&mut self, key: RunKey, now: Millis) -> bool {
        let Some(order) = self.start_order(key, now) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        run.start_tries += 1;
        run.start_in_flight = true;
        self.actions.push(Action::Start(run.facts().worker, order));
        true
    }

    fn start_order(&self, key: RunKey, now: Millis) -> Option<StartOrder> {
        let facts = *self.runs.get(key)?.facts();
        let task = self.book.tasks.get(facts.task)?;
        let job = self.book.jobs.get(task.job)?;
        let step = self.book.step_of(facts.task)?;
        let worker = self.workers.get(facts.worker)?;
        let ticket = self
            .step_key(facts.task)
            .and_then(|step| self.advice.ticket(step, facts.worker, now))
            .cloned();
        if ticket.is_none() && job.policy.advice.is_some() {
            return None;
        }
        Some(StartOrder {
            run: key,
            task: self.book.name(facts.task)?,
            number: facts.number,
            text: Arc::clone(&job.record.spec.text),
            deadline_ms: worker.clock_at(now)? + self.settings.run_lease_ms,
            checkpoint: if step.checkpointing {
                Arc::clone(&task.checkpoint)
            } else {
                "".into()
            },
            ticket,
        })
    }
}

/// How urgent a task is. One that cannot meet its job's objective any more, by the declared times,
/// yields to those that can.
fn urgency(task: &Task, job: &Job, now: Millis) -> Urgency {
    if job.long_running() {
        return Urgency::Lasting;
    }
    let tail_ms = job
        .tails_ms
        .get(usize::from(task.position.step))
        .copied()
        .unwrap_or(0);
    let end_ms = now.after_ms(tail_ms).ms_since(job.received_at);
    if end_ms <= job.objective_ms {
        Urgency::InTime
    } else if end_ms <= job.objective_ms * LATE_FACTOR {
        Urgency::Late
    } else {
        Urgency::Owed
    }
}

/// Whether the worker is in another rack than the task's data.
pub(super) fn off_rack(step: &StepSpec, worker: &Worker) -> bool {
    step.affinity
        .as_ref()
        .is_some_and(|rack| worker.rack() != Some(rack))
}

/// Room of the worker, as the key of the choice: tasks are packed, but tasks that use only what
/// others leave go where most is left.
pub(super) fn room_left_ppm(step: &StepSpec, worker: &Worker) -> u64 {
    let free = worker.free().minus(step.need());
    let share = free.dominant_share_ppm(worker.report.capacity);
    if step.fills {
        1_000_000 - share.min(1_000_000)
    } else {
        share
    }
}
