//! Refusals that have no effect.

use rosemaryscale_domain::config_source::KeyRefusal;
use rosemaryscale_domain::job::JobRecord;
use rosemaryscale_domain::schedule::pressure::{Admission, Pressure, RefusalCause};
use rosemaryscale_ports::job::JobReply;

use super::MIN_RETRY_AFTER_MS;
use super::store_calls::Submission;

/// A refusal and the metric that counts those of its cause by workspace.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) reply: JobReply,
    pub(super) metric: &'static str,
}

/// Refusal of a job that would be useless by the time it could run; `None` if it may be stored.
pub(super) fn refuse_hopeless(pressure: &Pressure, job: &Submission) -> Option<Refusal> {
    match pressure.admit(&job.id, &job.record) {
        Admission::Accept => None,
        Admission::Refuse {
            retry_after_ms,
            expected_ms,
            cause,
        } => Some(Refusal {
            reply: JobReply::Unavailable {
                reason: refusal_reason(cause, expected_ms, &job.record).into(),
                retry_after_ms,
            },
            metric: match cause {
                RefusalCause::Overload => "submit.refused_overload",
                RefusalCause::Backlog => "submit.refused_backlog",
                RefusalCause::Rate => "submit.refused_rate",
            },
        }),
    }
}

fn refusal_reason(cause: RefusalCause, expected_ms: u64, record: &JobRecord) -> String {
    let service = &record.policy.service;
    let workspace = record.workspace_name().map_or("", |name| &**name);
    let end = format!("the job would end in about {expected_ms} ms, long after its objective");
    match cause {
        RefusalCause::Overload => format!("service {service} is overloaded: {end}"),
        RefusalCause::Backlog => {
            format!("service {service} is overloaded by the jobs of workspace {workspace}: {end}")
        }
        RefusalCause::Rate => {
            format!(
                "service {service} is overloaded and workspace {workspace} exceeds its rate: {end}"
            )
        }
    }
}

/// Refusal of a job that can never run within the quota of its workspace; `None` if it can.
pub(super) fn refuse_above_quota(record: &JobRecord) -> Option<Refusal> {
    let workspace = record.workspace.as_ref()?;
    let step = workspace.step_above_quota(&record.spec)?;
    let reason = format!(
        "step {step} needs more than the quota of workspace {} at once",
        workspace.name
    );
    Some(Refusal {
        reply: JobReply::AboveQuota(reason.into()),
        metric: "submit.refused_quota",
    })
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
