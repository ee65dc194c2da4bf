//! A model of a worker of the platform: fences tokens, runs tasks, keeps ends until acknowledged.

use std::collections::BTreeMap;

use rosemaryscale_domain::placement::{Report, Resources, RunEnd, TaskReport};
use rosemaryscale_domain::prelude::*;

/// What goes wrong with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskFault {
    /// Nothing.
    None,
    /// It fails soon after each start.
    Fails,
    /// It takes its worker down soon after each start.
    KillsWorker,
}

/// A task as the worker runs it.
#[derive(Clone, Debug)]
pub struct Task {
    /// Name of its job.
    pub name: Arc<str>,
    /// What it really uses.
    pub usage: Resources,
    /// Run time that is left.
    pub left_ms: u64,
    /// Time that a checkpoint takes.
    pub checkpoint_ms: u64,
    /// What goes wrong with it.
    pub fault: TaskFault,
}

/// A task that runs.
#[derive(Debug)]
pub struct RunningTask {
    /// The task.
    pub task: Task,
    ran_ms: u64,
    checkpoint_at: Option<Millis>,
}

/// How a run ended and what was left of it.
#[derive(Clone, Debug)]
pub struct EndedTask {
    /// Fencing token.
    pub token: u64,
    /// How.
    pub end: RunEnd,
    /// The task, with the run time that is left.
    pub task: Task,
    /// Run time of this run.
    pub ran_ms: u64,
}

/// The worker.
#[derive(Debug)]
pub struct WorkerModel {
    capacity: Resources,
    /// Counts restarts.
    pub incarnation: u64,
    sequence: u64,
    fence: u64,
    /// Tasks by token.
    pub tasks: BTreeMap<u64, RunningTask>,
    ended: BTreeMap<u64, RunEnd>,
    /// Fails everything it starts.
    pub bad: bool,
    /// Does nothing until then; its tasks stand still as well.
    pub frozen_until: Millis,
}

const FAULT_AFTER_MS: u64 = 3_000;

impl WorkerModel {
    /// A worker without tasks.
    pub fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            incarnation: 1,
            sequence: 0,
            fence: 0,
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            bad: false,
            frozen_until: Millis::ZERO,
        }
    }

    /// Takes a start; returns whether the task runs under this token now.
    pub fn start(&mut self, token: u64, incarnation: u64, task: Task) -> bool {
        if self.tasks.contains_key(&token) {
            return true;
        }
        if incarnation != self.incarnation || token <= self.fence {
            return false;
        }
        self.fence = token;
        if self.bad {
            self.ended.insert(token, RunEnd::NotStarted);
            return false;
        }
        let running = RunningTask {
            task,
            ran_ms: 0,
            checkpoint_at: None,
        };
        self.tasks.insert(token, running);
        true
    }

    /// Takes a request for a checkpoint.
    pub fn checkpoint(&mut self, token: u64, now: Millis) {
        self.fence = self.fence.max(token);
        if let Some(running) = self.tasks.get_mut(&token) {
            let at = now.after_ms(running.task.checkpoint_ms);
            running.checkpoint_at.get_or_insert(at);
        }
    }

    /// Stops a task at once.
    pub fn stop(&mut self, token: u64) -> Option<EndedTask> {
        self.fence = self.fence.max(token);
        self.end(token, RunEnd::Stopped)
    }

    /// Forgets an end.
    pub fn acknowledge(&mut self, token: u64) {
        self.ended.remove(&token);
    }

    /// Ends that were not acknowledged.
    pub fn unacknowledged(&self) -> Vec<(u64, RunEnd)> {
        self.ended
            .iter()
            .map(|(token, end)| (*token, *end))
            .collect()
    }

    /// Loses everything and comes back as another process.
    pub fn restart(&mut self) -> Vec<EndedTask> {
        self.incarnation += 1;
        self.sequence = 0;
        self.ended.clear();
        let lost = std::mem::take(&mut self.tasks).into_iter();
        lost.map(|(token, running)| EndedTask {
            token,
            end: RunEnd::Failed,
            task: running.task,
            ran_ms: running.ran_ms,
        })
        .collect()
    }

    /// What it says of itself now.
    pub fn report(&mut self) -> Report {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(token, running)| TaskReport {
            name: running.task.name.clone(),
            token: *token,
            usage: running.task.usage,
        });
        Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            fence: self.fence,
            tasks: tasks.collect(),
            ended: self.unacknowledged(),
        }
    }

    /// Runs its tasks for a time; returns those that ended.
    pub fn run(&mut self, now: Millis, step_ms: u64) -> Vec<EndedTask> {
        if now < self.frozen_until {
            return Vec::new();
        }
        let mut kills = false;
        let mut ends = Vec::new();
        for (token, running) in &mut self.tasks {
            running.ran_ms += step_ms;
            running.task.left_ms = running.task.left_ms.saturating_sub(step_ms);
            let faulty = running.ran_ms >= FAULT_AFTER_MS;
            if faulty && running.task.fault == TaskFault::KillsWorker {
                kills = true;
            } else if faulty && running.task.fault == TaskFault::Fails {
                ends.push((*token, RunEnd::Failed));
            } else if running.task.left_ms == 0 {
                ends.push((*token, RunEnd::Done));
            } else if running.checkpoint_at.is_some_and(|at| now >= at) {
                ends.push((*token, RunEnd::Checkpointed));
            }
        }
        if kills {
            return self.restart();
        }
        ends.extend(self.out_of_memory());
        let ended = ends.into_iter();
        ended
            .filter_map(|(token, end)| self.end(token, end))
            .collect()
    }

    /// The newest task ends if all tasks together use more memory than there is.
    fn out_of_memory(&self) -> Option<(u64, RunEnd)> {
        let used_mb = self
            .tasks
            .values()
            .map(|running| running.task.usage.memory_mb);
        if used_mb.sum::<u64>() <= self.capacity.memory_mb {
            return None;
        }
        let newest = self.tasks.iter().next_back();
        newest.map(|(token, running)| {
            let used_mb = running.task.usage.memory_mb;
            (*token, RunEnd::OutOfMemory { used_mb })
        })
    }

    fn end(&mut self, token: u64, end: RunEnd) -> Option<EndedTask> {
        let running = self.tasks.remove(&token)?;
        self.ended.insert(token, end);
        Some(EndedTask {
            token,
            end,
            task: running.task,
            ran_ms: running.ran_ms,
        })
    }
}
