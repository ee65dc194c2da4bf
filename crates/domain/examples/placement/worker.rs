//! Simulated worker: fences tokens, runs tasks, and keeps the ends of runs until they are
//! acknowledged.

use std::collections::BTreeMap;

use rosemaryscale_domain::placement::{Report, Resources, RunEnd, TaskReport};
use rosemaryscale_domain::prelude::*;

/// Injected fault of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskFault {
    /// No fault.
    None,
    /// The task fails soon after each start.
    Fails,
    /// The task crashes its worker soon after each start.
    CrashesWorker,
}

/// A task with its real properties.
#[derive(Clone, Debug)]
pub struct Task {
    /// Name of the job.
    pub name: Arc<str>,
    /// Real usage.
    pub usage: Resources,
    /// Remaining run time.
    pub remaining_ms: u64,
    /// Duration of a checkpoint.
    pub checkpoint_ms: u64,
    /// Injected fault.
    pub fault: TaskFault,
}

/// A running task.
#[derive(Debug)]
pub struct RunningTask {
    /// The task.
    pub task: Task,
    ran_ms: u64,
    checkpoint_at: Option<Millis>,
}

/// A task whose run has ended.
#[derive(Clone, Debug)]
pub struct EndedTask {
    /// Fencing token of the run.
    pub token: u64,
    /// How the run ended.
    pub end: RunEnd,
    /// The task with its remaining run time.
    pub task: Task,
    /// Time that this run took.
    pub ran_ms: u64,
}

/// A simulated worker.
#[derive(Debug)]
pub struct SimulatedWorker {
    capacity: Resources,
    /// Incarnation, which increases with each restart.
    pub incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Running tasks by fencing token.
    pub tasks: BTreeMap<u64, RunningTask>,
    ended: BTreeMap<u64, RunEnd>,
    /// Whether every start fails.
    pub fails_all_starts: bool,
    /// Until this time the worker and its tasks make no progress.
    pub frozen_until: Millis,
}

const FAULT_AFTER_MS: u64 = 3_000;

impl SimulatedWorker {
    /// Creates a worker without tasks.
    pub fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            fails_all_starts: false,
            frozen_until: Millis::ZERO,
        }
    }

    /// Handles a start. Returns whether the task now runs under this token.
    pub fn start(&mut self, token: u64, incarnation: u64, task: Task) -> bool {
        if self.tasks.contains_key(&token) {
            return true;
        }
        if incarnation != self.incarnation || token <= self.fencing_token {
            return false;
        }
        self.fencing_token = token;
        if self.fails_all_starts {
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

    /// Handles a checkpoint request.
    pub fn checkpoint(&mut self, token: u64, now: Millis) {
        self.fencing_token = self.fencing_token.max(token);
        if let Some(running) = self.tasks.get_mut(&token) {
            let at = now.after_ms(running.task.checkpoint_ms);
            running.checkpoint_at.get_or_insert(at);
        }
    }

    /// Stops a task immediately.
    pub fn stop(&mut self, token: u64) -> Option<EndedTask> {
        self.fencing_token = self.fencing_token.max(token);
        self.end(token, RunEnd::Stopped)
    }

    /// Discards an acknowledged end.
    pub fn acknowledge(&mut self, token: u64) {
        self.ended.remove(&token);
    }

    /// Ends of runs that have not been acknowledged.
    pub fn unacknowledged(&self) -> Vec<(u64, RunEnd)> {
        self.ended
            .iter()
            .map(|(token, end)| (*token, *end))
            .collect()
    }

    /// Restarts the worker under a new incarnation, which loses all tasks and ends.
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

    /// Creates a report of the current state.
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
            fencing_token: self.fencing_token,
            tasks: tasks.collect(),
            ended: self.unacknowledged(),
        }
    }

    /// Advances all tasks by `step_ms` and returns those that ended.
    pub fn run(&mut self, now: Millis, step_ms: u64) -> Vec<EndedTask> {
        if now < self.frozen_until {
            return Vec::new();
        }
        let mut crashes = false;
        let mut ends = Vec::new();
        for (token, running) in &mut self.tasks {
            running.ran_ms += step_ms;
            running.task.remaining_ms = running.task.remaining_ms.saturating_sub(step_ms);
            let faulty = running.ran_ms >= FAULT_AFTER_MS;
            if faulty && running.task.fault == TaskFault::CrashesWorker {
                crashes = true;
            } else if faulty && running.task.fault == TaskFault::Fails {
                ends.push((*token, RunEnd::Failed));
            } else if running.task.remaining_ms == 0 {
                ends.push((*token, RunEnd::Done));
            } else if running.checkpoint_at.is_some_and(|at| now >= at) {
                ends.push((*token, RunEnd::Checkpointed));
            }
        }
        if crashes {
            return self.restart();
        }
        ends.extend(self.out_of_memory());
        let ended = ends.into_iter();
        ended
            .filter_map(|(token, end)| self.end(token, end))
            .collect()
    }

    /// The newest task to kill, if the tasks together exceed the memory of the worker.
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
