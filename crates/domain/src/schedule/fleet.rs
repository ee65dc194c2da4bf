//! Moves of instances between pools, and their maintenance.
//!
//! The platform terminates every run on an instance that it moves or maintains, so the scheduler
//! orders either one only for an instance that runs nothing.

mod incarnations;
mod inherited;
mod moves;
mod orders;
mod waves;

use serde::{Deserialize, Serialize};

use super::order::{
    Action, InstanceListing, InstanceReport, InstanceState, SchedulerEvent, WaveRequest,
};
use super::stop_reason::StopReason;
use super::{RUN_END_BATCH_DELAY_MS, Scheduler};
use crate::placement::Resources;
use crate::prelude::*;
use inherited::InheritedOrders;
pub use inherited::InstanceOrderRecord;

/// Interval at which the platform's instance list is read while operations are in progress.
const ACTIVE_LIST_INTERVAL_MS: u64 = 300;
/// Interval at which the list is read otherwise.
const IDLE_LIST_INTERVAL_MS: u64 = 1_000;
/// Interval between planning passes. A move takes 1.5 s, so several passes fall into one move.
const PLAN_INTERVAL_MS: u64 = 100;
/// Delay before an instance whose order was refused gets another one.
const REFUSED_RETRY_DELAY_MS: u64 = 1_000;
/// Idle time after which an instance returns to the spare pool. A move costs about as much as one
/// second in a pool.
const IDLE_TIMEOUT_MS: u64 = 2_000;
/// Time after which an instance that the list omits counts as removed while a wave or an operation waits for
/// it: ten readings of the list.
const ABSENCE_TIMEOUT_MS: u64 = 5_000;
/// Share of a pool's capacity that tasks can use: tasks of different sizes leave fragments unused.
const TARGET_UTILIZATION_PERCENT: u64 = 85;

/// An operation that the platform carries out on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    /// Maintenance as part of the wave with this number.
    Maintain(u64),
    /// A move to the pool of this service.
    Move(ServiceKey),
}

/// Progress of the operation on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OperationState {
    /// No operation is planned.
    Inactive,
    /// The instance is cordoned, and its long-running tasks are moved to other instances.
    Evacuating(Operation),
    /// The order was sent.
    Ordered {
        operation: Operation,
        /// Worker on the instance when the order was sent.
        previous_worker: Option<Arc<str>>,
        /// When the order was accepted.
        accepted_at: Option<Millis>,
        /// When an order that was not accepted is abandoned.
        abandoned_at: Millis,
        /// When an order without a response is sent again.
        retry_at: Option<Millis>,
    },
}

/// An instance, as last reported by the platform, and the operation on it.
#[derive(Debug)]
struct TrackedInstance {
    report: InstanceReport,
    /// Service of its pool.
    pool: ServiceKey,
    operation_state: OperationState,
    /// Earliest time of the next order.
    not_before: Millis,
    /// Until when an order without a response may still take effect. No other order is sent before.
    in_doubt_until: Millis,
    /// Start of the current idle period.
    idle_since: Option<Millis>,
    /// Until when the worker of a moved or maintained instance is expected to register.
    arrival_deadline: Millis,
    /// Earliest time of the next check whether its long-running tasks fit elsewhere.
    next_evacuation_check_at: Millis,
    /// Since when the list lacks it. It is then only kept for the operation in progress.
    unlisted_since: Option<Millis>,
}

/// A maintenance wave in progress.
#[derive(Debug)]
struct Wave {
    request: WaveRequest,
    /// Names of the instances in the request.
    instances: FastSet<Arc<str>>,
    /// Until when all of them must be maintained.
    deadline: Millis,
    /// Instances whose maintenance has begun.
    begun: FastSet<Arc<str>>,
    completed: bool,
    /// Since when the list omits instances that are still to be maintained.
    unlisted_since: Option<Millis>,
    /// Whether the store holds the current value of `completed`.
    persisted: bool,
}

/// Stored progress of a maintenance wave, from which the next leader continues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveRecord {
    /// Number of the wave.
    pub number: u64,
    /// Instances whose maintenance has begun.
    pub begun: Vec<Arc<str>>,
    /// Whether every instance of the wave has been maintained.
    pub completed: bool,
}

