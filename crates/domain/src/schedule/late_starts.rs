//! Starts that got no answer and may still be on their way to a worker.
//!
//! An incarnation refuses such a start after the stop of its run. The next incarnation of the worker may
//! have the same id and knows nothing of that stop, so the run is stopped there again before the start
//! arrives.

use super::run::{Phase, PlacedRun, Run, RunInfo};
use super::stop_reason::StopReason;
use super::{LATE_ORDER_MS, Scheduler};
use crate::placement::Resources;
use crate::prelude::*;

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
struct LateStart {
    info: RunInfo,
    expires_at: Millis,
}

/// Starts without an answer, by the id of the worker that they name.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    by_worker: FastMap<Arc<str>, Vec<LateStart>>,
}

impl LateStarts {
    fn add(&mut self, worker: Arc<str>, info: RunInfo, now: Millis) {
        self.by_worker.retain(|_, starts| {
            starts.retain(|start| start.expires_at > now);
            !starts.is_empty()
        });
        let starts = self.by_worker.entry(worker).or_default();
        starts.retain(|start| (start.info.task, start.info.number) != (info.task, info.number));
        let expires_at = now.after_ms(LATE_ORDER_MS);
        starts.push(LateStart { info, expires_at });
    }

    fn pending(&self, worker: &str, now: Millis) -> Vec<RunInfo> {
        let starts = self.by_worker.get(worker).into_iter().flatten();
        let pending = starts.filter(|start| start.expires_at > now);
        pending.map(|start| start.info).collect()
    }
}

impl Scheduler {
    /// Needs of the starts that the next incarnation of their worker may carry out although no run stands for
    /// them, with their workspaces. An incarnation that has answered this leader has been told to stop them.
    pub(super) fn late_start_needs(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (WorkspaceKey, Resources)> {
        let unheard = self.late_starts.by_worker.iter().filter(|(id, _)| {
            let worker = self.workers_by_id.get(*id);
            let worker = worker.and_then(|key| self.workers.get(*key));
            worker.is_none_or(|worker| !worker.synced)
        });
        unheard.flat_map(move |(id, starts)| {
            let worker = self.workers_by_id.get(id).copied();
            let pending = starts.iter().filter(move |start| start.expires_at > now);
            pending.filter_map(move |LateStart { info, .. }| {
                let run = worker.and_then(|key| self.run_at(key, info.task, info.number));
                info.workspace
                    .filter(|_| run.is_none())
                    .map(|workspace| (workspace, info.need))
            })
        })
    }

    /// Records that a start got no answer.
    pub(super) fn record_late_start(&mut self, worker: WorkerKey, run: RunKey, now: Millis) {
        if let (Some(worker), Some(run)) = (self.workers.get(worker), self.runs.get(run)) {
            let id = Arc::clone(&worker.report.id);
            self.late_starts.add(id, *run.info(), now);
        }
    }

    /// Stops the runs whose starts may still reach an incarnation that has just answered for the first time.
    /// Their room is reserved until the worker proves that they do not run.
    pub(super) fn stop_late_starts(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        for info in self.late_starts.pending(&worker.report.id, now) {
            if self.run_at(key, info.task, info.number).is_some() {
                continue;
            }
            let info = RunInfo {
                worker: key,
                finite_in: self.finite_in(info.task, key),
                sent_at: now,
                ..info
            };
            let run = PlacedRun::new(Phase::Sent(Run::new(info)));
            let run = self.runs.insert(run, &mut self.workers[key]);
            self.stop_run(run, StopReason::StartUnanswered, now);
        }
    }
}
