//! Polls that got no answer and may still be carried out by the next process of their worker.
//!
//! The next process may have the same id, and numbers its ends anew. A poll that acknowledges ends of the former
//! process makes it drop ends that nobody has read, so that their tasks run again.

use super::order::{PollReception, SchedulerEvent};
use super::stop_reason::StopReason;
use super::worker::Worker;
use super::{CLOCK_DRIFT_PERCENT, LATE_ORDER_MS, Scheduler};
use crate::prelude::*;

/// Time that an answer may take from the worker's reading of its clock to its application.
const ANSWER_DELAY_MS: u64 = 100;
/// Amount by which a reading of a worker's clock may be below an earlier one of the same process, since answers
/// overtake each other. Above the longest time for which an answer is waited for.
const CLOCK_REORDERING_MS: u64 = 2_000;

/// The last polls of a worker that acknowledged ends and got no answer.
#[derive(Clone, Copy, Debug)]
struct LatePoll {
    /// Latest time at which a process may have received one of them.
    received_until: Millis,
    /// When the last one can no longer be carried out.
    expires_at: Millis,
}

/// Polls that acknowledged ends and got no answer, by the id of their worker.
#[derive(Debug, Default)]
pub(super) struct LatePolls {
    by_worker: FastMap<Arc<str>, LatePoll>,
}

impl LatePolls {
    fn record(&mut self, worker: &Arc<str>, received_until: Millis, now: Millis) {
        self.by_worker.retain(|_, poll| poll.expires_at > now);
        let expires_at = now.after_ms(LATE_ORDER_MS);
        let poll = self
            .by_worker
            .entry(Arc::clone(worker))
            .or_insert(LatePoll {
                received_until,
                expires_at,
            });
        poll.received_until = poll.received_until.max(received_until);
        poll.expires_at = expires_at;
    }

    /// Until when a process that began at this time may carry out such a poll. What was received before that has
    /// ended with the former process.
    fn pending_until(&self, worker: &str, process_began_at: Millis) -> Option<Millis> {
        let poll = self.by_worker.get(worker);
        poll.filter(|poll| poll.received_until >= process_began_at)
            .map(|poll| poll.expires_at)
    }
}

impl Worker {
    /// Newest end that the next poll acknowledges; 0 if there is nothing new, or if the next process of the worker may
    /// have received the last poll or order. The first poll after a pause may also meet the next process, so a cursor
    /// that was answered is not repeated.
    pub(super) fn next_cursor(&self) -> u64 {
        let is_process_known = self.last_answer_at >= self.poll_sent_at
            && self.claim.is_none()
            && !self.has_clock_gone_back;
        if is_process_known && self.acknowledged < self.ack_ready {
            self.ack_ready
        } else {
            0
        }
    }

    /// Notes a clock reading in the answer to an order. One far below what the clock shows by now is that of another
    /// process, whose ends this leader has not read.
    pub(super) fn note_order_clock(&mut self, clock_ms: u64, sent_at: Millis, now: Millis) {
        self.has_clock_gone_back |= self.is_clock_of_other_process(clock_ms, sent_at);
        self.update_clock(clock_ms, now);
    }

    /// Whether a clock reading in the answer to an order is so far below what the clock showed when the order was sent
    /// that it is of another process. The last reading alone does not tell: that of an idle worker is old.
    pub(super) fn is_clock_of_other_process(&self, clock_ms: u64, sent_at: Millis) -> bool {
        let earliest = self.estimated_clock_at(sent_at);
        earliest.is_some_and(|earliest| clock_ms.saturating_add(CLOCK_REORDERING_MS) < earliest)
    }
}

impl Scheduler {
    /// Notes that the last poll of a worker was given up.
    pub(super) fn poll_given_up(&mut self, key: WorkerKey, reception: PollReception, now: Millis) {
        let received_until = match reception {
            PollReception::Nowhere => return,
            PollReception::Connected { age_ms } => {
                Millis::from_ms(now.as_ms().saturating_sub(age_ms))
            }
            PollReception::Unknown => now,
        };
        if let Some(worker) = self.workers.get(key)
            && worker.poll_cursor > 0
        {
            self.late_polls
                .record(&worker.report.id, received_until, now);
        }
    }

    /// Keeps tasks away from a process that has just answered for the first time, while it may carry out a poll
    /// with a cursor of the former one. Finite runs that it has accepted before it was known are stopped, so that
    /// they do not end as done meanwhile.
    pub(super) fn await_late_poll(&mut self, key: WorkerKey, clock_ms: u64, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let age_ms =
            clock_ms.saturating_add(clock_ms / 100 * CLOCK_DRIFT_PERCENT + ANSWER_DELAY_MS);
        let began_at = Millis::from_ms(now.as_ms().saturating_sub(age_ms));
        let pending_until = self.late_polls.pending_until(&worker.report.id, began_at);
        let Some(until) = pending_until.filter(|until| *until > now) else {
            return;
        };
        worker.late_poll_until = until;
        worker.keep_lease_until(self.settings.longest_lease_from(until));
        self.events.push(SchedulerEvent::WorkerHeld {
            worker: Arc::clone(&worker.report.id),
            held_ms: until.ms_since(now),
        });
        for run in worker.runs().to_vec() {
            let task = self.runs.get(run).map(|run| run.info().task);
            if task.is_some_and(|task| !self.job_table.is_long_running(task)) {
                self.stop_run(run, StopReason::LatePoll, now);
            }
        }
    }
}
