//! Throttling of backfill tasks while they slow down latency-sensitive tasks on the same worker.

use super::Scheduler;
use super::order::{Action, OrderResult, PaceOrder};
use crate::job::TaskName;
use crate::prelude::*;

/// Minimum time between two reductions: a new pace takes effect within 100 ms, and the gauge is a
/// mean over 500 ms.
const SLOW_DOWN_MS: u64 = 700;
/// Minimum time between two increases.
const SPEED_UP_MS: u64 = 2_000;
/// Size of an increase.
const SPEED_UP_PERCENT: u32 = 20;
/// Shares below this are set to 0, which pauses the task.
const PACE_MIN_PERCENT: u32 = 15;
/// The share increases only while all tail latencies are below this percentage of their targets.
const SPEED_UP_BELOW_PERCENT: u64 = 70;

impl Scheduler {
    /// Adjusts the CPU share of the worker's backfill tasks after a poll.
    pub(super) fn adjust_pace(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker
            .runs()
            .iter()
            .any(|run| self.runs.get(*run).is_some_and(|run| run.info().fills))
        {
            return;
        }
        let latency_percent = worker
            .runs()
            .iter()
            .filter_map(|run| self.latency_percent(*run))
            .max();
        let latency_percent = latency_percent.unwrap_or(0);
        let (current_percent, unchanged_ms) =
            (worker.backfill_percent, now.ms_since(worker.paced_at));
        let percent = if latency_percent > 100 && unchanged_ms >= SLOW_DOWN_MS {
            match current_percent / 2 {
                percent if percent < PACE_MIN_PERCENT => 0,
                percent => percent,
            }
        } else if latency_percent < SPEED_UP_BELOW_PERCENT && unchanged_ms >= SPEED_UP_MS {
            (current_percent + SPEED_UP_PERCENT).min(100)
        } else {
            current_percent
        };
        let worker = &mut self.workers[key];
        if percent != current_percent {
            worker.backfill_percent = percent;
            worker.paced_at = now;
        }
        for run in worker.runs().to_vec() {
            self.send_pace(key, run, percent);
        }
    }

    /// Tail latency of a latency-sensitive run, in percent of its target.
    fn latency_percent(&self, run: RunKey) -> Option<u64> {
        let run = self.runs.get(run)?;
        let step = self.job_table.step_of(run.info().task)?;
        let serves = step.target_ms > 0 && !step.fills;
        serves.then(|| run.progress.gauge * 100 / step.target_ms)
    }

    fn send_pace(&mut self, key: WorkerKey, run: RunKey, percent: u32) {
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        if !run.info().fills || run.confirmed_since().is_none() || run.pace_percent == percent {
            return;
        }
        run.pace_percent = percent;
        let number = run.info().number;
        if let Some(task) = self.job_table.name(run.info().task) {
            let order = PaceOrder {
                task,
                number,
                percent,
            };
            self.actions.push(Action::Pace(key, order));
        }
    }

    /// Applies the result of a pace order; one that was not accepted is sent again after the next
    /// poll.
    pub fn paced(&mut self, key: WorkerKey, task: &TaskName, number: u32, result: OrderResult) {
        if matches!(result, OrderResult::Accepted { .. }) {
            return;
        }
        let run = self
            .job_table
            .find(task)
            .and_then(|task| self.run_at(key, task, number));
        if let Some(run) = run.and_then(|run| self.runs.get_mut(run)) {
            run.pace_percent = UNKNOWN_PERCENT;
        }
    }
}

/// Marker for an unknown share; it differs from all valid shares, so that the next order is sent.
const UNKNOWN_PERCENT: u32 = u32::MAX;
