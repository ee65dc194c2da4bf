//! Division of the room of a service among the workspaces with work for it.
//!
//! Dominant resource fairness by progressive filling: the shares of all workspaces grow in proportion to
//! their weights until a resource is used up, and a workspace whose demand is met stops growing, so that the
//! others borrow what it leaves. Demand is summed at intervals, since that reads all waiting steps. Use is
//! read from the run table, so that it includes what a placement pass has placed.

use super::Scheduler;
use super::hold::HeldWorkers;
use super::rate::SubmissionRates;
use super::view::PlacementView;
use super::worker::Worker;
use crate::placement::Resources;
use crate::prelude::*;

/// Weight of all jobs without a workspace together.
pub(super) const OPEN_WEIGHT_MILLI: u64 = 1_000;
/// Interval at which demand is summed. A workspace that comes in between is below its share until then.
const DEMAND_INTERVAL_MS: u64 = 50;
const WHOLE_PPM: f64 = 1_000_000.0;

/// State of the division that outlives a placement pass.
#[derive(Debug, Default)]
pub(super) struct Shares {
    pub rates: SubmissionRates,
    pub held: HeldWorkers,
    /// Limits of the last placement pass of each service.
    pub limits: SecondaryMap<ServiceKey, ShareLimits>,
}

/// Party among which the room of a service is divided; `None` stands for all jobs without a workspace.
pub(super) type Claimant = Option<WorkspaceKey>;

/// Largest dominant shares of a service up to which workspaces come before the others.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareLimits {
    /// Room for finite tasks.
    room: Resources,
    /// Empty if the room is enough for all.
    limits_ppm: FastMap<Claimant, u64>,
    /// Workspaces that were above their share when the pass began.
    exceeded: FastSet<Claimant>,
    /// When demand is to be summed again.
    valid_until: Millis,
}

impl ShareLimits {
    /// Whether some workspace gets less than it asks for.
    pub(super) fn is_contended(&self) -> bool {
        !self.limits_ppm.is_empty()
    }

    /// Share of a workspace; `None` if the room is enough for all.
    pub(super) fn limit_ppm(&self, claimant: Claimant) -> Option<u64> {
        self.limits_ppm.get(&claimant).copied()
    }

    /// Whether a workspace was above its share when the pass began.
    pub(super) fn was_exceeded(&self, claimant: Claimant) -> bool {
        self.exceeded.contains(&claimant)
    }

    /// Whether a workspace that uses this much is above its share. One that uses nothing never is.
    fn is_exceeded(&self, claimant: Claimant, used: Resources) -> bool {
        self.limits_ppm
            .get(&claimant)
            .is_some_and(|limit_ppm| used.dominant_share_ppm(self.room) > *limit_ppm)
    }
}

/// Weight and demand of a workspace, in shares of the room.
#[derive(Clone, Copy, Debug)]
struct Claim {
    claimant: Claimant,
    weight: f64,
    demand: [f64; 3],
    dominant: f64,
}

impl Claim {
    fn new(claimant: Claimant, weight_milli: u64, demand: Resources, room: Resources) -> Self {
        // A resource that the service lacks is not divided.
        let share = |part: u64, whole: u64| {
            if whole == 0 {
                0.0
            } else {
                part as f64 / whole as f64
            }
        };
        let demand = [
            share(demand.processors_milli, room.processors_milli),
            share(demand.memory_mb, room.memory_mb),
            share(demand.accelerators, room.accelerators),
        ];
        Self {
            claimant,
            weight: weight_milli.max(1) as f64,
            dominant: demand.into_iter().fold(0.0, f64::max),
            demand,
        }
    }

    /// Level at which the demand is met.
    fn full_level(&self) -> f64 {
        self.dominant / self.weight
    }
}

/// Share per weight at which a resource is used up; infinite if there is enough for all. `claims` are sorted
/// by the level at which their demand is met.
fn fill_level(claims: &[Claim]) -> f64 {
    let (mut met, mut growth) = ([0.0; 3], [0.0; 3]);
    for claim in claims.iter().filter(|claim| claim.dominant > 0.0) {
        for (growth, demand) in growth.iter_mut().zip(claim.demand) {
            *growth += demand / claim.full_level();
        }
    }
    for claim in claims.iter().filter(|claim| claim.dominant > 0.0) {
        let level = met
            .iter()
            .zip(growth)
            .filter(|(_, growth)| *growth > 0.0)
            .map(|(met, growth)| f64::max(1.0 - met, 0.0) / growth)
            .fold(f64::INFINITY, f64::min);
        if level < claim.full_level() {
            return level;
        }
        for ((met, growth), demand) in met.iter_mut().zip(&mut growth).zip(claim.demand) {
            *met += demand;
            *growth -= demand / claim.full_level();
        }
    }
    f64::INFINITY
}

