//! What the entry of a worker counts for. Other writers can write entries too, so the list of instances, which only
//! the platform writes, and the answers of the worker bound what an entry says.

use super::order::{InstanceReport, InstanceState, WorkerReport};
use super::worker::Worker;
use super::{RUN_END_BATCH_DELAY_MS, Scheduler};
use crate::placement::Resources;
use crate::prelude::*;

/// Time for which the list of instances may show a state before the latest one. A worker that has just been moved
/// must not be held to its former pool.
const LIST_LAG_MAX_MS: u64 = 1_500;

/// The instance on which the list has last shown the current incarnation of a worker.
#[derive(Clone, Debug)]
pub(super) struct ListedInstance {
    name: Arc<str>,
    pool: Arc<str>,
    capacity: Resources,
}

/// A capacity, at most that of an instance, if the list names one.
fn bounded_capacity(capacity: Resources, of_instance: Resources) -> Resources {
    if of_instance == Resources::default() {
        return capacity;
    }
    capacity.min(of_instance)
}

impl From<&InstanceReport> for ListedInstance {
    fn from(report: &InstanceReport) -> Self {
        Self {
            name: Arc::clone(&report.name),
            pool: Arc::clone(&report.pool),
            capacity: report.capacity,
        }
    }
}

/// The newest entry of a worker, and what it is compared with.
#[derive(Debug)]
pub(super) struct Entry {
    /// What the entry names.
    pub report: WorkerReport,
    /// Whether it names the start that the worker has answered with.
    pub is_of_lifetime: bool,
    /// Labels that were in force when the current incarnation had first answered and been listed.
    pub labels: Option<Vec<Arc<str>>>,
    pub instance: Option<ListedInstance>,
    /// Whether a list has shown the worker to a former leader.
    pub was_shown: bool,
    /// Since when the service is the one in force.
    pub service_since: Millis,
    /// Whether a list that was requested after that shows the worker in another pool.
    pub is_in_other_pool: bool,
    /// Whether the service in force has changed since the worker may have runs, so that some may be of another one.
    pub has_changed_service: bool,
}

impl Entry {
    pub(super) const fn new(report: WorkerReport) -> Self {
        Self {
            report,
            is_of_lifetime: false,
            labels: None,
            instance: None,
            was_shown: false,
            service_since: Millis::ZERO,
            is_in_other_pool: false,
            has_changed_service: false,
        }
    }

    /// The values of the entry that count, where `known` are those in force.
    ///
    /// - Capacity: at most that of the instance, since a process has no room beyond it; at most that of the largest
    ///   instance until a list has shown the worker.
    /// - Service and instance: a process is not moved, so the known ones stay while the list confirms them.
    /// - Labels: those of a process do not change, so only those count that its entries agree on.
    /// - Draining: always counts, since a worker that is about to end must get no more work.
    fn bounded(&self, known: &WorkerReport, largest_instance: Resources) -> WorkerReport {
        let mut report = self.report.clone();
        let instance = self.instance.as_ref();
        let bound = instance.map_or(largest_instance, |instance| instance.capacity);
        report.capacity = bounded_capacity(report.capacity, bound);
        if let Some(instance) = instance {
            if self.is_of_lifetime && instance.pool == known.service {
                report.service = Arc::clone(&known.service);
            }
            if self.is_of_lifetime && instance.name == known.instance {
                report.instance = Arc::clone(&known.instance);
            }
        }
        if let Some(labels) = &self.labels {
            let agreed = labels.iter().filter(|label| report.labels.contains(label));
            report.labels = agreed.cloned().collect();
        }
        report
    }

    /// Compares the service in force with the list, or with none that shows the worker. The worker is held until
    /// the two agree, whatever other services its entries name meanwhile.
    fn compare_pool(&mut self, pool: Option<&Arc<str>>, service: &Arc<str>, requested_at: Millis) {
        let may_be_held =
            self.is_in_other_pool || requested_at >= self.service_since.after_ms(LIST_LAG_MAX_MS);
        self.is_in_other_pool = may_be_held && pool.is_some_and(|pool| pool != service);
    }
}

