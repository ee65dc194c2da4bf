//! Moves between pools: how many instances a pool needs, and where they come from.

use super::{Duty, FILL_PERCENT, IDLE_MS, Machine, Purpose};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;
use crate::schedule::Scheduler;
use crate::schedule::book::TaskStatus;
use crate::schedule::order::MachineState;

impl Scheduler {
    pub(super) fn is_spare(&self, machine: &Machine) -> bool {
        let pool = self.services_by_name.get(&machine.report.pool);
        pool.is_some_and(|pool| self.fleet.spare.contains(pool))
    }

    /// Moves instances to pools that need them, and idle ones to the spare pool.
    pub(super) fn plan_moves(&mut self, now: Millis) {
        let pools: Vec<ServiceKey> = self
            .services
            .keys()
            .filter(|key| !self.fleet.spare.contains(key))
            .collect();
        let needs: Vec<(ServiceKey, usize, usize)> = pools
            .into_iter()
            .map(|pool| {
                (
                    pool,
                    self.machines_needed(pool, now),
                    self.machines_of(pool, now),
                )
            })
            .collect();
        let can_give: FastSet<ServiceKey> = needs
            .iter()
            .filter(|(_, needed, there)| there > needed)
            .map(|(pool, ..)| *pool)
            .collect();
        for (pool, needed, there) in &needs {
            for _ in *there..*needed {
                let Some(key) = self.free_machine(&can_give, now) else {
                    break;
                };
                self.order_machine(key, Purpose::Move(*pool), now);
            }
        }
        for (pool, needed, there) in needs {
            self.return_idle(pool, there.saturating_sub(needed), now);
        }
    }

    /// Instances of a pool that work, and those on their way to it.
    pub(super) fn machines_of(&self, service: ServiceKey, now: Millis) -> usize {
        let of_pool = |machine: &&Machine| match &machine.duty {
            Duty::Ordered {
                purpose: Purpose::Move(to),
                ..
            } => *to == service,
            _ => {
                self.services_by_name.get(&machine.report.pool) == Some(&service)
                    && (self.is_usable(machine) || machine.arrives_until > now)
            }
        };
        self.fleet.machines.values().filter(of_pool).count()
    }

    /// Whether the instance's worker takes work, so that its room counts.
    pub(super) fn is_usable(&self, machine: &Machine) -> bool {
        let worker = machine
            .report
            .worker
            .as_ref()
            .and_then(|id| self.workers_by_id.get(id));
        worker
            .and_then(|key| self.workers.get(*key))
            .is_some_and(|worker| worker.listed && !worker.silent && !worker.report.draining)
    }

    /// Instances that the work of a service fills: what runs until cancelled, what waits, and what is
    /// expected to arrive.
    pub(super) fn machines_needed(&mut self, service: ServiceKey, now: Millis) -> usize {
        let expected = self.services[service].load.expected(now);
        let lasting = self.lasting_need(service);
        let waiting = self
            .ready
            .iter()
            .filter(|key| self.service_of(**key) == Some(service) && self.is_worth_room(**key, now))
            .filter_map(|key| self.book.step_of(*key))
            .map(StepSpec::need)
            .fold(Resources::default(), Resources::plus);
        let running = self.ending_need(service);
        // Work that arrives takes over the room of work that ends.
        let sum = lasting.plus(running.plus(waiting).max(expected));
        let share_ppm = sum.dominant_share_ppm(self.largest_capacity());
        let filled =
            usize::try_from((share_ppm * 100 / FILL_PERCENT).div_ceil(1_000_000)).unwrap_or(0);
        filled
            .max(self.machines_to_empty_one(service))
            .max(self.machines_to_spread(service, now))
    }

    /// Instances that waiting tasks need which may not run beside each other.
    pub(super) fn machines_to_spread(&self, service: ServiceKey, now: Millis) -> usize {
        let mut waiting: FastMap<(JobKey, u16), u32> = FastMap::default();
        for key in &self.ready {
            let Some(task) = self.book.tasks.get(*key) else {
                continue;
            };
            let spread = self
                .book
                .step_of(*key)
                .is_some_and(|step| step.per_worker_max > 0);
            if spread && self.service_of(*key) == Some(service) && self.is_worth_room(*key, now) {
                *waiting.entry((task.job, task.position.step)).or_default() += 1;
            }
        }
        let more = waiting.into_iter().filter_map(|((job, step), count)| {
            let step = self.book.jobs.get(job)?.step(step)?;
            Some(count.div_ceil(step.per_worker_max))
        });
        let Some(more) = more.max() else {
            return 0;
        };
        let workers = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        workers.filter(|worker| worker.takes_work(now)).count() + more as usize
    }

