//! Why a run is stopped, for the log.

use std::fmt;

use crate::job::JobState;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has been cancelled.
    JobCancelled,
    /// Its job has failed.
    JobFailed,
    /// Its job is completed.
    JobCompleted,
    /// Its start was not answered and may still take effect.
    StartUnanswered,
    /// Its task is done or has another run, or its job has ended.
    NotNeeded,
    /// Its progress has not changed for too long; the task starts on another worker.
    NoProgress,
    /// Another member of its gang is done, which completes the gang.
    GangDone,
    /// Its instance is evacuated for a move or for maintenance.
    Evacuation,
    /// The worker lists it, but its job is not known.
    UnknownJob,
    /// Its worker may carry out a late poll, and would drop the end of the run unread.
    LatePoll,
}

/// Why and how often a run was ordered to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCause {
    /// The reason.
    pub reason: StopReason,
    /// Number of the order, from 1: an order that is not answered is sent again. It is always 1 for a run that
    /// this leader does not know.
    pub attempt: u32,
}

impl StopReason {
    /// Reason of the stops that the end of a job leads to.
    pub(super) const fn of_ended_job(state: JobState) -> Self {
        match state {
            JobState::Cancelled => Self::JobCancelled,
            JobState::Failed => Self::JobFailed,
            JobState::Queued | JobState::Running | JobState::Completed => Self::JobCompleted,
        }
    }
}

/// Writes the words of log lines, which operators search for.
impl fmt::Display for StopReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::JobCancelled => "JobCancelled",
            Self::JobFailed => "JobFailed",
            Self::JobCompleted => "JobCompleted",
            Self::StartUnanswered => "StartUnanswered",
            Self::NotNeeded => "NotNeeded",
            Self::NoProgress => "NoProgress",
            Self::GangDone => "GangDone",
            Self::Evacuation => "Evacuation",
            Self::UnknownJob => "UnknownJob",
            Self::LatePoll => "LatePoll",
        })
    }
}
