//! Quotas: what the tasks of a workspace may use at the same time on all workers.

use super::view::PlacementView;
use crate::placement::Resources;
use crate::prelude::*;

impl PlacementView<'_> {
    /// Whether the quota of the task's workspace allows another run, beside an amount that is planned but not
    /// in use yet.
    pub(super) fn has_quota(&self, task: TaskKey, planned: Resources) -> bool {
        let Some(key) = self.job_table.workspace_of(task) else {
            return true;
        };
        let (Some(workspace), Some(step)) =
            (self.workspaces.get(key), self.job_table.step_of(task))
        else {
            return true;
        };
        let used = self.runs.used_by(key).plus(planned).plus(step.need());
        workspace.permits(used)
    }
}
