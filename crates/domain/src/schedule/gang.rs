//! Plans the workers of a gang: on one rack if its step asks for that, otherwise wherever there is room.
//!
//! Nothing is reserved for a gang that waits for a rack, so that it never keeps others from starting. The wait is
//! bounded like that of a single task, and the gang is then spread.

use super::Scheduler;
use super::choice::packing_cost_ppm;
use super::locality::{Comparison, Locality};
use super::view::PlacementView;
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

/// Worker of each member, and the room that the member takes there.
pub(super) type GangPlan = Vec<(WorkerKey, Resources)>;

/// What happens to a gang in a placement pass.
#[derive(Debug)]
pub(super) enum GangDecision {
    Start(GangPlan),
    /// It waits for a rack although it has room elsewhere.
    Wait,
    NoRoom,
}

impl Scheduler {
    /// Plans a gang on one rack, spread, or not at all.
    pub(super) fn plan_gang(
        &mut self,
        members: &[TaskKey],
        service: ServiceKey,
        held: &[(WorkerKey, Resources)],
        now: Millis,
    ) -> GangDecision {
        let view = self.view(now);
        let first = members.first().copied();
        let spread = |view: PlacementView<'_>| {
            view.plan_members(members, held, |member, planned| {
                view.best_worker(member, service, planned)
            })
        };
        let Some((first, step)) = first.and_then(|key| Some((key, self.job_table.step_of(key)?)))
        else {
            return GangDecision::NoRoom;
        };
        let is_advised = self.job_table.advice_of(first).is_some();
        if !self.locality.is_on() || !step.same_rack || is_advised {
            return spread(view).map_or(GangDecision::NoRoom, GangDecision::Start);
        }
        if let Some(plan) = view.plan_on_one_rack(members, service, held, step) {
            self.locality.started(first, true);
            return GangDecision::Start(plan);
        }
        let Some(plan) = spread(view) else {
            return GangDecision::NoRoom;
        };
        let loss_ms = self.locality.loss_ms(PlacementView::expected_run_ms(step));
        let soonest = view.soonest_rack(&self.locality, members.len(), service, step);
        let step_key = self.job_table.step_key(first);
        let slack_ms = step_key.and_then(|step| view.slack_ms(step, loss_ms));
        let may_wait =
            !step.long_running && step_key.is_some_and(|step| view.is_on_critical_path(step));
        let Some((rack, wait_ms)) = soonest.filter(|_| may_wait) else {
            self.locality.started(first, false);
            return GangDecision::Start(plan);
        };
        let comparison = Comparison {
            wait_ms: Some(wait_ms),
            loss_ms,
            // A gang prefers no rack in particular.
            load_percent: 0,
            slack_ms,
        };
        if self.wait_or_start(first, &rack, members.len() as u64, comparison, now) {
            GangDecision::Wait
        } else {
            GangDecision::Start(plan)
        }
    }
}

impl PlacementView<'_> {
    /// Chooses a worker for each member, beside room that is held for others.
    fn plan_members(
        &self,
        members: &[TaskKey],
        held: &[(WorkerKey, Resources)],
        choose: impl Fn(TaskKey, &GangPlan) -> Option<WorkerKey>,
    ) -> Option<GangPlan> {
        let mut planned = held.to_vec();
        for member in members {
            let worker = choose(*member, &planned)?;
            let need = self.job_table.step_of(*member).map(StepSpec::need);
            planned.push((worker, need.unwrap_or_default()));
        }
        Some(planned.split_off(held.len()))
    }

    /// Plans all members on the rack that has the least free room among those with room for all.
    fn plan_on_one_rack(
        &self,
        members: &[TaskKey],
        service: ServiceKey,
        held: &[(WorkerKey, Resources)],
        step: &StepSpec,
    ) -> Option<GangPlan> {
        let need = step.need().times(members.len() as u64);
        let mut racks: Vec<(u64, Arc<str>)> = self
            .racks(service)
            .into_iter()
            .filter(|(_, (free, _))| need.fits(*free))
            .map(|(rack, (free, capacity))| (free.dominant_share_ppm(capacity), rack))
            .collect();
        racks.sort_unstable();
        racks.into_iter().find_map(|(_, rack)| {
            self.plan_members(members, held, |member, planned| {
                self.best_worker_in_rack(member, service, planned, &rack)
            })
        })
    }

    fn best_worker_in_rack(
        &self,
        key: TaskKey,
        service: ServiceKey,
        planned: &GangPlan,
        rack: &Arc<str>,
    ) -> Option<WorkerKey> {
        let task = self.job_table.tasks.get(key)?;
        let step = self.job_table.step_of(key)?;
        self.fitting_workers(key, service, planned)
            .filter(|worker| self.workers[*worker].rack() == Some(rack))
            .filter(|worker| !task.is_isolated() || !self.workers[*worker].has_suspects(self.now))
            .min_by_key(|key| {
                let worker = &self.workers[*key];
                let is_avoided = task.avoid_worker == Some(*key);
                let cost = packing_cost_ppm(step, worker);
                (
                    worker.exposure(task, self.now),
                    is_avoided,
                    cost,
                    Arc::clone(&worker.report.id),
                )
            })
    }

    /// Free room and capacity of the workers that take work, by rack.
    fn racks(&self, service: ServiceKey) -> FastMap<Arc<str>, (Resources, Resources)> {
        let mut racks: FastMap<Arc<str>, (Resources, Resources)> = FastMap::default();
        let workers = self
            .services
            .get(service)
            .into_iter()
            .flat_map(|service| &service.workers);
        for worker in workers.filter_map(|key| self.workers.get(*key)) {
            if let Some(rack) = worker.rack()
                && worker.takes_work(self.now)
            {
                let (free, capacity) = racks.entry(Arc::clone(rack)).or_default();
                *free = free.plus(worker.free());
                *capacity = capacity.plus(worker.report.capacity);
            }
        }
        racks
    }

    /// The rack that is expected to have room for all members first, and when.
    fn soonest_rack(
        &self,
        locality: &Locality,
        member_count: usize,
        service: ServiceKey,
        step: &StepSpec,
    ) -> Option<(Arc<str>, u64)> {
        let need = step.need().times(member_count as u64);
        let racks = self.racks(service).into_iter();
        racks
            .filter(|(_, (_, capacity))| need.fits(*capacity))
            .filter_map(|(rack, _)| {
                let ahead = locality.claims(&rack) + (member_count as u64).saturating_sub(1);
                let wait_ms = self.expected_wait_ms(locality, service, &rack, step, ahead)?;
                Some((wait_ms, rack))
            })
            .min()
            .map(|(wait_ms, rack)| (rack, wait_ms))
    }
}
