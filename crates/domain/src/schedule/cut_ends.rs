//! Answers that hold only the first of a worker's ends.
//!
//! A run whose end was left out is in neither list of the answer. It has ended, but nobody knows how, so its task
//! must not start again until the end is read: the ends before it have to be stored and acknowledged first.

use super::Scheduler;
use super::order::{Listing, SchedulerEvent};
use super::worker::Worker;
use crate::prelude::*;

impl Worker {
    /// Whether its last answer left out ends that a later one will hold. Those behind an unreadable end are not waited
    /// for: no end from it on is acknowledged, so that the worker never lists them.
    pub(super) fn has_unread_ends(&self) -> bool {
        let rows = self.unreadable_rows.as_ref();
        let is_blocked = rows.is_some_and(|rows| rows.acknowledge_max.is_some());
        self.ends_cut_since.is_some() && !is_blocked
    }
}

impl Scheduler {
    /// Whether each run of a worker that its last answer lists neither as active nor as ended is over without a
    /// result, or has not begun.
    pub(super) fn accounts_for_all_runs(&self, key: WorkerKey) -> bool {
        let has_unread_ends = self.workers.get(key).is_some_and(Worker::has_unread_ends);
        !has_unread_ends && !self.has_unreadable_runs(key)
    }

    /// Notes whether an answer holds all ends of a worker, and reports a change.
    pub(super) fn note_cut_ends(
        &mut self,
        key: WorkerKey,
        listing: &Listing,
        listed: &FastSet<RunKey>,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let id = Arc::clone(&worker.report.id);
        match (worker.ends_cut_since, listing.has_more_ends) {
            (None, true) => {
                worker.ends_cut_since = Some(now);
                let unlisted = worker.runs().iter().filter(|run| !listed.contains(run));
                self.events.push(SchedulerEvent::WorkerEndsCut {
                    worker: id,
                    ends: listing.ended.len(),
                    unlisted_runs: unlisted.count(),
                });
            }
            (Some(since), false) => {
                worker.ends_cut_since = None;
                self.events.push(SchedulerEvent::WorkerEndsComplete {
                    worker: id,
                    cut_ms: now.ms_since(since),
                });
            }
            _ => {}
        }
    }
}
