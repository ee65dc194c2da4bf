//! Instances that move between pools, and instances that are maintained.
//!
//! An instance is ordered to move or to be maintained only when it runs nothing: such an order ends
//! everything on it.

mod lives;
mod moves;
mod orders;
mod waves;

use serde::{Deserialize, Serialize};

use super::order::{Action, MachineReport, MachineState, Note, WaveRequest};
use super::{END_BATCH_MS, Scheduler};
use crate::prelude::*;

/// Time between two readings of the platform's list while orders are under way.
const LIST_MS: u64 = 300;
/// Time between two readings while nothing is under way.
const LIST_IDLE_MS: u64 = 1_000;
/// Time between two plans for the fleet: a move takes 1.5 s, so a few plans in that time do.
const PLAN_MS: u64 = 100;
/// Pause before an order that was refused is given again.
const REFUSED_MS: u64 = 1_000;
/// An instance that runs nothing for this long goes back to the spare pool. A move costs about as
/// much as a second in a pool.
const IDLE_MS: u64 = 2_000;
/// An instance that the list lacks for this long is gone: ten readings of the list.
const MISSING_MS: u64 = 5_000;
/// Share of the instances that work can fill: tasks of different sizes leave gaps.
const FILL_PERCENT: u64 = 85;

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
        /// When an order without an answer is sent again.
        again_at: Option<Millis>,
    },
}

/// An instance.
#[derive(Debug)]
struct Machine {
    report: MachineReport,
    duty: Duty,
    /// No order before this time.
    not_before: Millis,
    /// Until this time an order that got no answer may be carried out; no other one is given.
    late_until: Millis,
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
    /// When the newest reading of the list was sent.
    list_sent_at: Millis,
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
            .any(|machine| machine.duty != Duty::Free)
            || self.awaits_news_of_lives();
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
                    late_until: Millis::ZERO,
                    idle_since: None,
                    arrives_until: Millis::ZERO,
                });
                self.fleet.by_name.insert(name, key);
                continue;
            };
            self.note_machine(key, &report);
            self.end_former_life(key, &report, now);
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
                self.notes.push(Note::MachineUnlisted {
                    machine: machine.report.name,
                });
            }
        }
        self.end_unlisted_lives(now);
    }

    fn note_machine(&mut self, key: MachineKey, report: &MachineReport) {
        let before = &self.fleet.machines[key].report;
        if before.state != report.state || before.worker != report.worker {
            self.notes.push(Note::MachineChanged {
                machine: Arc::clone(&report.name),
                state: report.state,
                worker: report.worker.clone(),
            });
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
        machine.not_before = machine.late_until.max(now.after_ms(REFUSED_MS));
        machine.idle_since = None;
        self.set_cordon(key, false);
    }

    fn worker_of(&self, key: MachineKey) -> Option<WorkerKey> {
        let id = self.fleet.machines.get(key)?.report.worker.as_ref()?;
        self.workers_by_id.get(id).copied()
    }

    /// Whether the worker's instance is to be emptied, or has an order under way.
    pub(super) fn is_instance_reserved(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        self.fleet.machines.values().any(|machine| {
            machine.duty != Duty::Free
                && (machine.report.worker.as_ref() == Some(&worker.report.id)
                    || machine.report.name == worker.report.machine)
        })
    }

    /// Keeps work off the lives of an instance, or lets it on them again. A worker may be heard of
    /// before the list shows the instance as that worker.
    fn set_cordon(&mut self, key: MachineKey, cordoned: bool) {
        let report = &self.fleet.machines[key].report;
        for worker in self.workers.values_mut() {
            if report.worker.as_ref() == Some(&worker.report.id)
                || report.name == worker.report.machine
            {
                worker.cordoned = cordoned;
            }
        }
        self.place_wanted = true;
    }

    /// Does what is due for the fleet.
    pub(super) fn advance_fleet(&mut self, now: Millis) {
        if !self.fleet.listing && self.fleet.next_list <= now {
            self.fleet.listing = true;
            self.fleet.list_sent_at = now;
            self.actions.push(Action::ListMachines);
        }
        if self.fleet.next_plan > now || self.fleet.listed_at.is_none() || self.recovery.is_some() {
            return;
        }
        self.fleet.next_plan = now.after_ms(PLAN_MS);
        self.repeat_orders(now);
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
            // The instance may be another worker by now, if a former holder's order came late.
            self.set_cordon(key, true);
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

    /// Name of an instance.
    #[must_use]
    pub fn machine_name(&self, key: MachineKey) -> Option<&Arc<str>> {
        self.fleet
            .machines
            .get(key)
            .map(|machine| &machine.report.name)
    }
}