    /// Instances that a pool needs while some of them wait to be maintained: one more than those that
    /// work, to take over from the next one.
    pub(super) fn machines_to_empty_one(&self, service: ServiceKey) -> usize {
        let of_pool =
            |machine: &Machine| self.services_by_name.get(&machine.report.pool) == Some(&service);
        let mut members = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| of_pool(machine));
        if !members.any(|(_, machine)| self.awaits_maintenance(machine)) {
            return 0;
        }
        let working = self.fleet.machines.iter().filter(|(key, machine)| {
            of_pool(machine) && self.is_usable(machine) && !self.is_empty(*key)
        });
        working.count() + 1
    }

    pub(super) fn is_worth_room(&self, key: TaskKey, now: Millis) -> bool {
        self.book.tasks.get(key).is_some_and(|task| {
            task.status == TaskStatus::Ready
                && self
                    .book
                    .jobs
                    .get(task.job)
                    .is_some_and(|job| job.is_useful(now))
        })
    }

    /// What the runs of a service need whose tasks end by themselves.
    pub(super) fn ending_need(&self, service: ServiceKey) -> Resources {
        self.need_of_runs(service, |step| !step.long_running)
    }

    pub(super) fn lasting_need(&self, service: ServiceKey) -> Resources {
        self.need_of_runs(service, |step| step.long_running)
    }

    pub(super) fn need_of_runs(
        &self,
        service: ServiceKey,
        which: fn(&StepSpec) -> bool,
    ) -> Resources {
        let workers = self.services[service]
            .workers
            .iter()
            .filter_map(|key| self.workers.get(*key));
        workers
            .flat_map(|worker| &worker.runs)
            .filter_map(|run| self.runs.get(*run))
            .filter(|run| self.book.step_of(run.facts().task).is_some_and(which))
            .map(|run| run.facts().need)
            .fold(Resources::default(), Resources::plus)
    }

    /// An instance that runs nothing: of the spare pool, or of a pool that has more than it needs.
    pub(super) fn free_machine(
        &self,
        can_give: &FastSet<ServiceKey>,
        now: Millis,
    ) -> Option<MachineKey> {
        self.fleet
            .machines
            .iter()
            .filter(|(key, machine)| {
                self.is_movable(machine, now)
                    && (self.is_spare(machine) || self.is_given(*key, machine, can_give))
            })
            .min_by_key(|(_, machine)| (self.awaits_maintenance(machine), !self.is_spare(machine)))
            .map(|(key, _)| key)
    }

    pub(super) fn is_given(
        &self,
        key: MachineKey,
        machine: &Machine,
        can_give: &FastSet<ServiceKey>,
    ) -> bool {
        let pool = self.services_by_name.get(&machine.report.pool);
        pool.is_some_and(|pool| can_give.contains(pool))
            && self.worker_of(key).is_some()
            && self.is_empty(key)
    }

    pub(super) fn is_movable(&self, machine: &Machine, now: Millis) -> bool {
        machine.duty == Duty::Free
            && machine.report.state == MachineState::Up
            && machine.not_before <= now
    }

    pub(super) fn awaits_maintenance(&self, machine: &Machine) -> bool {
        self.fleet.waves.iter().any(|wave| {
            !wave.completed
                && wave.request.machines.contains(&machine.report.name)
                && !wave.begun.contains(&machine.report.name)
        })
    }

    pub(super) fn return_idle(&mut self, service: ServiceKey, most: usize, now: Millis) {
        let Some(spare) = self.fleet.spare.iter().next().copied() else {
            return;
        };
        let idle: Vec<MachineKey> = self
            .fleet
            .machines
            .iter()
            .filter(|(key, machine)| {
                self.is_movable(machine, now)
                    && self.services_by_name.get(&machine.report.pool) == Some(&service)
                    && self.worker_of(*key).is_some()
                    && machine
                        .idle_since
                        .is_some_and(|since| now.ms_since(since) >= IDLE_MS)
            })
            .map(|(key, _)| key)
            .take(most)
            .collect();
        for key in idle {
            self.order_machine(key, Purpose::Move(spare), now);
        }
    }
}
