//! Results of start and stop orders, and removal of runs.

use super::job_table::TaskStatus;
use super::order::{Action, OrderResult, Refusal, StopOrder};
use super::recovery::STOP_LISTED_MS;
use super::stop_reason::{StopCause, StopReason};
use super::worker::Worker;
use super::{STOP_RESEND_DELAY_MS, Scheduler};
use crate::prelude::*;

/// Times that a start is sent; if the last one also gets no answer, the run is stopped.
const START_ATTEMPTS_MAX: u32 = 2;

impl Scheduler {
    /// Applies the result of a start order.
    pub fn started(&mut self, worker: WorkerKey, run: RunKey, result: OrderResult, now: Millis) {
        let Some(placed) = self.runs.get_mut(run) else {
            return;
        };
        placed.start_in_flight = false;
        placed.has_unanswered_start = result == OrderResult::Unanswered;
        placed.settled_at = now;
        let is_known_to_run = placed.is_listed && result == OrderResult::Unanswered;
        // A start that was sent again may have reached the next incarnation after the former one listed the run.
        placed.is_listed &= placed.start_attempts == 1;
        let sent_at = placed.start_sent_at;
        let deadline_ms = placed.start_deadline_ms;
        if result == OrderResult::Unanswered {
            self.record_late_start(worker, run, now);
        }
        match result {
            OrderResult::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.note_order_clock(clock_ms, sent_at, now);
                    worker.keep_lease_until(if worker.has_clock_gone_back {
                        self.settings.longest_lease_from(now)
                    } else {
                        // The clock of another process may be too close to the known one to tell them apart.
                        let lease_ms = deadline_ms.saturating_sub(clock_ms);
                        self.settings.end_of_lease(lease_ms, now)
                    });
                }
                self.confirm_run(run, now);
            }
            OrderResult::Refused(Refusal::OtherIncarnation) => {
                self.order_found_other_process(worker, Some(sent_at), now);
                self.start_not_carried_out(run, now);
            }
            OrderResult::NotListening => {
                self.connect_refused(worker, Some(sent_at), now);
                self.start_not_carried_out(run, now);
            }
            OrderResult::Refused(refusal) => {
                self.fenced |=
                    refusal == Refusal::Fenced && self.has_reached_known_address(worker, sent_at);
                self.pause_worker(worker, refusal, now);
                let task = self.runs.get(run).map(|run| run.info().task);
                if let (false, Refusal::Ticket, Some(step)) = (
                    self.has_unanswered_start(run),
                    refusal,
                    task.and_then(|task| self.job_table.step_key(task)),
                ) {
                    self.advice.expire_ticket(step, worker);
                }
                self.start_not_carried_out(run, now);
            }
            OrderResult::NotSent => self.start_not_carried_out(run, now),
            OrderResult::Unanswered if is_known_to_run => {}
            OrderResult::Unanswered if self.resend_start(worker, run, now) => {}
            OrderResult::Unanswered => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause(now);
                }
                self.stop_run(run, StopReason::StartUnanswered, now);
            }
        }
    }

    /// Whether an earlier start of the run was not answered, so that it may still take effect.
    fn has_unanswered_start(&self, run: RunKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.start_attempts > 1)
    }

    /// Drops a run whose last start had no effect, unless an earlier one may still take effect.
    fn start_not_carried_out(&mut self, run: RunKey, now: Millis) {
        if self.has_unanswered_start(run) {
            self.stop_run(run, StopReason::StartUnanswered, now);
        } else {
            self.drop_run(run, now);
        }
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
        // The stop of a run that is gone says nothing about the current incarnation.
        let mut sent_at = None;
        if let Some(run) = run.and_then(|run| self.runs.get_mut(run)) {
            sent_at = Some(run.stop_sent_at);
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
        let is_from_worker = self.has_reached_known_address(worker, sent_at.unwrap_or_default());
        self.fenced |= result == OrderResult::Refused(Refusal::Fenced) && is_from_worker;
        match result {
            // Keeps runs whose start is in flight; their stop is sent again.
            OrderResult::Refused(Refusal::OtherIncarnation) => {
                self.order_found_other_process(worker, sent_at, now);
            }
            OrderResult::NotListening => self.connect_refused(worker, sent_at, now),
            _ => {}
        }
    }

    /// Whether an order that was sent at this time cannot have gone to an address that only a claim names.
    fn has_reached_known_address(&self, worker: WorkerKey, sent_at: Millis) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| !worker.may_have_missed(sent_at))
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
            self.send_stop(key, now);
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
        self.send_stop(key, now);
    }

    pub(super) fn send_stop(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (Some(task), Some(reason)) = (self.job_table.name(run.info().task), run.stop_reason)
        else {
            return;
        };
        run.stop_in_flight = true;
        run.stop_sent_at = now;
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
        if run.is_answered {
            let rack = self.workers.get(info.worker).and_then(Worker::rack);
            self.locality.record_end(rack, info.need, now);
        }
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
            task.not_before = now.after_ms(task.restart_pause_ms());
            task.not_running_since = task.not_running_since.or(Some(now));
        }
        if !self.promote_copy(info.task, now) {
            self.release_task(info.task);
        }
    }
}
