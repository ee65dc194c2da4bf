//! What keeps workers and tasks from being used, for the leader's status.

use std::fmt;

use super::Scheduler;
use super::job_table::TaskStatus;
use super::worker::Worker;
use crate::placement::Resources;
use crate::prelude::*;

/// Time after which the result of a start is overdue. An order is answered or given up within a second,
/// also through a gateway.
const START_RESULT_OVERDUE_MS: u64 = 2_000;

/// Why a worker takes no work; the first reason that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// The platform does not list it.
    Unlisted,
    /// It has not answered a poll of this leader.
    Unsynced,
    /// No stored batch names it yet.
    Unrecorded,
    /// It does not answer, or has not answered since the list of instances has contradicted it.
    Unresponsive,
    /// The list of instances shows it in the pool of another service than its entry names.
    OtherPool,
    /// It is about to end.
    Draining,
    /// Its instance is reserved for a move or for maintenance.
    Cordoned,
    /// It lists runs of unknown jobs.
    UnknownRuns,
    /// It has refused or not answered orders, or runs a task that may crash it.
    Paused,
    /// It may carry out a late poll and drop the ends of its runs.
    LatePoll,
    /// Task after task has failed on it.
    Quarantined,
}

/// Writes the words of log lines, which operators search for.
impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unlisted => "unlisted",
            Self::Unsynced => "unsynced",
            Self::Unrecorded => "unrecorded",
            Self::Unresponsive => "unresponsive",
            Self::OtherPool => "other-pool",
            Self::Draining => "draining",
            Self::Cordoned => "cordoned",
            Self::UnknownRuns => "unknown-runs",
            Self::Paused => "paused",
            Self::LatePoll => "late-poll",
            Self::Quarantined => "quarantined",
        })
    }
}

/// Progress of the scheduler as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerStatus {
    /// Time for which the batch in flight has not been stored; 0 if none is in flight.
    pub batch_age_ms: u64,
    /// Runs whose start has had no result for longer than an order can take.
    pub overdue_starts: usize,
    /// Tasks that wait for the recovery.
    pub tasks_awaiting_recovery: usize,
    /// Capacity of one worker by which pools are sized.
    pub worker_capacity: Resources,
}

impl Worker {
    /// Why the worker takes no work; `None` if it takes work.
    pub(super) fn exclusion(&self, now: Millis) -> Option<Exclusion> {
        let reasons = [
            (!self.listed, Exclusion::Unlisted),
            (!self.synced, Exclusion::Unsynced),
            (!self.recorded, Exclusion::Unrecorded),
            (
                self.unresponsive || self.contradicted_at.is_some(),
                Exclusion::Unresponsive,
            ),
            (self.entry.is_in_other_pool, Exclusion::OtherPool),
            (self.report.draining, Exclusion::Draining),
            (self.cordoned, Exclusion::Cordoned),
            (!self.unknown_runs.is_empty(), Exclusion::UnknownRuns),
            (
                self.paused_until > now || self.isolated_until > now,
                Exclusion::Paused,
            ),
            (self.late_poll_until > now, Exclusion::LatePoll),
            (self.quarantine.is_active(now), Exclusion::Quarantined),
        ];
        let excluding = reasons.into_iter().find(|(applies, _)| *applies);
        excluding.map(|(_, reason)| reason)
    }
}

impl Scheduler {
    /// The current status.
    #[must_use]
    pub fn status(&self, now: Millis) -> SchedulerStatus {
        let overdue = |run: &super::run::PlacedRun| {
            run.start_in_flight && now.ms_since(run.start_sent_at) > START_RESULT_OVERDUE_MS
        };
        let awaiting = self
            .job_table
            .tasks
            .values()
            .filter(|task| task.status == TaskStatus::AwaitingRecovery);
        SchedulerStatus {
            batch_age_ms: self.batches.age_ms(now),
            overdue_starts: self.runs.iter().filter(|(_, run)| overdue(run)).count(),
            tasks_awaiting_recovery: awaiting.count(),
            worker_capacity: self.largest_capacity(),
        }
    }

    /// Workers of a service that take no work, by reason.
    pub(super) fn exclusions(&self, service: ServiceKey, now: Millis) -> Vec<(Exclusion, usize)> {
        let workers = self.services.get(service).map(|service| &service.workers);
        let mut reasons: Vec<Exclusion> = workers
            .into_iter()
            .flatten()
            .filter_map(|key| self.workers.get(*key)?.exclusion(now))
            .collect();
        reasons.sort_unstable();
        reasons
            .chunk_by(PartialEq::eq)
            .map(|equal| (equal[0], equal.len()))
            .collect()
    }
}
