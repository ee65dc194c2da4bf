//! Workspaces of the jobs that the scheduler knows.

use crate::job::JobRecord;
use crate::prelude::*;
use crate::workspace::{Workspace, Workspaces};

/// A workspace, and where its weight and quota are from.
#[derive(Debug)]
struct Entry {
    workspace: Workspace,
    /// When the job was received whose copy of the workspace counts; `None` if a configuration with the workspace
    /// has been applied.
    copied_at_wall_ms: Option<u64>,
}

/// The workspaces of all jobs, each as last configured. A workspace that the configuration no longer lists
/// keeps its last weight and quota, since its jobs go on.
#[derive(Debug, Default)]
pub(super) struct WorkspaceTable {
    entries: SlotMap<WorkspaceKey, Entry>,
    by_name: FastMap<Arc<str>, WorkspaceKey>,
}

impl WorkspaceTable {
    /// Key of the workspace that a job names. Until a configuration with the workspace is applied, the copy in the
    /// newest of its jobs counts.
    pub(super) fn key_of(&mut self, record: &JobRecord) -> Option<WorkspaceKey> {
        let workspace = record.workspace.as_ref()?;
        let received_wall_ms = record.received_wall_ms;
        let key = self.insert_missing(workspace, Some(received_wall_ms));
        let entry = &mut self.entries[key];
        if entry
            .copied_at_wall_ms
            .is_some_and(|at| at < received_wall_ms)
        {
            entry.workspace.clone_from(workspace);
            entry.copied_at_wall_ms = Some(received_wall_ms);
        }
        Some(key)
    }

    fn insert_missing(
        &mut self,
        workspace: &Workspace,
        copied_at_wall_ms: Option<u64>,
    ) -> WorkspaceKey {
        if let Some(key) = self.by_name.get(&workspace.name) {
            return *key;
        }
        let key = self.entries.insert(Entry {
            workspace: workspace.clone(),
            copied_at_wall_ms,
        });
        self.by_name.insert(Arc::clone(&workspace.name), key);
        key
    }

    /// Applies the workspaces of a newer configuration.
    pub(super) fn configure(&mut self, workspaces: &Workspaces) {
        for workspace in workspaces.iter() {
            let key = self.insert_missing(workspace, None);
            let entry = &mut self.entries[key];
            entry.workspace.clone_from(workspace);
            entry.copied_at_wall_ms = None;
        }
    }

    pub(super) fn get(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.entries.get(key).map(|entry| &entry.workspace)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkspaceKey, &Workspace)> {
        self.entries
            .iter()
            .map(|(key, entry)| (key, &entry.workspace))
    }

    /// Whether no job belongs to a workspace, and none is configured.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
