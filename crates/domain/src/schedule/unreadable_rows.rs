//! Answers of workers in which some rows could not be decoded.
//!
//! An unreadable row may stand for any run of the worker, so it must not lead to a conclusion about one: no run
//! counts as ended because the answer does not list it, and no end behind an unreadable one is acknowledged,
//! since the worker would drop the unreadable one as well.

use super::Scheduler;
use super::order::{SchedulerEvent, UnreadableRows};
use crate::prelude::*;

impl Scheduler {
    /// Notes which rows of an answer could not be read. The first such answer is reported, and later ones only
    /// after a readable one.
    pub(super) fn note_unreadable_rows(&mut self, key: WorkerKey, rows: Option<UnreadableRows>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.unreadable_rows.is_none()
            && let Some(rows) = &rows
        {
            self.events.push(SchedulerEvent::WorkerRowsUnreadable {
                worker: Arc::clone(&worker.report.id),
                runs: rows.runs,
                ends: rows.ends,
                reason: Arc::clone(&rows.reason),
            });
        }
        worker.unreadable_rows = rows;
    }

    /// Whether active runs of a worker were unreadable in its last answer.
    pub(super) fn has_unreadable_runs(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        let rows = worker.and_then(|worker| worker.unreadable_rows.as_ref());
        rows.is_some_and(|rows| rows.runs > 0)
    }

    /// Newest end that may be acknowledged as far as the last answer shows; all if its ends were readable.
    pub(super) fn acknowledge_max(&self, key: WorkerKey) -> u64 {
        let worker = self.workers.get(key);
        let rows = worker.and_then(|worker| worker.unreadable_rows.as_ref());
        rows.and_then(|rows| rows.acknowledge_max)
            .unwrap_or(u64::MAX)
    }
}