/// The scheduler's view of the instances and maintenance waves.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    instances: SlotMap<FleetInstanceKey, TrackedInstance>,
    by_name: FastMap<Arc<str>, FleetInstanceKey>,
    waves: Vec<Wave>,
    recorded_waves: Vec<WaveRecord>,
    inherited: InheritedOrders,
    /// Instances that each pool has and needs, as of the last planning pass.
    pool_demand: FastMap<ServiceKey, usize>,
    spare_services: FastSet<ServiceKey>,
    /// Whether every row of the latest list could be read.
    is_list_complete: bool,
    /// Ids of the workers that the latest list shows on an instance.
    listed_workers: FastSet<Arc<str>>,
    /// Largest amount of each resource on an instance of the latest list.
    pub(super) largest_capacity: Resources,
    last_listed_at: Option<Millis>,
    /// When the latest read of the list was requested.
    list_requested_at: Millis,
    list_in_flight: bool,
    next_list_at: Millis,
    next_plan_at: Millis,
}

impl Fleet {
    /// The instance with this name, if the latest list has it.
    fn listed(&self, name: &str) -> Option<&TrackedInstance> {
        let key = self.by_name.get(name)?;
        let instance = self.instances.get(*key)?;
        instance.unlisted_since.is_none().then_some(instance)
    }

    /// Number of instances that are in maintenance or are about to enter it for the wave.
    fn down_count(&self, wave: u64) -> usize {
        let down = |instance: &&TrackedInstance| match instance.operation_state {
            OperationState::Evacuating(Operation::Maintain(number)) => number == wave,
            OperationState::Ordered {
                operation: Operation::Maintain(number),
                ..
            } => number == wave,
            _ => instance.report.state == InstanceState::Maintenance,
        };
        let inherited = self.inherited.of_wave(wave);
        let may_go_down = inherited.filter(|name| {
            let instance = self.by_name.get(*name);
            let instance = instance.and_then(|key| self.instances.get(*key));
            instance.is_none_or(|instance| !down(&instance))
        });
        self.instances.values().filter(down).count() + may_go_down.count()
    }
}

impl Scheduler {
    /// Restores the wave records of the former leader.
    pub fn restore_waves(&mut self, waves: Vec<WaveRecord>) {
        self.fleet.recorded_waves = waves;
    }

    /// Sets the services whose pools hold spare instances, which are powered off.
    pub fn set_spare_services(&mut self, names: &[Arc<str>]) {
        self.fleet.spare_services = names.iter().map(|name| self.service_key(name)).collect();
    }

