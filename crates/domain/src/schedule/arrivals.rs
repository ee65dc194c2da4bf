//! Workspaces whose work has recently arrived at a service, and the limit that their quotas set to the demand
//! that is forecast.

use super::Scheduler;
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
    pub(super) fn add(&mut self, workspace: Option<WorkspaceKey>, now: Millis) {
        self.last.insert(workspace, now);
    }

    fn remove_old(&mut self, now: Millis) {
        self.last
            .retain(|_, arrived_at| now.ms_since(*arrived_at) <= RECENT_MS);
    }
}

impl Scheduler {
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