impl Worker {
    /// Its rack, unless entries of its current incarnation disagree about it.
    pub(super) fn rack(&self) -> Option<&Arc<str>> {
        let labels = self.entry.labels.as_ref().unwrap_or(&self.report.labels);
        let rack = labels.last()?;
        self.report.labels.contains(rack).then_some(rack)
    }

    /// Whether a list that was requested at this time would show the worker if it ran: an earlier one has done so, or
    /// the list can no longer be of before its first entry. An instance that is down may have been so before the
    /// current process, under the same id, so the list must be of after that has begun.
    pub(super) fn is_list_current(&self, requested_at: Millis, state: InstanceState) -> bool {
        if state == InstanceState::Down && requested_at < self.began_by.after_ms(LIST_LAG_MAX_MS) {
            return false;
        }
        let is_shown = self.entry.instance.is_some() || self.entry.was_shown;
        is_shown || requested_at >= self.entry.service_since.after_ms(LIST_LAG_MAX_MS)
    }

    /// Its service as other leaders are told; empty if its runs may be of more than one.
    pub(super) fn service_of_runs(&self) -> Arc<str> {
        if self.entry.has_changed_service {
            return "".into();
        }
        Arc::clone(&self.report.service)
    }

    /// Keeps the labels in force for the rest of the incarnation, once it has answered. The record of a worker that
    /// the platform has not listed yet has none.
    pub(super) fn keep_labels(&mut self) {
        if self.listed && self.last_answer_at != Millis::ZERO {
            self.entry
                .labels
                .get_or_insert_with(|| self.report.labels.clone());
        }
    }
}

impl Scheduler {
    /// Applies an entry of the known incarnation of a worker, or the first one of the next incarnation.
    pub(super) fn apply_entry(
        &mut self,
        key: WorkerKey,
        report: WorkerReport,
        is_of_lifetime: bool,
        now: Millis,
    ) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.entry.report = report;
            worker.entry.is_of_lifetime = is_of_lifetime;
        }
        self.bound_entry(key, now);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.keep_labels();
        }
    }

    /// Puts in force what counts of the newest entry.
    fn bound_entry(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let report = worker
            .entry
            .bounded(&worker.report, self.fleet.largest_capacity);
        if report.service != worker.report.service {
            worker.entry.service_since = now;
            worker.entry.has_changed_service |= worker.recorded || !worker.runs().is_empty();
            let pool = worker
                .entry
                .instance
                .as_ref()
                .map(|instance| &instance.pool);
            worker.entry.is_in_other_pool &= pool != Some(&report.service);
        }
        worker.full_capacity = worker.full_capacity.max(report.capacity);
        self.replace_report(key, report);
    }

    /// Compares the entries of all workers with a list of instances that has been applied.
    pub(super) fn compare_entries_with_list(&mut self, list_requested_at: Millis, now: Millis) {
        let mut listed: FastMap<WorkerKey, ListedInstance> = FastMap::default();
        let capacities = self.listed_instances().map(|instance| instance.capacity);
        self.fleet.largest_capacity = capacities.fold(Resources::default(), Resources::max);
        for instance in self.listed_instances() {
            let key = instance.worker.as_ref();
            let Some(key) = key.and_then(|id| self.workers_by_id.get(id)) else {
                continue;
            };
            let is_named = self.workers[*key].report.instance == instance.name;
            if is_named || !listed.contains_key(key) {
                listed.insert(*key, instance.into());
            }
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let instance = listed.remove(&key);
            let pool = instance.as_ref().map(|instance| Arc::clone(&instance.pool));
            // The bounds of an instance that the list lacks hold, but it contradicts no service.
            if let Some(instance) = instance {
                worker.full_capacity = bounded_capacity(worker.full_capacity, instance.capacity);
                if worker.entry.instance.replace(instance).is_none() && !worker.entry.was_shown {
                    self.batches.request(now.after_ms(RUN_END_BATCH_DELAY_MS));
                }
            }
            // Answers may have brought the current ones.
            worker.entry.report.address = Arc::clone(&worker.report.address);
            worker.entry.report.started_wall_ms = worker.report.started_wall_ms;
            self.bound_entry(key, now);
            let worker = &mut self.workers[key];
            let service = &worker.report.service;
            worker
                .entry
                .compare_pool(pool.as_ref(), service, list_requested_at);
        }
    }
}
