//! Instances that move between pools, and instances that are maintained.
//!
//! An instance is ordered to move or to be maintained only when it runs nothing: such an order ends
//! everything on it.

use serde::{Deserialize, Serialize};

use super::book::TaskStatus;
use super::order::{Action, MachineReport, MachineResult, MachineState, WaveRequest};
use super::{END_BATCH_MS, Scheduler};
use crate::job::StepSpec;
use crate::placement::Resources;
use crate::prelude::*;

/// Time between two readings of the platform's list while orders are under way.
const LIST_MS: u64 = 300;
/// Time between two readings while nothing is under way.
const LIST_IDLE_MS: u64 = 1_000;
/// Time between two plans for the fleet: a move takes 1.5 s, so a few plans in that time do.
const PLAN_MS: u64 = 100;
/// Pause before an order that was refused is given again.
const REFUSED_MS: u64 = 1_000;
/// An order without an answer may be carried out this much later.
const LATE_ORDER_MS: u64 = 12_500;
/// An instance that runs nothing for this long goes back to the spare pool. A move costs about as
/// much as a second in a pool.
const IDLE_MS: u64 = 2_000;
/// An instance that the list lacks for this long is gone: ten readings of the list.
const MISSING_MS: u64 = 5_000;
/// Share of the instances that work can fill: tasks of different sizes leave gaps.
const FILL_PERCENT: u64 = 85;
/// A worker takes this long to appear after its instance has moved.
const ARRIVAL_MS: u64 = 2_000;
/// The list is read after an order was carried out before it is believed.
const SETTLE_MS: u64 = 150;

/// What an instance is emptied or ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Maintain(u64),
    Move(ServiceKey),
}

/// What is planned for an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Duty {
    Free,
    /// It takes no new work, and tasks that run until cancelled are moved off.
    Emptying(Purpose),
    /// An order was sent.
    Ordered {
        purpose: Purpose,
        /// The worker that it was before.
        worker: Option<Arc<str>>,
        /// When the order was accepted.
        accepted_at: Option<Millis>,
        /// When an order without an answer is given up.
        until: Millis,
    },
}

/// An instance.
#[derive(Debug)]
struct Machine {
    report: MachineReport,
    duty: Duty,
    /// No order before this time.
    not_before: Millis,
    /// Since when it runs nothing.
    idle_since: Option<Millis>,
    /// Until when its worker is expected to appear.
    arrives_until: Millis,
}

/// A wave of maintenance.
#[derive(Debug)]
struct Wave {
    request: WaveRequest,
    /// Instances whose maintenance has begun.
    begun: FastSet<Arc<str>>,
    completed: bool,
    /// Since when the list lacks instances that have not had their turn.
    missing_since: Option<Millis>,
    /// Whether the store has `completed` as it is.
    written: bool,
}

/// What outlives the holder about a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveRecord {
    /// Its number.
    pub number: u64,
    /// Instances whose maintenance has begun.
    pub begun: Vec<Arc<str>>,
    /// Whether all have had their turn.
    pub completed: bool,
}

/// The fleet as the scheduler knows it.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    machines: SlotMap<MachineKey, Machine>,
    by_name: FastMap<Arc<str>, MachineKey>,
    waves: Vec<Wave>,
    former_waves: Vec<WaveRecord>,
    spare: FastSet<ServiceKey>,
    listed_at: Option<Millis>,
    listing: bool,
    next_list: Millis,
    next_plan: Millis,
}

impl Fleet {
    /// Instances that are down, or may soon be, for a wave.
    fn down_count(&self, wave: u64) -> usize {
        let down = |machine: &&Machine| match machine.duty {
            Duty::Emptying(Purpose::Maintain(number)) => number == wave,
            Duty::Ordered {
                purpose: Purpose::Maintain(number),
                ..
            } => number == wave,
            _ => machine.report.state == MachineState::Maintenance,
        };
        self.machines.values().filter(down).count()
    }
}

impl Scheduler {
    /// Takes what the former holder recorded of waves.
    pub fn restore_waves(&mut self, waves: Vec<WaveRecord>) {
        self.fleet.former_waves = waves;
    }

    /// Names the services whose instances are off.
    pub fn set_spare_services(&mut self, names: &[Arc<str>]) {
        self.fleet.spare = names.iter().map(|name| self.service_key(name)).collect();
    }

