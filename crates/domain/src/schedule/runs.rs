//! How starts and stops end.

use super::book::TaskStatus;
use super::order::{Action, OrderResult, Refusal, StopOrder};
use super::{RESTART_MS, STOP_AGAIN_MS, Scheduler};
use crate::prelude::*;

/// A start without an answer is sent once more; after that the run is stopped.
const START_TRIES: u32 = 2;

impl Scheduler {
    /// Applies how a start ended.
    pub fn started(&mut self, worker: WorkerKey, run: RunKey, result: OrderResult, now: Millis) {
        match self.runs.get_mut(run) {
            Some(run) => run.start_in_flight = false,
            None => return,
        }
        match result {
            OrderResult::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.saw_clock(clock_ms, now);
                }
                if let Some(run) = self.runs.get_mut(run) {
                    run.confirm(now);
                }
            }
            OrderResult::Refused(Refusal::OtherLife) | OrderResult::NotListening => {
                self.end_life(worker, now);
            }
            OrderResult::Refused(refusal) => {
                self.fenced |= refusal == Refusal::Fenced;
                self.pause_worker(worker, refusal, now);
                if self.was_start_lost(run) {
                    self.stop_run(run, now);
                    return;
                }
                let task = self.runs.get(run).map(|run| run.facts().task);
                if let (Refusal::Ticket, Some(step)) =
                    (refusal, task.and_then(|task| self.step_key(task)))
                {
                    self.advice.expire_ticket(step, worker);
                }
                self.drop_run(run, now);
            }
            OrderResult::NotSent if self.was_start_lost(run) => self.stop_run(run, now),
            OrderResult::NotSent => self.drop_run(run, now),
            OrderResult::Unanswered if self.repeat_start(worker, run, now) => {}
            OrderResult::Unanswered => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause(now);
                }
                self.stop_run(run, now);
            }
        }
    }

    /// Whether an earlier start of the run got no answer, so that it may still be carried out.
    fn was_start_lost(&self, run: RunKey) -> bool {
        self.runs.get(run).is_some_and(|run| run.start_tries > 1)
    }

    fn repeat_start(&mut self, worker: WorkerKey, run: RunKey, now: Millis) -> bool {
        let answers = self
            .workers
            .get(worker)
            .is_some_and(|worker| !worker.silent);
        let may_repeat = self
            .runs
            .get(run)
            .is_some_and(|run| !run.is_stopping() && run.start_tries < START_TRIES);
        answers && may_repeat && self.send_start(run, now)
    }

    /// Applies how a stop ended.
    pub fn stopped(
        &mut self,
        worker: WorkerKey,
        run: Option<RunKey>,
        result: OrderResult,
        now: Millis,
    ) {
        if let OrderResult::Refused(Refusal::OtherLife) | OrderResult::NotListening = result {
            self.end_life(worker, now);
            return;
        }
        self.fenced |= result == OrderResult::Refused(Refusal::Fenced);
        let Some(run) = run.and_then(|run| self.runs.get_mut(run)) else {
            return;
        };
        run.stop_in_flight = false;
        match result {
            OrderResult::Accepted { .. } => {
                run.stop_accepted_at = Some(now);
                run.stop_again_at = Millis::MAX;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_look = worker.next_look.min(now);
                }
            }
            _ => run.stop_again_at = now.after_ms(STOP_AGAIN_MS),
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

    pub(super) fn repeat_stops(&mut self, now: Millis) {
        let due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_stopping() && !run.stop_in_flight && run.stop_again_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.send_stop(key);
        }
    }

    pub(super) fn stop_run(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        run.stop(now);
        self.send_stop(key);
    }

    pub(super) fn send_stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(task) = self.book.name(run.facts().task) else {
            return;
        };
        run.stop_in_flight = true;
        let order = StopOrder {
            run: Some(key),
            task,
            number: run.facts().number,
        };
        self.actions.push(Action::Stop(run.facts().worker, order));
    }

    /// Takes a run out that is certainly over, and releases its task.
    pub(super) fn drop_run(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let facts = *run.facts();
        if let Some(worker) = self.workers.get_mut(facts.worker) {
            worker.runs.retain(|run| *run != key);
            worker.used = worker.used.minus(facts.need);
        }
        self.place_wanted = true;
        let long_running = self
            .book
            .step_of(facts.task)
            .is_some_and(|step| step.long_running);
        let Some(task) = self.book.tasks.get_mut(facts.task) else {
            return;
        };
        if task.status != TaskStatus::Placed(key) {
            return;
        }
        if long_running {
            task.not_before = now.after_ms(RESTART_MS);
            task.away_since = task.away_since.or(Some(now));
        }
        self.release_task(facts.task);
    }
}
