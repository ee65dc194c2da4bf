//! Start orders: creates a run on the chosen worker and sends its order.

use super::job_table::TaskStatus;
use super::order::{Action, StartOrder};
use super::run::{Phase, PlacedRun, Run, RunInfo};
use super::{LOW_PRIORITY_BATCH_DELAY_MS, POLL_INTERVAL_MS, Scheduler};
use crate::job::JobState;
use crate::prelude::*;

impl Scheduler {
    /// Starts a run of the task on the worker.
    pub(super) fn start(&mut self, key: TaskKey, worker_key: WorkerKey, number: u32, now: Millis) {
        let Some(run) = self.begin_run(key, worker_key, number, now) else {
            return;
        };
        let task = &mut self.job_table.tasks[key];
        task.status = TaskStatus::Placed(run);
        task.last_run_lost = false;
    }

    /// Notes that a worker has begun a run.
    pub(super) fn confirm_run(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.confirm(now);
        let task = run.info().task;
        self.mark_job_begun(task, now);
    }

    /// Notes that a run of the task's job has begun. An order alone does not show it: the worker may refuse it.
    pub(super) fn mark_job_begun(&mut self, task: TaskKey, now: Millis) {
        let job = self.job_table.tasks.get(task).map(|task| task.job);
        let Some(job) = job.and_then(|job| self.job_table.jobs.get_mut(job)) else {
            return;
        };
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            job.dirty = true;
            self.request_batch(now.after_ms(LOW_PRIORITY_BATCH_DELAY_MS));
        }
    }

    /// Creates a run of the task on the worker and sends its start order.
    pub(super) fn begin_run(
        &mut self,
        key: TaskKey,
        worker_key: WorkerKey,
        number: u32,
        now: Millis,
    ) -> Option<RunKey> {
        let step = self.job_table.step_of(key)?;
        let info = RunInfo {
            task: key,
            number,
            worker: worker_key,
            need: step.need(),
            workspace: self.job_table.workspace_of(key),
            finite_in: self.finite_in(key, worker_key),
            fills: step.fills,
            sent_at: now,
        };
        let worker = &mut self.workers[worker_key];
        worker.clock?;
        let run = PlacedRun::new(Phase::Sent(Run::new(info)));
        let run = self.runs.insert(run, worker);
        worker.begin_probation(&self.job_table.tasks[key], now);
        worker.quarantine.note_start(now);
        worker.keep_lease_until(self.settings.lease_from(now));
        if !worker.poll_in_flight {
            worker.next_poll_at = worker.next_poll_at.min(now.after_ms(POLL_INTERVAL_MS));
        }
        self.job_table.tasks[key].last_run_number = number;
        self.send_start(run, now);
        Some(run)
    }

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
        run.start_sent_at = now;
        run.start_deadline_ms = order.deadline_ms;
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
            .job_table
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
