//! Maintenance waves: which instance is evacuated next, and which runs may be interrupted for it.

use super::{ABSENCE_TIMEOUT_MS, Operation, OperationState};
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::job_table::TaskStatus;
use crate::schedule::order::InstanceState;

/// Interval at which an instance is checked for room elsewhere for its long-running tasks. In a wave of
/// hundreds of instances most of them have none, and each check reads all workers of the pool.
const EVACUATION_CHECK_INTERVAL_MS: u64 = 500;

impl Scheduler {
    pub(super) fn plan_waves(&mut self, now: Millis) {
        let numbers: Vec<u64> = self
            .fleet
            .waves
            .iter()
            .filter(|wave| !wave.completed)
            .map(|wave| wave.request.number)
            .collect();
        for number in numbers {
            self.plan_wave(number, now);
        }
    }

    pub(super) fn plan_wave(&mut self, number: u64, now: Millis) {
        let Some(wave) = self
            .fleet
            .waves
            .iter()
            .find(|wave| wave.request.number == number)
        else {
            return;
        };
        let remaining: Vec<FleetInstanceKey> = wave
            .request
            .instances
            .iter()
            .filter(|name| !wave.begun.contains(*name))
            .filter_map(|name| self.fleet.by_name.get(name).copied())
            .collect();
        let down = self.fleet.down_count(number);
        if remaining.is_empty() && down == 0 {
            if self.are_unlisted_instances_gone(number, now) {
                self.complete_wave(number, now);
            }
            return;
        }
        let mut down_budget = (wave.request.down_max as usize).saturating_sub(down);
        let mut candidates: Vec<(usize, FleetInstanceKey)> = remaining
            .into_iter()
            .filter(|key| {
                let instance = &self.fleet.instances[*key];
                instance.operation_state == OperationState::Inactive
                    && instance.report.state == InstanceState::Up
                    && instance.not_before <= now
            })
            .map(|key| (self.long_running_runs(key).len(), key))
            .collect();
        candidates.sort_unstable();
        for (long_running_count, key) in candidates {
            // The order of a former leader counts already, and repeating it has no further effect.
            let is_counted = self.has_inherited_order(key);
            if down_budget == 0 && !is_counted {
                continue;
            }
            if long_running_count > 0 {
                let instance = &mut self.fleet.instances[key];
                if instance.next_evacuation_check_at > now {
                    continue;
                }
                instance.next_evacuation_check_at = now.after_ms(EVACUATION_CHECK_INTERVAL_MS);
                if !self.can_evacuate(key, now) {
                    continue;
                }
            }
            down_budget -= usize::from(!is_counted);
            self.fleet.instances[key].operation_state =
                OperationState::Evacuating(Operation::Maintain(number));
            self.set_cordon(key, true);
        }
    }

    /// Whether every remaining instance of the wave has been unlisted for
    /// [`ABSENCE_TIMEOUT_MS`]. A single list may omit an instance that still exists.
    pub(super) fn are_unlisted_instances_gone(&mut self, number: u64, now: Millis) -> bool {
        let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        else {
            return false;
        };
        let listed = &self.fleet.by_name;
        let any_unlisted = wave
            .request
            .instances
            .iter()
            .any(|name| !wave.begun.contains(name) && !listed.contains_key(name));
        if !any_unlisted {
            wave.unlisted_since = None;
            return true;
        }
        if !self.fleet.is_list_complete {
            wave.unlisted_since = None;
            return false;
        }
        let since = *wave.unlisted_since.get_or_insert(now);
        now.ms_since(since) >= ABSENCE_TIMEOUT_MS
    }

    pub(super) fn complete_wave(&mut self, number: u64, now: Millis) {
        if let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        {
            wave.completed = true;
            wave.persisted = false;
        }
        self.request_batch(now);
    }

    /// Returns the runs of long-running tasks on the instance.
    pub(super) fn long_running_runs(&self, key: FleetInstanceKey) -> Vec<RunKey> {
        let Some(worker) = self
            .worker_on(key)
            .and_then(|worker| self.workers.get(worker))
        else {
            return Vec::new();
        };
        let is_long_running = |run: &&RunKey| {
            self.runs
                .get(**run)
                .is_some_and(|run| self.job_table.is_long_running(run.info().task))
        };
        worker
            .runs()
            .iter()
            .filter(is_long_running)
            .copied()
            .collect()
    }

    /// Whether other workers of the pool have capacity for the instance's long-running tasks.
    pub(super) fn can_evacuate(&self, key: FleetInstanceKey, now: Millis) -> bool {
        let Some(worker) = self.worker_on(key) else {
            return true;
        };
        let Some(service) = self.workers.get(worker).and_then(|w| w.service) else {
            return false;
        };
        let mut planned: Vec<(WorkerKey, Resources)> = Vec::new();
        for run in self.long_running_runs(key) {
            let Some(run) = self.runs.get(run) else {
                continue;
            };
            let task = run.info().task;
            if self
                .job_table
                .step_of(task)
                .is_some_and(|step| step.may_miss == Some(0))
            {
                return false;
            }
            // Excludes this instance, which is cordoned by the time its tasks are placed again.
            let Some(target) = self
                .view(now)
                .best_other_worker(task, service, worker, &planned)
            else {
                return false;
            };
            planned.push((target, run.info().need));
        }
        true
    }

    /// Whether an instance that is being emptied has a long-running task that may not be interrupted and that
    /// no other worker has room for any more. The task that it waits for may need the room of this instance.
    pub(super) fn is_evacuation_blocked(&mut self, key: FleetInstanceKey, now: Millis) -> bool {
        let runs = self.long_running_runs(key);
        let is_waiting = runs
            .iter()
            .any(|run| self.runs.get(*run).is_some_and(|run| !run.is_stopping()));
        let instance = &mut self.fleet.instances[key];
        if !is_waiting || instance.next_evacuation_check_at > now {
            return false;
        }
        instance.next_evacuation_check_at = now.after_ms(EVACUATION_CHECK_INTERVAL_MS);
        !self.can_evacuate(key, now)
    }

    /// Whether planned maintenance may stop the run now: enough other tasks of its step are serving.
    pub(super) fn may_interrupt(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let (Some(step), Some(task)) = (
            self.job_table.step_of(run.info().task),
            self.job_table.tasks.get(run.info().task),
        ) else {
            return true;
        };
        let Some(may_miss) = step.may_miss else {
            return true;
        };
        let Some(job) = self.job_table.jobs.get(task.job) else {
            return true;
        };
        let step_tasks = job
            .occurrences
            .get(task.position.occurrence as usize)
            .and_then(|steps| steps.get(usize::from(task.position.step)));
        let unavailable = step_tasks
            .into_iter()
            .flatten()
            .filter(|other| **other != run.info().task && !self.is_serving(**other))
            .count();
        unavailable < may_miss as usize
    }

    pub(super) fn is_serving(&self, task: TaskKey) -> bool {
        let Some(TaskStatus::Placed(run)) = self.job_table.tasks.get(task).map(|task| task.status)
        else {
            return false;
        };
        let Some(run) = self.runs.get(run) else {
            return false;
        };
        let is_responsive = self
            .workers
            .get(run.info().worker)
            .is_some_and(|worker| worker.synced && !worker.unresponsive);
        is_responsive && run.confirmed_since().is_some() && run.progress.percent >= 100
    }
}
