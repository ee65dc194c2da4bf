//! Words of replies and event kinds in log lines.

use rosemaryscale_domain::job::JobState;
use rosemaryscale_ports::event::EventKind;
use rosemaryscale_ports::job::JobReply;

/// Guards against words that change with the code, so that operators' searches of the logs miss lines.
#[test]
fn the_words_of_replies_in_log_lines_are_stable() {
    let unavailable = JobReply::Unavailable {
        reason: "the platform's \"store\" is not reachable".into(),
        retry_after_ms: 1_000,
    };
    let words = [
        (JobReply::Accepted, "Accepted"),
        (JobReply::Cancelled, "Cancelled"),
        (JobReply::State(JobState::Running), "State(Running)"),
        (JobReply::Waiting(12), "Waiting(12)"),
        (JobReply::NoSuchQueue, "NoSuchQueue"),
        (JobReply::NoSuchJob, "NoSuchJob"),
        (
            JobReply::Malformed("no steps".into()),
            r#"Malformed("no steps")"#,
        ),
        (
            unavailable,
            r#"Unavailable { reason: "the platform's \"store\" is not reachable", retry_after_ms: 1000 }"#,
        ),
        (JobReply::OutcomeUnknown, "OutcomeUnknown"),
    ];
    for (reply, word) in words {
        assert_eq!(reply.to_string(), word);
    }
}

/// Guards against event kinds whose words change with the code.
#[test]
fn the_words_of_event_kinds_in_log_lines_are_stable() {
    let words = [
        (EventKind::Daemon, "Daemon"),
        (EventKind::Config, "Config"),
        (EventKind::Platform, "Platform"),
        (EventKind::Member, "Member"),
        (EventKind::Instance, "Instance"),
        (EventKind::Move, "Move"),
        (EventKind::Controller, "Controller"),
        (EventKind::Request, "Request"),
        (EventKind::Slots, "Slots"),
        (EventKind::Job, "Job"),
    ];
    for (kind, word) in words {
        assert_eq!(kind.to_string(), word);
    }
}
