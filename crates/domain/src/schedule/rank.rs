//! Order in which ready steps get workers.

use super::job_table::{Job, USEFUL_LATENCY_FACTOR};
use super::order::StepKey;
use super::share::ShareLimits;
use super::share_status::WaitingBands;
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
    /// Submitted beyond the rate of its workspace; takes the room that all others leave.
    is_excess: bool,
    urgency: Urgency,
    /// Its workspace is above its share; not set for long-running, overdue and excess jobs.
    is_above_share: bool,
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

    /// Whether the step yields to other workspaces once its own is above its share.
    pub(super) const fn is_shared(&self) -> bool {
        !self.is_excess && matches!(self.urgency, Urgency::OnTime | Urgency::Late)
    }

    /// Whether the step must be put off once its workspace is above its share.
    pub(super) const fn is_below_share(&self) -> bool {
        self.is_shared() && !self.is_above_share
    }

    /// Rank of the step once its workspace is above its share.
    pub(super) const fn above_share(self) -> Self {
        Self {
            is_above_share: true,
            ..self
        }
    }
}

impl PlacementView<'_> {
    /// Rank of a step; `None` if its job is gone.
    pub(super) fn rank(
        &self,
        step: StepKey,
        limits: &ShareLimits,
        capacity: Resources,
    ) -> Option<Rank> {
        let job = self.job_table.jobs.get(step.job)?;
        let rank = Rank {
            is_excess: job.is_excess,
            urgency: self.urgency(step, job),
            is_above_share: false,
            work_left: self.job_table.remaining_work(step.job, capacity),
            received_at: job.received_at,
            job: step.job,
            occurrence: step.occurrence,
            step: step.step,
        };
        let is_above = rank.is_shared() && limits.was_exceeded(job.workspace);
        Some(if is_above { rank.above_share() } else { rank })
    }

    /// Adds waiting tasks of a step to the band that they wait in. Long-running tasks are in none.
    pub(super) fn count_waiting(&self, step: StepKey, tasks: usize, bands: &mut WaitingBands) {
        let Some(job) = self.job_table.jobs.get(step.job) else {
            return;
        };
        match self.urgency(step, job) {
            Urgency::LongRunning => {}
            _ if job.is_excess => bands.excess += tasks,
            Urgency::OnTime => bands.on_time += tasks,
            Urgency::Late => bands.late += tasks,
            Urgency::Overdue => bands.overdue += tasks,
        }
    }

    /// Whether the job can still meet its objective if the step starts now.
    pub(super) fn is_on_time(&self, step: StepKey) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| self.urgency(step, job) == Urgency::OnTime)
    }

    /// Classifies the tasks of a step. By the expected run times, tasks that can no longer meet the objective of
    /// their job yield to tasks that can.
    fn urgency(&self, step: StepKey, job: &Job) -> Urgency {
        if job.long_running() {
            return Urgency::LongRunning;
        }
        urgency_of(self.remaining_path_ms(step, job), job, self.now)
    }
}

fn urgency_of(remaining_ms: u64, job: &Job, now: Millis) -> Urgency {
    let expected_latency_ms = now.after_ms(remaining_ms).ms_since(job.received_at);
    if expected_latency_ms.saturating_add(COMPLETION_DELAY_MS) <= job.objective_ms {
        Urgency::OnTime
    } else if expected_latency_ms <= job.objective_ms.saturating_mul(USEFUL_LATENCY_FACTOR) {
        Urgency::Late
    } else {
        Urgency::Overdue
    }
}
