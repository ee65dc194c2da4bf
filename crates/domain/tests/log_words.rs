//! Words of outcomes and states in log lines.

use rosemaryscale_domain::job::JobState;
use rosemaryscale_domain::schedule::order::{
    CopyOutcome, InstanceOrderResult, InstanceState, LossEvidence, RunEndKind,
};

/// Guards against words that change with the code, so that operators' searches of the logs miss lines.
#[test]
fn the_words_in_log_lines_are_stable() {
    let words = [
        (JobState::Queued.to_string(), "Queued"),
        (JobState::Running.to_string(), "Running"),
        (JobState::Completed.to_string(), "Completed"),
        (JobState::Failed.to_string(), "Failed"),
        (JobState::Cancelled.to_string(), "Cancelled"),
        (RunEndKind::Done.to_string(), "Done"),
        (RunEndKind::Failed.to_string(), "Failed"),
        (RunEndKind::Stopped.to_string(), "Stopped"),
        (RunEndKind::Lapsed.to_string(), "Lapsed"),
        (RunEndKind::Broken.to_string(), "Broken"),
        (RunEndKind::Alone.to_string(), "Alone"),
        (LossEvidence::OtherProcess.to_string(), "OtherProcess"),
        (
            LossEvidence::RefusedAndListed.to_string(),
            "RefusedAndListed",
        ),
        (LossEvidence::Listed.to_string(), "Listed"),
        (LossEvidence::LeaseEnded.to_string(), "LeaseEnded"),
        (CopyOutcome::Won.to_string(), "Won"),
        (CopyOutcome::TookOver.to_string(), "TookOver"),
        (CopyOutcome::Lost.to_string(), "Lost"),
        (CopyOutcome::Ended.to_string(), "Ended"),
        (InstanceState::Up.to_string(), "Up"),
        (InstanceState::Moving.to_string(), "Moving"),
        (InstanceState::Maintenance.to_string(), "Maintenance"),
        (InstanceState::Down.to_string(), "Down"),
        (InstanceOrderResult::Accepted.to_string(), "Accepted"),
        (InstanceOrderResult::Busy.to_string(), "Busy"),
        (InstanceOrderResult::NotInWave.to_string(), "NotInWave"),
        (InstanceOrderResult::Fenced.to_string(), "Fenced"),
        (InstanceOrderResult::NotSent.to_string(), "NotSent"),
        (InstanceOrderResult::Unanswered.to_string(), "Unanswered"),
    ];
    for (logged, word) in words {
        assert_eq!(logged, word);
    }
}
