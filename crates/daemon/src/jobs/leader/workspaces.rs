//! Reports what the workspaces use, and which of them their quotas hold back.

use std::sync::Arc;

use rosemaryscale_domain::schedule::WorkspaceUse;
use rosemaryscale_ports::metric::GaugeFamily;
use slog::info;

use super::Leader;

/// Maximum number of workspaces in a metric.
pub(super) const WORKSPACES_IN_METRICS_MAX: usize = 64;
/// Maximum number of log lines about workspaces that are held back, for each report.
const WORKSPACES_IN_LOG_MAX: usize = 8;

/// A metric of a workspace.
type WorkspaceGauge = (&'static str, fn(&WorkspaceUse) -> u64);

/// Metrics of each workspace.
const GAUGES: [WorkspaceGauge; 7] = [
    ("workspace.used_ppm", |entry| {
        entry.used.dominant_share_of_limits_ppm(entry.quota)
    }),
    ("workspace.used_processors_milli", |entry| {
        entry.used.processors_milli
    }),
    ("workspace.used_memory_mb", |entry| entry.used.memory_mb),
    ("workspace.quota_processors_milli", |entry| {
        entry.quota.processors_milli
    }),
    ("workspace.quota_memory_mb", |entry| entry.quota.memory_mb),
    ("workspace.tasks_waiting", |entry| entry.tasks_waiting),
    ("workspace.tasks_held_by_quota", |entry| entry.tasks_held),
];

impl Leader {
    /// Reports the workspaces with jobs: their metrics, and a log line for each of those that their quotas hold
    /// back the most.
    pub(super) fn report_workspaces(&self) {
        let mut uses = self.scheduler.workspace_uses(self.options.clock.now());
        self.set_workspace_gauges(&uses);
        uses.retain(|entry| entry.tasks_held > 0);
        uses.sort_by_key(|entry| std::cmp::Reverse(entry.tasks_held));
        for entry in uses.iter().take(WORKSPACES_IN_LOG_MAX) {
            info!(self.options.log, "workspace held by quota"; "workspace" => &*entry.name,
                "tasks_held" => entry.tasks_held, "tasks_waiting" => entry.tasks_waiting,
                "processors_used_milli" => entry.used.processors_milli,
                "processors_quota_milli" => entry.quota.processors_milli,
                "memory_used_mb" => entry.used.memory_mb, "memory_quota_mb" => entry.quota.memory_mb,
                "accelerators_used" => entry.used.accelerators,
                "accelerators_quota" => entry.quota.accelerators,
                "recovering" => self.scheduler.is_recovering(),
                "lease_age_ms" => self.lease_age_ms());
        }
    }

    /// Removes the metrics of the workspaces, since the next leader reports them.
    pub(super) fn clear_workspace_gauges(&self) {
        self.set_workspace_gauges(&[]);
    }

    fn set_workspace_gauges(&self, uses: &[WorkspaceUse]) {
        let reported = &uses[..uses.len().min(WORKSPACES_IN_METRICS_MAX)];
        for (name, value) in GAUGES {
            let values = reported
                .iter()
                .map(|entry| (Arc::clone(&entry.name), value(entry)));
            self.options.metrics.gauge_family(GaugeFamily {
                name,
                label: "workspace",
                values: values.collect(),
            });
        }
    }
}