    /// Takes a wave that the operators ask for.
    pub fn wave_requested(&mut self, request: WaveRequest, now: Millis) {
        if self
            .fleet
            .waves
            .iter()
            .any(|wave| wave.request.number == request.number)
        {
            return;
        }
        let former = self
            .fleet
            .former_waves
            .iter()
            .find(|wave| wave.number == request.number);
        self.fleet.waves.push(Wave {
            begun: former
                .map(|wave| wave.begun.iter().cloned().collect())
                .unwrap_or_default(),
            completed: former.is_some_and(|wave| wave.completed),
            missing_since: None,
            written: former.is_some_and(|wave| wave.completed),
            request,
        });
        self.want_batch(now.after_ms(END_BATCH_MS));
    }

    /// What the store has to know of waves.
    pub(super) fn wave_records(&self) -> Vec<WaveRecord> {
        let waves = self.fleet.waves.iter().map(|wave| WaveRecord {
            number: wave.request.number,
            begun: wave.begun.iter().cloned().collect(),
            completed: wave.completed,
        });
        waves.collect()
    }

    /// Waves whose state the operators have to be told.
    pub(super) fn take_wave_states(&mut self) -> Vec<(u64, bool)> {
        let unwritten = self.fleet.waves.iter_mut().filter(|wave| !wave.written);
        unwritten
            .map(|wave| {
                wave.written = true;
                (wave.request.number, wave.completed)
            })
            .collect()
    }

