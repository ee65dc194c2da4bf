//! Submission rates: how many jobs a second a workspace may submit before its further jobs rank last.
//!
//! The time of a token is the wall-clock time at which the job was received, so that a new leader, which reads
//! the jobs in the order of receipt, marks them like its predecessor.

use super::Scheduler;
use crate::job::JobRecord;
use crate::prelude::*;

/// Time whose jobs may arrive at once.
const BURST_MS: u64 = 2_000;
/// Jobs that may always arrive at once, also at a low rate.
const BURST_MIN_JOBS: u64 = 2;
/// Value of one job; a weight in thousandths is a rate in millionths of a job per millisecond.
const JOB_MICRO: u64 = 1_000_000;

/// Token bucket of a workspace.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens_micro: u64,
    refilled_wall: Millis,
}

impl Bucket {
    /// Content at the given time.
    fn content_micro(self, weight_milli: u64, wall: Millis) -> u64 {
        let elapsed_ms = wall.ms_since(self.refilled_wall);
        let refill = weight_milli.saturating_mul(elapsed_ms);
        capacity_micro(weight_milli).min(self.tokens_micro.saturating_add(refill))
    }
}

fn capacity_micro(weight_milli: u64) -> u64 {
    let burst = weight_milli.saturating_mul(BURST_MS);
    burst.max(BURST_MIN_JOBS * JOB_MICRO)
}

/// Token buckets of the workspaces.
#[derive(Debug, Default)]
pub(super) struct SubmissionRates {
    buckets: SecondaryMap<WorkspaceKey, Bucket>,
    /// The process's clock and the wall clock when the last job became known.
    clocks: (Millis, Millis),
}

impl SubmissionRates {
    /// Takes the token of a job; returns `false` if there is none.
    fn take(&mut self, workspace: WorkspaceKey, weight_milli: u64, received_wall: Millis) -> bool {
        let content = self.content_micro(workspace, weight_milli, received_wall);
        let refilled_wall = self.buckets.get(workspace).map_or(received_wall, |bucket| {
            bucket.refilled_wall.max(received_wall)
        });
        let rest = content.checked_sub(JOB_MICRO);
        let bucket = Bucket {
            tokens_micro: rest.unwrap_or(content),
            refilled_wall,
        };
        self.buckets.insert(workspace, bucket);
        rest.is_some()
    }

    /// Whether a job received now would find no token.
    pub(super) fn is_exhausted(
        &self,
        workspace: WorkspaceKey,
        weight_milli: u64,
        now: Millis,
    ) -> bool {
        let (known_at, known_wall) = self.clocks;
        let wall = known_wall.after_ms(now.ms_since(known_at));
        self.content_micro(workspace, weight_milli, wall) < JOB_MICRO
    }

    fn content_micro(&self, workspace: WorkspaceKey, weight_milli: u64, wall: Millis) -> u64 {
        self.buckets
            .get(workspace)
            .map_or(capacity_micro(weight_milli), |bucket| {
                bucket.content_micro(weight_milli, wall)
            })
    }
}

impl Scheduler {
    /// Marks a job that its workspace has submitted beyond its rate.
    pub(super) fn check_rate(&mut self, key: JobKey, now: Millis, wall: Millis) {
        self.shares.rates.clocks = (now, wall);
        let Some(job) = self.job_table.jobs.get_mut(key) else {
            return;
        };
        let workspace = job.workspace.and_then(|key| self.workspaces.get(key));
        if let (Some(key), Some(workspace), true) =
            (job.workspace, workspace, is_limited(&job.record))
        {
            let received_wall = Millis::from_ms(job.record.received_wall_ms).min(wall);
            job.is_excess = !self
                .shares
                .rates
                .take(key, workspace.weight_milli, received_wall);
        }
    }
}

/// Whether the job takes a token: repeated and long-running jobs are submitted rarely and run for long.
fn is_limited(record: &JobRecord) -> bool {
    record.spec.repeat.is_none() && record.spec.steps.iter().all(|step| !step.long_running)
}
