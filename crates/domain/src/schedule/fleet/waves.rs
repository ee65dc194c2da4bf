//! Waves of maintenance: which instance is emptied next, and what may be stopped for it.

use super::{Duty, MISSING_MS, Purpose};
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::book::TaskStatus;
use crate::schedule::order::MachineState;

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
        let left: Vec<MachineKey> = wave
            .request
            .machines
            .iter()
            .filter(|name| !wave.begun.contains(*name))
            .filter_map(|name| self.fleet.by_name.get(name).copied())
            .collect();
        let down = self.fleet.down_count(number);
        if left.is_empty() && down == 0 {
            if self.are_missing_gone(number, now) {
                self.complete_wave(number, now);
            }
            return;
        }
        let mut room = (wave.request.down_max as usize).saturating_sub(down);
        let mut candidates: Vec<(usize, MachineKey)> = left
            .into_iter()
            .filter(|key| {
                let machine = &self.fleet.machines[*key];
                machine.duty == Duty::Free
                    && machine.report.state == MachineState::Up
                    && machine.not_before <= now
            })
            .map(|key| (self.lasting_runs(key).len(), key))
            .collect();
        candidates.sort_unstable();
        for (lasting, key) in candidates {
            if room == 0 {
                return;
            }
            if lasting > 0 && !self.can_evacuate(key, now) {
                continue;
            }
            room -= 1;
            self.fleet.machines[key].duty = Duty::Emptying(Purpose::Maintain(number));
            self.set_cordon(key, true);
        }
    }

    /// Whether each instance of the wave that the list lacks has been away for long. One list may
    /// lack an instance that stays.
    pub(super) fn are_missing_gone(&mut self, number: u64, now: Millis) -> bool {
        let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        else {
            return false;
        };
        let listed = &self.fleet.by_name;
        let missing = wave
            .request
            .machines
            .iter()
            .any(|name| !wave.begun.contains(name) && !listed.contains_key(name));
        if !missing {
            wave.missing_since = None;
            return true;
        }
        let since = *wave.missing_since.get_or_insert(now);
        now.ms_since(since) >= MISSING_MS
    }

    pub(super) fn complete_wave(&mut self, number: u64, now: Millis) {
        if let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        {
            wave.completed = true;
            wave.written = false;
        }
        self.want_batch(now);
    }

    /// Runs of tasks on the instance that do not end by themselves.
    pub(super) fn lasting_runs(&self, key: MachineKey) -> Vec<RunKey> {
        let Some(worker) = self
            .worker_of(key)
            .and_then(|worker| self.workers.get(worker))
        else {
            return Vec::new();
        };
        let lasting = |run: &&RunKey| {
            self.runs
                .get(**run)
                .and_then(|run| self.book.step_of(run.facts().task))
                .is_some_and(|step| step.long_running)
        };
        worker.runs.iter().filter(lasting).copied().collect()
    }

    /// Whether other workers of the pool have room for what must be moved off the instance.
    pub(super) fn can_evacuate(&self, key: MachineKey, now: Millis) -> bool {
        let Some(worker) = self.worker_of(key) else {
            return true;
        };
        let Some(service) = self
            .workers
            .get(worker)
            .and_then(|w| self.services_by_name.get(&w.report.service))
        else {
            return false;
        };
        let mut planned: Vec<(WorkerKey, Resources)> = Vec::new();
        for run in self.lasting_runs(key) {
            let Some(run) = self.runs.get(run) else {
                continue;
            };
            let task = run.facts().task;
            if self
                .book
                .step_of(task)
                .is_some_and(|step| step.may_miss == Some(0))
            {
                return false;
            }
            // The instance itself is cordoned when its tasks are placed anew.
            let Some(target) = self.choose_beside(task, *service, worker, &planned, now) else {
                return false;
            };
            planned.push((target, run.facts().need));
        }
        true
    }

    /// Whether planned work may end the run now: enough others of its step are at work.
    pub(super) fn may_stop(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let (Some(step), Some(task)) = (
            self.book.step_of(run.facts().task),
            self.book.tasks.get(run.facts().task),
        ) else {
            return true;
        };
        let Some(may_miss) = step.may_miss else {
            return true;
        };
        let Some(job) = self.book.jobs.get(task.job) else {
            return true;
        };
        let members = job
            .occurrences
            .get(task.position.occurrence as usize)
            .and_then(|steps| steps.get(usize::from(task.position.step)));
        let away = members
            .into_iter()
            .flatten()
            .filter(|member| **member != run.facts().task && !self.is_at_work(**member))
            .count();
        away < may_miss as usize
    }

    pub(super) fn is_at_work(&self, task: TaskKey) -> bool {
        let Some(TaskStatus::Placed(run)) = self.book.tasks.get(task).map(|task| task.status)
        else {
            return false;
        };
        let Some(run) = self.runs.get(run) else {
            return false;
        };
        let heard = self
            .workers
            .get(run.facts().worker)
            .is_some_and(|worker| worker.known && !worker.silent);
        heard && run.confirmed_since().is_some() && run.reported.percent >= 100
    }
}
