//! Expected waits of new jobs under overload, and the admission that follows from them.
//!
//! The leader publishes the pressure; every daemon decides by it when a job arrives. Load pattern: a
//! queue asks for more than all instances that its pool can get for longer than the results are useful.
//! A job that is expected neither to end on time nor while its result is useful is refused at once, so
//! that its caller knows, and does not take room from others later.

use serde::{Deserialize, Serialize};

use super::Scheduler;
use super::job_table::{USEFUL_LATENCY_FACTOR, work_ms};
use crate::job::{JobRecord, JobSpec};
use crate::placement::Resources;
use crate::prelude::*;

/// Number of job sizes for which the wait of a service is published.
const SIZES: usize = 8;
/// Waiting steps of a service up to which it is under no pressure.
const WAITING_STEPS_MIN: usize = 32;
/// Share of a pool that tasks can use, in percent.
const USABLE_PERCENT: u64 = 85;
/// Shortest and longest time after which a refused caller is asked to return.
const RETRY_AFTER_MIN_MS: u64 = 1_000;
const RETRY_AFTER_MAX_MS: u64 = 8_000;

/// Expected wait of jobs of one size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SizeWait {
    /// Work of the job, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Time in which the smaller jobs that can still be on time are done; they come first.
    pub on_time_wait_ms: u64,
    /// Time in which all smaller jobs that wait already are done.
    pub wait_ms: u64,
}

/// Pressure on one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicePressure {
    /// The service.
    pub service: Arc<str>,
    /// Capacity of the largest worker, the unit of work.
    pub worker: Resources,
    /// Expected waits, by ascending size.
    pub waits: Vec<SizeWait>,
}

/// Pressure on the services that have more waiting work than they can start soon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    /// The services under pressure.
    pub services: Vec<ServicePressure>,
}

/// Decision about a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job may be stored.
    Accept,
    /// The job would be useless when it could run; it may be tried again after this time.
    Refuse {
        /// Time until another try may be accepted.
        retry_after_ms: u64,
        /// Expected time until the job could end.
        expected_ms: u64,
    },
}

impl Pressure {
    /// Decides about a new job. Only work that ends is refused: a long-running job or a later occurrence
    /// is worth as much after the overload.
    #[must_use]
    pub fn admit(&self, id: &str, record: &JobRecord) -> Admission {
        let spec = &record.spec;
        let is_finite = spec.repeat.is_none() && spec.steps.iter().all(|step| !step.long_running);
        let service = self
            .services
            .iter()
            .find(|pressure| pressure.service == record.policy.service);
        let Some(pressure) = service.filter(|_| is_finite) else {
            return Admission::Accept;
        };
        let work = spec_work_ms(spec, pressure.worker);
        let smaller = pressure
            .waits
            .iter()
            .rev()
            .find(|size| size.work_ms <= work);
        let Some(smaller) = smaller else {
            return Admission::Accept;
        };
        let path_ms = spec.critical_path_ms();
        let objective_ms = record.objective_ms();
        let useful_ms = objective_ms * USEFUL_LATENCY_FACTOR;
        let expected_ms = smaller.wait_ms + path_ms;
        if smaller.on_time_wait_ms + path_ms <= objective_ms || expected_ms <= useful_ms {
            return Admission::Accept;
        }
        let excess_ms = (expected_ms - useful_ms).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        Admission::Refuse {
            retry_after_ms: excess_ms + spread_ms(id, excess_ms / 2),
            expected_ms,
        }
    }
}

/// Spreads the return of callers that were refused together, by the ids of their jobs.
fn spread_ms(id: &str, range_ms: u64) -> u64 {
    let hash = id.bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    hash % range_ms.max(1)
}

fn spec_work_ms(spec: &JobSpec, worker: Resources) -> u64 {
    let steps = spec.steps.iter();
    work_ms(steps.map(|step| (step, u64::from(step.count))), worker)
}

impl Scheduler {
    /// The current pressure on all services.
    #[must_use]
    pub fn pressure(&self, now: Millis) -> Pressure {
        let worker = self.largest_capacity();
        let under_pressure = self
            .services
            .iter()
            .filter(|(_, service)| service.ready.step_count() >= WAITING_STEPS_MIN);
        let services = under_pressure.map(|(key, service)| ServicePressure {
            service: Arc::clone(&service.name),
            worker,
            waits: self.waits(key, worker, now),
        });
        Pressure {
            services: services.collect(),
        }
    }

    fn waits(&self, service: ServiceKey, worker: Resources, now: Millis) -> Vec<SizeWait> {
        let workers_milli = self.workers_for_finite_tasks_milli(service, worker).max(1);
        let mut jobs: FastMap<JobKey, bool> = FastMap::default();
        for (step, _) in self.services[service].ready.steps() {
            let Some(job) = self.job_table.jobs.get(step.job) else {
                continue;
            };
            if !job.long_running() && job.is_useful(now) {
                *jobs.entry(step.job).or_default() |= self.view(now).is_on_time(step);
            }
        }
        let mut sizes: Vec<(u64, bool)> = jobs
            .into_iter()
            .map(|(job, on_time)| (self.job_table.remaining_work(job, worker), on_time))
            .collect();
        sizes.sort_unstable();
        let interval = sizes.len().div_ceil(SIZES).max(1);
        let (mut on_time_ms, mut all_ms) = (0, 0);
        let mut waits = Vec::with_capacity(SIZES);
        for (index, (size, on_time)) in sizes.iter().enumerate() {
            all_ms += size;
            on_time_ms += if *on_time { *size } else { 0 };
            if (index + 1) % interval == 0 || index + 1 == sizes.len() {
                waits.push(SizeWait {
                    work_ms: *size,
                    on_time_wait_ms: on_time_ms * 1_000 / workers_milli,
                    wait_ms: all_ms * 1_000 / workers_milli,
                });
            }
        }
        waits
    }

    /// Workers that the service can use for finite tasks once it has all instances that the other
    /// services do not need, in thousandths.
    fn workers_for_finite_tasks_milli(&self, service: ServiceKey, worker: Resources) -> u64 {
        let usable = self.reachable_workers(service) as u64 * 10 * USABLE_PERCENT;
        let long_running = self.long_running_demand(service).dominant_share_ppm(worker) / 1_000;
        usable.saturating_sub(long_running)
    }
}