impl Scheduler {
    /// Limits of a service for a placement pass.
    pub(super) fn take_share_limits(&mut self, service: ServiceKey, now: Millis) -> ShareLimits {
        let last = self.shares.limits.remove(service);
        let mut limits = last
            .filter(|limits| now < limits.valid_until)
            .unwrap_or_else(|| ShareLimits {
                valid_until: now.after_ms(DEMAND_INTERVAL_MS),
                ..self.view(now).share_limits(service)
            });
        let uses = self.runs.finite_uses(service);
        limits.exceeded = uses
            .filter(|(claimant, used)| limits.is_exceeded(*claimant, *used))
            .map(|(claimant, _)| claimant)
            .collect();
        limits
    }
}

impl PlacementView<'_> {
    /// Limits of all workspaces with work for a service.
    fn share_limits(&self, service: ServiceKey) -> ShareLimits {
        if self.workspaces.is_empty() {
            return ShareLimits::default();
        }
        let demands = self.finite_demands(service);
        if demands.len() < 2 {
            return ShareLimits::default();
        }
        let room = self.room_for_finite_tasks(service);
        let mut claims: Vec<Claim> = demands
            .into_iter()
            .map(|(claimant, demand)| {
                Claim::new(claimant, self.weight_milli(claimant), demand, room)
            })
            .collect();
        claims.sort_unstable_by(|a, b| a.full_level().total_cmp(&b.full_level()));
        let level = fill_level(&claims);
        if level.is_infinite() {
            return ShareLimits::default();
        }
        let limit = |claim: Claim| (claim.claimant, (level * claim.weight * WHOLE_PPM) as u64);
        ShareLimits {
            room,
            limits_ppm: claims.into_iter().map(limit).collect(),
            ..ShareLimits::default()
        }
    }

    /// Whether a workspace is above its share now, with what the pass has placed.
    pub(super) fn is_above_share(
        &self,
        limits: &ShareLimits,
        service: ServiceKey,
        claimant: Claimant,
    ) -> bool {
        limits.is_contended()
            && limits.is_exceeded(claimant, self.runs.finite_use(service, claimant))
    }

    pub(super) fn weight_milli(&self, claimant: Claimant) -> u64 {
        claimant
            .and_then(|key| self.workspaces.get(key))
            .map_or(OPEN_WEIGHT_MILLI, |workspace| workspace.weight_milli)
    }

    /// What the finite tasks of each workspace use and ask for, within its quota. Jobs beyond a workspace's
    /// rate ask for nothing: they take what is left.
    fn finite_demands(&self, service: ServiceKey) -> FastMap<Claimant, Resources> {
        let mut demands: FastMap<Claimant, Resources> = self.runs.finite_uses(service).collect();
        for (step, tasks) in self.services[service].ready.steps() {
            let Some(job) = self.job_table.jobs.get(step.job) else {
                continue;
            };
            let Some(spec) = job.step(step.step).filter(|spec| !spec.long_running) else {
                continue;
            };
            if !job.is_excess {
                let demand = demands.entry(job.workspace).or_default();
                *demand = demand.plus(spec.need().times(tasks.len() as u64));
            }
        }
        for (claimant, demand) in &mut demands {
            if let Some(workspace) = claimant.and_then(|key| self.workspaces.get(key)) {
                *demand = capped(*demand, workspace.quota);
            }
        }
        demands
    }

    /// Free room of the workers that take work, and what finite tasks use.
    pub(super) fn room_for_finite_tasks(&self, service: ServiceKey) -> Resources {
        let free = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|worker| worker.takes_work(self.now))
            .map(Worker::free);
        let used = self.runs.finite_uses(service).map(|(_, used)| used);
        free.chain(used).fold(Resources::default(), Resources::plus)
    }
}

/// The amount, at most the quota; 0 means no limit on that resource.
fn capped(amount: Resources, quota: Resources) -> Resources {
    let cap = |amount: u64, limit: u64| {
        if limit == 0 {
            amount
        } else {
            amount.min(limit)
        }
    };
    Resources {
        processors_milli: cap(amount.processors_milli, quota.processors_milli),
        memory_mb: cap(amount.memory_mb, quota.memory_mb),
        accelerators: cap(amount.accelerators, quota.accelerators),
    }
}
