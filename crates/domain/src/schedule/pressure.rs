//! Expected waits of new jobs under overload, and the admission that follows from them.
//!
//! The leader publishes the pressure; every daemon decides by it when a job arrives. Load pattern: a
//! queue asks for more than all instances that its pool can get for longer than the results are useful.
//! A job that is expected neither to end on time nor while its result is useful is refused at once, so
//! that its caller knows, and does not take room from others later.

use serde::{Deserialize, Serialize};

use super::job_table::{USEFUL_LATENCY_FACTOR, work_ms};
use crate::job::{JobRecord, JobSpec};
use crate::placement::Resources;
use crate::prelude::*;

/// Shortest and longest time after which a refused caller is asked to return.
const RETRY_AFTER_MIN_MS: u64 = 1_000;
const RETRY_AFTER_MAX_MS: u64 = 8_000;

/// Expected wait of jobs of one size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SizeWait {
    /// Work of the job, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Time in which the smaller jobs that can still be on time are done; they come first.
    pub on_time_wait_ms: u64,
    /// Time in which all smaller jobs that wait already are done.
    pub wait_ms: u64,
}

/// Pressure on one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicePressure {
    /// The service.
    pub service: Arc<str>,
    /// Capacity of the largest worker, the unit of work.
    pub worker: Resources,
    /// Expected waits behind the jobs within the rates of their workspaces, by ascending size.
    pub waits: Vec<SizeWait>,
    /// Time in which all jobs that wait and are still useful are done; 0 without workspaces.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub total_wait_ms: u64,
    /// Workspaces with waiting or running finite work, those with the largest backlogs; empty from a leader
    /// without shares.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspacePressure>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Backlog of a workspace on a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspacePressure {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Time in which its guaranteed share works off its useful jobs within its rate.
    pub wait_ms: u64,
    /// Time in which its guaranteed share works off all its useful jobs.
    pub total_wait_ms: u64,
    /// Whether its next job exceeds its rate.
    pub is_beyond_rate: bool,
}

/// Pressure on the services that have more waiting work than they can start soon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    /// The services under pressure.
    pub services: Vec<ServicePressure>,
}

/// Decision about a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job may be stored.
    Accept,
    /// The job would be useless when it could run; it may be tried again after this time.
    Refuse {
        /// Time until another try may be accepted.
        retry_after_ms: u64,
        /// Expected time until the job could end.
        expected_ms: u64,
        /// What it would wait for.
        cause: RefusalCause,
    },
}

/// What a refused job would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The waiting work of all callers.
    Overload,
    /// The waiting work of its own workspace.
    Backlog,
    /// All waiting work, because its workspace exceeds its rate.
    Rate,
}

/// Expected wait of a job.
#[derive(Clone, Copy, Debug)]
struct Wait {
    on_time_ms: u64,
    useful_ms: u64,
    cause: RefusalCause,
    /// Time that the backlog of the job's workspace takes, where that exceeds its rate.
    backlog_ms: u64,
}

impl ServicePressure {
    /// Expected wait of a job of this size; `None` if nothing comes before it.
    fn wait_of(&self, work_ms: u64, workspace: Option<&Arc<str>>) -> Option<Wait> {
        let sizes = self.waits.iter().rev();
        let overload = sizes
            .skip_while(|size| size.work_ms > work_ms)
            .map(|size| Wait {
                on_time_ms: size.on_time_wait_ms,
                useful_ms: size.wait_ms,
                cause: RefusalCause::Overload,
                backlog_ms: 0,
            })
            .next();
        let Some(workspace) = workspace.filter(|_| !self.workspaces.is_empty()) else {
            return overload;
        };
        // A workspace that is not listed has no backlog, or a smaller one than those listed.
        let own = self
            .workspaces
            .iter()
            .find(|own| own.workspace == *workspace)?;
        if own.is_beyond_rate {
            return Some(Wait {
                on_time_ms: self.total_wait_ms,
                useful_ms: self.total_wait_ms,
                cause: RefusalCause::Rate,
                backlog_ms: own.total_wait_ms,
            });
        }
        // Its share is guaranteed, so it waits no longer than for its own backlog.
        let overload = overload?;
        if own.wait_ms >= overload.useful_ms {
            return Some(overload);
        }
        Some(Wait {
            on_time_ms: overload.on_time_ms.min(own.wait_ms),
            useful_ms: own.wait_ms,
            cause: RefusalCause::Backlog,
            backlog_ms: own.wait_ms,
        })
    }
}

impl Pressure {
    /// Decides about a new job. Only work that ends is refused: a long-running job or a later occurrence
    /// is worth as much after the overload.
    #[must_use]
    pub fn admit(&self, id: &str, record: &JobRecord) -> Admission {
        let spec = &record.spec;
        let is_finite = spec.repeat.is_none() && spec.steps.iter().all(|step| !step.long_running);
        let service = self
            .services
            .iter()
            .find(|pressure| pressure.service == record.policy.service);
        let Some(pressure) = service.filter(|_| is_finite) else {
            return Admission::Accept;
        };
        let work = spec_work_ms(spec, pressure.worker);
        let Some(wait) = pressure.wait_of(work, record.workspace_name()) else {
            return Admission::Accept;
        };
        let path_ms = spec.critical_path_ms();
        let objective_ms = record.objective_ms();
        let useful_ms = objective_ms.saturating_mul(USEFUL_LATENCY_FACTOR);
        let expected_ms = wait.useful_ms.saturating_add(path_ms);
        let on_time_ms = wait.on_time_ms.saturating_add(path_ms);
        if on_time_ms <= objective_ms || expected_ms <= useful_ms {
            return Admission::Accept;
        }
        let excess_ms = (expected_ms - useful_ms)
            .max(wait.backlog_ms)
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        Admission::Refuse {
            retry_after_ms: excess_ms + spread_ms(id, excess_ms / 2),
            expected_ms,
            cause: wait.cause,
        }
    }
}

/// Spreads the return of callers that were refused together, by the ids of their jobs.
fn spread_ms(id: &str, range_ms: u64) -> u64 {
    let hash = id.bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    hash % range_ms.max(1)
}

fn spec_work_ms(spec: &JobSpec, worker: Resources) -> u64 {
    let steps = spec.steps.iter();
    work_ms(steps.map(|step| (step, u64::from(step.count))), worker)
}
