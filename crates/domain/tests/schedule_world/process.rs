//! A worker process.

use rosemaryscale_domain::job::TaskName;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{ListedEnd, RunEndKind, WorkerReport};

/// A worker process.
pub(crate) struct WorkerProcess {
    pub(crate) report: WorkerReport,
    pub(crate) running: Vec<(TaskName, u32)>,
    pub(crate) ended: Vec<ListedEnd>,
    pub(crate) all_ends: Vec<ListedEnd>,
    pub(crate) sequence: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) cut: bool,
    /// Highest run that was stopped or has ended, by task.
    pub(crate) closed: FastMap<String, u32>,
}

impl WorkerProcess {
    pub(super) fn close(&mut self, task: &str, number: u32) {
        let closed = self.closed.entry(task.into()).or_default();
        *closed = (*closed).max(number);
    }

    pub(super) fn end(&mut self, which: impl Fn(&TaskName, u32) -> bool, kind: RunEndKind) {
        let (ended, running): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|(task, number)| which(task, *number));
        self.running = running;
        for (task, number) in ended {
            self.close(&text(&task), number);
            self.sequence += 1;
            let end = ListedEnd {
                sequence: self.sequence,
                task,
                number,
                kind,
                checkpoint: "".into(),
            };
            self.ended.push(end.clone());
            self.all_ends.push(end);
        }
    }
}

/// Name of a task as tests write it.
pub(super) fn text(task: &TaskName) -> String {
    let at = task.position;
    format!("{}.{}.{}.{}", task.job, at.occurrence, at.step, at.index)
}