    /// Takes the platform's list of instances; `None` if it could not be read.
    pub fn machines_listed(&mut self, reports: Option<Vec<MachineReport>>, now: Millis) {
        self.fleet.listing = false;
        let busy = self
            .fleet
            .machines
            .values()
            .any(|machine| machine.duty != Duty::Free);
        self.fleet.next_list = now.after_ms(if busy { LIST_MS } else { LIST_IDLE_MS });
        let Some(reports) = reports else {
            return;
        };
        self.fleet.listed_at = Some(now);
        let mut listed = FastSet::default();
        for report in reports {
            listed.insert(Arc::clone(&report.name));
            let Some(key) = self.fleet.by_name.get(&report.name).copied() else {
                let name = Arc::clone(&report.name);
                let key = self.fleet.machines.insert(Machine {
                    report,
                    duty: Duty::Free,
                    not_before: Millis::ZERO,
                    idle_since: None,
                    arrives_until: Millis::ZERO,
                });
                self.fleet.by_name.insert(name, key);
                continue;
            };
            self.fleet.machines[key].report = report;
            self.settle(key, now);
        }
        let gone: Vec<MachineKey> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| !listed.contains(&machine.report.name))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if let Some(machine) = self.fleet.machines.remove(key) {
                self.fleet.by_name.remove(&machine.report.name);
            }
        }
    }

    /// Ends a duty that the list shows as done, or that was given up.
    fn settle(&mut self, key: MachineKey, now: Millis) {
        let machine = &self.fleet.machines[key];
        let Duty::Ordered {
            purpose,
            worker,
            accepted_at,
            until,
        } = &machine.duty
        else {
            return;
        };
        let report = &machine.report;
        let up = report.state == MachineState::Up;
        let settled = accepted_at.is_some_and(|at| now.ms_since(at) > SETTLE_MS);
        let done = match purpose {
            Purpose::Maintain(_) => settled && up && (worker.is_none() || report.worker != *worker),
            Purpose::Move(service) => {
                up && self.services_by_name.get(&report.pool) == Some(service)
            }
        };
        if done {
            self.release_machine(key, now);
            let machine = &mut self.fleet.machines[key];
            machine.not_before = now;
            machine.arrives_until = now.after_ms(ARRIVAL_MS);
        } else if accepted_at.is_none() && *until < now {
            self.release_machine(key, now);
        }
    }

    /// Applies how an order to an instance ended.
    pub fn machine_ordered(&mut self, key: MachineKey, result: MachineResult, now: Millis) {
        let Some(machine) = self.fleet.machines.get_mut(key) else {
            return;
        };
        let Duty::Ordered {
            purpose,
            worker,
            accepted_at,
            ..
        } = &mut machine.duty
        else {
            return;
        };
        let purpose = *purpose;
        match result {
            MachineResult::Accepted => {
                *accepted_at = Some(now);
                let worker = worker.clone();
                let name = Arc::clone(&machine.report.name);
                if let Some(worker) = worker.and_then(|id| self.workers_by_id.get(&id).copied()) {
                    self.end_life(worker, now);
                }
                if let Purpose::Maintain(number) = purpose {
                    self.note_begun(number, name, now);
                }
                self.fleet.next_list = self.fleet.next_list.min(now.after_ms(SETTLE_MS + 50));
            }
            MachineResult::Busy => {
                self.release_machine(key, now);
            }
            MachineResult::NotInWave => {
                let name = Arc::clone(&machine.report.name);
                self.release_machine(key, now);
                if let Purpose::Maintain(number) = purpose {
                    self.note_begun(number, name, now);
                }
            }
            MachineResult::Fenced => self.fenced = true,
            // It may be carried out late; until then the instance gets no work.
            MachineResult::Unanswered => {}
            MachineResult::NotSent => self.release_machine(key, now),
        }
    }

    fn note_begun(&mut self, number: u64, machine: Arc<str>, now: Millis) {
        if let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        {
            wave.begun.insert(machine);
        }
        self.want_batch(now.after_ms(END_BATCH_MS));
    }

    fn release_machine(&mut self, key: MachineKey, now: Millis) {
        let machine = &mut self.fleet.machines[key];
        machine.duty = Duty::Free;
        machine.not_before = now.after_ms(REFUSED_MS);
        machine.idle_since = None;
        self.set_cordon(key, false);
    }

    fn worker_of(&self, key: MachineKey) -> Option<WorkerKey> {
        let id = self.fleet.machines.get(key)?.report.worker.as_ref()?;
        self.workers_by_id.get(id).copied()
    }

    fn set_cordon(&mut self, key: MachineKey, cordoned: bool) {
        if let Some(worker) = self
            .worker_of(key)
            .and_then(|worker| self.workers.get_mut(worker))
        {
            worker.cordoned = cordoned;
        }
        self.place_wanted = true;
    }

    /// Does what is due for the fleet.
    pub(super) fn advance_fleet(&mut self, now: Millis) {
        if !self.fleet.listing && self.fleet.next_list <= now {
            self.fleet.listing = true;
            self.actions.push(Action::ListMachines);
        }
        if self.fleet.next_plan > now || self.fleet.listed_at.is_none() || self.recovery.is_some() {
            return;
        }
        self.fleet.next_plan = now.after_ms(PLAN_MS);
        self.note_idle(now);
        self.plan_waves(now);
        self.plan_moves(now);
        self.empty_machines(now);
    }

    fn note_idle(&mut self, now: Millis) {
        let keys: Vec<MachineKey> = self.fleet.machines.keys().collect();
        for key in keys {
            let idle = self.is_empty(key);
            let machine = &mut self.fleet.machines[key];
            machine.idle_since = idle.then(|| machine.idle_since.unwrap_or(now));
        }
    }

    /// Whether the instance surely runs nothing.
    fn is_empty(&self, key: MachineKey) -> bool {
        match self.worker_of(key) {
            Some(worker) => self.workers.get(worker).is_some_and(|worker| {
                worker.known
                    && !worker.silent
                    && worker.runs.is_empty()
                    && worker.unknown_runs.is_empty()
            }),
            None => self.fleet.machines[key].report.worker.is_none(),
        }
    }

    fn plan_waves(&mut self, now: Millis) {
        let numbers: Vec<u64> = self
            .fleet
            .waves
            .iter()
            .filter(|wave| !wave.completed)
            .map(|wave| wave.request.number)
            .collect();
        for number in numbers {
            self.plan_wave(number, now);
        }
    }

    fn plan_wave(&mut self, number: u64, now: Millis) {
        let Some(wave) = self
            .fleet
            .waves
            .iter()
            .find(|wave| wave.request.number == number)
        else {
            return;
        };
        let left: Vec<MachineKey> = wave
            .request
            .machines
            .iter()
            .filter(|name| !wave.begun.contains(*name))
            .filter_map(|name| self.fleet.by_name.get(name).copied())
            .collect();
        let down = self.fleet.down_count(number);
        if left.is_empty() && down == 0 {
            if self.are_missing_gone(number, now) {
                self.complete_wave(number, now);
            }
            return;
        }
        let mut room = (wave.request.down_max as usize).saturating_sub(down);
        let mut candidates: Vec<(usize, MachineKey)> = left
            .into_iter()
            .filter(|key| {
                let machine = &self.fleet.machines[*key];
                machine.duty == Duty::Free
                    && machine.report.state == MachineState::Up
                    && machine.not_before <= now
            })
            .map(|key| (self.lasting_runs(key).len(), key))
            .collect();
        candidates.sort_unstable();
        for (lasting, key) in candidates {
            if room == 0 {
                return;
            }
            if lasting > 0 && !self.can_evacuate(key, now) {
                continue;
            }
            room -= 1;
            self.fleet.machines[key].duty = Duty::Emptying(Purpose::Maintain(number));
            self.set_cordon(key, true);
        }
    }

    /// Whether each instance of the wave that the list lacks has been away for long. One list may
    /// lack an instance that stays.
    fn are_missing_gone(&mut self, number: u64, now: Millis) -> bool {
        let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        else {
            return false;
        };
        let listed = &self.fleet.by_name;
        let missing = wave
            .request
            .machines
            .iter()
            .any(|name| !wave.begun.contains(name) && !listed.contains_key(name));
        if !missing {
            wave.missing_since = None;
            return true;
        }
        let since = *wave.missing_since.get_or_insert(now);
        now.ms_since(since) >= MISSING_MS
    }

    fn complete_wave(&mut self, number: u64, now: Millis) {
        if let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        {
            wave.completed = true;
            wave.written = false;
        }
        self.want_batch(now);
    }

    /// Runs of tasks on the instance that do not end by themselves.
    fn lasting_runs(&self, key: MachineKey) -> Vec<RunKey> {
        let Some(worker) = self
            .worker_of(key)
            .and_then(|worker| self.workers.get(worker))
        else {
            return Vec::new();
        };
        let lasting = |run: &&RunKey| {
            self.runs
                .get(**run)
                .and_then(|run| self.book.step_of(run.facts().task))
                .is_some_and(|step| step.long_running)
        };
        worker.runs.iter().filter(lasting).copied().collect()
    }

    /// Whether other workers of the pool have room for what must be moved off the instance.
    fn can_evacuate(&self, key: MachineKey, now: Millis) -> bool {
        let Some(worker) = self.worker_of(key) else {
            return true;
        };
        let Some(service) = self
            .workers
            .get(worker)
            .and_then(|w| self.services_by_name.get(&w.report.service))
        else {
            return false;
        };
        let mut planned: Vec<(WorkerKey, Resources)> = Vec::new();
        for run in self.lasting_runs(key) {
            let Some(run) = self.runs.get(run) else {
                continue;
            };
            let task = run.facts().task;
            if self
                .book
                .step_of(task)
                .is_some_and(|step| step.may_miss == Some(0))
            {
                return false;
            }
            // The instance itself is cordoned when its tasks are placed anew.
            let Some(target) = self.choose_beside(task, *service, worker, &planned, now) else {
                return false;
            };
            planned.push((target, run.facts().need));
        }
        true
    }

    /// Moves tasks off instances that are to be emptied, and orders those that are empty.
    fn empty_machines(&mut self, now: Millis) {
        let emptying: Vec<(MachineKey, Purpose)> = self
            .fleet
            .machines
            .iter()
            .filter_map(|(key, machine)| match machine.duty {
                Duty::Emptying(purpose) => Some((key, purpose)),
                _ => None,
            })
            .collect();
        for (key, purpose) in emptying {
            if self.is_empty(key) {
                self.order_machine(key, purpose, now);
                continue;
            }
            if now < self.planned_from {
                continue;
            }
            for run in self.lasting_runs(key) {
                if self.may_stop(run) {
                    self.stop_run(run, now);
                }
            }
        }
    }

    /// Whether planned work may end the run now: enough others of its step are at work.
    pub(super) fn may_stop(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let (Some(step), Some(task)) = (
            self.book.step_of(run.facts().task),
            self.book.tasks.get(run.facts().task),
        ) else {
            return true;
        };
        let Some(may_miss) = step.may_miss else {
            return true;
        };
        let Some(job) = self.book.jobs.get(task.job) else {
            return true;
        };
        let members = job
            .occurrences
            .get(task.position.occurrence as usize)
            .and_then(|steps| steps.get(usize::from(task.position.step)));
        let away = members
            .into_iter()
            .flatten()
            .filter(|member| **member != run.facts().task && !self.is_at_work(**member))
            .count();
        away < may_miss as usize
    }

    fn is_at_work(&self, task: TaskKey) -> bool {
        let Some(TaskStatus::Placed(run)) = self.book.tasks.get(task).map(|task| task.status)
        else {
            return false;
        };
        let Some(run) = self.runs.get(run) else {
            return false;
        };
        let heard = self
            .workers
            .get(run.facts().worker)
            .is_some_and(|worker| worker.known && !worker.silent);
        heard && run.confirmed_since().is_some() && run.reported.percent >= 100
    }

    fn order_machine(&mut self, key: MachineKey, purpose: Purpose, now: Millis) {
        let action = match purpose {
            Purpose::Maintain(wave) => Action::Maintain(key, wave),
            Purpose::Move(service) => {
                let Some(service) = self.services.get(service) else {
                    return;
                };
                Action::Move(key, Arc::clone(&service.name))
            }
        };
        let machine = &mut self.fleet.machines[key];
        machine.duty = Duty::Ordered {
            purpose,
            worker: machine.report.worker.clone(),
            accepted_at: None,
            until: now.after_ms(LATE_ORDER_MS),
        };
        self.fleet.next_list = self.fleet.next_list.min(now.after_ms(LIST_MS));
        self.actions.push(action);
    }

    /// Name of an instance.
    #[must_use]
    pub fn machine_name(&self, key: MachineKey) -> Option<&Arc<str>> {
        self.fleet
            .machines
            .get(key)
            .map(|machine| &machine.report.name)
    }

    fn is_spare(&self, machine: &Machine) -> bool {
        let pool = self.services_by_name.get(&machine.report.pool);
        pool.is_some_and(|pool| self.fleet.spare.contains(pool))
    }

    /// Moves instances to pools that need them, and idle ones to the spare pool.
    fn plan_moves(&mut self, now: Millis) {
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
                self.set_cordon(key, true);
                self.order_machine(key, Purpose::Move(*pool), now);
            }
        }
        for (pool, needed, there) in needs {
            self.return_idle(pool, there.saturating_sub(needed), now);
        }
    }

    /// Instances of a pool that work, and those on their way to it.
    fn machines_of(&self, service: ServiceKey, now: Millis) -> usize {
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
    fn is_usable(&self, machine: &Machine) -> bool {
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
    fn machines_needed(&mut self, service: ServiceKey, now: Millis) -> usize {
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
    fn machines_to_spread(&self, service: ServiceKey, now: Millis) -> usize {
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
    fn machines_to_empty_one(&self, service: ServiceKey) -> usize {
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

    fn is_worth_room(&self, key: TaskKey, now: Millis) -> bool {
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
    fn ending_need(&self, service: ServiceKey) -> Resources {
        self.need_of_runs(service, |step| !step.long_running)
    }

    fn lasting_need(&self, service: ServiceKey) -> Resources {
        self.need_of_runs(service, |step| step.long_running)
    }

    fn need_of_runs(&self, service: ServiceKey, which: fn(&StepSpec) -> bool) -> Resources {
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
    fn free_machine(&self, can_give: &FastSet<ServiceKey>, now: Millis) -> Option<MachineKey> {
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

    fn is_given(&self, key: MachineKey, machine: &Machine, can_give: &FastSet<ServiceKey>) -> bool {
        let pool = self.services_by_name.get(&machine.report.pool);
        pool.is_some_and(|pool| can_give.contains(pool))
            && self.worker_of(key).is_some()
            && self.is_empty(key)
    }

    fn is_movable(&self, machine: &Machine, now: Millis) -> bool {
        machine.duty == Duty::Free
            && machine.report.state == MachineState::Up
            && machine.not_before <= now
    }

    fn awaits_maintenance(&self, machine: &Machine) -> bool {
        self.fleet.waves.iter().any(|wave| {
            !wave.completed
                && wave.request.machines.contains(&machine.report.name)
                && !wave.begun.contains(&machine.report.name)
        })
    }

    fn return_idle(&mut self, service: ServiceKey, most: usize, now: Millis) {
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
            self.set_cordon(key, true);
            self.order_machine(key, Purpose::Move(spare), now);
        }
    }
}
