//! Order in which ready steps get workers.

use super::job_table::{Job, USEFUL_LATENCY_FACTOR};
use super::order::StepKey;
use super::view::PlacementView;
use crate::placement::Resources;
use crate::prelude::*;

/// Time from the end of a run until callers see its job as completed: a poll, a batch in the store, and
/// the watch of the daemon that is asked.
pub(super) const COMPLETION_DELAY_MS: u64 = 150;
/// Urgency class of a ready task; smaller values are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Long-running; it should be running now.
    LongRunning,
    /// Can still meet the latency objective of its job.
    OnTime,
    /// Misses the objective, but its result is still useful.
    Late,
    /// Its result is no longer useful, but the job must still complete.
    Overdue,
}

/// Placement order of the steps with ready tasks. Among jobs whose results are still useful, the job
/// with the least remaining work comes first: under overload this completes the most jobs, and it
/// completes those already started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    urgency: Urgency,
    work_left: u64,
    received_at: Millis,
    job: JobKey,
    occurrence: u32,
    step: u16,
}

impl Rank {
    pub(super) const fn step(&self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl PlacementView<'_> {
    /// Rank of a step; `None` if its job is gone.
    pub(super) fn rank(&self, step: StepKey, capacity: Resources) -> Option<Rank> {
        let job = self.job_table.jobs.get(step.job)?;
        Some(Rank {
            urgency: urgency(step.step, job, self.now),
            work_left: self.job_table.remaining_work(step.job, capacity),
            received_at: job.received_at,
            job: step.job,
            occurrence: step.occurrence,
            step: step.step,
        })
    }

    /// Whether the job can still meet its objective if the step starts now.
    pub(super) fn is_on_time(&self, step: StepKey) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| urgency(step.step, job, self.now) == Urgency::OnTime)
    }
}

/// Classifies the tasks of a step. By the declared run times, tasks that can no longer meet the objective of
/// their job yield to tasks that can.
fn urgency(step: u16, job: &Job, now: Millis) -> Urgency {
    if job.long_running() {
        return Urgency::LongRunning;
    }
    let remaining_ms = job
        .remaining_paths_ms
        .get(usize::from(step))
        .copied()
        .unwrap_or(0);
    let expected_latency_ms = now.after_ms(remaining_ms).ms_since(job.received_at);
    if expected_latency_ms + COMPLETION_DELAY_MS <= job.objective_ms {
        Urgency::OnTime
    } else if expected_latency_ms <= job.objective_ms * USEFUL_LATENCY_FACTOR {
        Urgency::Late
    } else {
        Urgency::Overdue
    }
}
