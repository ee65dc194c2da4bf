//! Checkpoints of tasks, and the bounds on their length.
//!
//! The store rejects a progress of more than 1 MiB, and the completed tasks of such a job would run again after a
//! change of the leader. A checkpoint beyond the bounds is therefore dropped: its task resumes from the last
//! one within them, or from the beginning.

use super::Scheduler;
use super::job_table::{Job, JobTable};
use super::order::SchedulerEvent;
use crate::prelude::*;

/// Bound on a checkpoint as encoded in the progress, so that one task does not use up the bound of its job.
const CHECKPOINT_BYTES_MAX: usize = 16 * 1024;
/// Bound on the encoded checkpoints of all unfinished tasks of a job. The rest of the progress of a job of 5,000
/// tasks takes 619,000 of the 786,432 bytes that are 1 MiB as base64, if each of them has failed twice.
const JOB_CHECKPOINT_BYTES_MAX: usize = 128 * 1024;

/// Bytes of a text in a record, where some characters are escaped.
fn encoded_bytes(text: &str) -> usize {
    let bytes = text.bytes();
    bytes
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}

impl Job {
    /// Bytes that the job has left for a checkpoint instead of `former`, if `tasks` tasks are to have it.
    fn checkpoint_bytes_left(&self, former: &str, tasks: usize) -> usize {
        let others = self.checkpoint_bytes.saturating_sub(encoded_bytes(former));
        let left = JOB_CHECKPOINT_BYTES_MAX.saturating_sub(others) / tasks.max(1);
        left.min(CHECKPOINT_BYTES_MAX)
    }
}

impl JobTable {
    /// Replaces the checkpoint of an unfinished task.
    pub(super) fn put_checkpoint(&mut self, key: TaskKey, checkpoint: &Arc<str>) {
        let Some(task) = self.tasks.get_mut(key).filter(|task| !task.done) else {
            return;
        };
        let former = std::mem::replace(&mut task.checkpoint, Arc::clone(checkpoint));
        if let Some(job) = self.jobs.get_mut(task.job) {
            let others = job.checkpoint_bytes.saturating_sub(encoded_bytes(&former));
            job.checkpoint_bytes = others + encoded_bytes(checkpoint);
        }
    }

    /// Whether a checkpoint that a worker has reported is within the bounds. The members of a gang all get the
    /// same one.
    fn may_keep_checkpoint(&self, key: TaskKey, checkpoint: &str) -> bool {
        let Some((task, step)) = self.tasks.get(key).zip(self.step_of(key)) else {
            return false;
        };
        let tasks = if step.gang { step.count as usize } else { 1 };
        let job = self.jobs.get(task.job);
        job.is_some_and(|job| {
            encoded_bytes(checkpoint) <= job.checkpoint_bytes_left(&task.checkpoint, tasks)
        })
    }
}

impl Scheduler {
    /// Keeps the checkpoint that a worker has reported for a task, if it is within the bounds. Returns whether
    /// the checkpoint of the task has changed.
    pub(super) fn update_checkpoint(&mut self, key: TaskKey, checkpoint: &Arc<str>) -> bool {
        let task = self.job_table.tasks.get(key);
        if checkpoint.is_empty()
            || task.is_none_or(|task| task.done || task.checkpoint == *checkpoint)
        {
            return false;
        }
        let may_keep = self.job_table.may_keep_checkpoint(key, checkpoint);
        if may_keep {
            self.job_table.put_checkpoint(key, checkpoint);
        } else {
            self.report_dropped_checkpoint(key, checkpoint.len());
        }
        may_keep
    }

    /// Reports a dropped checkpoint. A worker repeats it in each answer, so one of the same length is not
    /// reported again.
    fn report_dropped_checkpoint(&mut self, key: TaskKey, bytes: usize) {
        let name = self.job_table.name(key);
        let (Some(name), Some(task)) = (name, self.job_table.tasks.get_mut(key)) else {
            return;
        };
        if std::mem::replace(&mut task.dropped_checkpoint_bytes, bytes) == bytes {
            return;
        }
        let Some(job) = self.job_table.jobs.get_mut(task.job) else {
            return;
        };
        self.events.push(SchedulerEvent::CheckpointDropped {
            task: name,
            bytes,
            is_first_of_job: !std::mem::replace(&mut job.has_dropped_checkpoints, true),
        });
    }
}
