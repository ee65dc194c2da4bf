//! Use and shares of the workspaces, in the log and as metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryscale_domain::schedule::share_status::ShareStatus;
use rosemaryscale_ports::metric::GaugeFamily;
use slog::info;

use super::Leader;
use super::workspaces::WORKSPACES_IN_METRICS_MAX;

/// Workspaces of a service that a status names; those with the most waiting tasks come first.
const WORKSPACES_MAX: usize = 16;

/// Largest use and share that a workspace has of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    used_ppm: u64,
    share_ppm: u64,
}

impl Leader {
    /// Logs the shares of each service on which tasks of workspaces wait.
    pub(super) fn log_shares(&self) {
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

    /// Sets the gauges of the workspaces that have work.
    fn publish_share_gauges(&self, statuses: &[ShareStatus]) {
        let mut uses: BTreeMap<Arc<str>, Use> = BTreeMap::new();
        for status in statuses {
            let entry = uses.entry(Arc::clone(&status.workspace)).or_default();
            entry.used_ppm = entry.used_ppm.max(status.used_ppm);
            entry.share_ppm = entry.share_ppm.max(status.share_ppm.unwrap_or(0));
        }
        let family = |name, value: fn(&Use) -> u64| GaugeFamily {
            name,
            label: "workspace",
            values: uses
                .iter()
                .take(WORKSPACES_IN_METRICS_MAX)
                .map(|(workspace, entry)| (Arc::clone(workspace), value(entry)))
                .collect(),
        };
        let metrics = &self.options.metrics;
        metrics.gauge_family(family("workspace.service_used_ppm", |entry| entry.used_ppm));
        metrics.gauge_family(family("workspace.service_share_ppm", |entry| {
            entry.share_ppm
        }));
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
