//! When a rack is expected to have room, and how long the tasks of a step may wait for it.

use super::job_table::Job;
use super::locality::Locality;
use super::order::StepKey;
use super::rank::COMPLETION_DELAY_MS;
use super::room_times::RoomTimes;
use super::run::PlacedRun;
use super::view::PlacementView;
use super::worker::Worker;
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

impl PlacementView<'_> {
    /// Expected run time of a task of the step in its preferred rack.
    pub(super) fn expected_run_ms(step: &StepSpec) -> u64 {
        step.estimate_ms
    }

    /// Expected time until the end of a run; `None` if no end is to be expected. The only source of remaining
    /// run times in this module.
    pub(super) fn expected_remaining_ms(&self, run: &PlacedRun) -> Option<u64> {
        if run.is_stopping() {
            return Some(0);
        }
        let info = run.info();
        let step = self.job_table.step_of(info.task)?;
        if step.long_running {
            return None;
        }
        let since = run.confirmed_since().unwrap_or(info.sent_at);
        let age_ms = self.now.ms_since(since);
        let expected_ms = Self::expected_run_ms(step);
        // A run that is longer than declared may last as long again.
        Some(expected_ms.checked_sub(age_ms).unwrap_or(age_ms / 2))
    }

    /// Expected time until the rack has had room for one more task than `ahead`, for the needs of the step.
    /// Declared run times and the ends seen in the rack are weighed equally.
    pub(super) fn expected_wait_ms(
        &self,
        locality: &Locality,
        service: ServiceKey,
        rack: &Arc<str>,
        step: &StepSpec,
        ahead: u64,
    ) -> Option<u64> {
        let mut room_times = RoomTimes::new(step.need());
        for worker in self.rack_workers(service, rack) {
            if step
                .requirement
                .as_ref()
                .is_none_or(|label| worker.report.labels.contains(label))
            {
                room_times.add_worker(worker.free(), self.expected_ends(worker));
            }
        }
        let interval_ms = locality.freed_interval_ms(rack, step.need(), self.now);
        let from_ends_ms = interval_ms.map(|interval_ms| (interval_ms * (ahead + 1) as f64) as u64);
        match (room_times.after(ahead), from_ends_ms) {
            (Some(runs_ms), Some(ends_ms)) => Some(u64::midpoint(runs_ms, ends_ms)),
            (Some(runs_ms), None) => Some(runs_ms),
            // More tasks are ahead than runs are there, so the last run is waited for at least.
            (None, Some(ends_ms)) => Some(ends_ms.max(room_times.last()?)),
            (None, None) => None,
        }
    }

    /// Workers of a rack that take work now.
    fn rack_workers(&self, service: ServiceKey, rack: &Arc<str>) -> impl Iterator<Item = &Worker> {
        let keys = self.services.get(service).map(|service| &service.workers);
        keys.into_iter()
            .flatten()
            .filter_map(|key| self.workers.get(*key))
            .filter(move |worker| worker.rack() == Some(rack) && worker.takes_work(self.now))
    }

    /// Dominant share of a rack that a need takes.
    pub(super) fn share_of_rack(
        &self,
        service: ServiceKey,
        rack: &Arc<str>,
        need: Resources,
    ) -> f64 {
        let capacities = self
            .rack_workers(service, rack)
            .map(|worker| worker.report.capacity);
        let capacity = capacities.fold(Resources::default(), Resources::plus);
        need.dominant_share_ppm(capacity) as f64 / 1_000_000.0
    }

    /// Expected end of each run on a worker, and what it frees.
    fn expected_ends(&self, worker: &Worker) -> Vec<(u64, Resources)> {
        let runs = worker.runs().iter().filter_map(|run| self.runs.get(*run));
        runs.filter_map(|run| Some((self.expected_remaining_ms(run)?, run.info().need)))
            .collect()
    }

    /// Time for which a task of the step may wait before the wait makes its job miss the objective.
    pub(super) fn slack_ms(&self, step: StepKey, loss_ms: u64) -> Option<u64> {
        let job = self.job_table.jobs.get(step.job)?;
        let remaining_ms = job.remaining_paths_ms.get(usize::from(step.step))?;
        let deadline = job.received_at.after_ms(job.objective_ms);
        let slack_ms = |path_ms: u64| {
            let path_end = self.now.after_ms(path_ms).after_ms(COMPLETION_DELAY_MS);
            (path_end <= deadline).then(|| deadline.ms_since(path_end))
        };
        // Elsewhere it must still be on time if the wait fails; otherwise only the rack can make it so.
        slack_ms(remaining_ms.saturating_add(loss_ms)).or_else(|| slack_ms(*remaining_ms))
    }

    /// Whether no unfinished step of the job has a longer path to the end of the job.
    pub(super) fn is_on_critical_path(&self, step: StepKey) -> bool {
        let job = self.job_table.jobs.get(step.job);
        job.is_some_and(|job| {
            let path_ms = job.remaining_paths_ms.get(usize::from(step.step));
            path_ms >= longest_path_ms(job).as_ref()
        })
    }

    /// Whether tasks of other steps wait for a worker in the rack.
    pub(super) fn is_wanted_by_others(
        &self,
        service: ServiceKey,
        rack: &str,
        step: StepKey,
    ) -> bool {
        let mut steps = self
            .services
            .get(service)
            .into_iter()
            .flat_map(|service| service.ready.steps());
        steps.any(|(other, _)| {
            let job = self.job_table.jobs.get(other.job);
            let affinity = job.and_then(|job| job.step(other.step)?.affinity.as_deref());
            other != step && affinity == Some(rack)
        })
    }
}

fn longest_path_ms(job: &Job) -> Option<u64> {
    let paths = job.remaining_paths_ms.iter().zip(&job.unfinished_by_step);
    paths
        .filter(|(_, unfinished)| **unfinished > 0)
        .map(|(path_ms, _)| *path_ms)
        .max()
}
