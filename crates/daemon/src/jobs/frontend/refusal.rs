//! Refusals that have no effect.

use rosemaryscale_domain::config_source::KeyRefusal;
use rosemaryscale_domain::job::JobRecord;
use rosemaryscale_domain::schedule::pressure::{Admission, Pressure};
use rosemaryscale_ports::job::JobReply;

use super::MIN_RETRY_AFTER_MS;
use super::store_calls::Submission;

/// Refusal of a job that would be useless by the time it could run; `None` if it may be stored.
pub(super) fn refuse_hopeless(pressure: &Pressure, job: &Submission) -> Option<JobReply> {
    match pressure.admit(&job.id, &job.record) {
        Admission::Accept => None,
        Admission::Refuse {
            retry_after_ms,
            expected_ms,
        } => Some(JobReply::Unavailable {
            reason: format!(
                "service {} is overloaded: the job would end in about {expected_ms} ms, long after its objective",
                job.record.policy.service
            )
            .into(),
            retry_after_ms,
        }),
    }
}

/// Refusal of a job that can never run within the quota of its workspace; `None` if it can.
pub(super) fn refuse_above_quota(record: &JobRecord) -> Option<JobReply> {
    let workspace = record.workspace.as_ref()?;
    let step = workspace.step_above_quota(&record.spec)?;
    let reason = format!(
        "step {step} needs more than the quota of workspace {} at once",
        workspace.name
    );
    Some(JobReply::AboveQuota(reason.into()))
}

/// Refusal of a call whose key may have been withdrawn.
pub(super) fn unconfirmed(refusal: KeyRefusal) -> JobReply {
    unavailable(match refusal {
        KeyRefusal::Unconfirmed => "whether the API key is still valid cannot be confirmed",
        KeyRefusal::Suspended => "the daemon was suspended and is reading the configuration",
    })
}

/// Refusal for the given reason, with the shortest time to come back.
pub(super) fn unavailable(reason: &str) -> JobReply {
    JobReply::Unavailable {
        reason: reason.into(),
        retry_after_ms: MIN_RETRY_AFTER_MS,
    }
}
