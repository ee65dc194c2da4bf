//! Reports the jobs whose stored progress cannot be decoded, and reads what else is known of them.

use std::sync::Arc;

use rosemaryscale_domain::job::{JobProgress, JobState};
use rosemaryscale_ports::kv::KvEntry;
use rosemaryscale_ports::metric::GaugeFamily;
use rosemaryscale_ports::prelude::*;
use slog::{Logger, warn};

use super::Leader;
use crate::jobs::records::{self, PROGRESS_PREFIX, StateRecord};

/// Maximum number of jobs in the metric.
const JOBS_IN_METRIC_MAX: usize = 64;

/// Stored progress of a job.
pub(super) enum StoredProgress {
    /// As stored.
    Decoded(JobProgress),
    /// The record cannot be decoded. The state is that shown to callers.
    Unreadable(JobState),
}

/// Whether the progress of any job cannot be decoded.
pub(super) fn has_unreadable(progress: &[KvEntry]) -> bool {
    progress
        .iter()
        .any(|entry| records::decode::<JobProgress>(&entry.value).is_err())
}

/// Decodes the progress of jobs, by job. `states` are the entries of the states that callers see.
pub(super) fn decode_progress(
    progress: &[KvEntry],
    states: &[KvEntry],
    log: &Logger,
) -> FastMap<Arc<str>, StoredProgress> {
    let states: FastMap<&str, JobState> = states
        .iter()
        .filter_map(|entry| {
            let record: StateRecord = records::decode(&entry.value).ok()?;
            Some((records::state_id(&entry.key)?, record.state))
        })
        .collect();
    let decoded = progress.iter().filter_map(|entry| {
        let id = entry.key.strip_prefix(PROGRESS_PREFIX)?;
        let stored = match records::decode(&entry.value) {
            Ok(progress) => StoredProgress::Decoded(progress),
            Err(error) => {
                let state = states.get(id).copied().unwrap_or(JobState::Running);
                warn!(log, "progress not read"; "job" => id, "state" => %state, "reason" => %error);
                StoredProgress::Unreadable(state)
            }
        };
        Some((Arc::from(id), stored))
    });
    decoded.collect()
}

impl StoredProgress {
    /// The progress, and whether it is only the state. A job that has ended needs no more than its state; it
    /// counts as ended now, so that its state is known for as long as that of any other job.
    pub(super) fn into_progress(self, wall: Millis) -> (JobProgress, bool) {
        match self {
            Self::Decoded(progress) => (progress, false),
            Self::Unreadable(state) => {
                let progress = JobProgress {
                    state,
                    ended_wall_ms: if state.is_final() { wall.as_ms() } else { 0 },
                    ..JobProgress::default()
                };
                (progress, !state.is_final())
            }
        }
    }
}

impl Leader {
    /// Sets a gauge of 1 for each of these jobs.
    pub(super) fn set_held_job_gauge(&self, mut jobs: Vec<Arc<str>>) {
        jobs.sort_unstable();
        jobs.truncate(JOBS_IN_METRIC_MAX);
        self.options.metrics.gauge_family(GaugeFamily {
            name: "jobs.held",
            label: "job",
            values: jobs.into_iter().map(|job| (job, 1)).collect(),
        });
    }
}
