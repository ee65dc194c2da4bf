//! Quotas: what the tasks of a workspace may use at the same time on all workers.
//!
//! The use of a workspace is the sum of the needs of all its runs in the run table, and of the runs that may
//! exist although no entry of the table stands for them: starts without an answer that the next incarnation
//! of a worker may carry out, and runs of the former leader on workers that have not been heard yet.

use super::Scheduler;
use super::job_table::{Job, Task, TaskStatus};
use super::order::StepKey;
use super::view::PlacementView;
use crate::job::JobState;
use crate::placement::Resources;
use crate::prelude::*;
use crate::workspace::Workspace;

/// Interval at which the bound on the runs of the former leader is renewed without a known change. It may only be
/// too high meanwhile: tasks leave the recovery one by one, and a pass over all tasks for each would be costly.
const RECOVERY_BOUND_INTERVAL_MS: u64 = 100;

/// Use of workspaces by runs that may exist although no entry of the run table stands for them.
#[derive(Debug, Default)]
pub(super) struct UnseenUse {
    late_starts: SecondaryMap<WorkspaceKey, Resources>,
    former_leader: SecondaryMap<WorkspaceKey, Resources>,
    /// Jobs of the former leader that have ended and may still have runs that it did not see end.
    ended_jobs: FastSet<JobKey>,
    /// When the bound on the runs of the former leader is next renewed.
    renew_at: Millis,
}

impl UnseenUse {
    fn of(&self, workspace: WorkspaceKey) -> Resources {
        let amount = |map: &SecondaryMap<_, _>| map.get(workspace).copied().unwrap_or_default();
        amount(&self.late_starts).plus(amount(&self.former_leader))
    }

    /// Requests that the bound on the runs of the former leader is renewed before the next placement pass.
    pub(super) const fn request_renewal(&mut self) {
        self.renew_at = Millis::ZERO;
    }

    /// Counts the runs of a job that has ended, as long as the former leader may have any on workers that have
    /// not been heard.
    pub(super) fn add_ended_job(&mut self, job: JobKey) {
        self.ended_jobs.insert(job);
        self.request_renewal();
    }
}

/// Use of a workspace, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceUse {
    /// The workspace.
    pub name: Arc<str>,
    /// Sum of the needs of everything that it may have running.
    pub used: Resources,
    /// Its quota; 0 means no limit on that resource.
    pub quota: Resources,
    /// Its ready tasks, in all services.
    pub tasks_waiting: u64,
    /// How many of them its quota holds back: they could not start even with room on the workers.
    pub tasks_held: u64,
}

impl PlacementView<'_> {
    /// Whether the quota of the step's workspace allows another task of the step, or the whole gang. Cheap: it
    /// looks up sums and passes over no tasks.
    pub(super) fn has_quota(&self, step: StepKey) -> bool {
        let Some((workspace, used)) = self.quota_use(step) else {
            return true;
        };
        let spec = self
            .job_table
            .jobs
            .get(step.job)
            .and_then(|job| job.step(step.step));
        spec.is_none_or(|spec| workspace.permits(used.plus(spec.need_at_once())))
    }

    /// The workspace of a step and what it may be using.
    fn quota_use(&self, step: StepKey) -> Option<(&Workspace, Resources)> {
        let key = self.job_table.jobs.get(step.job)?.workspace?;
        Some((self.workspaces.get(key)?, self.used_by(key)))
    }

    /// Sum of the needs of everything that a workspace may have running.
    pub(super) fn used_by(&self, workspace: WorkspaceKey) -> Resources {
        self.runs
            .used_by(workspace)
            .plus(self.unseen_use.of(workspace))
    }
}

/// What is left of the quotas, while waiting tasks are counted for which instances are asked.
#[derive(Debug)]
pub(super) struct QuotaBudget<'a> {
    view: PlacementView<'a>,
    granted: SecondaryMap<WorkspaceKey, Resources>,
}

impl<'a> QuotaBudget<'a> {
    pub(super) fn new(view: PlacementView<'a>) -> Self {
        Self {
            view,
            granted: SecondaryMap::new(),
        }
    }

    /// How many of the waiting tasks of a step the quota of its workspace allows, beside those granted before.
    /// A gang is granted as a whole.
    pub(super) fn grant(&mut self, step: StepKey, waiting: u64) -> u64 {
        let job = self.view.job_table.jobs.get(step.job);
        let Some(spec) = job.and_then(|job| job.step(step.step)) else {
            return 0;
        };
        let Some((key, (workspace, used))) = job
            .and_then(|job| job.workspace)
            .zip(self.view.quota_use(step))
        else {
            return waiting;
        };
        let granted = self.granted.get(key).copied().unwrap_or_default();
        let allowed = workspace.count_within(used.plus(granted), spec.need(), waiting);
        let allowed = if spec.gang && allowed < waiting {
            0
        } else {
            allowed
        };
        self.granted
            .insert(key, granted.plus(spec.need().times(allowed)));
        allowed
    }
}

