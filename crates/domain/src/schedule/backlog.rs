//! Waiting work of services and workspaces, from which the published pressure follows.

use super::Scheduler;
use super::pressure::{Pressure, ServicePressure, SizeWait, WorkspacePressure};
use super::share::Claimant;
use crate::placement::Resources;
use crate::prelude::*;

/// Number of job sizes for which the wait of a service is published.
const SIZES: usize = 8;
/// Waiting steps of a service up to which it is under no pressure, unless a workspace exceeds its rate.
const WAITING_STEPS_MIN: usize = 32;
/// Workspaces of a service whose backlogs are published; all daemons read the record.
const WORKSPACES_MAX: usize = 64;
/// Share of a pool that tasks can use, in percent.
const USABLE_PERCENT: u64 = 85;

/// Waiting finite job whose result is still useful.
#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    claimant: Claimant,
    work_ms: u64,
    is_on_time: bool,
    is_excess: bool,
}

impl Scheduler {
    /// The current pressure on all services.
    #[must_use]
    pub fn pressure(&self, now: Millis) -> Pressure {
        let worker = self.largest_capacity();
        let under_pressure = self.services.iter().filter(|(_, service)| {
            service.ready.step_count() >= WAITING_STEPS_MIN || self.has_excess(service)
        });
        let services = under_pressure.map(|(key, _)| self.service_pressure(key, worker, now));
        Pressure {
            services: services.collect(),
        }
    }

    /// Whether a job waits that its workspace has submitted beyond its rate.
    fn has_excess(&self, service: &super::Service) -> bool {
        !self.workspaces.is_empty()
            && service.ready.steps().any(|(step, _)| {
                let job = self.job_table.jobs.get(step.job);
                job.is_some_and(|job| job.is_excess)
            })
    }

    fn service_pressure(
        &self,
        service: ServiceKey,
        worker: Resources,
        now: Millis,
    ) -> ServicePressure {
        let workers_milli = self.workers_for_finite_tasks_milli(service, worker).max(1);
        let jobs = self.waiting_jobs(service, worker, now);
        let total_ms = if self.workspaces.is_empty() {
            0
        } else {
            let works = jobs.iter().map(|job| job.work_ms);
            works.fold(0, u64::saturating_add)
        };
        ServicePressure {
            service: Arc::clone(&self.services[service].name),
            worker,
            waits: waits(&jobs, workers_milli),
            total_wait_ms: wait_ms(total_ms, workers_milli),
            workspaces: self.workspace_pressures(service, &jobs, workers_milli, now),
        }
    }

    fn waiting_jobs(&self, service: ServiceKey, worker: Resources, now: Millis) -> Vec<WaitingJob> {
        let view = self.view(now);
        let mut on_time: FastMap<JobKey, bool> = FastMap::default();
        for (step, _) in self.services[service].ready.steps() {
            let Some(job) = self.job_table.jobs.get(step.job) else {
                continue;
            };
            if !job.long_running() && job.is_useful(now) {
                *on_time.entry(step.job).or_default() |= view.is_on_time(step);
            }
        }
        let jobs = on_time.into_iter().filter_map(|(key, is_on_time)| {
            let job = self.job_table.jobs.get(key)?;
            Some(WaitingJob {
                claimant: job.workspace,
                work_ms: self.job_table.remaining_work(key, worker),
                is_on_time,
                is_excess: job.is_excess,
            })
        });
        jobs.collect()
    }

    /// Pressure on the workspaces with the largest backlogs.
    fn workspace_pressures(
        &self,
        service: ServiceKey,
        jobs: &[WaitingJob],
        workers_milli: u64,
        now: Millis,
    ) -> Vec<WorkspacePressure> {
        if self.workspaces.is_empty() {
            return Vec::new();
        }
        let view = self.view(now);
        // Work within the rate, and all work.
        let mut backlogs: FastMap<Claimant, (u64, u64)> = FastMap::default();
        for (claimant, _) in self.runs.finite_uses(service) {
            backlogs.entry(claimant).or_default();
        }
        for job in jobs {
            let (within_ms, all_ms) = backlogs.entry(job.claimant).or_default();
            let within_rate_ms = if job.is_excess { 0 } else { job.work_ms };
            *within_ms = within_ms.saturating_add(within_rate_ms);
            *all_ms = all_ms.saturating_add(job.work_ms);
        }
        let weights = backlogs.keys().map(|claimant| view.weight_milli(*claimant));
        let weight_sum_milli = weights.sum::<u64>().max(1);
        let mut pressures: Vec<WorkspacePressure> = backlogs
            .into_iter()
            .filter_map(|(claimant, (within_ms, all_ms))| {
                let key = claimant?;
                let workspace = self.workspaces.get(key)?;
                let weight_milli = workspace.weight_milli;
                let share_milli = (workers_milli * weight_milli / weight_sum_milli).max(1);
                Some(WorkspacePressure {
                    workspace: Arc::clone(&workspace.name),
                    wait_ms: wait_ms(within_ms, share_milli),
                    total_wait_ms: wait_ms(all_ms, share_milli),
                    is_beyond_rate: self.shares.rates.is_exhausted(key, weight_milli, now),
                })
            })
            .collect();
        pressures.sort_unstable_by(|a, b| {
            let rank = |own: &WorkspacePressure| std::cmp::Reverse(own.total_wait_ms);
            (rank(a), &a.workspace).cmp(&(rank(b), &b.workspace))
        });
        pressures.truncate(WORKSPACES_MAX);
        pressures
    }

    /// Workers that the service can use for finite tasks once it has all instances that the other
    /// services do not need, in thousandths.
    fn workers_for_finite_tasks_milli(&self, service: ServiceKey, worker: Resources) -> u64 {
        let usable = self.reachable_workers(service) as u64 * 10 * USABLE_PERCENT;
        let long_running = self.long_running_demand(service).dominant_share_ppm(worker) / 1_000;
        usable.saturating_sub(long_running)
    }
}

/// Time in which this many thousandths of workers do the work.
const fn wait_ms(work_ms: u64, workers_milli: u64) -> u64 {
    work_ms.saturating_mul(1_000) / workers_milli
}

/// Expected waits by size. Jobs beyond the rates come after all others, so that nobody waits for them.
fn waits(jobs: &[WaitingJob], workers_milli: u64) -> Vec<SizeWait> {
    let within_rate = jobs.iter().filter(|job| !job.is_excess);
    let mut sizes: Vec<(u64, bool)> = within_rate
        .map(|job| (job.work_ms, job.is_on_time))
        .collect();
    sizes.sort_unstable();
    let interval = sizes.len().div_ceil(SIZES).max(1);
    let (mut on_time_ms, mut all_ms) = (0_u64, 0_u64);
    let mut waits = Vec::with_capacity(SIZES);
    for (index, (size, on_time)) in sizes.iter().enumerate() {
        all_ms = all_ms.saturating_add(*size);
        on_time_ms = on_time_ms.saturating_add(if *on_time { *size } else { 0 });
        if (index + 1) % interval == 0 || index + 1 == sizes.len() {
            waits.push(SizeWait {
                work_ms: *size,
                on_time_wait_ms: wait_ms(on_time_ms, workers_milli),
                wait_ms: wait_ms(all_ms, workers_milli),
            });
        }
    }
    waits
}
