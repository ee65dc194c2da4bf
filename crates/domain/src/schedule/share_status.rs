//! Use, shares and waiting tasks of the workspaces, for the leader's status.

use super::Scheduler;
use super::share::Claimant;
use crate::prelude::*;

/// Waiting finite tasks by band, in the order in which they get workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingBands {
    /// Tasks that can meet the objectives of their jobs.
    pub on_time: usize,
    /// Tasks that cannot, but whose results are useful.
    pub late: usize,
    /// Tasks whose results are no longer useful.
    pub overdue: usize,
    /// Tasks of jobs beyond the rate of the workspace.
    pub excess: usize,
}

impl WaitingBands {
    /// All waiting tasks.
    #[must_use]
    pub const fn total(self) -> usize {
        self.on_time + self.late + self.overdue + self.excess
    }
}

/// A workspace on a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareStatus {
    /// The service.
    pub service: Arc<str>,
    /// The workspace.
    pub workspace: Arc<str>,
    /// Dominant share of the service's room that its finite tasks use.
    pub used_ppm: u64,
    /// Its share; `None` while there is room for all.
    pub share_ppm: Option<u64>,
    /// Its waiting tasks.
    pub waiting: WaitingBands,
}

impl Scheduler {
    /// State of all workspaces with finite tasks, by service; those with the most waiting tasks first.
    #[must_use]
    pub fn share_statuses(&self, now: Millis) -> Vec<ShareStatus> {
        if self.workspaces.is_empty() {
            return Vec::new();
        }
        let mut statuses: Vec<ShareStatus> = self
            .services
            .keys()
            .flat_map(|service| self.share_statuses_of(service, now))
            .collect();
        statuses.sort_unstable_by(|a, b| {
            let rank = |status: &ShareStatus| std::cmp::Reverse(status.waiting.total());
            (&a.service, rank(a), &a.workspace).cmp(&(&b.service, rank(b), &b.workspace))
        });
        statuses
    }

    fn share_statuses_of(&self, service: ServiceKey, now: Millis) -> Vec<ShareStatus> {
        let view = self.view(now);
        let room = view.room_for_finite_tasks(service);
        let limits = self.shares.limits.get(service);
        let mut bands: FastMap<Claimant, WaitingBands> = FastMap::default();
        for (claimant, _) in self.runs.finite_uses(service) {
            bands.entry(claimant).or_default();
        }
        for (step, tasks) in self.services[service].ready.steps() {
            if let Some(job) = self.job_table.jobs.get(step.job) {
                view.count_waiting(step, tasks.len(), bands.entry(job.workspace).or_default());
            }
        }
        let statuses = bands.into_iter().filter_map(|(claimant, waiting)| {
            let used = self.runs.finite_use(service, claimant);
            Some(ShareStatus {
                service: Arc::clone(&self.services[service].name),
                workspace: Arc::clone(&self.workspaces.get(claimant?)?.name),
                used_ppm: used.dominant_share_ppm(room),
                share_ppm: limits.and_then(|limits| limits.limit_ppm(claimant)),
                waiting,
            })
        });
        statuses.collect()
    }
}
