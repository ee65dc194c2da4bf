//! All runs that may exist on workers, and the room and quota that they take.
//!
//! Starts, ends, losses, late and unknown runs pass through this table. Room on workers and the quota use of
//! workspaces change nowhere else, so that they cannot drift apart from the runs.

use std::ops::Index;

use super::run::PlacedRun;
use super::worker::Worker;
use crate::placement::Resources;
use crate::prelude::*;

/// Runs of one worker and the room that they take there.
#[derive(Debug, Default)]
pub(super) struct Bookings {
    runs: Vec<RunKey>,
    used: Resources,
}

impl Bookings {
    /// Keys of the runs.
    pub(super) fn runs(&self) -> &[RunKey] {
        &self.runs
    }

    /// Sum of the needs of the runs.
    pub(super) const fn used(&self) -> Resources {
        self.used
    }
}

/// Runs that may exist, by key.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: SlotMap<RunKey, PlacedRun>,
    used: SecondaryMap<WorkspaceKey, Resources>,
    /// Use by finite tasks, by the service of the worker and the workspace.
    finite_use: SecondaryMap<ServiceKey, FastMap<Option<WorkspaceKey>, Resources>>,
}

impl RunTable {
    /// Adds a run and takes its room on the worker.
    pub(super) fn insert(&mut self, run: PlacedRun, worker: &mut Worker) -> RunKey {
        let need = run.info().need;
        if let Some(workspace) = run.info().workspace {
            let used = self.used_by(workspace).plus(need);
            self.used.insert(workspace, used);
        }
        if let Some(service) = run.info().finite_in {
            let used = self.finite_use(service, run.info().workspace).plus(need);
            self.set_finite_use(service, run.info().workspace, used);
        }
        let key = self.runs.insert(run);
        worker.bookings.runs.push(key);
        worker.bookings.used = worker.bookings.used.plus(need);
        key
    }

    /// Removes a run that has certainly ended and releases its room.
    pub(super) fn remove(
        &mut self,
        key: RunKey,
        workers: &mut SlotMap<WorkerKey, Worker>,
    ) -> Option<PlacedRun> {
        let run = self.runs.remove(key)?;
        if let Some(workspace) = run.info().workspace {
            let used = self.used_by(workspace).minus(run.info().need);
            self.used.insert(workspace, used);
        }
        if let Some(service) = run.info().finite_in {
            let used = self.finite_use(service, run.info().workspace);
            self.set_finite_use(service, run.info().workspace, used.minus(run.info().need));
        }
        if let Some(worker) = workers.get_mut(run.info().worker) {
            let bookings = &mut worker.bookings;
            bookings.runs.retain(|run| *run != key);
            bookings.used = bookings.used.minus(run.info().need);
        }
        Some(run)
    }

    /// Sum of the needs of all runs of a workspace.
    pub(super) fn used_by(&self, workspace: WorkspaceKey) -> Resources {
        self.used.get(workspace).copied().unwrap_or_default()
    }

    /// What the finite tasks of a workspace, or of all jobs without one, use on the workers of a service.
    pub(super) fn finite_use(
        &self,
        service: ServiceKey,
        workspace: Option<WorkspaceKey>,
    ) -> Resources {
        let uses = self.finite_use.get(service);
        uses.and_then(|uses| uses.get(&workspace))
            .copied()
            .unwrap_or_default()
    }

    /// What the finite tasks of each workspace use on the workers of a service.
    pub(super) fn finite_uses(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (Option<WorkspaceKey>, Resources)> {
        let uses = self.finite_use.get(service).into_iter().flatten();
        uses.map(|(workspace, used)| (*workspace, *used))
    }

    fn set_finite_use(
        &mut self,
        service: ServiceKey,
        workspace: Option<WorkspaceKey>,
        used: Resources,
    ) {
        let Some(uses) = self.finite_use.entry(service) else {
            return;
        };
        let uses = uses.or_default();
        if used == Resources::default() {
            uses.remove(&workspace);
        } else {
            uses.insert(workspace, used);
        }
    }

    pub(super) fn get(&self, key: RunKey) -> Option<&PlacedRun> {
        self.runs.get(key)
    }

    pub(super) fn get_mut(&mut self, key: RunKey) -> Option<&mut PlacedRun> {
        self.runs.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (RunKey, &PlacedRun)> {
        self.runs.iter()
    }
}

impl Index<RunKey> for RunTable {
    type Output = PlacedRun;

    fn index(&self, key: RunKey) -> &PlacedRun {
        &self.runs[key]
    }
}
