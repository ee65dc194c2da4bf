//! Tasks that fill what others leave are slowed down while they harm tasks that serve users.

use super::Scheduler;
use super::order::{Action, OrderResult, PaceOrder};
use crate::job::TaskName;
use crate::prelude::*;

/// Time between two steps down: a pace takes effect within 100 ms, and the gauge is a mean of 500 ms.
const SLOW_DOWN_MS: u64 = 700;
/// Time between two steps up.
const SPEED_UP_MS: u64 = 2_000;
/// A step up.
const SPEED_UP_PERCENT: u32 = 20;
/// Below this share a task is stopped from working altogether.
const PACE_MIN_PERCENT: u32 = 15;
/// Tasks speed up again while all tails are below this share of their targets.
const CALM_PERCENT: u64 = 70;

impl Scheduler {
    /// Adjusts the share at which filling tasks of a worker work, after a look.
    pub(super) fn pace_worker(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker
            .runs
            .iter()
            .any(|run| self.runs.get(*run).is_some_and(|run| run.facts().fills))
        {
            return;
        }
        let strain_percent = worker
            .runs
            .iter()
            .filter_map(|run| self.strain_percent(*run))
            .max();
        let strain_percent = strain_percent.unwrap_or(0);
        let (before, since_ms) = (worker.fill_percent, now.ms_since(worker.paced_at));
        let percent = if strain_percent > 100 && since_ms >= SLOW_DOWN_MS {
            match before / 2 {
                percent if percent < PACE_MIN_PERCENT => 0,
                percent => percent,
            }
        } else if strain_percent < CALM_PERCENT && since_ms >= SPEED_UP_MS {
            (before + SPEED_UP_PERCENT).min(100)
        } else {
            before
        };
        let worker = &mut self.workers[key];
        if percent != before {
            worker.fill_percent = percent;
            worker.paced_at = now;
        }
        for run in worker.runs.clone() {
            self.send_pace(key, run, percent);
        }
    }

    /// Tail latency of a serving run, as a share of its target.
    fn strain_percent(&self, run: RunKey) -> Option<u64> {
        let run = self.runs.get(run)?;
        let step = self.book.step_of(run.facts().task)?;
        let serves = step.target_ms > 0 && !step.fills;
        serves.then(|| run.reported.gauge * 100 / step.target_ms)
    }

    fn send_pace(&mut self, key: WorkerKey, run: RunKey, percent: u32) {
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        if !run.facts().fills || run.confirmed_since().is_none() || run.pace_percent == percent {
            return;
        }
        run.pace_percent = percent;
        let number = run.facts().number;
        if let Some(task) = self.book.name(run.facts().task) {
            let order = PaceOrder {
                task,
                number,
                percent,
            };
            self.actions.push(Action::Pace(key, order));
        }
    }

    /// Applies how a pace ended; one that did not arrive is sent again after the next look.
    pub fn paced(&mut self, key: WorkerKey, task: &TaskName, number: u32, result: OrderResult) {
        if matches!(result, OrderResult::Accepted { .. }) {
            return;
        }
        let run = self
            .book
            .find(task)
            .and_then(|task| self.run_at(key, task, number));
        if let Some(run) = run.and_then(|run| self.runs.get_mut(run)) {
            run.pace_percent = UNKNOWN_PERCENT;
        }
    }
}

/// A share that no order asks for, so that the next one differs.
const UNKNOWN_PERCENT: u32 = u32::MAX;
