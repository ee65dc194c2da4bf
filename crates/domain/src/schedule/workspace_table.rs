//! Workspaces of the jobs that the scheduler knows.

use crate::prelude::*;
use crate::workspace::{Workspace, Workspaces};

/// The workspaces of all jobs, each as last configured. A workspace that the configuration no longer lists
/// keeps its last weight and quota, since its jobs go on.
#[derive(Debug, Default)]
pub(super) struct WorkspaceTable {
    entries: SlotMap<WorkspaceKey, Workspace>,
    by_name: FastMap<Arc<str>, WorkspaceKey>,
}

impl WorkspaceTable {
    /// Key of the workspace that a job names. The job's copy of the workspace counts until a configuration
    /// with the workspace is applied.
    pub(super) fn key_of(&mut self, workspace: &Workspace) -> WorkspaceKey {
        if let Some(key) = self.by_name.get(&workspace.name) {
            return *key;
        }
        let key = self.entries.insert(workspace.clone());
        self.by_name.insert(Arc::clone(&workspace.name), key);
        key
    }

    /// Applies the workspaces of a newer configuration.
    pub(super) fn configure(&mut self, workspaces: &Workspaces) {
        for workspace in workspaces.iter() {
            let key = self.key_of(workspace);
            self.entries[key].clone_from(workspace);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn get(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.entries.get(key)
    }
}
