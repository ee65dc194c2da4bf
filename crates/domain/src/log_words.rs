//! Words of outcomes and states in log lines. Operators search logs for them, so they are independent of
//! the names in the code and of the encodings in the store and for callers.

use std::fmt;

use crate::job::JobState;
use crate::schedule::order::{
    CopyOutcome, InstanceOrderResult, InstanceState, LossEvidence, RunEndKind,
};

impl fmt::Display for JobState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Queued => "Queued",
            Self::Running => "Running",
            Self::Completed => "Completed",
            Self::Failed => "Failed",
            Self::Cancelled => "Cancelled",
        })
    }
}

impl fmt::Display for RunEndKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Done => "Done",
            Self::Failed => "Failed",
            Self::Stopped => "Stopped",
            Self::Lapsed => "Lapsed",
            Self::Broken => "Broken",
            Self::Alone => "Alone",
        })
    }
}

impl fmt::Display for LossEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OtherProcess => "OtherProcess",
            Self::RefusedAndListed => "RefusedAndListed",
            Self::Listed => "Listed",
            Self::LeaseEnded => "LeaseEnded",
        })
    }
}

impl fmt::Display for CopyOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Won => "Won",
            Self::TookOver => "TookOver",
            Self::Lost => "Lost",
            Self::Ended => "Ended",
        })
    }
}

impl fmt::Display for InstanceState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Up => "Up",
            Self::Moving => "Moving",
            Self::Maintenance => "Maintenance",
            Self::Down => "Down",
        })
    }
}

impl fmt::Display for InstanceOrderResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Accepted => "Accepted",
            Self::Busy => "Busy",
            Self::NotInWave => "NotInWave",
            Self::Fenced => "Fenced",
            Self::NotSent => "NotSent",
            Self::Unanswered => "Unanswered",
        })
    }
}
