//! Ready tasks of a service, grouped by step.

use super::order::StepKey;
use crate::prelude::*;

/// Ready tasks that wait for a worker. The tasks of one step have the same rank and needs, so a
/// placement pass ranks and checks steps instead of single tasks. An entry may be out of date: the
/// status of a task decides.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    steps: FastMap<StepKey, Vec<TaskKey>>,
}

impl ReadyQueue {
    pub(super) fn push(&mut self, step: StepKey, task: TaskKey) {
        self.steps.entry(step).or_default().push(task);
    }

    pub(super) fn put_back(&mut self, step: StepKey, tasks: Vec<TaskKey>) {
        if !tasks.is_empty() {
            self.steps.entry(step).or_default().extend(tasks);
        }
    }

    /// Removes and returns the tasks of a step.
    pub(super) fn take(&mut self, step: StepKey) -> Vec<TaskKey> {
        self.steps.remove(&step).unwrap_or_default()
    }

    /// Removes and returns all tasks.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = (StepKey, Vec<TaskKey>)> {
        self.steps.drain()
    }

    pub(super) fn steps(&self) -> impl Iterator<Item = (StepKey, &[TaskKey])> {
        self.steps
            .iter()
            .map(|(step, tasks)| (*step, tasks.as_slice()))
    }

    pub(super) fn tasks(&self, step: StepKey) -> &[TaskKey] {
        self.steps.get(&step).map_or(&[], Vec::as_slice)
    }

    pub(super) fn step_count(&self) -> usize {
        self.steps.len()
    }

    pub(super) fn task_count(&self) -> usize {
        self.steps.values().map(Vec::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