impl Scheduler {
    /// Use of each workspace with runs or ready tasks, by name. As many entries as workspaces are known.
    #[must_use]
    pub fn workspace_uses(&self, now: Millis) -> Vec<WorkspaceUse> {
        let view = self.view(now);
        let mut waiting: SecondaryMap<WorkspaceKey, (u64, u64)> = SecondaryMap::new();
        let mut budget = QuotaBudget::new(view);
        for (step, tasks) in self
            .services
            .values()
            .flat_map(|service| service.ready.steps())
        {
            let job = self.job_table.jobs.get(step.job);
            let Some(workspace) = job.and_then(|job| job.workspace) else {
                continue;
            };
            let ready = tasks.iter().filter(|task| self.job_table.is_ready(**task));
            let ready = ready.count() as u64;
            let held = ready - budget.grant(step, ready);
            let (all, all_held) = waiting.get(workspace).copied().unwrap_or_default();
            waiting.insert(workspace, (all + ready, all_held + held));
        }
        let mut uses: Vec<WorkspaceUse> = self
            .workspaces
            .iter()
            .map(|(key, workspace)| {
                let (tasks_waiting, tasks_held) = waiting.get(key).copied().unwrap_or_default();
                WorkspaceUse {
                    name: Arc::clone(&workspace.name),
                    used: view.used_by(key),
                    quota: workspace.quota,
                    tasks_waiting,
                    tasks_held,
                }
            })
            .filter(|entry| entry.tasks_waiting > 0 || entry.used != Resources::default())
            .collect();
        uses.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        uses
    }

    /// Renews the sums of the use that no run stands for.
    pub(super) fn renew_unseen_use(&mut self, now: Millis) {
        if self.workspaces.is_empty() {
            return;
        }
        let mut late_starts = std::mem::take(&mut self.unseen_use.late_starts);
        late_starts.clear();
        for (workspace, need) in self.late_start_needs(now) {
            add(&mut late_starts, workspace, need);
        }
        self.unseen_use.late_starts = late_starts;
        if !self.is_recovering() {
            self.unseen_use.former_leader.clear();
            self.unseen_use.ended_jobs.clear();
        } else if self.unseen_use.renew_at <= now {
            self.unseen_use.renew_at = now.after_ms(RECOVERY_BOUND_INTERVAL_MS);
            self.unseen_use.former_leader = self.former_leader_use();
        }
    }

    /// Upper bound of what the former leader may have running on workers that have not been heard: the needs of
    /// the tasks that it may have started, up to the capacity of these workers.
    fn former_leader_use(&self) -> SecondaryMap<WorkspaceKey, Resources> {
        let mut needs = SecondaryMap::new();
        for task in self.job_table.tasks.values() {
            if task.status == TaskStatus::AwaitingRecovery {
                self.add_need(&mut needs, task);
            }
        }
        self.add_needs_of_ended_jobs(&mut needs);
        if let Some(capacity) = self.awaited_capacity() {
            for need in needs.values_mut() {
                *need = need.min(capacity);
            }
        }
        needs
    }

    fn add_need(&self, needs: &mut SecondaryMap<WorkspaceKey, Resources>, task: &Task) {
        let job = self.job_table.jobs.get(task.job);
        if let Some(job) = job
            && let (Some(workspace), Some(step)) = (job.workspace, job.step(task.position.step))
        {
            add(needs, workspace, step.need());
        }
    }

    /// Adds the needs of tasks of ended jobs that may still run on workers that have not been heard. A run that
    /// a worker has listed is in the run table.
    fn add_needs_of_ended_jobs(&self, needs: &mut SecondaryMap<WorkspaceKey, Resources>) {
        if self.unseen_use.ended_jobs.is_empty() {
            return;
        }
        let found: FastSet<TaskKey> = self.runs.iter().map(|(_, run)| run.info().task).collect();
        for key in &self.unseen_use.ended_jobs {
            let Some(job) = self.job_table.jobs.get(*key) else {
                continue;
            };
            for key in job.occurrences.iter().flatten().flatten() {
                if let Some(task) = self.job_table.tasks.get(*key)
                    && !task.done
                    && !found.contains(key)
                {
                    self.add_need(needs, task);
                }
            }
            if let Some(workspace) = job.workspace
                && job.occurrences.is_empty()
            {
                add(needs, workspace, whole_need(job));
            }
        }
    }

    /// Records that a job of the former leader has ended, also before the term. Its runs may go on until their
    /// leases expire, and count until then.
    pub(super) fn record_ended_job(&mut self, key: JobKey) {
        let job = self.job_table.jobs.get(key);
        let may_run = job.is_some_and(|job| {
            job.workspace.is_some()
                && job.accepted_before_term
                && job.state.is_final()
                && job.state != JobState::Completed
        });
        if may_run && self.is_recovering() {
            self.unseen_use.add_ended_job(key);
        }
    }
}

fn add(sums: &mut SecondaryMap<WorkspaceKey, Resources>, key: WorkspaceKey, need: Resources) {
    let sum = sums.get(key).copied().unwrap_or_default();
    sums.insert(key, sum.plus(need));
}

/// Needs of all tasks of a job at once.
fn whole_need(job: &Job) -> Resources {
    let steps = job.record.spec.steps.iter();
    steps
        .map(|step| step.need().times(u64::from(step.count)))
        .fold(Resources::default(), Resources::plus)
}
