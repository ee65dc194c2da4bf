//! Use and shares of the workspaces, in the log and as metrics.

use std::sync::Arc;

use rosemaryscale_domain::schedule::share_status::ShareStatus;
use rosemaryscale_ports::prelude::*;
use slog::info;

use super::Leader;

/// Workspaces of a service that a status names; those with the most waiting tasks come first.
const WORKSPACES_MAX: usize = 16;

/// Sums of a workspace over all services.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    waiting: usize,
    used_ppm: u64,
    share_ppm: u64,
}

impl Leader {
    /// Logs the shares of each service on which tasks of workspaces wait.
    pub(super) fn log_shares(&mut self) {
        let statuses = self.scheduler.share_statuses(self.options.clock.now());
        for service in statuses.chunk_by(|a, b| a.service == b.service) {
            let waiting: usize = service.iter().map(|status| status.waiting.total()).sum();
            if waiting == 0 {
                continue;
            }
            let named: Vec<String> = service.iter().take(WORKSPACES_MAX).map(describe).collect();
            info!(self.options.log, "shares"; "service" => &*service[0].service,
                "workspaces" => service.len(), "tasks_waiting" => waiting,
                "first" => named.join(", "), "lease_age_ms" => self.lease_age_ms());
        }
        self.publish_share_gauges(&statuses);
    }

    /// Sets the gauges of all workspaces that have work, and clears those of workspaces that no longer have any.
    fn publish_share_gauges(&mut self, statuses: &[ShareStatus]) {
        let mut sums: FastMap<Arc<str>, Sum> = FastMap::default();
        for workspace in self.measured_workspaces.drain() {
            sums.insert(workspace, Sum::default());
        }
        for status in statuses {
            let sum = sums.entry(Arc::clone(&status.workspace)).or_default();
            sum.waiting += status.waiting.total();
            sum.used_ppm = sum.used_ppm.max(status.used_ppm);
            sum.share_ppm = sum.share_ppm.max(status.share_ppm.unwrap_or(0));
            self.measured_workspaces
                .insert(Arc::clone(&status.workspace));
        }
        let metrics = &self.options.metrics;
        for (workspace, sum) in &sums {
            metrics.gauge_of("workspace.tasks_waiting", workspace, sum.waiting as u64);
            metrics.gauge_of("workspace.used_ppm", workspace, sum.used_ppm);
            metrics.gauge_of("workspace.share_ppm", workspace, sum.share_ppm);
        }
    }
}

/// Name, use and share in percent, and the waiting tasks by band.
fn describe(status: &ShareStatus) -> String {
    let waiting = status.waiting;
    let share = status.share_ppm.map_or_else(
        || "all".into(),
        |share_ppm| (share_ppm / 10_000).to_string(),
    );
    format!(
        "{} uses {} of {share} waits {}/{}/{}/{}",
        status.workspace,
        status.used_ppm / 10_000,
        waiting.on_time,
        waiting.late,
        waiting.overdue,
        waiting.excess
    )
}
