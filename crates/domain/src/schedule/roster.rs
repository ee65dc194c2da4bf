//! Workers and services: membership and polling.

use super::arrivals::Arrivals;
use super::load::LoadForecast;
use super::order::{Action, PollOrder, WorkerReport};
use super::ready::ReadyQueue;
use super::run::EndEvidence;
use super::worker::{Claim, IncarnationEnd, Worker};
use super::{LOW_PRIORITY_BATCH_DELAY_MS, PoolUse, Scheduler, Service};
use crate::placement::Resources;
use crate::prelude::*;

/// Poll wait while answers are lost or another leader may have fenced the worker. Each poll has a
/// cost, so the usual wait is longer.
const SHORT_POLL_WAIT_MS: u64 = 150;

impl Scheduler {
    /// Adds or updates a worker from the platform's list.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Millis) {
        let Some(key) = self.workers_by_id.get(&report.id).copied() else {
            let lease_end = self.settings.lease_from(now);
            let key = self.insert_worker(report, lease_end);
            self.workers[key].entry.service_since = now;
            self.workers[key].began_by = now;
            self.request_batch(now);
            return;
        };
        let is_awaited = self.is_awaited(key);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.listed = true;
        let known_start_ms = worker.report.started_wall_ms;
        let other_incarnation = known_start_ms != 0
            && report.started_wall_ms != 0
            && known_start_ms != report.started_wall_ms;
        // The entry is older than what the worker has reported itself.
        let has_answered = worker.last_answer_at != Millis::ZERO;
        let is_of_lifetime = known_start_ms != 0 && report.started_wall_ms == known_start_ms;
        if other_incarnation && report.started_wall_ms < known_start_ms && has_answered {
            return;
        }
        let report = WorkerReport {
            started_wall_ms: match report.started_wall_ms {
                0 => known_start_ms,
                started_ms => started_ms,
            },
            ..report
        };
        // The former leader recorded a worker with the address at which it was polled. Runs end only on the
        // evidence of an answer or an order, also after an entry has refuted a claim.
        let is_known =
            worker.synced || worker.claim.is_some() || is_awaited || !worker.runs().is_empty();
        if worker.report.address != report.address || (is_known && other_incarnation) {
            self.claim_listed(key, report, now);
            return;
        }
        let is_link_wrong = worker.link_report().address != report.address;
        worker.refute_claim(now);
        if other_incarnation {
            self.process_ended(key, EndEvidence::Listing, now);
            self.begin_incarnation(key, report, now);
            self.await_next_incarnation(key);
        } else {
            self.apply_entry(key, report, is_of_lifetime && has_answered, now);
        }
        if is_link_wrong || other_incarnation {
            self.reconnect(key);
        }
        self.request_worker_placement(key);
    }

    /// Notes an entry that contradicts the answers of a worker. The worker takes no tasks until it has answered
    /// again.
    fn claim_listed(&mut self, key: WorkerKey, report: WorkerReport, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(claim) = &mut worker.claim
            && claim.report.address == report.address
            && claim.report.started_wall_ms == report.started_wall_ms
        {
            claim.report = report;
            return;
        }
        worker.claim_link_closed(now);
        worker.claim = Some(Claim {
            report,
            is_connected: true,
            connected_at: now,
            is_known_alive: worker
                .claim
                .as_ref()
                .map_or(worker.synced, |former| former.is_known_alive),
        });
        worker.synced = false;
        worker.next_poll_at = now;
        self.await_next_incarnation(key);
        self.reconnect(key);
    }

    /// After a poll that got no answer from one of the addresses of a worker, tries the other one.
    pub(super) fn try_other_address(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.claim_link_closed(now);
        let known_address = &worker.report.address;
        if let Some(claim) = &mut worker.claim
            && claim.report.address != *known_address
        {
            claim.is_connected = !claim.is_connected;
            claim.connected_at = now;
            self.reconnect(key);
        }
    }

    fn reconnect(&mut self, key: WorkerKey) {
        self.actions.push(Action::Disconnect(key));
        self.actions.push(Action::Connect(key));
    }

    /// Resets a worker whose process has ended to the state of its next one.
    pub(super) fn begin_incarnation(&mut self, key: WorkerKey, report: WorkerReport, now: Millis) {
        if let Some(worker) = self.workers.get_mut(key) {
            let former = worker.report.clone();
            worker.begin_incarnation(former, now);
            worker.full_capacity = report.capacity;
            worker.entry.service_since = now;
            worker.keep_lease_until(self.settings.longest_lease_from(now));
        }
        self.apply_entry(key, report, false, now);
    }

    pub(super) fn replace_report(&mut self, key: WorkerKey, report: WorkerReport) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let former = std::mem::replace(&mut worker.report, report);
        let service_changed = former.service != worker.report.service;
        let instance_changed = former.instance != worker.report.instance;
        if service_changed {
            self.join_service(key);
        }
        if instance_changed {
            self.leave_instance(key, &former.instance);
            self.join_instance(key);
        }
    }

    /// Requests a placement pass for the service of a worker whose room may have grown.
    pub(super) fn request_worker_placement(&mut self, key: WorkerKey) {
        if let Some(service) = self.workers.get(key).and_then(|worker| worker.service) {
            self.request_placement(service);
        }
    }

    /// Marks a worker that the platform has removed from its list.
    pub fn worker_unlisted(&mut self, id: &str) {
        if let Some(worker) = self
            .workers_by_id
            .get(id)
            .and_then(|key| self.workers.get_mut(*key))
        {
            worker.listed = false;
        }
    }

    /// Marks the workers that are missing from a complete list.
    pub fn workers_listed(&mut self, listed: &FastSet<Arc<str>>) {
        for worker in self.workers.values_mut() {
            worker.listed &= listed.contains(&worker.report.id);
        }
        self.worker_list_known();
    }

    pub(super) fn insert_worker(&mut self, report: WorkerReport, lease_end: Millis) -> WorkerKey {
        let id = Arc::clone(&report.id);
        let key = self.workers.insert(Worker::new(report, lease_end));
        self.workers_by_id.insert(id, key);
        if self.is_instance_reserved(key) {
            self.workers[key].cordoned = true;
        }
        self.join_service(key);
        self.join_instance(key);
        self.actions.push(Action::Connect(key));
        key
    }

    fn join_instance(&mut self, key: WorkerKey) {
        let instance = Arc::clone(&self.workers[key].report.instance);
        self.workers_by_instance
            .entry(instance)
            .or_default()
            .push(key);
    }

    fn leave_instance(&mut self, key: WorkerKey, instance: &Arc<str>) {
        if let Some(workers) = self.workers_by_instance.get_mut(instance) {
            workers.retain(|worker| *worker != key);
            if workers.is_empty() {
                self.workers_by_instance.remove(instance);
            }
        }
    }

    pub(super) fn join_service(&mut self, key: WorkerKey) {
        for service in self.services.values_mut() {
            service.workers.retain(|worker| *worker != key);
        }
        let Some(name) = self
            .workers
            .get(key)
            .map(|worker| Arc::clone(&worker.report.service))
        else {
            return;
        };
        let service = self.service_key(&name);
        self.services[service].workers.push(key);
        self.workers[key].service = Some(service);
    }

    pub(super) fn service_key(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: Arc::clone(name),
            workers: Vec::new(),
            load: LoadForecast::default(),
            arrivals: Arrivals::default(),
            ready: ReadyQueue::default(),
            placement_due: false,
            next_placement_at: Millis::ZERO,
        });
        self.services_by_name.insert(Arc::clone(name), key);
        key
    }

    /// Number of workers that this leader polls.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// The listed data of a worker, for its connection.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(Worker::link_report)
    }

    /// Ends the runs of unresponsive workers whose lease has expired, and removes workers that
    /// have ended.
    pub(super) fn check_workers(&mut self, now: Millis) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.unresponsive && worker.lease_end < now && worker.synced)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            let end = IncarnationEnd::LeaseExpired;
            self.end_incarnation(key, end, EndEvidence::Lease, now);
        }
        self.drop_unclaimed_runs(now);
        let ended: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(key, worker)| {
                let is_awaited = self.awaits_next_incarnation(*key)
                    || (self.leadership_unconfirmed && self.is_awaited(*key));
                !worker.listed
                    && !is_awaited
                    && worker.runs().is_empty()
                    && !worker.has_unread_ends()
                    && (worker.synced || worker.lease_end < now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            self.remove_worker(key, now);
        }
    }

    pub(super) fn remove_worker(&mut self, key: WorkerKey, now: Millis) {
        for service in self.services.values_mut() {
            service.workers.retain(|worker| *worker != key);
        }
        if let Some(worker) = self.workers.remove(key) {
            self.workers_by_id.remove(&worker.report.id);
            self.leave_instance(key, &worker.report.instance);
        }
        self.actions.push(Action::Disconnect(key));
        self.request_batch(now.after_ms(LOW_PRIORITY_BATCH_DELAY_MS));
    }

    pub(super) fn poll_workers(&mut self, now: Millis) {
        let wait_ms = if now < self.short_polls_until || self.leadership_unconfirmed {
            self.settings.poll_wait_ms.min(SHORT_POLL_WAIT_MS)
        } else {
            self.settings.poll_wait_ms
        };
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            let idle = worker.runs().is_empty()
                && worker.unknown_runs.is_empty()
                && worker.unknown_ends.is_empty();
            let acks_pending = worker.acknowledged < worker.ack_ready;
            let needs_poll = !worker.synced
                || !idle
                || acks_pending
                || worker.has_old_clock_reading(now)
                || self.leadership_unconfirmed;
            if worker.poll_in_flight || !needs_poll || worker.next_poll_at > now {
                continue;
            }
            let is_long_poll =
                worker.synced && worker.failed_polls == 0 && (!idle || self.leadership_unconfirmed);
            let deadline_ms = match worker.estimated_clock_at(now) {
                Some(clock) if worker.synced && !worker.unresponsive => {
                    worker.keep_lease_until(self.settings.lease_from(now));
                    Some(clock + self.settings.run_lease_ms)
                }
                _ => None,
            };
            worker.poll_cursor = worker.next_cursor();
            worker.poll_in_flight = true;
            worker.poll_sent_at = now;
            self.actions.push(Action::Poll(
                key,
                PollOrder {
                    deadline_ms,
                    acknowledged: worker.poll_cursor,
                    wait_ms: if is_long_poll { wait_ms } else { 0 },
                },
            ));
        }
    }

    /// Resource usage of each pool, for reports.
    pub fn pool_uses(&self, now: Millis) -> impl Iterator<Item = PoolUse> {
        self.services.iter().map(move |(key, service)| {
            let workers = service
                .workers
                .iter()
                .filter_map(|key| self.workers.get(*key));
            let synced: Vec<&Worker> = workers
                .filter(|worker| worker.listed && worker.synced)
                .collect();
            let sum = |part: fn(&Worker) -> Resources| {
                synced
                    .iter()
                    .map(|worker| part(worker))
                    .fold(Resources::default(), Resources::plus)
            };
            PoolUse {
                service: Arc::clone(&service.name),
                workers: synced.len(),
                capacity: sum(|worker| worker.report.capacity),
                used: sum(|worker| worker.bookings.used()),
                tasks_waiting: service.ready.task_count(),
                excluded: self.exclusions(key, now),
            }
        })
    }

    /// Service of the worker, if the task ends by itself.
    pub(super) fn finite_in(&self, task: TaskKey, worker: WorkerKey) -> Option<ServiceKey> {
        let worker = self.workers.get(worker)?;
        worker
            .service
            .filter(|_| !self.job_table.is_long_running(task))
    }

    pub(super) fn service_of(&self, task: TaskKey) -> Option<ServiceKey> {
        let task = self.job_table.tasks.get(task)?;
        Some(self.job_table.jobs.get(task.job)?.service)
    }
}
