//! Workspaces whose work has recently arrived at a service, and the limit that their quotas set to the demand
//! that is forecast.

use super::Scheduler;
use super::order::StepKey;
use super::quota::QuotaBudget;
use crate::placement::Resources;
use crate::prelude::*;

/// Time for which an arrival bears on the forecast: the forecast looks at the arrivals of the last 2 s.
const RECENT_MS: u64 = 2_000;

/// When work last arrived at a service, by workspace; `None` for jobs without a workspace.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    last: FastMap<Option<WorkspaceKey>, Millis>,
}

impl Arrivals {
    fn add(&mut self, workspace: Option<WorkspaceKey>, now: Millis) {
        self.last.insert(workspace, now);
    }

    fn remove_old(&mut self, now: Millis) {
        self.last
            .retain(|_, arrived_at| now.ms_since(*arrived_at) <= RECENT_MS);
    }
}

impl Scheduler {
    /// Adds the work of a new job to the forecast of its service.
    pub(super) fn record_arrival(&mut self, key: JobKey, now: Millis) {
        let Some(job) = self.job_table.jobs.get(key) else {
            return;
        };
        let view = self.view(now);
        let steps = job.record.spec.steps.iter().zip(0_u16..);
        let finite_steps = steps.filter(|(step, _)| !step.long_running);
        let work = finite_steps
            .map(|(spec, step)| {
                let step = StepKey {
                    job: key,
                    occurrence: 0,
                    step,
                };
                // Work that the quota holds back needs no instances yet.
                let count = QuotaBudget::new(view).grant(step, u64::from(spec.count));
                let run_ms = if view.uneven_work.learned_durations {
                    view.durations.class_mean_ms(job, step.step, spec)
                } else {
                    spec.estimate_ms
                };
                spec.need().times(run_ms.saturating_mul(count))
            })
            .fold(Resources::default(), Resources::plus);
        let (service, workspace) = (job.service, job.workspace);
        self.services[service].load.add(work, now);
        self.services[service].arrivals.add(workspace, now);
    }

    /// Demand that is forecast for a service, up to what the quotas of the workspaces allow whose work arrives.
    pub(super) fn forecast_within_quotas(&mut self, service: ServiceKey, now: Millis) -> Resources {
        let service = &mut self.services[service];
        let forecast = service.load.forecast(now);
        service.arrivals.remove_old(now);
        if service.arrivals.last.is_empty() {
            return forecast;
        }
        let mut allowed = Resources::default();
        for workspace in service.arrivals.last.keys() {
            let Some(workspace) = workspace.and_then(|key| self.workspaces.get(key)) else {
                return forecast;
            };
            allowed = allowed.plus(workspace.limit_within(forecast));
        }
        forecast.min(allowed)
    }
}