    /// Adds a maintenance wave that an operator requested; repeated requests have no effect.
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
            .recorded_waves
            .iter()
            .find(|wave| wave.number == request.number);
        self.fleet.waves.push(Wave {
            begun: former
                .map(|wave| wave.begun.iter().cloned().collect())
                .unwrap_or_default(),
            completed: former.is_some_and(|wave| wave.completed),
            unlisted_since: None,
            persisted: former.is_some_and(|wave| wave.completed),
            instances: request.instances.iter().cloned().collect(),
            deadline: now.after_ms(request.duration_ms),
            request,
        });
        self.request_batch(now.after_ms(RUN_END_BATCH_DELAY_MS));
    }

    /// Returns the progress of all waves, to be stored.
    pub(super) fn wave_records(&self) -> Vec<WaveRecord> {
        let waves = self.fleet.waves.iter().map(|wave| WaveRecord {
            number: wave.request.number,
            begun: wave.begun.iter().cloned().collect(),
            completed: wave.completed,
        });
        waves.collect()
    }

    /// Returns number and completion of the waves whose state is not stored yet, and marks it stored.
    pub(super) fn take_wave_states(&mut self) -> Vec<(u64, bool)> {
        let unwritten = self.fleet.waves.iter_mut().filter(|wave| !wave.persisted);
        unwritten
            .map(|wave| {
                wave.persisted = true;
                (wave.request.number, wave.completed)
            })
            .collect()
    }

    /// Applies the platform's list of instances; `None` if it could not be read.
    pub fn instances_listed(&mut self, listing: Option<InstanceListing>, now: Millis) {
        self.fleet.list_in_flight = false;
        let busy = self
            .fleet
            .instances
            .values()
            .any(|instance| instance.operation_state != OperationState::Inactive)
            || self.awaits_incarnation_end();
        self.fleet.next_list_at = now.after_ms(if busy {
            ACTIVE_LIST_INTERVAL_MS
        } else {
            IDLE_LIST_INTERVAL_MS
        });
        let Some(InstanceListing {
            reports,
            is_complete,
        }) = listing
        else {
            return;
        };
        self.fleet.last_listed_at = Some(now);
        self.fleet.is_list_complete = is_complete;
        let mut listed = FastSet::default();
        for report in reports {
            listed.insert(Arc::clone(&report.name));
            let pool = self.service_key(&report.pool);
            let Some(key) = self.fleet.by_name.get(&report.name).copied() else {
                let name = Arc::clone(&report.name);
                let key = self.fleet.instances.insert(TrackedInstance {
                    report,
                    pool,
                    operation_state: OperationState::Inactive,
                    not_before: Millis::ZERO,
                    in_doubt_until: Millis::ZERO,
                    idle_since: None,
                    arrival_deadline: Millis::ZERO,
                    next_evacuation_check_at: Millis::ZERO,
                    unlisted_since: None,
                });
                self.fleet.by_name.insert(name, key);
                continue;
            };
            self.log_instance_change(key, &report);
            self.end_former_incarnation(key, &report, now);
            let instance = &mut self.fleet.instances[key];
            instance.report = report;
            instance.pool = pool;
            instance.unlisted_since = None;
            self.settle_operation(key, now);
        }
        let unlisted: Vec<FleetInstanceKey> = self
            .fleet
            .instances
            .iter()
            .filter(|(_, instance)| !listed.contains(&instance.report.name))
            .map(|(key, _)| key)
            .collect();
        // An unreadable row may be that of any instance, so the ones that are not listed stay as they were.
        for key in unlisted.into_iter().filter(|_| is_complete) {
            self.instance_unlisted(key, now);
        }
        let workers = self.listed_instances();
        self.fleet.listed_workers = workers
            .filter_map(|instance| instance.worker.clone())
            .collect();
        self.end_unlisted_incarnations(now);
        self.settle_inherited_orders(now);
        self.compare_entries_with_list(self.fleet.list_requested_at, now);
    }

    /// The instances of the latest list.
    pub(super) fn listed_instances(&self) -> impl Iterator<Item = &InstanceReport> {
        let instances = self.fleet.instances.values();
        instances
            .filter(|instance| instance.unlisted_since.is_none())
            .map(|instance| &instance.report)
    }

    /// Removes an instance that the list lacks. One reading may lack an instance that still exists, so an
    /// operation on it is kept for [`ABSENCE_TIMEOUT_MS`].
    fn instance_unlisted(&mut self, key: FleetInstanceKey, now: Millis) {
        let instance = &mut self.fleet.instances[key];
        let since = *instance.unlisted_since.get_or_insert(now);
        let is_in_operation = instance.operation_state != OperationState::Inactive;
        if is_in_operation && now.ms_since(since) < ABSENCE_TIMEOUT_MS {
            return;
        }
        self.set_cordon(key, false);
        if let Some(instance) = self.fleet.instances.remove(key) {
            self.fleet.by_name.remove(&instance.report.name);
            self.events.push(SchedulerEvent::InstanceUnlisted {
                instance: instance.report.name,
            });
        }
    }

    fn log_instance_change(&mut self, key: FleetInstanceKey, report: &InstanceReport) {
        let before = &self.fleet.instances[key].report;
        if before.state != report.state || before.worker != report.worker {
            self.events.push(SchedulerEvent::InstanceChanged {
                instance: Arc::clone(&report.name),
                state: report.state,
                worker: report.worker.clone(),
            });
        }
    }

    fn mark_maintenance_begun(&mut self, number: u64, instance: Arc<str>, now: Millis) {
        if let Some(wave) = self
            .fleet
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number)
        {
            wave.begun.insert(instance);
        }
        self.request_batch(now.after_ms(RUN_END_BATCH_DELAY_MS));
    }

    fn release_instance(&mut self, key: FleetInstanceKey, now: Millis) {
        let instance = &mut self.fleet.instances[key];
        instance.operation_state = OperationState::Inactive;
        instance.not_before = instance
            .in_doubt_until
            .max(now.after_ms(REFUSED_RETRY_DELAY_MS));
        instance.idle_since = None;
        self.set_cordon(key, false);
    }

    fn worker_on(&self, key: FleetInstanceKey) -> Option<WorkerKey> {
        let id = self.fleet.instances.get(key)?.report.worker.as_ref()?;
        self.workers_by_id.get(id).copied()
    }

    /// Whether the worker's instance is being evacuated or has an order in progress.
    pub(super) fn is_instance_reserved(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let is_inherited = self.fleet.inherited.contains(&worker.report.instance);
        is_inherited
            || self.fleet.instances.values().any(|instance| {
                instance.operation_state != OperationState::Inactive
                    && (instance.report.worker.as_ref() == Some(&worker.report.id)
                        || instance.report.name == worker.report.instance)
            })
    }

    /// Cordons or uncordons every worker of an instance. A worker may register before the list shows
    /// it on the instance, so the instance that the worker reports counts too.
    fn set_cordon(&mut self, key: FleetInstanceKey, cordoned: bool) {
        let report = &self.fleet.instances[key].report;
        let listed = report.worker.as_ref();
        let listed = listed.and_then(|id| self.workers_by_id.get(id));
        let reporting = self.workers_by_instance.get(&report.name);
        let keys: Vec<WorkerKey> = listed
            .into_iter()
            .chain(reporting.into_iter().flatten())
            .copied()
            .collect();
        for key in keys {
            if let Some(worker) = self.workers.get_mut(key)
                && worker.cordoned != cordoned
            {
                worker.cordoned = cordoned;
                self.request_worker_placement(key);
            }
        }
    }

    /// Requests the list of instances and runs a planning pass when they are due. A leader that may have been
    /// replaced plans nothing: an order ends what runs on an instance, also what the next leader has started there,
    /// and the platform refuses its fencing token only for instances to which the next leader has sent an order.
    pub(super) fn advance_fleet(&mut self, now: Millis) {
        if !self.fleet.list_in_flight && self.fleet.next_list_at <= now {
            self.fleet.list_in_flight = true;
            self.fleet.list_requested_at = now;
            self.actions.push(Action::ListInstances);
        }
        if self.fleet.next_plan_at > now
            || self.fleet.last_listed_at.is_none()
            || self.recovery.is_some()
            || self.leadership_unconfirmed
        {
            return;
        }
        self.fleet.next_plan_at = now.after_ms(PLAN_INTERVAL_MS);
        self.retry_orders(now);
        self.update_idle_times(now);
        self.plan_waves(now);
        self.plan_moves(now);
        self.evacuate_instances(now);
    }

    fn update_idle_times(&mut self, now: Millis) {
        let keys: Vec<FleetInstanceKey> = self.fleet.instances.keys().collect();
        for key in keys {
            let idle = self.runs_nothing(key);
            let instance = &mut self.fleet.instances[key];
            instance.idle_since = idle.then(|| instance.idle_since.unwrap_or(now));
        }
    }

    /// Whether the instance is known to run nothing.
    fn runs_nothing(&self, key: FleetInstanceKey) -> bool {
        match self.worker_on(key) {
            Some(worker) => self.workers.get(worker).is_some_and(|worker| {
                worker.synced
                    && !worker.unresponsive
                    && worker.runs().is_empty()
                    && worker.unknown_runs.is_empty()
            }),
            None => self.fleet.instances[key].report.worker.is_none(),
        }
    }

    /// Stops long-running tasks on instances that are being evacuated, and sends the order for those
    /// that run nothing.
    fn evacuate_instances(&mut self, now: Millis) {
        let evacuating: Vec<(FleetInstanceKey, Operation)> = self
            .fleet
            .instances
            .iter()
            .filter_map(|(key, instance)| match instance.operation_state {
                OperationState::Evacuating(operation) if instance.unlisted_since.is_none() => {
                    Some((key, operation))
                }
                _ => None,
            })
            .collect();
        for (key, operation) in evacuating {
            // A late order of a former leader may have put another worker on the instance.
            self.set_cordon(key, true);
            if self.runs_nothing(key) {
                self.order_instance(key, operation, now);
                continue;
            }
            if now < self.interruptions_allowed_from {
                continue;
            }
            for run in self.long_running_runs(key) {
                if self.may_interrupt(run) {
                    self.stop_run(run, StopReason::Evacuation, now);
                }
            }
            if self.is_evacuation_blocked(key, now) {
                self.release_instance(key, now);
            }
        }
    }

    /// Returns the name of an instance.
    #[must_use]
    pub fn instance_name(&self, key: FleetInstanceKey) -> Option<&Arc<str>> {
        self.fleet
            .instances
            .get(key)
            .map(|instance| &instance.report.name)
    }
}
