//! Workspaces whose quotas change, and the check of what their tasks use on the workers.

use rand::Rng;
use rosemaryscale_domain::job::{JobRecord, TaskName};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::schedule::order::StartOrder;
use rosemaryscale_domain::workspace::{Workspace, Workspaces};

use super::TakeoverModel;
use super::worker::ModelWorker;

/// Processors that a quota may allow. All allow the largest task.
const QUOTAS_MILLI: [u64; 4] = [2_000, 3_000, 5_000, 8_000];
/// Processors of a task, and of one of the few larger ones.
const TASK_MILLI: u64 = 1_000;
const LARGE_TASK_MILLI: u64 = 2_000;

/// Quotas of all workspaces in force from a time on, in processors.
type QuotaVersion = (Millis, Vec<u64>);

/// The workspaces, their quotas over time, and when each start was decided.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    versions: Vec<QuotaVersion>,
    /// Since when the leader of a run knows the quotas by which it started it.
    known_since: FastMap<(TaskName, u32), Millis>,
}

impl Quotas {
    fn current(&self) -> &[u64] {
        self.versions.last().map_or(&[], |(_, quotas)| quotas)
    }

    fn workspace(&self, index: usize) -> Workspace {
        Workspace {
            name: format!("workspace{index}").into(),
            weight_milli: 1_000,
            priority: 0,
            quota: Resources {
                processors_milli: self.current()[index],
                ..Resources::default()
            },
        }
    }

    /// The workspaces as configured now.
    pub(super) fn configured(&self) -> Workspaces {
        let mut workspaces = Workspaces::default();
        for index in 0..self.current().len() {
            workspaces.add(self.workspace(index), []);
        }
        workspaces
    }

    /// Records a start order. An order that is sent again belongs to a run that counts since the first one.
    pub(super) fn start_sent(&mut self, order: &StartOrder, known_since: Millis) {
        let run = (order.task.clone(), order.number);
        self.known_since.entry(run).or_insert(known_since);
    }

    /// Checks that what the workspace of a task uses, with the run that has just started, is within a quota
    /// that was in force since the start was decided.
    pub(super) fn run_started(
        &self,
        workers: &[ModelWorker],
        order: &StartOrder,
        jobs: &[(Arc<str>, JobRecord)],
    ) -> Result<(), String> {
        let owner = |task: &TaskName| {
            let (_, record) = jobs.iter().find(|(id, _)| *id == task.job)?;
            let need = record.spec.steps[usize::from(task.position.step)].need();
            Some((record.workspace_name()?, need.processors_milli))
        };
        let Some((workspace, _)) = owner(&order.task) else {
            return Ok(());
        };
        let running = workers.iter().flat_map(|worker| &worker.running);
        let used: u64 = running
            .filter_map(|run| owner(&run.task))
            .filter(|(other, _)| *other == workspace)
            .map(|(_, need)| need)
            .sum();
        let since = self.known_since.get(&(order.task.clone(), order.number));
        let allowed = self.largest_since(workspace, since.copied().unwrap_or_default());
        if used > allowed {
            let task = &order.task;
            return Err(format!(
                "{workspace} uses {used} of {allowed} after the start of {task:?}"
            ));
        }
        Ok(())
    }

    /// Largest quota of a workspace that has been in force since a time.
    fn largest_since(&self, workspace: &str, since: Millis) -> u64 {
        let first = self.versions.partition_point(|(from, _)| *from <= since);
        let versions = &self.versions[first.saturating_sub(1)..];
        let index = (0..self.current().len()).find(|i| *self.workspace(*i).name == *workspace);
        let quotas = versions.iter().filter_map(|(_, quotas)| quotas.get(index?));
        quotas.copied().max().unwrap_or(0)
    }
}

impl TakeoverModel {
    pub(super) fn draw_quotas(&mut self) {
        let quotas = (0..self.conditions.workspace_count)
            .map(|_| self.draw_quota())
            .collect();
        self.quotas.versions.push((Millis::ZERO, quotas));
    }

    fn draw_quota(&mut self) -> u64 {
        QUOTAS_MILLI[self.rng.random_range(0..QUOTAS_MILLI.len())]
    }

    /// Raises or lowers a quota. Leaders that reach the store learn of it at once.
    pub(super) fn change_quota(&mut self) {
        let (count, chance) = (
            self.conditions.workspace_count,
            self.conditions.quota_changes_per_mille,
        );
        if count == 0 || !self.draw_chance(chance) {
            return;
        }
        let mut quotas = self.quotas.current().to_vec();
        let changed = self.rng.random_range(0..count);
        quotas[changed] = self.draw_quota();
        self.configure_quotas(quotas);
    }

    /// Raises all quotas once the faults have ended, so that all jobs finish in time.
    pub(super) fn raise_quotas(&mut self) {
        let largest = QUOTAS_MILLI[QUOTAS_MILLI.len() - 1];
        if self.quotas.current().iter().any(|quota| *quota < largest) {
            self.configure_quotas(vec![largest; self.conditions.workspace_count]);
        }
    }

    fn configure_quotas(&mut self, quotas: Vec<u64>) {
        self.quotas.versions.push((self.now, quotas));
        let workspaces = self.quotas.configured();
        for leader in self
            .leaders
            .iter_mut()
            .filter(|leader| leader.reaches_store)
        {
            leader.scheduler.configure(&FastMap::default(), &workspaces);
        }
    }

    /// Workspace of a new job, and the processors that each of its tasks needs.
    pub(super) fn draw_workspace(&mut self) -> (Option<Workspace>, u64) {
        let count = self.conditions.workspace_count;
        if count == 0 {
            return (None, TASK_MILLI);
        }
        let index = self.rng.random_range(0..count);
        let need = if self.draw_chance(200) {
            LARGE_TASK_MILLI
        } else {
            TASK_MILLI
        };
        (Some(self.quotas.workspace(index)), need)
    }
}
