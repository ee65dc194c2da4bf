//! A simulated worker.

use rosemaryscale_domain::job::TaskName;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::{ListedEnd, RunEndKind, WorkerReport};

use super::RUN_LEASE_MAX_MS;

/// A worker that records which runs it executes and reports their ends.
pub(crate) struct SimulatedWorker {
    pub(crate) report: WorkerReport,
    pub(crate) running: Vec<(TaskName, u32)>,
    pub(crate) ended: Vec<ListedEnd>,
    pub(crate) all_ends: Vec<ListedEnd>,
    pub(crate) sequence: u64,
    /// End of the lease, on its clock.
    pub(crate) lease_end_ms: u64,
    /// Time at which its clock was at 0.
    pub(crate) clock_origin: Millis,
    /// Speed of its clock, in percent.
    pub(crate) clock_percent: u64,
    pub(crate) partitioned: bool,
    /// Whether a process listens at its address.
    pub(crate) listening: bool,
    /// Highest run number that was stopped or has ended, by task. Starts up to it are refused.
    pub(crate) closed: FastMap<String, u32>,
}

impl SimulatedWorker {
    pub(super) fn clock_ms(&self, now: Millis) -> u64 {
        now.ms_since(self.clock_origin) * self.clock_percent / 100
    }

    /// Prolongs the lease, by no more than its own maximum.
    pub(super) fn prolong_lease(&mut self, deadline_ms: u64, now: Millis) {
        let longest_ms = self.clock_ms(now) + RUN_LEASE_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(longest_ms));
    }

    /// Renews the lease of its runs, as a poll of a leader that has been replaced does.
    pub(crate) fn renew_lease(&mut self, lease_ms: u64, now: Millis) {
        self.prolong_lease(self.clock_ms(now) + lease_ms, now);
    }

    pub(super) fn mark_closed(&mut self, task: &str, number: u32) {
        let closed = self.closed.entry(task.into()).or_default();
        *closed = (*closed).max(number);
    }

    pub(super) fn end(&mut self, matches: impl Fn(&TaskName, u32) -> bool, kind: RunEndKind) {
        let (ended, running): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|(task, number)| matches(task, *number));
        self.running = running;
        for (task, number) in ended {
            self.mark_closed(&task_path(&task), number);
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

/// Formats a task name as `job.occurrence.step.index`.
pub(super) fn task_path(task: &TaskName) -> String {
    let position = task.position;
    format!(
        "{}.{}.{}.{}",
        task.job, position.occurrence, position.step, position.index
    )
}
