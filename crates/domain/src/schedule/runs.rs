//! Results of start and stop orders, and removal of runs.

use super::job_table::TaskStatus;
use super::order::{Action, OrderResult, Refusal, StopOrder};
use super::recovery::STOP_LISTED_MS;
use super::stop_reason::{StopCause, StopReason};
use super::{RESTART_DELAY_MS, STOP_RESEND_DELAY_MS, Scheduler};
use crate::prelude::*;

/// Times that a start is sent; if the last one also gets no answer, the run is stopped.
const START_ATTEMPTS_MAX: u32 = 2;

impl Scheduler {
    /// Applies the result of a start order.
    pub fn started(&mut self, worker: WorkerKey, run: RunKey, result: OrderResult, now: Millis) {
        match self.runs.get_mut(run) {
            Some(run) => run.start_in_flight = false,
            None => return,
        }
        if result == OrderResult::Unanswered {
            self.record_late_start(worker, run, now);
        }
        match self.without_former_end(worker, Some(run), result) {
            OrderResult::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.update_clock(clock_ms, now);
                }
                if let Some(run) = self.runs.get_mut(run) {
                    run.confirm(now);
                }
            }
            OrderResult::Refused(Refusal::OtherIncarnation) | OrderResult::NotListening => {
                self.process_ended(worker, now);
            }
            OrderResult::Refused(refusal) => {
                self.fenced |= refusal == Refusal::Fenced;
                self.pause_worker(worker, refusal, now);
                if self.has_unanswered_start(run) {
                    self.stop_run(run, StopReason::StartUnanswered, now);
                    return;
                }
                let task = self.runs.get(run).map(|run| run.info().task);
                if let (Refusal::Ticket, Some(step)) =
                    (refusal, task.and_then(|task| self.job_table.step_key(task)))
                {
                    self.advice.expire_ticket(step, worker);
                }
                self.drop_run(run, now);
            }
            OrderResult::NotSent if self.has_unanswered_start(run) => {
                self.stop_run(run, StopReason::StartUnanswered, now)
            }
            OrderResult::NotSent => self.drop_run(run, now),
            OrderResult::Unanswered if self.resend_start(worker, run, now) => {}
            OrderResult::Unanswered => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause(now);
                }
                self.stop_run(run, StopReason::StartUnanswered, now);
            }
        }
    }

    /// The result of an order, without the end of an incarnation that had ended before: an order that was sent
    /// before this leader knew of the current incarnation says nothing about it, and neither does the stop of
    /// a run that is gone.
    fn without_former_end(
        &self,
        worker: WorkerKey,
        run: Option<RunKey>,
        result: OrderResult,
    ) -> OrderResult {
        let since = self
            .workers
            .get(worker)
            .map(|worker| worker.incarnation_since);
        let sent_at = run.and_then(|run| Some(self.runs.get(run)?.info().sent_at));
        match result {
            OrderResult::Refused(Refusal::OtherIncarnation) | OrderResult::NotListening
                if sent_at < since =>
            {
                OrderResult::NotSent
            }
            _ => result,
        }
    }

    /// Whether an earlier start of the run was not answered, so that it may still take effect.
    fn has_unanswered_start(&self, run: RunKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.start_attempts > 1)
    }

    fn resend_start(&mut self, worker: WorkerKey, run: RunKey, now: Millis) -> bool {
        let is_responsive = self
            .workers
            .get(worker)
            .is_some_and(|worker| !worker.unresponsive);
        let attempts_left = self
            .runs
            .get(run)
            .is_some_and(|run| !run.is_stopping() && run.start_attempts < START_ATTEMPTS_MAX);
        is_responsive && attempts_left && self.send_start(run, now)
    }

    /// Applies the result of a stop order.
    pub fn stopped(
        &mut self,
        worker: WorkerKey,
        run: Option<RunKey>,
        result: OrderResult,
        now: Millis,
    ) {
        let result = self.without_former_end(worker, run, result);
        self.fenced |= result == OrderResult::Refused(Refusal::Fenced);
        if let Some(run) = run.and_then(|run| self.runs.get_mut(run)) {
            run.stop_in_flight = false;
            run.resend_stop_at = now.after_ms(STOP_RESEND_DELAY_MS);
            if let OrderResult::Accepted { .. } = result {
                run.stop_accepted_at = Some(now);
                // A run that is listed for longer was started after the stop, by a late order that reached
                // the worker's next process.
                run.resend_stop_at = now.after_ms(self.settings.stop_grace_ms + STOP_LISTED_MS);
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_poll_at = worker.next_poll_at.min(now);
                }
            }
        }
        if let OrderResult::Refused(Refusal::OtherIncarnation) | OrderResult::NotListening = result
        {
            // Keeps runs whose start is in flight; their stop is sent again.
            self.process_ended(worker, now);
        }
    }

    pub(super) fn pause_worker(&mut self, key: WorkerKey, refusal: Refusal, now: Millis) {
        if let Some(worker) = self.workers.get_mut(key)
            && matches!(
                refusal,
                Refusal::Unhealthy | Refusal::NoRoom | Refusal::Malformed
            )
        {
            worker.pause(now);
        }
    }

    pub(super) fn resend_stops(&mut self, now: Millis) {
        let due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.is_stopping() && !run.stop_in_flight && run.resend_stop_at <= now
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.send_stop(key);
        }
    }

    pub(super) fn stop_run(&mut self, key: RunKey, reason: StopReason, now: Millis) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        self.learn_unfinished(key, now);
        if let Some(run) = self.runs.get_mut(key) {
            run.stop(reason, now);
        }
        self.send_stop(key);
    }

    pub(super) fn send_stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (Some(task), Some(reason)) = (self.job_table.name(run.info().task), run.stop_reason)
        else {
            return;
        };
        run.stop_in_flight = true;
        run.stop_attempts += 1;
        let cause = StopCause {
            reason,
            attempt: run.stop_attempts,
        };
        let order = StopOrder {
            run: Some(key),
            task,
            number: run.info().number,
        };
        self.actions
            .push(Action::Stop(run.info().worker, order, cause));
    }

    /// Removes a run that has certainly ended, and releases its task.
    pub(super) fn drop_run(&mut self, key: RunKey, now: Millis) {
        // Its result would find no run any more, and the start may still reach the next incarnation.
        if let Some(run) = self.runs.get(key).filter(|run| run.start_in_flight) {
            self.record_late_start(run.info().worker, key, now);
        }
        let Some(run) = self.runs.remove(key, &mut self.workers) else {
            return;
        };
        let info = *run.info();
        self.request_worker_placement(info.worker);
        self.forget_copy(info.task, key, now);
        let long_running = self.job_table.is_long_running(info.task);
        let Some(task) = self.job_table.tasks.get_mut(info.task) else {
            return;
        };
        if task.status != TaskStatus::Placed(key) {
            return;
        }
        if task.is_isolated()
            && let Some(worker) = self.workers.get_mut(info.worker)
        {
            worker.isolated_until = Millis::ZERO;
        }
        if long_running {
            task.not_before = now.after_ms(RESTART_DELAY_MS);
            task.not_running_since = task.not_running_since.or(Some(now));
        }
        if !self.promote_copy(info.task, now) {
            self.release_task(info.task);
        }
    }
}
